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

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
	"tallyproxy/internal/logevent"
)

// Start is what `tallybench start` plays: many directors as processes that start at once, and a list service that is away for a while.
type Start struct {
	Directors  []int         `default:"40" help:"Directors."`
	Faults     []string      `default:"away,event" enum:"none,away,retry,hangs,half,event,events,seven,followers,halves,move,roll" help:"What goes wrong: ${enum}. The list service answers 503, with a time to come back, hangs, breaks answers off; an event comes, one every 200 ms; the rest under load."`
	Phase      time.Duration `default:"2s" help:"How long each phase goes on."`
	Peers      bool          `default:"true" negatable:"" help:"Directors that know each other."`
	Beside     bool          `default:"true" negatable:"" help:"The same with directors that don't, beside it."`
	Service    float64       `default:"0" help:"Answers a second that the list service can give; 0 for any."`
	Lines      float64       `default:"0" help:"Events a second that it can put into them; 0 for any."`
	Patience   time.Duration `default:"500ms" help:"It turns calls away whose answer would take longer."`
	Simulated  []int         `placeholder:"N,..." help:"Directors in simulated time instead, with the modules that decide."`
	Boxes      int           `default:"8" help:"Caches, cold ones, there."`
	Clients    int           `default:"300" help:"Clients there."`
	Load       float64       `default:"0.4" help:"What they ask for, over what warm caches can do."`
	Seed       uint64        `default:"1" help:"Of the world."`
	JSON       bool          `name:"json" help:"Print one JSON object."`
	DirectorAt string        `name:"director" placeholder:"FILE" help:"The director's program; by default the one beside this."`

	Argv []string  `kong:"-"`
	Log  io.Writer `kong:"-"`
}

// mostSimulated is how many directors a fleet in simulated time may have.
const mostSimulated = 20_000

// Phase is what the list service saw of a fleet in one.
type Phase struct {
	Name string  `json:"name"`
	Rate float64 `json:"calls_per_s"` // of all directors
	Peak float64 `json:"peak_share"`  // most calls in 100 ms, over the directors
	Away int     `json:"turned_away"` // calls without an answer
	Over float64 `json:"over_calm"`   // the rate, over the calm one
	Know float64 `json:"know_ms_p99"` // until 99 of 100 had asked after the phase began
}

// StartRun is what came of one number of directors.
type StartRun struct {
	Directors int     `json:"directors"`
	Alone     bool    `json:"alone"` // without peers
	Simulated bool    `json:"simulated"`
	Phases    []Phase `json:"phases"`
	Memory    float64 `json:"memory_mb"`
	List      float64 `json:"know_list_ms_p99"`  // until 99 of 100 knew what had been told of nodes while the service was away, from its return
	Event     float64 `json:"know_event_ms_p99"` // and of a purge
	Unknown   int     `json:"unknown"`           // of such things, that they never knew within its phase
	Crashes   int     `json:"crashes"`
	Why       string  `json:"why,omitempty"`
	Cold      Cold    `json:"cold"`
}

// Cold is what came of a start on cold caches under load.
type Cold struct {
	Rules    int     `json:"rules_broken"`
	Lost     int     `json:"lost"`
	Fallen   int     `json:"fallen"`
	Unended  int     `json:"unended"`
	Asked    int     `json:"asked"`
	Share    float64 `json:"fulfilled_share"`
	Recovery float64 `json:"recovery_ms"`    // until nine tenths were fulfilled; -1: not in the phases
	Peak     float64 `json:"cold_peak_load"` // over what pushes a cache over
}

// StartResult is all of it.
type StartResult struct {
	Runs    []StartRun `json:"runs"`
	Outage  float64    `json:"outage_over_calm"`
	Back    float64    `json:"back_peak_share"`
	Know    float64    `json:"know_list_ms_p99"` // from the service's return
	Event   float64    `json:"know_event_ms_p99"`
	Calls   float64    `json:"peak_calls_share"` // most in 100 ms at any time, over the directors
	Peak    float64    `json:"cold_peak_load"`
	Rules   int        `json:"rules_broken"`
	Lost    int        `json:"lost"`
	Fallen  int        `json:"fallen"`
	Unended int        `json:"unended"`
	Crashes int        `json:"crashes"`
}

// Broken says what must not be.
func (r StartResult) Broken() (all []string) {
	for _, x := range []struct {
		name string
		n    int
	}{{"rules_broken", r.Rules}, {"lost", r.Lost}, {"fallen", r.Fallen}, {"unended", r.Unended}, {"crashes", r.Crashes}} {
		if x.n > 0 {
			all = append(all, fmt.Sprintf("%s %d", x.name, x.n))
		}
	}
	return all
}

// Play plays it.
func (s *Start) Play(ctx context.Context) (out StartResult, err error) {
	for _, n := range s.Directors {
		if n < 1 || n > 300 {
			return out, fmt.Errorf("--directors: %d is not from 1 to 300", n)
		}
	}
	for _, n := range s.Simulated {
		if n < 1 || n > mostSimulated {
			return out, fmt.Errorf("--simulated: %d is not from 1 to %d", n, mostSimulated)
		}
	}
	kinds := []bool{!s.Peers} // alone
	if s.Peers && s.Beside {
		kinds = []bool{true, false}
	}
	counts, simulated := s.Directors, len(s.Simulated) > 0
	if simulated {
		counts = s.Simulated
	}
	for _, n := range counts {
		for _, alone := range kinds {
			var run StartRun
			if simulated {
				run = simulateStart(n, alone, s.Seed, s.capacity(), s.Phase)
			} else if run, err = s.play(ctx, n, alone); err == nil {
				run.Cold, err = s.cold(ctx, n, alone)
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
					out.Outage = max(out.Outage, p.Over)
				case "back":
					out.Back = max(out.Back, p.Peak)
				}
				out.Calls = max(out.Calls, p.Peak)
			}
			out.Know, out.Event, out.Unended = max(out.Know, run.List), max(out.Event, run.Event), out.Unended+run.Unknown
			out.Crashes, out.Peak = out.Crashes+run.Crashes, max(out.Peak, run.Cold.Peak)
			out.Rules, out.Lost, out.Fallen, out.Unended = out.Rules+run.Cold.Rules, out.Lost+run.Cold.Lost, out.Fallen+run.Cold.Fallen,
				out.Unended+run.Cold.Unended
		}
	}
	return out, nil
}

// play starts directors at once and has the list service go through its phases. No client asks for anything.
func (s *Start) play(ctx context.Context, n int, alone bool) (run StartRun, err error) {
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
			run.Crashes, run.Why = strings.Count(failed.Error(), "\n")+1, failed.Error()
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
		news = append(news, told{time.Now(), listed, &run.List})
	}
	phases := []phase{{"start", nil}, {"calm", func() {}}}
	for _, f := range s.Faults {
		phases = append(phases, map[string][]phase{
			"away":  {{"away", away(fakes.ChannelUnavailable, 0, box("draining"))}, {"back", back}},
			"retry": {{"away, come back in 5 s", away(fakes.ChannelUnavailable, 5, box("up"))}, {"back", back}},
			"hangs": {{"hangs", away(fakes.ChannelHanging, 0, box("draining"))}, {"back", back}},
			"half":  {{"half answers", away(fakes.ChannelTruncating, 0, box("up"))}, {"back", back}},
			"event": {{"an event", func() { news = append(news, told{time.Now(), purged, &run.Event}); w.Purge("", 1) }}},
			"events": {{"an event every 200 ms", func() {
				for range int(s.Phase / (200 * time.Millisecond)) {
					w.Purge("", 2)
					fakes.Sleep(ctx, 200*time.Millisecond)
				}
			}}},
		}[f]...)
	}
	for _, p := range phases {
		from := w.Now()
		if p.do == nil {
			from = begun
		} else {
			p.do()
		}
		fakes.Sleep(ctx, s.Phase-(w.Now()-from))
		run.Phases = append(run.Phases, measure(p.name, w.ChannelCalls(), from, w.Now(), n))
	}
	run.over()
	entries := r.History.Entries()
	for _, t := range news {
		if took := faulttest.PropagationTime(entries, t.at, n, 0.99, t.shows); took < 0 {
			run.Unknown++
		} else {
			*t.into = max(*t.into, float64(took.Milliseconds()))
		}
	}
	return run, ctx.Err()
}

// over sets each phase's rate against the calm one's.
func (r *StartRun) over() {
	for i := range r.Phases {
		r.Phases[i].Over = share(r.Phases[i].Rate, r.Phases[1].Rate)
	}
}

// phase is one of the list service's.
type phase struct {
	name string
	do   func()
}

// faults are those that are played under load.
func (s *Start) faults(n int) (all []faulttest.Fault) {
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
func (s *Start) capacity() fakes.ChannelCapacity {
	c := fakes.ChannelCapacity{MaxWait: s.Patience}
	if s.Service > 0 {
		c.PerCall = time.Duration(float64(time.Second) / s.Service)
	}
	if s.Lines > 0 {
		c.PerEvent = time.Duration(float64(time.Second) / s.Lines)
	}
	return c
}

// cold starts as many on caches that are cold, under load from when they serve on.
func (s *Start) cold(ctx context.Context, n int, alone bool) (Cold, error) {
	schedule := faulttest.Schedule{Seed: s.Seed, Directors: n, Faults: s.faults(n)}
	for _, f := range schedule.Faults {
		schedule.LengthMS = max(schedule.LengthMS, f.AtMS+f.ForMS+500)
	}
	o, err := faulttest.Run(ctx, faulttest.Spec{
		Argv: s.Argv, NoPeers: alone, CacheNodes: s.Boxes, Clients: s.Clients, LoadFactor: s.Load, LoadAfter: 3 * s.Phase / 2, Log: s.Log,
		EarlyClients: true, BeforeStart: func(r *faulttest.Harness) { r.Cluster.SetChannelCapacity(s.capacity()) },
	}, schedule, nil)
	return Cold{o.RuleViolations() + o.QuotaViolations, o.Lost, o.OverloadedNodes, bit(o.Incomplete), o.Requests, o.SuccessRate, o.RecoveryMS, o.ColdPeakLoad}, err
}

// measure counts the calls of a phase.
func measure(name string, calls []fakes.ChannelCall, from, to time.Duration, n int) Phase {
	p := Phase{Name: name}
	var at []time.Duration
	for _, c := range calls {
		if c.At >= from && c.At < to {
			at = append(at, c.At)
			p.Away += bit(c.Refused)
		}
	}
	slices.Sort(at)
	p.Rate = math.Round(float64(len(at))/(to-from).Seconds()*10) / 10
	for i := range at {
		j, _ := slices.BinarySearch(at, at[i]+100*time.Millisecond)
		p.Peak = max(p.Peak, share(float64(j-i), float64(n)))
	}
	if last := int(math.Ceil(0.99 * float64(n))); last <= len(at) {
		p.Know = float64((at[last-1] - from).Milliseconds())
	}
	return p
}

// Table is the result for people.
func (r StartResult) Table() string {
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
			fmt.Fprintf(&b, "%9d  %s  %-24s %7.1f %10.2f %15.2f %12d\n", run.Directors, kind(run.Alone), p.Name, p.Rate, p.Over, p.Peak, p.Away)
		}
	}
	fmt.Fprintln(&b, "directors         99% know of nodes, ms  of a purge  never  MB | cold caches under load: fulfilled  nine tenths after ms  "+
		"peak load  rules  lost  fallen  unended")
	for _, run := range r.Runs {
		c := run.Cold
		fmt.Fprintf(&b, "%9d  %s  %21.0f %11.0f %6d %3.0f | %33.4f %21.0f %10.3f %6d %5d %7d %8d\n", run.Directors, kind(run.Alone), run.List,
			run.Event, run.Unknown, run.Memory, c.Share, c.Recovery, c.Peak, c.Rules, c.Lost, c.Fallen, c.Unended)
	}
	return b.String()
}
