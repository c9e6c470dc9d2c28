package faulttest

import (
	"fmt"
	"math"
	"slices"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
)

// Outcome is what came of a schedule, by the statistics of the fakes and the history.
type Outcome struct {
	Schedule           Schedule   `json:"schedule"`           // that was played
	Lost               int        `json:"lost"`               // attempts that were owed an answer and got none
	LostReasons        string     `json:"lost_how,omitempty"` // of Lost
	LostToPauses       int        `json:"lost_paused"`        // attempts without an answer from a director that was paused
	DuplicateAnswers   int        `json:"double_final"`       // answers to an attempt beyond the one
	WrongBodies        int        `json:"wrong_bytes"`        // answers with another object's body
	RepeatedEffects    int        `json:"effects_twice"`      // idempotency keys whose request had its effect twice
	ConcurrentAttempts int        `json:"pulls_together"`     // attempts of one request in flight at two nodes
	DrainViolations    int        `json:"drains_broken"`      // requests and fills at nodes that were drained
	PurgeViolations    int        `json:"purges_broken"`      // stale copies that were served
	OverloadedNodes    int        `json:"fallen"`             // nodes that were pushed over
	Crashes            int        `json:"crashes"`            // directors that did not end with exit status 0, by lines of CrashDetail
	Panics             int        `json:"panics"`             // that directors recovered from
	CrashDetail        string     `json:"why,omitempty"`      // exit statuses and ends of logs
	QuotaPeak          [2]float64 `json:"parts_peak"`         // the most that all quotas summed up to, over the whole; of a zone, of the fleet
	QuotaViolations    int        `json:"parts_over"`         // instants at which that was above membership.MaxQuotaFactor
	Incomplete         bool       `json:"unended"`            // it did not come to its end, or to one view, in time
	ConvergenceMS      float64    `json:"one_view_ms"`        // until all had one view, from the end of the last fault; see ConvergenceTime
	DetectionMS        []float64  `json:"know_death_ms"`      // see DetectionTimes
	FalseFailures      int        `json:"wrongly_failed"`     // see FalsePositives
	FalseSuspicions    int        `json:"wrongly_suspected"`  // see FalsePositives
	ColdPeakLoad       float64    `json:"cold_peak_load"`     // the most work that a cache or parent was sent, over what pushes it over
	Requests           int        `json:"asked"`              // of clients
	SuccessRate        float64    `json:"fulfilled_share"`    // share of Requests
	RecoveryMS         float64    `json:"recovery_ms"`        // from the begin of the last fault until nine tenths succeed for good; -1: never
	SuccessSeries      []float64  `json:"series"`             // success rate of the requests that began in each window of recoveryWindow from then on, by half windows
	MemoryMB           float64    `json:"memory_mb"`          // the most that a director held
	PacketsPerSecond   float64    `json:"packets_per_s"`      // from other directors, that came to one director
	BytesPerSecond     float64    `json:"bytes_per_s"`        // as PacketsPerSecond, with those of streams
	DirectorHours      float64    `json:"director_hours"`     // of all directors together
	NameConflicts      int        `json:"name_taken_lines"`   // lines that say that a name is in use
	HintProbes         int        `json:"questions"`          // probes of nodes after a hint
	UpdatesReceived    int        `json:"words_bound"`        // updates of the channel that came from another director
	ListsRelayed       int        `json:"lists_taken"`        // endpoint lists that came from other directors
	CallsPerSecond     float64    `json:"calls_per_s"`        // polls of the command channel, of all directors together
	History            *History   `json:"-"`                  // of the run

	// Of schedules that are drawn for a soak; they stand in no JSON.
	LateAnswers     int             `json:"-"` // answers later than the request's time and 0.5 s
	SentAfterLeave  int             `json:"-"` // attempts that began over 0.1 s after their client had left
	EarlyRefusals   int             `json:"-"` // connections refused by a director that owed to accept them
	ViolationEvents []string        `json:"-"` // what was done with the keys that RepeatedEffects counts, and what SentAfterLeave counts
	CrossedEnds     int             `json:"-"` // requests that crossed the end of a resting connection: no violation
	DelayedEnds     []string        `json:"-"` // those of them that splitLostAtEnds found, a line each
	StartTimes      []time.Duration `json:"-"` // that processes took until they served, sorted
}

// RuleViolations returns how often the rules about answers, copies, drains and processes were broken. What else must not be has counts of
// its own.
func (o Outcome) RuleViolations() int {
	return o.DuplicateAnswers + o.WrongBodies + o.RepeatedEffects + o.ConcurrentAttempts + o.DrainViolations + o.PurgeViolations + o.Crashes + o.Panics
}

// Violations returns all that was broken, by the JSON key of its count and the count.
func (o Outcome) Violations() (violations []string) {
	for _, rule := range []struct {
		key   string
		count int
	}{
		{"lost", o.Lost}, {"double_final", o.DuplicateAnswers}, {"wrong_bytes", o.WrongBodies}, {"effects_twice", o.RepeatedEffects},
		{"pulls_together", o.ConcurrentAttempts}, {"drains_broken", o.DrainViolations}, {"purges_broken", o.PurgeViolations},
		{"fallen", o.OverloadedNodes}, {"crashes", o.Crashes}, {"panics", o.Panics}, {"parts_over", o.QuotaViolations},
		{"unended", boolean.Int(o.Incomplete)}, {"late", o.LateAnswers}, {"sent_after_leave", o.SentAfterLeave}, {"refused_early", o.EarlyRefusals},
		{"slow_start", boolean.Int(!o.startedInTime())},
	} {
		if rule.count > 0 {
			violations = append(violations, fmt.Sprintf("%s %d", rule.key, rule.count))
		}
	}
	return violations
}

// Readiness that the operators' gate asks for.
const (
	readyWithin = 10 * time.Second
	readyTenths = 9 // of ten starts
)

// startedInTime says whether nine in ten starts took no longer than readyWithin.
func (o Outcome) startedInTime() bool {
	late := 0
	for _, took := range o.StartTimes {
		late += boolean.Int(took > readyWithin)
	}
	return 10*late <= (10-readyTenths)*len(o.StartTimes)
}

// countEvents counts the events that stand in the outcome as they are.
func (o *Outcome) countEvents(entries []Entry) {
	for _, e := range entries {
		switch e.Event {
		case logevent.PanicRecovered:
			o.Panics++
		case logevent.PeerNameConflict:
			o.NameConflicts++
		case logevent.HintProbed:
			o.HintProbes++
		case logevent.GossipReceived:
			o.UpdatesReceived++
		case logevent.EndpointListRelayed:
			o.ListsRelayed++
		}
	}
}

// falsePositiveSettling is for how long links must have been sound before a suspicion counts as a false one.
const falsePositiveSettling = 10 * time.Second

// check runs the checkers of quotas and failure detection over the entries until all had settled. Names are those of the schedule's
// directors.
func (o *Outcome) check(entries []Entry, names []string) {
	for scope, name := range []string{"zone", "fleet"} {
		peak, over := QuotaSums(entries, len(names), name, membership.MaxQuotaFactor)
		o.QuotaPeak[scope] = roundTo(peak, 1000)
		o.QuotaViolations += over
	}
	times, _ := DetectionTimes(entries, names)
	for _, took := range times {
		o.DetectionMS = append(o.DetectionMS, float64(took.Milliseconds()))
	}
	o.FalseFailures, o.FalseSuspicions = FalsePositives(entries, names, falsePositiveSettling)
}

// addClusterStats takes what the fakes recorded. LastFault is when the last fault began, by the cluster's clock.
func (o *Outcome) addClusterStats(cluster *fakes.Cluster, lastFault time.Duration) {
	violations := cluster.Violations()
	o.RepeatedEffects, o.OverloadedNodes = violations.RepeatedEffects, violations.OverloadedNodes
	o.DrainViolations, o.ConcurrentAttempts = violations.DrainedUses, violations.ConcurrentAttempts
	o.SentAfterLeave, o.ViolationEvents = violations.SentAfterLeave, append(cluster.RepeatedEffectEvents(), cluster.SentAfterLeaveEvents()...)
	for _, n := range cluster.Nodes {
		if peak, _ := n.PeakLoad(); n.Kind != fakes.Origin {
			o.ColdPeakLoad = max(o.ColdPeakLoad, roundTo(peak, 1000))
		}
	}
	entries := o.History.Entries()
	cluster.Clients.WithLock(func(stats *fakes.ClientStats) {
		lost, crossed := splitLostAtEnds(entries, stats.LostAtEnds)
		for _, request := range lost {
			stats.Lost++
			stats.LostReasons[request.Reason]++
		}
		for _, request := range crossed {
			stats.CrossedEnds++
			o.DelayedEnds = append(o.DelayedEnds, request.Reason)
		}
		o.Lost, o.LostToPauses = stats.Lost, stats.LostToPauses
		o.DuplicateAnswers, o.WrongBodies, o.PurgeViolations = stats.Duplicates, stats.WrongBodies, stats.StaleCopies
		if len(stats.LostReasons) > 0 {
			o.LostReasons = fmt.Sprint(stats.LostReasons)
		}
		o.LateAnswers, o.EarlyRefusals, o.CrossedEnds = stats.LateAnswers, stats.EarlyRefusals, stats.CrossedEnds
		o.addRequests(stats.Requests, lastFault)
	})
}

// addRequests takes the clients' requests.
func (o *Outcome) addRequests(requests []fakes.ClientRequest, lastFault time.Duration) {
	var series successSeries
	succeeded := 0
	for _, request := range requests {
		o.Requests++
		succeeded += boolean.Int(request.Succeeded)
		if request.StartedAt >= lastFault {
			series.add(request.StartedAt-lastFault, request.Succeeded)
		}
	}
	if o.Requests > 0 {
		o.SuccessRate = roundTo(float64(succeeded)/float64(o.Requests), 10000)
	}
	o.SuccessSeries = series.rates()
	if recovery, recovered := series.recovery(); recovered {
		o.RecoveryMS = float64(recovery.Milliseconds())
	}
}

const (
	recoveryWindow = 10  // of fakes.SeriesInterval, over which success rates are taken
	recoveredRate  = 0.9 // success rate at which the fleet counts as recovered
)

// successSeries counts requests and those that succeeded, by intervals of fakes.SeriesInterval.
type successSeries struct{ started, succeeded []int }

// add takes a request that began after a time.
func (s *successSeries) add(after time.Duration, succeeded bool) {
	i := int(after / fakes.SeriesInterval)
	for len(s.started) <= i {
		s.started, s.succeeded = append(s.started, 0), append(s.succeeded, 0)
	}
	s.started[i]++
	s.succeeded[i] += boolean.Int(succeeded)
}

// window returns the sums over the window that begins at an interval.
func (s *successSeries) window(from int) (started, succeeded float64) {
	for i := from; i < from+recoveryWindow; i++ {
		started, succeeded = started+float64(s.started[i]), succeeded+float64(s.succeeded[i])
	}
	return started, succeeded
}

// rates returns the success rate of each half window's window, without those in which no request began.
func (s *successSeries) rates() (rates []float64) {
	for i := 0; i+recoveryWindow <= len(s.started); i += recoveryWindow / 2 {
		if started, succeeded := s.window(i); started > 0 {
			rates = append(rates, roundTo(succeeded/started, 100))
		}
	}
	return rates
}

// recovery returns the begin of the first window from which on all have recoveredRate; false where the last has not.
func (s *successSeries) recovery() (time.Duration, bool) {
	lastBelow := -1
	for i := 0; i+recoveryWindow <= len(s.started); i++ {
		if started, succeeded := s.window(i); succeeded < recoveredRate*started {
			lastBelow = i
		}
	}
	if lastBelow+recoveryWindow >= len(s.started) {
		return 0, false
	}
	return time.Duration(lastBelow+1) * fakes.SeriesInterval, true
}

// roundTo rounds to a multiple of 1/parts.
func roundTo(value, parts float64) float64 { return math.Round(value*parts) / parts }

// until returns the entries up to a time, and later ones of recovered panics.
func entriesUntil(entries []Entry, end time.Time) []Entry {
	return slices.DeleteFunc(entries, func(e Entry) bool { return e.At.After(end) && e.Event != logevent.PanicRecovered })
}
