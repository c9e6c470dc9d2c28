package faulttest

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
)

// Outcome is what came of a schedule, by the books of the stand-ins and the history.
type Outcome struct {
	Schedule           Schedule   `json:"schedule"`
	Lost               int        `json:"lost"` // tries that were owed an answer
	LostReasons        string     `json:"lost_how,omitempty"`
	LostToPauses       int        `json:"lost_paused"`
	DuplicateAnswers   int        `json:"double_final"`
	WrongBodies        int        `json:"wrong_bytes"`
	RepeatedEffects    int        `json:"effects_twice"`
	ConcurrentAttempts int        `json:"pulls_together"`
	DrainViolations    int        `json:"drains_broken"`
	PurgeViolations    int        `json:"purges_broken"`
	OverloadedNodes    int        `json:"fallen"`
	Crashes            int        `json:"crashes"`
	Panics             int        `json:"panics"`
	CrashDetail        string     `json:"why,omitempty"` // of crashes
	QuotaPeak          [2]float64 `json:"parts_peak"`    // of the sum of all parts, by scope
	QuotaViolations    int        `json:"parts_over"`
	Incomplete         bool       `json:"unended"`     // it did not come to its end, or to one view, in time
	ConvergenceMS      float64    `json:"one_view_ms"` // from the end of the last fault
	DetectionMS        []float64  `json:"know_death_ms"`
	FalseFailures      int        `json:"wrongly_failed"`
	FalseSuspicions    int        `json:"wrongly_suspected"`
	ColdPeakLoad       float64    `json:"cold_peak_load"`
	Requests           int        `json:"asked"`
	SuccessRate        float64    `json:"fulfilled_share"`
	RecoveryMS         float64    `json:"recovery_ms"` // from the beginning of the last fault until nine tenths are fulfilled for good; -1: not
	SuccessSeries      []float64  `json:"series"`      // what was fulfilled of the downloads that began in each second from then on, by half seconds
	MemoryMB           float64    `json:"memory_mb"`
	PacketsPerSecond   float64    `json:"packets_per_s"` // that came to a director,
	BytesPerSecond     float64    `json:"bytes_per_s"`
	DirectorHours      float64    `json:"director_hours"`
	NameConflicts      int        `json:"name_taken_lines"`
	HintProbes         int        `json:"questions"`
	UpdatesReceived    int        `json:"words_bound"` // of the channel, by another's telling
	ListsRelayed       int        `json:"lists_taken"` // of nodes, by two others' telling
	CallsPerSecond     float64    `json:"calls_per_s"` // of the command channel, all together
	History            *History   `json:"-"`
}

// RuleViolations is how often the rules broke that are about answers, copies, drains and processes; what else must not be has counts of its own.
func (o Outcome) RuleViolations() int {
	return o.DuplicateAnswers + o.WrongBodies + o.RepeatedEffects + o.ConcurrentAttempts + o.DrainViolations + o.PurgeViolations + o.Crashes + o.Panics
}

// Violations names the rules that broke.
func (o Outcome) Violations() (rules []string) {
	for _, x := range []struct {
		name string
		n    int
	}{
		{"lost", o.Lost}, {"double_final", o.DuplicateAnswers}, {"wrong_bytes", o.WrongBodies}, {"effects_twice", o.RepeatedEffects},
		{"pulls_together", o.ConcurrentAttempts}, {"drains_broken", o.DrainViolations}, {"purges_broken", o.PurgeViolations}, {"fallen", o.OverloadedNodes},
		{"crashes", o.Crashes}, {"panics", o.Panics}, {"parts_over", o.QuotaViolations}, {"unended", bit(o.Incomplete)},
	} {
		if x.n > 0 {
			rules = append(rules, fmt.Sprintf("%s %d", x.name, x.n))
		}
	}
	return rules
}

const toSettle = 20 * time.Second // for all to have one view

// Run plays a schedule from beginning to end: directors that have one view, load, faults, load for a while longer, one view
// again. Do, where given, is called once there is load. It ends in a bounded time.
func Run(ctx context.Context, spec Spec, s Schedule, do func(*Harness)) (o Outcome, err error) {
	if err := s.Validate(); err != nil {
		return o, err
	}
	o.Schedule, o.RecoveryMS = s, -1
	bound := time.Duration(s.LengthMS)*time.Millisecond + spec.LoadBefore + spec.LoadAfter + 4*toSettle
	ctx, leave := context.WithTimeout(ctx, bound)
	defer leave()
	r, err := New(spec, s)
	if err != nil {
		return o, err
	}
	if spec.BeforeStart != nil {
		spec.BeforeStart(r)
	}
	if spec.EarlyClients {
		r.StartClients()
	}
	if err := r.Start(ctx); err != nil {
		r.Close()
		return o, err
	}
	if !spec.NoPeers && !r.AwaitConvergence(ctx, toSettle) {
		o.Incomplete = true
	}
	began, carried, calls := time.Now(), r.carried(), len(r.Cluster.ChannelCalls())
	if !spec.EarlyClients {
		r.StartClients()
	}
	fakes.Sleep(ctx, spec.LoadBefore)
	fault := r.Cluster.Now()
	last := 0
	for _, f := range s.Faults {
		last = max(last, f.AtMS)
	}
	fault += time.Duration(last) * time.Millisecond
	if do != nil {
		do(r)
	}
	r.Play(ctx, s)
	healed := time.Now()
	fakes.Sleep(ctx, spec.LoadAfter)
	if !spec.NoPeers && !r.AwaitConvergence(ctx, toSettle) || ctx.Err() != nil {
		o.Incomplete = true
	}
	settled := time.Now()
	r.StopClients()
	took := time.Since(began).Seconds()
	now := r.carried()
	o.PacketsPerSecond = math.Round(float64(now[0]-carried[0]) / took / float64(s.Directors))
	o.BytesPerSecond = math.Round(float64(now[1]-carried[1]) / took / float64(s.Directors))
	o.CallsPerSecond = math.Round(float64(len(r.Cluster.ChannelCalls())-calls)/took*10) / 10
	o.DirectorHours = took / 3600 * float64(s.Directors)
	o.MemoryMB = math.Round(r.PeakMemoryMB()*10) / 10
	if err := r.Close(); err != nil {
		o.Crashes, o.CrashDetail = strings.Count(err.Error(), "\n")+1, err.Error()
	}
	o.History = r.History
	o.books(r.Cluster, fault)
	var names []string
	for _, p := range r.Processes() {
		names = append(names, p.Name)
	}
	var entries []Entry
	for _, e := range r.History.Entries() {
		if !e.At.After(settled) || e.Event == logevent.PanicRecovered {
			entries = append(entries, e)
		}
		o.Panics += bit(e.Event == logevent.PanicRecovered)
		o.NameConflicts += bit(e.Event == logevent.PeerNameConflict)
		o.HintProbes += bit(e.Event == logevent.HintProbed)
		o.UpdatesReceived += bit(e.Event == logevent.GossipReceived)
		o.ListsRelayed += bit(e.Event == logevent.EndpointListRelayed)
	}
	for scope, name := range []string{"zone", "fleet"} {
		peak, over := QuotaSums(entries, s.Directors, name, membership.MaxQuotaFactor)
		o.QuotaPeak[scope] = math.Round(peak*1000) / 1000
		o.QuotaViolations += over
	}
	deaths, _ := DetectionTimes(entries, names[:s.Directors])
	for _, took := range deaths {
		o.DetectionMS = append(o.DetectionMS, float64(took.Milliseconds()))
	}
	o.FalseFailures, o.FalseSuspicions = FalsePositives(entries, names[:s.Directors], 10*time.Second)
	if !spec.NoPeers {
		o.ConvergenceMS = float64(ConvergenceTime(entries, healed).Milliseconds())
	}
	return o, nil
}

// carried is how many packets and bytes came to the directors of the schedule.
func (r *Harness) carried() (sum [2]int64) {
	for i := range r.Processes() {
		packets, octets := r.Network.Received(i)
		sum[0], sum[1] = sum[0]+packets, sum[1]+octets
	}
	return sum
}

// books takes what the stand-ins wrote down.
func (o *Outcome) books(w *fakes.Cluster, fault time.Duration) {
	b := w.Violations()
	o.RepeatedEffects, o.OverloadedNodes, o.DrainViolations, o.ConcurrentAttempts = b.RepeatedEffects, b.OverloadedNodes, b.DrainedUses, b.ConcurrentAttempts
	for _, n := range w.Nodes {
		if peak, _ := n.PeakLoad(); n.Kind != fakes.Origin {
			o.ColdPeakLoad = max(o.ColdPeakLoad, math.Round(peak*1000)/1000)
		}
	}
	w.Clients.WithLock(func(b *fakes.ClientStats) {
		o.Lost, o.DuplicateAnswers, o.WrongBodies, o.PurgeViolations, o.LostToPauses = b.Lost, b.Duplicates, b.WrongBodies, b.StaleCopies, b.LostToPauses
		if len(b.LostReasons) > 0 {
			o.LostReasons = fmt.Sprint(b.LostReasons)
		}
		var begun, met []int
		good := 0
		for _, dl := range b.Requests {
			o.Requests++
			good += bit(dl.Succeeded)
			if dl.StartedAt < fault {
				continue
			}
			at := int((dl.StartedAt - fault) / fakes.SeriesInterval)
			for len(begun) <= at {
				begun, met = append(begun, 0), append(met, 0)
			}
			begun[at]++
			met[at] += bit(dl.Succeeded)
		}
		if o.Requests > 0 {
			o.SuccessRate = math.Round(float64(good)/float64(o.Requests)*10000) / 10000
		}
		const window = 10 // buckets
		below := -1
		for i := 0; i+window <= len(begun); i++ {
			b, m := 0, 0
			for j := i; j < i+window; j++ {
				b, m = b+begun[j], m+met[j]
			}
			if i%(window/2) == 0 && b > 0 {
				o.SuccessSeries = append(o.SuccessSeries, math.Round(float64(m)/float64(b)*100)/100)
			}
			if float64(m) < 0.9*float64(b) {
				below = i
			}
		}
		if below+window < len(begun) {
			o.RecoveryMS = float64((time.Duration(below+1) * fakes.SeriesInterval).Milliseconds())
		}
	})
}
