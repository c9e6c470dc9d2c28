package faulttest

import (
	"context"
	"strings"
	"time"

	"tallyproxy/internal/fakes"
)

// convergenceTimeout is the time limit for the directors to reach a common view.
const convergenceTimeout = 20 * time.Second

// Run plays a schedule: it waits for a common view, starts the load, applies the faults, keeps up
// the load for a while and waits for a common view again. underLoad, if not nil, is called before
// the first fault. Run returns in a bounded time. Failures of directors are reported in the
// outcome; an error concerns the schedule, the start or the fakes.
func Run(ctx context.Context, spec Spec, s Schedule, underLoad func(*Harness)) (Outcome, error) {
	outcome := Outcome{}
	if err := s.Validate(); err != nil {
		return outcome, err
	}
	outcome.Schedule, outcome.RecoveryMS = s, -1
	ctx, cancel := context.WithTimeout(ctx, s.length()+spec.LoadBefore+spec.LoadAfter+4*convergenceTimeout)
	defer cancel()
	r, err := newRun(ctx, spec, s)
	if err != nil {
		return outcome, err
	}
	r.outcome = &outcome
	r.play(ctx, underLoad)
	if spec.AfterLoad != nil {
		spec.AfterLoad(r.harness)
	}
	r.measure()
	r.finish()
	return outcome, nil
}

// run is a schedule while one goroutine plays it.
type run struct {
	spec     Spec
	schedule Schedule
	harness  *Harness
	outcome  *Outcome

	initialTraffic traffic       // when all directors had a common view
	lastFault      time.Duration // start of the last fault by the cluster's clock
	healedAt       time.Time     // when all faults had ended
	convergedAt    time.Time     // when all directors had a common view again
}

// traffic is what all directors together had received, and how often they had polled the command
// channel, up to a time.
type traffic struct {
	at              time.Time
	packets, octets int64 // received from other directors
	calls           int   // polls of the command channel
}

// newRun prepares a harness and starts its directors.
func newRun(ctx context.Context, spec Spec, s Schedule) (*run, error) {
	h, err := New(spec, s)
	if err != nil {
		return nil, err
	}
	if spec.BeforeStart != nil {
		spec.BeforeStart(h)
	}
	if spec.EarlyClients {
		h.StartClients()
	}
	if err := h.Start(ctx); err != nil {
		_ = h.Close() // the error of Start is reported instead
		return nil, err
	}
	return &run{spec: spec, schedule: s, harness: h}, nil
}

// play runs the load, the faults, and the load after them.
func (r *run) play(ctx context.Context, underLoad func(*Harness)) {
	r.awaitConvergence(ctx)
	r.initialTraffic = r.harness.traffic()
	if !r.spec.EarlyClients {
		r.harness.StartClients()
	}
	fakes.Sleep(ctx, r.spec.LoadBefore)
	r.lastFault = r.harness.Cluster.Now() + r.schedule.lastFaultAt()
	if underLoad != nil {
		underLoad(r.harness)
	}
	r.harness.Play(ctx, r.schedule)
	r.healedAt = time.Now()
	fakes.Sleep(ctx, r.spec.LoadAfter)
	r.awaitConvergence(ctx)
	if ctx.Err() != nil {
		r.outcome.Incomplete = true
	}
	r.convergedAt = time.Now()
	r.harness.StopClients()
}

// awaitConvergence waits until all directors have the same view, if they know each other.
func (r *run) awaitConvergence(ctx context.Context) {
	if !r.spec.NoPeers && !r.harness.AwaitConvergence(ctx, convergenceTimeout) {
		r.outcome.Incomplete = true
	}
}

// measure takes the measurements that need running directors.
func (r *run) measure() {
	o, now := r.outcome, r.harness.traffic()
	seconds := now.at.Sub(r.initialTraffic.at).Seconds()
	directors := float64(r.schedule.Directors)
	o.PacketsPerSecond = roundTo(float64(now.packets-r.initialTraffic.packets)/seconds/directors, 1)
	o.BytesPerSecond = roundTo(float64(now.octets-r.initialTraffic.octets)/seconds/directors, 1)
	o.CallsPerSecond = roundTo(float64(now.calls-r.initialTraffic.calls)/seconds, 10)
	o.DirectorHours = seconds / 3600 * directors
	o.MemoryMB = roundTo(r.harness.PeakMemoryMB(), 10)
}

// finish stops the directors and runs the checkers.
func (r *run) finish() {
	o := r.outcome
	if err := r.harness.Close(); err != nil {
		o.Crashes, o.CrashDetail = strings.Count(err.Error(), "\n")+1, err.Error()
	}
	o.History, o.StartTimes = r.harness.History, r.harness.sortedStartTimes()
	o.addClusterStats(r.harness.Cluster, r.lastFault)
	entries := r.harness.History.Entries()
	o.countEvents(entries)
	entries = entriesUntil(entries, r.convergedAt)
	o.check(entries, r.directorNames())
	if !r.spec.NoPeers {
		o.ConvergenceMS = float64(ConvergenceTime(entries, r.healedAt).Milliseconds())
	}
}

// directorNames returns the names of the schedule's directors, without directors added later.
func (r *run) directorNames() (names []string) {
	for _, p := range r.harness.Processes()[:r.schedule.Directors] {
		names = append(names, p.Name)
	}
	return names
}

// traffic returns the directors' traffic so far.
func (h *Harness) traffic() traffic {
	t := traffic{at: time.Now()}
	for i := range h.Processes() {
		packets, octets := h.Network.Received(i)
		t.packets, t.octets = t.packets+packets, t.octets+octets
	}
	t.calls = len(h.Cluster.ChannelCalls())
	return t
}
