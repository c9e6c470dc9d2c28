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

// Outcome is the result of a schedule, taken from the statistics of the fakes and from the history.
type Outcome struct {
	// Schedule that was played.
	Schedule Schedule `json:"schedule"`
	// Attempts that were owed an answer and got none.
	Lost int `json:"lost"`
	// Reasons of Lost.
	LostReasons string `json:"lost_how,omitempty"`
	// Attempts without an answer because their director was paused.
	LostToPauses int `json:"lost_paused"`
	// Answers to an attempt after its first one.
	DuplicateAnswers int `json:"double_final"`
	// Answers with another object's body.
	WrongBodies int `json:"wrong_bytes"`
	// Idempotency keys whose request had its effect twice.
	RepeatedEffects int `json:"effects_twice"`
	// Attempts of one request in flight at two nodes.
	ConcurrentAttempts int `json:"pulls_together"`
	// Requests and fills at nodes that were drained.
	DrainViolations int `json:"drains_broken"`
	// Stale copies that were served.
	PurgeViolations int `json:"purges_broken"`
	// Nodes that collapsed under overload.
	OverloadedNodes int `json:"fallen"`
	// Directors that did not exit with status 0, counted by lines of CrashDetail.
	Crashes int `json:"crashes"`
	// Panics from which directors recovered.
	Panics int `json:"panics"`
	// Exit statuses and ends of logs.
	CrashDetail string `json:"why,omitempty"`
	// Peak sum of all quotas, as a multiple of the whole: of a zone, of the fleet.
	QuotaPeak [2]float64 `json:"parts_peak"`
	// Instants at which that sum was above membership.MaxQuotaFactor.
	QuotaViolations int `json:"parts_over"`
	// The run did not reach its end, or a common view, in time.
	Incomplete bool `json:"unended"`
	// Time from the end of the last fault until all directors had the same view; see
	// ConvergenceTime.
	ConvergenceMS float64 `json:"one_view_ms"`
	// See DetectionTimes.
	DetectionMS []float64 `json:"know_death_ms"`
	// See FalsePositives.
	FalseFailures int `json:"wrongly_failed"`
	// See FalsePositives.
	FalseSuspicions int `json:"wrongly_suspected"`
	// Peak work sent to an edge or parent cache, as a multiple of the work that overloads it.
	ColdPeakLoad float64 `json:"cold_peak_load"`
	// Requests of clients.
	Requests int `json:"asked"`
	// Share of Requests that succeeded.
	SuccessRate float64 `json:"fulfilled_share"`
	// Time from the start of the last fault until nine tenths of the requests succeed for the rest
	// of the run; -1 if never.
	RecoveryMS float64 `json:"recovery_ms"`
	// Success rates of the requests that began in each window of recoveryWindow after the start of
	// the last fault, advancing by half a window.
	SuccessSeries []float64 `json:"series"`
	// Peak memory of a director.
	MemoryMB float64 `json:"memory_mb"`
	// Packets from other directors, received per director.
	PacketsPerSecond float64 `json:"packets_per_s"`
	// Bytes from other directors, received per director, including those of streams.
	BytesPerSecond float64 `json:"bytes_per_s"`
	// Running time of all directors together.
	DirectorHours float64 `json:"director_hours"`
	// Log lines that report a name in use by another process.
	NameConflicts int `json:"name_taken_lines"`
	// Probes of nodes after a hint.
	HintProbes int `json:"questions"`
	// Updates of the channel received from another director.
	UpdatesReceived int `json:"words_bound"`
	// Endpoint lists received from other directors.
	ListsRelayed int `json:"lists_taken"`
	// Polls of the command channel by all directors together.
	CallsPerSecond float64 `json:"calls_per_s"`
	// History of the run.
	History *History `json:"-"`

	// Results of soak schedules, which are not part of the JSON.
	// Answers more than 0.5 s after the request's time limit.
	LateAnswers int `json:"-"`
	// Attempts that began more than 0.1 s after their client had left.
	SentAfterLeave int `json:"-"`
	// Attempts that were told to take longer than their client waits and 0.15 s. Violations does not
	// list them; TestDeadlinesInACrowd judges them.
	ExceededDeadlines int `json:"-"`
	// Connections refused by a director that was obliged to accept them.
	EarlyRefusals int `json:"-"`
	// Events of the keys that RepeatedEffects counts, and of the attempts that SentAfterLeave and
	// ExceededDeadlines count.
	ViolationEvents []string `json:"-"`
	// Requests that crossed the end of an idle connection, which is no violation.
	CrossedEnds int `json:"-"`
	// The requests among them that splitLostAtEnds found, one line each.
	DelayedEnds []string `json:"-"`
	// Time from each start until the process served, sorted.
	StartTimes []time.Duration `json:"-"`
}

// RuleViolations returns how often the rules about answers, copies, drains and processes were
// broken. Other violations have their own counts.
func (o Outcome) RuleViolations() int {
	return o.DuplicateAnswers + o.WrongBodies + o.RepeatedEffects + o.ConcurrentAttempts + o.DrainViolations + o.PurgeViolations + o.Crashes + o.Panics
}

// Violations returns all violations as the JSON key of the count followed by the count.
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

// Readiness required for acceptance by the operators.
const (
	readyWithin = 10 * time.Second
	readyTenths = 9 // out of ten starts
)

// startedInTime reports whether nine in ten starts took no longer than readyWithin.
func (o Outcome) startedInTime() bool {
	late := 0
	for _, took := range o.StartTimes {
		late += boolean.Int(took > readyWithin)
	}
	return 10*late <= (10-readyTenths)*len(o.StartTimes)
}

// countEvents counts the events that the outcome reports without further checks.
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

// falsePositiveSettling is how long there must have been no disruption before a reported failure or
// suspicion counts as false.
const falsePositiveSettling = 10 * time.Second

// check runs the checkers of quotas and failure detection over the entries up to convergence. names
// are the names of the schedule's directors.
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

// addClusterStats adds what the fakes recorded. lastFault is the start of the last fault by the
// cluster's clock.
func (o *Outcome) addClusterStats(cluster *fakes.Cluster, lastFault time.Duration) {
	violations := cluster.Violations()
	o.RepeatedEffects, o.OverloadedNodes = violations.RepeatedEffects, violations.OverloadedNodes
	o.DrainViolations, o.ConcurrentAttempts = violations.DrainedUses, violations.ConcurrentAttempts
	o.SentAfterLeave, o.ViolationEvents = violations.SentAfterLeave, append(cluster.RepeatedEffectEvents(), cluster.SentAfterLeaveEvents()...)
	o.ExceededDeadlines = violations.ExceededDeadlines
	o.ViolationEvents = append(o.ViolationEvents, cluster.ExceededDeadlineEvents()...)
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

// addRequests adds the results of the clients' requests.
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
	recoveryWindow = 10  // length of the window for success rates, in units of fakes.SeriesInterval
	recoveredRate  = 0.9 // success rate from which the fleet counts as recovered
)

// successSeries counts requests and successful requests per interval of fakes.SeriesInterval.
type successSeries struct{ started, succeeded []int }

// add counts a request that started at the given time after the start of the series.
func (s *successSeries) add(after time.Duration, succeeded bool) {
	i := int(after / fakes.SeriesInterval)
	for len(s.started) <= i {
		s.started, s.succeeded = append(s.started, 0), append(s.succeeded, 0)
	}
	s.started[i]++
	s.succeeded[i] += boolean.Int(succeeded)
}

// window returns the sums over the window that starts at interval from.
func (s *successSeries) window(from int) (started, succeeded float64) {
	for i := from; i < from+recoveryWindow; i++ {
		started, succeeded = started+float64(s.started[i]), succeeded+float64(s.succeeded[i])
	}
	return started, succeeded
}

// rates returns the success rates of windows that advance by half a window. It omits windows in
// which no request started.
func (s *successSeries) rates() (rates []float64) {
	for i := 0; i+recoveryWindow <= len(s.started); i += recoveryWindow / 2 {
		if started, succeeded := s.window(i); started > 0 {
			rates = append(rates, roundTo(succeeded/started, 100))
		}
	}
	return rates
}

// recovery returns the start of the first window from which on all windows reach recoveredRate. It
// returns false if the last window does not reach it.
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

// entriesUntil returns the entries up to a time, and all entries of recovered panics, including
// later ones.
func entriesUntil(entries []Entry, end time.Time) []Entry {
	return slices.DeleteFunc(entries, func(e Entry) bool { return e.At.After(end) && e.Event != logevent.PanicRecovered })
}
