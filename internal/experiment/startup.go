package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/fakes"
)

// Startup is the experiment `tallybench start`: many directors that start at the same time, and a
// command channel that is unavailable for some time. The directors are processes, or simulated.
type Startup struct {
	Directors       []int         `default:"40" help:"Numbers of directors."`
	Faults          []string      `default:"away,event" enum:"none,away,retry,hangs,half,event,events,seven,followers,halves,move,roll" help:"Faults: ${enum}. With away, retry, hangs and half the command channel answers 503, answers 503 with a retry time, hangs, or truncates its answers; event and events announce one event, or one every 200 ms; the others happen under load."`
	PhaseDuration   time.Duration `name:"phase" default:"2s" help:"Duration of each phase."`
	Peers           bool          `default:"true" negatable:"" help:"The directors form a cluster in which only a few of them poll the channel."`
	CompareAlone    bool          `name:"beside" default:"true" negatable:"" help:"Also run directors that form no cluster, for comparison."`
	CallsPerSecond  float64       `name:"service" default:"0" help:"Calls per second that the command channel can answer; 0: unlimited."`
	EventsPerSecond float64       `name:"lines" default:"0" help:"Events per second that the command channel can put into its answers; 0: unlimited."`
	MaxAnswerDelay  time.Duration `name:"patience" default:"500ms" help:"The command channel refuses calls whose answer would take longer."`
	Simulated       []int         `placeholder:"N,..." help:"Simulate these numbers of directors instead."`
	CacheNodes      int           `name:"boxes" default:"8" help:"Number of cache nodes, all cold, in the start under load."`
	Clients         int           `default:"300" help:"Number of clients in the start under load."`
	Load            float64       `default:"0.4" help:"Demand of these clients, relative to the capacity of warm caches."`
	Seed            uint64        `default:"1" help:"Seed of the random generators."`
	JSON            bool          `name:"json" help:"Print one JSON object."`
	DirectorPath    string        `name:"director" placeholder:"FILE" help:"Path of the director's executable; default: tallyproxy in this executable's folder."`

	Argv []string  `kong:"-"` // command line that starts a director
	Log  io.Writer `kong:"-"` // receives the directors' logs; nil for none
}

const (
	maxStartupDirectors = 300 // largest number of directors as processes
	maxSimulatedStartup = 20_000
	peakWindow          = 100 * time.Millisecond // window in which calls are counted for a peak
)

// StartupPhase is what the command channel observed in one phase.
type StartupPhase struct {
	// Event that began the phase.
	Name string `json:"name"`
	// Calls per second of all directors together.
	CallRate float64 `json:"calls_per_s"`
	// Largest number of calls in 100 ms, per director.
	PeakShare float64 `json:"peak_share"`
	// Calls that were refused.
	Refused int `json:"turned_away"`
	// CallRate relative to that of the phase "calm".
	RelativeRate float64 `json:"over_calm"`
	// Milliseconds until 0.99 calls per director had arrived; 0: they did not arrive.
	AllCalledP99 float64 `json:"know_ms_p99"`
}

// StartupRun is the result for one number of directors.
type StartupRun struct {
	// Number of directors that started at the same time.
	Directors int `json:"directors"`
	// The directors form no cluster.
	Alone bool `json:"alone"`
	// The run was in simulated time.
	Simulated bool `json:"simulated"`
	// The phases in chronological order.
	Phases []StartupPhase `json:"phases"`
	// Peak memory of any director.
	Memory float64 `json:"memory_mb"`
	// Milliseconds from the end of the outage until 99 % of the directors had the endpoint list
	// that changed during the outage.
	ListKnownP99 float64 `json:"know_list_ms_p99"`
	// Milliseconds from the announcement until 99 % of the directors knew of a purge.
	EventKnownP99 float64 `json:"know_event_ms_p99"`
	// Endpoint lists and purges that fewer than 99 % of the directors knew of at the end of the
	// phase.
	NeverKnown int `json:"unknown"`
	// Crashes of directors and other failures of the run.
	Crashes int `json:"crashes"`
	// One line for each crash.
	CrashReasons string `json:"why,omitempty"`
	// Result of the cold start; only with processes.
	ColdStart ColdStart `json:"cold"`
}

// ColdStart is the result of a start with cold caches under load.
type ColdStart struct {
	// Violations of rules on answers, copies, drains and processes.
	RulesBroken int `json:"rules_broken"`
	// Attempts that a director should have answered but did not.
	Lost int `json:"lost"`
	// Cache nodes that were overloaded.
	OverloadedNodes int `json:"fallen"`
	// 1 if the run did not complete.
	Unfinished int `json:"unended"`
	// Requests that ended.
	Requests int `json:"asked"`
	// Share of requests that succeeded.
	SuccessShare float64 `json:"fulfilled_share"`
	// Milliseconds until nine tenths of the requests succeeded; -1: never.
	Recovery float64 `json:"recovery_ms"`
	// Peak load of any cache node, relative to its overload threshold.
	PeakLoad float64 `json:"cold_peak_load"`
}

// StartupResult has all runs, and the worst values or the sums of the runs under test: with Peers
// those of clusters, else those of directors that form no cluster.
type StartupResult struct {
	// Includes the runs for comparison.
	Runs []StartupRun `json:"runs"`
	// Largest RelativeRate of a phase in which the channel was unavailable.
	OutageRelativeRate float64 `json:"outage_over_calm"`
	// Largest PeakShare of a phase in which the channel was available again.
	ReturnPeakShare float64 `json:"back_peak_share"`
	// Largest ListKnownP99 of any run, in milliseconds.
	ListKnownP99 float64 `json:"know_list_ms_p99"`
	// Largest EventKnownP99 of any run, in milliseconds.
	EventKnownP99 float64 `json:"know_event_ms_p99"`
	// Largest PeakShare of any phase.
	PeakCallShare float64 `json:"peak_calls_share"`
	// Largest PeakLoad of any cold start.
	PeakColdLoad float64 `json:"cold_peak_load"`
	// Violations of rules on answers, copies, drains and processes.
	RulesBroken int `json:"rules_broken"`
	// Attempts that a director should have answered but did not.
	Lost int `json:"lost"`
	// Cache nodes that were overloaded.
	OverloadedNodes int `json:"fallen"`
	// Cold starts that did not complete, plus NeverKnown.
	Unfinished int `json:"unended"`
	// Crashes of directors and other failures of the run.
	Crashes int `json:"crashes"`
}

// Broken returns the names and counts of the rules that were broken.
func (r StartupResult) Broken() []string {
	return countsAboveZero([]namedCount{
		{"rules_broken", r.RulesBroken}, {"lost", r.Lost}, {"fallen", r.OverloadedNodes}, {"unended", r.Unfinished}, {"crashes", r.Crashes},
	})
}

// Execute runs the experiment. It returns an error if the experiment could not be run; broken rules
// are part of the result.
func (s *Startup) Execute(ctx context.Context) (out StartupResult, err error) {
	if err := s.validate(); err != nil {
		return out, err
	}
	kinds := []bool{!s.Peers} // values of StartupRun.Alone to run
	if s.Peers && s.CompareAlone {
		kinds = []bool{true, false}
	}
	counts := s.Directors
	if len(s.Simulated) > 0 {
		counts = s.Simulated
	}
	for _, n := range counts {
		for _, alone := range kinds {
			run, err := s.runFleet(ctx, n, alone)
			if err != nil {
				return out, err
			}
			out.Runs = append(out.Runs, run)
			if alone != s.Peers {
				out.add(run)
			}
		}
	}
	return out, nil
}

func (s *Startup) validate() error {
	for _, n := range s.Directors {
		if n < 1 || n > maxStartupDirectors {
			return fmt.Errorf("--directors: %d is out of range, want 1 to %d", n, maxStartupDirectors)
		}
	}
	for _, n := range s.Simulated {
		if n < 1 || n > maxSimulatedStartup {
			return fmt.Errorf("--simulated: %d is out of range, want 1 to %d", n, maxSimulatedStartup)
		}
	}
	return nil
}

// runFleet runs the phases and, with processes, the start with cold caches.
func (s *Startup) runFleet(ctx context.Context, n int, alone bool) (run StartupRun, err error) {
	if len(s.Simulated) > 0 {
		return simulateStartup(n, alone, s.Seed, s.capacity(), s.PhaseDuration), nil
	}
	if run, err = s.runPhases(ctx, n, alone); err != nil {
		return run, err
	}
	run.ColdStart, err = s.runColdStart(ctx, n, alone)
	return run, err
}

// capacity returns the capacity of the command channel.
func (s *Startup) capacity() fakes.ChannelCapacity {
	capacity := fakes.ChannelCapacity{MaxWait: s.MaxAnswerDelay}
	if s.CallsPerSecond > 0 {
		capacity.PerCall = time.Duration(float64(time.Second) / s.CallsPerSecond)
	}
	if s.EventsPerSecond > 0 {
		capacity.PerEvent = time.Duration(float64(time.Second) / s.EventsPerSecond)
	}
	return capacity
}

// add adds a run to the worst values and the sums.
func (r *StartupResult) add(run StartupRun) {
	for _, phase := range run.Phases {
		switch phase.Name {
		case phaseUnavailable, phaseHanging, phaseTruncating, phaseRetryAfter:
			r.OutageRelativeRate = max(r.OutageRelativeRate, phase.RelativeRate)
		case phaseRestored:
			r.ReturnPeakShare = max(r.ReturnPeakShare, phase.PeakShare)
		}
		r.PeakCallShare = max(r.PeakCallShare, phase.PeakShare)
	}
	cold := run.ColdStart
	r.ListKnownP99 = max(r.ListKnownP99, run.ListKnownP99)
	r.EventKnownP99 = max(r.EventKnownP99, run.EventKnownP99)
	r.PeakColdLoad = max(r.PeakColdLoad, cold.PeakLoad)
	r.Crashes += run.Crashes
	r.RulesBroken += cold.RulesBroken
	r.Lost += cold.Lost
	r.OverloadedNodes += cold.OverloadedNodes
	r.Unfinished += run.NeverKnown + cold.Unfinished
}

// computeRelativeRates divides the rate of each phase by that of the second phase, which is the
// calm one.
func (r *StartupRun) computeRelativeRates() {
	for i := range r.Phases {
		r.Phases[i].RelativeRate = ratio(r.Phases[i].CallRate, r.Phases[1].CallRate)
	}
}

// measurePhase summarizes the calls of n directors in a phase.
func measurePhase(name string, calls []fakes.ChannelCall, from, to time.Duration, n int) StartupPhase {
	phase := StartupPhase{Name: name}
	var times []time.Duration
	for _, call := range calls {
		if call.At >= from && call.At < to {
			times = append(times, call.At)
			phase.Refused += boolean.Int(call.Refused)
		}
	}
	slices.Sort(times)
	phase.CallRate = math.Round(float64(len(times))/(to-from).Seconds()*10) / 10
	for i := range times {
		end, _ := slices.BinarySearch(times, times[i]+peakWindow)
		phase.PeakShare = max(phase.PeakShare, ratio(float64(end-i), float64(n)))
	}
	if last := int(math.Ceil(0.99 * float64(n))); last <= len(times) {
		phase.AllCalledP99 = float64((times[last-1] - from).Milliseconds())
	}
	return phase
}

// Table formats the result as text.
func (r StartupResult) Table() string {
	var b strings.Builder
	kind := func(alone bool) string {
		if alone {
			return "alone"
		}
		return "peers"
	}
	fmt.Fprintln(&b, "directors         phase                    calls/s  over calm  most in 100 ms      refused")
	for _, run := range r.Runs {
		for _, p := range run.Phases {
			fmt.Fprintf(&b, "%9d  %s  %-24s %7.1f %10.2f %15.2f %12d\n", run.Directors, kind(run.Alone), p.Name, p.CallRate, p.RelativeRate, p.PeakShare, p.Refused)
		}
	}
	fmt.Fprintln(&b, "directors         list known p99, ms    purge p99  never  MB | cold caches under load: succeeded          recovery ms  "+
		"peak load  rules  lost overload unended")
	for _, run := range r.Runs {
		c := run.ColdStart
		fmt.Fprintf(&b, "%9d  %s  %21.0f %11.0f %6d %3.0f | %33.4f %21.0f %10.3f %6d %5d %7d %8d\n", run.Directors, kind(run.Alone), run.ListKnownP99,
			run.EventKnownP99, run.NeverKnown, run.Memory, c.SuccessShare, c.Recovery, c.PeakLoad, c.RulesBroken, c.Lost, c.OverloadedNodes, c.Unfinished)
	}
	return b.String()
}
