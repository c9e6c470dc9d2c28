package experiment

import (
	"context"
	"errors"
	"math"
	"strings"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
	"tallyproxy/internal/logevent"
)

// Names of phases, as results have them.
const (
	phaseStart       = "start"
	phaseBaseline    = "calm"
	phaseUnavailable = "away"
	phaseRetryAfter  = "away, come back in 5 s"
	phaseHanging     = "hangs"
	phaseTruncating  = "half answers"
	phaseRestored    = "back"
	phaseEvent       = "an event"
	phaseEvents      = "an event every 200 ms"
)

const (
	eventInterval = 200 * time.Millisecond // between the events of phaseEvents
	retryAfter    = 5                      // seconds, sent in phaseRetryAfter
	// phaseCacheNodes is the number of cache nodes. No client uses them in the phases.
	phaseCacheNodes = 4
)

// channelPhase is a phase of the command channel.
type channelPhase struct {
	name  string
	begin func() // nil for the phase that begins with the directors' start
}

// phaseRun runs the phases with directors as processes.
type phaseRun struct {
	*Startup
	ctx           context.Context
	cluster       *fakes.Cluster
	result        *StartupRun
	announcements []announcement
}

// announcement is a change that all directors are expected to learn of.
type announcement struct {
	at      time.Time
	shows   func(faulttest.Entry) bool // whether a log entry shows that a director knows of it
	knownMS *float64                   // where the largest propagation time is stored
}

// runPhases starts n directors at the same time and runs the phases of the command channel. No
// client sends requests.
func (s *Startup) runPhases(ctx context.Context, n int, alone bool) (result StartupRun, err error) {
	result.Directors, result.Alone = n, alone
	spec := faulttest.Spec{Argv: s.Argv, NoPeers: alone, CacheNodes: phaseCacheNodes, WarmCaches: true, Log: s.Log}
	harness, err := faulttest.New(spec, faulttest.Schedule{Seed: s.Seed, Directors: n})
	if err != nil {
		return result, err
	}
	cluster := harness.Cluster
	cluster.SetChannelCapacity(s.capacity())
	startedAt := cluster.Now()
	startErr := harness.Start(ctx)
	defer func() {
		result.Memory = math.Round(harness.PeakMemoryMB()*10) / 10
		if err := errors.Join(startErr, harness.Close()); err != nil {
			result.Crashes, result.CrashReasons = strings.Count(err.Error(), "\n")+1, err.Error()
		}
	}()
	run := &phaseRun{Startup: s, ctx: ctx, cluster: cluster, result: &result}
	for _, phase := range run.phases() {
		from := cluster.Now()
		if phase.begin == nil {
			from = startedAt
		} else {
			phase.begin()
		}
		fakes.Sleep(ctx, s.PhaseDuration-(cluster.Now()-from))
		result.Phases = append(result.Phases, measurePhase(phase.name, cluster.ChannelCalls(), from, cluster.Now(), n))
	}
	result.computeRelativeRates()
	run.measurePropagation(harness.History.Entries())
	return result, ctx.Err()
}

// phases returns the start, a calm phase, and the phases of the requested faults.
func (r *phaseRun) phases() []channelPhase {
	phases := []channelPhase{{phaseStart, nil}, {phaseBaseline, func() {}}}
	restored := channelPhase{phaseRestored, r.restoreChannel}
	for _, fault := range r.Faults {
		switch fault {
		case "away":
			phases = append(phases, r.outage(phaseUnavailable, fakes.ChannelUnavailable, 0, "draining"), restored)
		case "retry":
			phases = append(phases, r.outage(phaseRetryAfter, fakes.ChannelUnavailable, retryAfter, "up"), restored)
		case "hangs":
			phases = append(phases, r.outage(phaseHanging, fakes.ChannelHanging, 0, "draining"), restored)
		case "half":
			phases = append(phases, r.outage(phaseTruncating, fakes.ChannelTruncating, 0, "up"), restored)
		case "event":
			phases = append(phases, channelPhase{phaseEvent, r.purgeOnce})
		case "events":
			phases = append(phases, channelPhase{phaseEvents, r.purgeOften})
		}
	}
	return phases
}

// outage returns a phase in which the channel does not serve, while a cache node changes its
// status.
func (r *phaseRun) outage(name string, mode fakes.ChannelMode, retryAfter int, status string) channelPhase {
	return channelPhase{name, func() {
		r.cluster.SetChannelMode(mode, retryAfter)
		r.cluster.Nodes[0].Announce(status)
	}}
}

// restoreChannel makes the channel serve again. Directors are expected to learn the endpoint list
// from now on.
func (r *phaseRun) restoreChannel() {
	r.cluster.SetChannelMode(fakes.ChannelServing, 0)
	r.announcements = append(r.announcements, announcement{time.Now(), showsEndpointList, &r.result.ListKnownP99})
}

// purgeOnce purges a group. Directors are expected to learn of it from now on.
func (r *phaseRun) purgeOnce() {
	r.announcements = append(r.announcements, announcement{time.Now(), showsPurge, &r.result.EventKnownP99})
	r.cluster.Purge("", 1)
}

// purgeOften purges a group repeatedly for the duration of the phase.
func (r *phaseRun) purgeOften() {
	for range int(r.PhaseDuration / eventInterval) {
		r.cluster.Purge("", 2)
		fakes.Sleep(r.ctx, eventInterval)
	}
}

func showsEndpointList(e faulttest.Entry) bool {
	return e.Event == logevent.EndpointListRelayed || e.Event == logevent.DiscoveryEvents && e.Attributes["lists"] != "0"
}

func showsPurge(e faulttest.Entry) bool {
	return e.Event == logevent.GossipReceived || e.Event == logevent.DiscoveryEvents && e.Attributes["events"] != "0"
}

// measurePropagation determines from the directors' logs how long it took until 99 % of them knew
// of each announcement.
func (r *phaseRun) measurePropagation(entries []faulttest.Entry) {
	for _, a := range r.announcements {
		took := faulttest.PropagationTime(entries, a.at, r.result.Directors, 0.99, a.shows)
		if took < 0 {
			r.result.NeverKnown++
			continue
		}
		*a.knownMS = max(*a.knownMS, float64(took.Milliseconds()))
	}
}

// runColdStart starts n directors with cold caches. They are under load as soon as they serve, with
// the faults that happen under load.
func (s *Startup) runColdStart(ctx context.Context, n int, alone bool) (ColdStart, error) {
	schedule := faulttest.Schedule{Seed: s.Seed, Directors: n, Faults: s.loadFaults(n)}
	for _, fault := range schedule.Faults {
		schedule.LengthMS = max(schedule.LengthMS, fault.AtMS+fault.ForMS+500)
	}
	spec := faulttest.Spec{
		Argv: s.Argv, NoPeers: alone, CacheNodes: s.CacheNodes, Clients: s.Clients, LoadFactor: s.Load, LoadAfter: 3 * s.PhaseDuration / 2, Log: s.Log,
		EarlyClients: true, BeforeStart: func(h *faulttest.Harness) { h.Cluster.SetChannelCapacity(s.capacity()) },
	}
	outcome, err := faulttest.Run(ctx, spec, schedule, nil)
	return ColdStart{
		RulesBroken:     outcome.RuleViolations() + outcome.QuotaViolations,
		Lost:            outcome.Lost,
		OverloadedNodes: outcome.OverloadedNodes,
		Unfinished:      boolean.Int(outcome.Incomplete),
		Requests:        outcome.Requests,
		SuccessShare:    outcome.SuccessRate,
		Recovery:        outcome.RecoveryMS,
		PeakLoad:        outcome.ColdPeakLoad,
	}, err
}

// loadFaults returns the faults of a start under load.
func (s *Startup) loadFaults(n int) (faults []faulttest.Fault) {
	all, halves := indexes(n), alternate(n, 2)
	for _, name := range s.Faults {
		faults = append(faults, map[string][]faulttest.Fault{
			"seven":     {{Kind: faulttest.Kill, AtMS: 500, ForMS: 5000, Targets: all[:n*7/10]}},
			"followers": {{Kind: faulttest.KillDelegates, AtMS: 500, ForMS: 3000}},
			"halves":    {{Kind: faulttest.Partition, AtMS: 500, ForMS: 5000, Groups: halves}, {Kind: faulttest.ChannelUnreachable, AtMS: 500, ForMS: 5000}},
			"move":      {{Kind: faulttest.ChannelMove, AtMS: 500}, {Kind: faulttest.Purge, AtMS: 1000}},
			"roll":      {{Kind: faulttest.RollingRestart, AtMS: 500, ForMS: 5000}, {Kind: faulttest.ReplaceCaches, AtMS: 500, ForMS: 5000}},
		}[name]...)
	}
	return faults
}
