package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
	"tallyproxy/internal/logevent"
)

// Startup is what `tallybench start` plays: many directors as processes that start at once, and a list service that is away for a while.
type Startup struct {
	Directors       []int         `default:"40" help:"Directors."`
	Faults          []string      `default:"away,event" enum:"none,away,retry,hangs,half,event,events,seven,followers,halves,move,roll" help:"What goes wrong: ${enum}. The list service answers 503, with a time to come back, hangs, breaks answers off; an event comes, one every 200 ms; the rest under load."`
	PhaseDuration   time.Duration `name:"phase" default:"2s" help:"How long each phase goes on."`
	Peers           bool          `default:"true" negatable:"" help:"Directors that know each other."`
	CompareAlone    bool          `name:"beside" default:"true" negatable:"" help:"The same with directors that don't, beside it."`
	CallsPerSecond  float64       `name:"service" default:"0" help:"Answers a second that the list service can give; 0 for any."`
	EventsPerSecond float64       `name:"lines" default:"0" help:"Events a second that it can put into them; 0 for any."`
	MaxAnswerDelay  time.Duration `name:"patience" default:"500ms" help:"It turns calls away whose answer would take longer."`
	Simulated       []int         `placeholder:"N,..." help:"Directors in simulated time instead, with the modules that decide."`
	CacheNodes      int           `name:"boxes" default:"8" help:"Caches, cold ones, there."`
	Clients         int           `default:"300" help:"Clients there."`
	Load            float64       `default:"0.4" help:"What they ask for, over what warm caches can do."`
	Seed            uint64        `default:"1" help:"Of the world."`
	JSON            bool          `name:"json" help:"Print one JSON object."`
	DirectorPath    string        `name:"director" placeholder:"FILE" help:"The director's program; by default the one beside this."`

	Argv []string  `kong:"-"`
	Log  io.Writer `kong:"-"`
}

// maxSimulatedStartup is how many directors a fleet in simulated time may have.
const maxSimulatedStartup = 20_000

// StartupPhase is what the list service saw of a fleet in one.
type StartupPhase struct {
	Name         string  `json:"name"`
	CallRate     float64 `json:"calls_per_s"` // of all directors
	PeakShare    float64 `json:"peak_share"`  // most calls in 100 ms, over the directors
	Refused      int     `json:"turned_away"` // calls without an answer
	OverCalm     float64 `json:"over_calm"`   // the rate, over the calm one
	AllCalledP99 float64 `json:"know_ms_p99"` // until 99 of 100 had asked after the phase began
}

// StartupRun is what came of one number of directors.
type StartupRun struct {
	Directors     int            `json:"directors"`
	Alone         bool           `json:"alone"` // without peers
	Simulated     bool           `json:"simulated"`
	Phases        []StartupPhase `json:"phases"`
	Memory        float64        `json:"memory_mb"`
	ListKnownP99  float64        `json:"know_list_ms_p99"`  // until 99 of 100 knew what had been told of nodes while the service was away, from its return
	EventKnownP99 float64        `json:"know_event_ms_p99"` // and of a purge
	NeverKnown    int            `json:"unknown"`           // of such things, that they never knew within its phase
	Crashes       int            `json:"crashes"`
	CrashReasons  string         `json:"why,omitempty"`
	ColdStart     ColdStart      `json:"cold"`
}

// ColdStart is what came of a start on cold caches under load.
type ColdStart struct {
	RulesBroken     int     `json:"rules_broken"`
	Lost            int     `json:"lost"`
	OverloadedNodes int     `json:"fallen"`
	Unfinished      int     `json:"unended"`
	Requests        int     `json:"asked"`
	SuccessShare    float64 `json:"fulfilled_share"`
	Recovery        float64 `json:"recovery_ms"`    // until nine tenths were fulfilled; -1: not in the phases
	PeakLoad        float64 `json:"cold_peak_load"` // over what pushes a cache over
}

// StartupResult is all of it.
type StartupResult struct {
	Runs            []StartupRun `json:"runs"`
	OutageOverCalm  float64      `json:"outage_over_calm"`
	ReturnPeakShare float64      `json:"back_peak_share"`
	ListKnownP99    float64      `json:"know_list_ms_p99"` // from the service's return
	EventKnownP99   float64      `json:"know_event_ms_p99"`
	PeakCallShare   float64      `json:"peak_calls_share"` // most in 100 ms at any time, over the directors
	PeakColdLoad    float64      `json:"cold_peak_load"`
	RulesBroken     int          `json:"rules_broken"`
	Lost            int          `json:"lost"`
	OverloadedNodes int          `json:"fallen"`
	Unfinished      int          `json:"unended"`
	Crashes         int          `json:"crashes"`
}

// Broken says what must not be.
func (r StartupResult) Broken() (all []string) {
	for _, x := range []struct {
		name string
		n    int
	}{{"rules_broken", r.RulesBroken}, {"lost", r.Lost}, {"fallen", r.OverloadedNodes}, {"unended", r.Unfinished}, {"crashes", r.Crashes}} {
		if x.n > 0 {
			all = append(all, fmt.Sprintf("%s %d", x.name, x.n))
		}
	}
	return all
}

// Execute plays it.
func (s *Startup) Execute(ctx context.Context) (out StartupResult, err error) {
	for _, n := range s.Directors {
		if n < 1 || n > 300 {
			return out, fmt.Errorf("--directors: %d is not from 1 to 300", n)
		}
	}
	for _, n := range s.Simulated {
		if n < 1 || n > maxSimulatedStartup {
			return out, fmt.Errorf("--simulated: %d is not from 1 to %d", n, maxSimulatedStartup)
		}
	}
	kinds := []bool{!s.Peers} // alone
	if s.Peers && s.CompareAlone {
		kinds = []bool{true, false}
	}
	counts, simulated := s.Directors, len(s.Simulated) > 0
	if simulated {
		counts = s.Simulated
	}
	for _, n := range counts {
		for _, alone := range kinds {
			var run StartupRun
			if simulated {
				run = simulateStartup(n, alone, s.Seed, s.capacity(), s.PhaseDuration)
			} else if run, err = s.playPhases(ctx, n, alone); err == nil {
				run.ColdStart, err = s.playColdStart(ctx, n, alone)
			}
			if err != nil {
				return out, err
			}
			if out.Runs = append(out.Runs, run); alone == s.Peers {
				continue // what is beside it is not what is looked at
			}
			for _, p := range run.Phases {
				switch p.Name {
				case "away", "hangs", "half answers", "away, come back in 5 s":
					out.OutageOverCalm = max(out.OutageOverCalm, p.OverCalm)
				case "back":
					out.ReturnPeakShare = max(out.ReturnPeakShare, p.PeakShare)
				}
				out.PeakCallShare = max(out.PeakCallShare, p.PeakShare)
			}
			out.ListKnownP99, out.EventKnownP99, out.Unfinished = max(out.ListKnownP99, run.ListKnownP99), max(out.EventKnownP99, run.EventKnownP99), out.Unfinished+run.NeverKnown
			out.Crashes, out.PeakColdLoad = out.Crashes+run.Crashes, max(out.PeakColdLoad, run.ColdStart.PeakLoad)
			out.RulesBroken, out.Lost, out.OverloadedNodes, out.Unfinished = out.RulesBroken+run.ColdStart.RulesBroken, out.Lost+run.ColdStart.Lost, out.OverloadedNodes+run.ColdStart.OverloadedNodes,
				out.Unfinished+run.ColdStart.Unfinished
		}
	}
	return out, nil
}

// playPhases starts directors at once and has the list service go through its phases. No client asks for anything.
func (s *Startup) playPhases(ctx context.Context, n int, alone bool) (run StartupRun, err error) {
	run.Directors, run.Alone = n, alone
	r, err := faulttest.New(faulttest.Spec{Argv: s.Argv, NoPeers: alone, CacheNodes: 4, WarmCaches: true, Log: s.Log}, faulttest.Schedule{Seed: s.Seed, Directors: n})
	if err != nil {
		return run, err
	}
	w := r.Cluster
	w.SetChannelCapacity(s.capacity())
	begun := w.Now()
	failed := r.Start(ctx)
	defer func() {
		run.Memory = math.Round(r.PeakMemoryMB()*10) / 10
		if failed = errors.Join(failed, r.Close()); failed != nil {
			run.Crashes, run.CrashReasons = strings.Count(failed.Error(), "\n")+1, failed.Error()
		}
	}()
	type told struct {
		at    time.Time
		shows func(faulttest.Entry) bool
		into  *float64
	}
	var news []told
	listed := func(e faulttest.Entry) bool {
		return e.Event == logevent.EndpointListRelayed || e.Event == logevent.DiscoveryEvents && e.Attributes["lists"] != "0"
	}
	purged := func(e faulttest.Entry) bool {
		return e.Event == logevent.GossipReceived || e.Event == logevent.DiscoveryEvents && e.Attributes["events"] != "0"
	}
	box := func(status string) func() {
		return func() { w.Nodes[0].Announce(status) }
	}
	away := func(how fakes.ChannelMode, back int, then func()) func() {
		return func() { w.SetChannelMode(how, back); then() }
	}
	back := func() {
		w.SetChannelMode(fakes.ChannelServing, 0)
		news = append(news, told{time.Now(), listed, &run.ListKnownP99})
	}
	phases := []channelPhase{{"start", nil}, {"calm", func() {}}}
	for _, f := range s.Faults {
		phases = append(phases, map[string][]channelPhase{
			"away":  {{"away", away(fakes.ChannelUnavailable, 0, box("draining"))}, {"back", back}},
			"retry": {{"away, come back in 5 s", away(fakes.ChannelUnavailable, 5, box("up"))}, {"back", back}},
			"hangs": {{"hangs", away(fakes.ChannelHanging, 0, box("draining"))}, {"back", back}},
			"half":  {{"half answers", away(fakes.ChannelTruncating, 0, box("up"))}, {"back", back}},
			"event": {{"an event", func() { news = append(news, told{time.Now(), purged, &run.EventKnownP99}); w.Purge("", 1) }}},
			"events": {{"an event every 200 ms", func() {
				for range int(s.PhaseDuration / (200 * time.Millisecond)) {
					w.Purge("", 2)
					fakes.Sleep(ctx, 200*time.Millisecond)
				}
			}}},
		}[f]...)
	}
	for _, p := range phases {
		from := w.Now()
		if p.begin == nil {
			from = begun
		} else {
			p.begin()
		}
		fakes.Sleep(ctx, s.PhaseDuration-(w.Now()-from))
		run.Phases = append(run.Phases, measurePhase(p.name, w.ChannelCalls(), from, w.Now(), n))
	}
	run.relateToCalm()
	entries := r.History.Entries()
	for _, t := range news {
		if took := faulttest.PropagationTime(entries, t.at, n, 0.99, t.shows); took < 0 {
			run.NeverKnown++
		} else {
			*t.into = max(*t.into, float64(took.Milliseconds()))
		}
	}
	return run, ctx.Err()
}

// relateToCalm sets each phase's rate against the calm one's.
func (r *StartupRun) relateToCalm() {
	for i := range r.Phases {
		r.Phases[i].OverCalm = ratio(r.Phases[i].CallRate, r.Phases[1].CallRate)
	}
}

// channelPhase is one of the list service's.
type channelPhase struct {
	name  string
	begin func()
}

// loadFaults are those that are played under load.
func (s *Startup) loadFaults(n int) (all []faulttest.Fault) {
	who := make([]int, n)
	for i := range who {
		who[i] = i
	}
	var groups [2][]int
	for i := range who {
		groups[i%2] = append(groups[i%2], i)
	}
	for _, f := range s.Faults {
		all = append(all, map[string][]faulttest.Fault{
			"seven":     {{Kind: faulttest.Kill, AtMS: 500, ForMS: 5000, Targets: who[:n*7/10]}},
			"followers": {{Kind: faulttest.KillDelegates, AtMS: 500, ForMS: 3000}},
			"halves":    {{Kind: faulttest.Partition, AtMS: 500, ForMS: 5000, Groups: groups[:]}, {Kind: faulttest.ChannelUnreachable, AtMS: 500, ForMS: 5000}},
			"move":      {{Kind: faulttest.ChannelMove, AtMS: 500}, {Kind: faulttest.Purge, AtMS: 1000}},
			"roll":      {{Kind: faulttest.RollingRestart, AtMS: 500, ForMS: 5000}, {Kind: faulttest.ReplaceCaches, AtMS: 500, ForMS: 5000}},
		}[f]...)
	}
	return all
}

// capacity is what the list service can do.
func (s *Startup) capacity() fakes.ChannelCapacity {
	c := fakes.ChannelCapacity{MaxWait: s.MaxAnswerDelay}
	if s.CallsPerSecond > 0 {
		c.PerCall = time.Duration(float64(time.Second) / s.CallsPerSecond)
	}
	if s.EventsPerSecond > 0 {
		c.PerEvent = time.Duration(float64(time.Second) / s.EventsPerSecond)
	}
	return c
}

// playColdStart starts as many on caches that are cold, under load from when they serve on.
func (s *Startup) playColdStart(ctx context.Context, n int, alone bool) (ColdStart, error) {
	schedule := faulttest.Schedule{Seed: s.Seed, Directors: n, Faults: s.loadFaults(n)}
	for _, f := range schedule.Faults {
		schedule.LengthMS = max(schedule.LengthMS, f.AtMS+f.ForMS+500)
	}
	o, err := faulttest.Run(ctx, faulttest.Spec{
		Argv: s.Argv, NoPeers: alone, CacheNodes: s.CacheNodes, Clients: s.Clients, LoadFactor: s.Load, LoadAfter: 3 * s.PhaseDuration / 2, Log: s.Log,
		EarlyClients: true, BeforeStart: func(r *faulttest.Harness) { r.Cluster.SetChannelCapacity(s.capacity()) },
	}, schedule, nil)
	return ColdStart{o.RuleViolations() + o.QuotaViolations, o.Lost, o.OverloadedNodes, boolean.Int(o.Incomplete), o.Requests, o.SuccessRate, o.RecoveryMS, o.ColdPeakLoad}, err
}

// measurePhase counts the calls of a phase.
func measurePhase(name string, calls []fakes.ChannelCall, from, to time.Duration, n int) StartupPhase {
	p := StartupPhase{Name: name}
	var at []time.Duration
	for _, c := range calls {
		if c.At >= from && c.At < to {
			at = append(at, c.At)
			p.Refused += boolean.Int(c.Refused)
		}
	}
	slices.Sort(at)
	p.CallRate = math.Round(float64(len(at))/(to-from).Seconds()*10) / 10
	for i := range at {
		j, _ := slices.BinarySearch(at, at[i]+100*time.Millisecond)
		p.PeakShare = max(p.PeakShare, ratio(float64(j-i), float64(n)))
	}
	if last := int(math.Ceil(0.99 * float64(n))); last <= len(at) {
		p.AllCalledP99 = float64((at[last-1] - from).Milliseconds())
	}
	return p
}

// Table is the result for people.
func (r StartupResult) Table() string {
	var b strings.Builder
	kind := func(alone bool) string {
		if alone {
			return "alone"
		}
		return "peers"
	}
	fmt.Fprintln(&b, "directors         phase                    calls/s  over calm  most in 100 ms  turned away")
	for _, run := range r.Runs {
		for _, p := range run.Phases {
			fmt.Fprintf(&b, "%9d  %s  %-24s %7.1f %10.2f %15.2f %12d\n", run.Directors, kind(run.Alone), p.Name, p.CallRate, p.OverCalm, p.PeakShare, p.Refused)
		}
	}
	fmt.Fprintln(&b, "directors         99% know of nodes, ms  of a purge  never  MB | cold caches under load: fulfilled  nine tenths after ms  "+
		"peak load  rules  lost  fallen  unended")
	for _, run := range r.Runs {
		c := run.ColdStart
		fmt.Fprintf(&b, "%9d  %s  %21.0f %11.0f %6d %3.0f | %33.4f %21.0f %10.3f %6d %5d %7d %8d\n", run.Directors, kind(run.Alone), run.ListKnownP99,
			run.EventKnownP99, run.NeverKnown, run.Memory, c.SuccessShare, c.Recovery, c.PeakLoad, c.RulesBroken, c.Lost, c.OverloadedNodes, c.Unfinished)
	}
	return b.String()
}
