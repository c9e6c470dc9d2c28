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

// Startup is the experiment `tallybench start`: many directors that start at once, and a command channel that is unavailable for a
// while. Directors are processes, or simulated.
type Startup struct {
	Directors       []int         `default:"40" help:"Directors."`
	Faults          []string      `default:"away,event" enum:"none,away,retry,hangs,half,event,events,seven,followers,halves,move,roll" help:"Faults: ${enum}. The command channel answers 503, answers 503 with a time to retry at, hangs, breaks off its answers; one event comes, or one every 200 ms; the others happen under load."`
	PhaseDuration   time.Duration `name:"phase" default:"2s" help:"Duration of each phase."`
	Peers           bool          `default:"true" negatable:"" help:"The directors form a cluster, in which few of them poll the channel."`
	CompareAlone    bool          `name:"beside" default:"true" negatable:"" help:"Run the same with directors that are on their own, for comparison."`
	CallsPerSecond  float64       `name:"service" default:"0" help:"Calls a second that the command channel can answer; 0: any."`
	EventsPerSecond float64       `name:"lines" default:"0" help:"Events a second that it can put into its answers; 0: any."`
	MaxAnswerDelay  time.Duration `name:"patience" default:"500ms" help:"It refuses calls whose answer would take longer."`
	Simulated       []int         `placeholder:"N,..." help:"Run so many directors in simulated time instead."`
	CacheNodes      int           `name:"boxes" default:"8" help:"Cache nodes of the start under load, which are cold."`
	Clients         int           `default:"300" help:"Clients of the start under load."`
	Load            float64       `default:"0.4" help:"Their demand, relative to the capacity of warm caches."`
	Seed            uint64        `default:"1" help:"Seed of the random generators."`
	JSON            bool          `name:"json" help:"Print one JSON object."`
	DirectorPath    string        `name:"director" placeholder:"FILE" help:"The director's program; by default tallyproxy beside this program."`

	Argv []string  `kong:"-"` // starts a director
	Log  io.Writer `kong:"-"` // of the directors; nil for none
}

const (
	maxStartupDirectors = 300 // as processes
	maxSimulatedStartup = 20_000
	peakWindow          = 100 * time.Millisecond // in which calls are counted for a peak
)

// StartupPhase is what the command channel saw of a fleet in one phase.
type StartupPhase struct {
	Name         string  `json:"name"`        // what began with it
	CallRate     float64 `json:"calls_per_s"` // of all directors
	PeakShare    float64 `json:"peak_share"`  // most calls in 100 ms, relative to the number of directors
	Refused      int     `json:"turned_away"` // calls that got no answer
	RelativeRate float64 `json:"over_calm"`   // CallRate, relative to the phase "calm"
	AllCalledP99 float64 `json:"know_ms_p99"` // ms until 0.99 calls a director had come; 0 for not
}

// StartupRun is the result of one number of directors.
type StartupRun struct {
	Directors     int            `json:"directors"`         // that started at once
	Alone         bool           `json:"alone"`             // the directors form no cluster
	Simulated     bool           `json:"simulated"`         // in simulated time
	Phases        []StartupPhase `json:"phases"`            // in the order of time
	Memory        float64        `json:"memory_mb"`         // most of any director
	ListKnownP99  float64        `json:"know_list_ms_p99"`  // ms from the channel's return until 99 % had the endpoint list that changed meanwhile
	EventKnownP99 float64        `json:"know_event_ms_p99"` // ms until 99 % knew a purge
	NeverKnown    int            `json:"unknown"`           // lists and purges that 99 % did not know by the end of the phase
	Crashes       int            `json:"crashes"`           // of directors, and other faults of the run
	CrashReasons  string         `json:"why,omitempty"`     // a line for each crash
	ColdStart     ColdStart      `json:"cold"`              // with processes only
}

// ColdStart is the result of a start on cold caches under load.
type ColdStart struct {
	RulesBroken     int     `json:"rules_broken"`    // of answers, copies, drains and processes
	Lost            int     `json:"lost"`            // attempts without the answer that a director owed
	OverloadedNodes int     `json:"fallen"`          // cache nodes
	Unfinished      int     `json:"unended"`         // 1 where the run did not come to its end
	Requests        int     `json:"asked"`           // that ended
	SuccessShare    float64 `json:"fulfilled_share"` // of requests
	Recovery        float64 `json:"recovery_ms"`     // until nine tenths of the requests succeeded; -1 for not
	PeakLoad        float64 `json:"cold_peak_load"`  // of any cache node, relative to what overloads it
}

// StartupResult has all runs, and the worst or the sum of those that the experiment is about: with Peers those of clusters, else those of
// directors on their own.
type StartupResult struct {
	Runs               []StartupRun `json:"runs"`              // those for comparison too
	OutageRelativeRate float64      `json:"outage_over_calm"`  // of a phase in which the channel was unavailable
	ReturnPeakShare    float64      `json:"back_peak_share"`   // of the phase in which it was back
	ListKnownP99       float64      `json:"know_list_ms_p99"`  // ms from the channel's return
	EventKnownP99      float64      `json:"know_event_ms_p99"` // ms
	PeakCallShare      float64      `json:"peak_calls_share"`  // of any phase
	PeakColdLoad       float64      `json:"cold_peak_load"`    // of any cold start
	RulesBroken        int          `json:"rules_broken"`      // of answers, copies, drains and processes
	Lost               int          `json:"lost"`              // attempts without the answer that a director owed
	OverloadedNodes    int          `json:"fallen"`            // cache nodes
	Unfinished         int          `json:"unended"`           // and what directors never knew
	Crashes            int          `json:"crashes"`           // of directors, and other faults of the run
}

// Broken names the rules that were broken, with counts.
func (r StartupResult) Broken() []string {
	return countsAboveZero([]namedCount{
		{"rules_broken", r.RulesBroken}, {"lost", r.Lost}, {"fallen", r.OverloadedNodes}, {"unended", r.Unfinished}, {"crashes", r.Crashes},
	})
}

// Execute runs the experiment. An error says that it could not be run; broken rules are in the result.
func (s *Startup) Execute(ctx context.Context) (out StartupResult, err error) {
	if err := s.validate(); err != nil {
		return out, err
	}
	kinds := []bool{!s.Peers} // of Alone
	if s.Peers && s.CompareAlone {
		kinds = []bool{true, false}
	}
	counts := s.Directors
	if len(s.Simulated) > 0 {
		counts = s.Simulated
	}
	for _, n := range counts {
		for _, alone := range kinds {
			run, err := s.playFleet(ctx, n, alone)
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
			return fmt.Errorf("--directors: %d is not from 1 to %d", n, maxStartupDirectors)
		}
	}
	for _, n := range s.Simulated {
		if n < 1 || n > maxSimulatedStartup {
			return fmt.Errorf("--simulated: %d is not from 1 to %d", n, maxSimulatedStartup)
		}
	}
	return nil
}

// playFleet plays the phases, and with processes the start on cold caches too.
func (s *Startup) playFleet(ctx context.Context, n int, alone bool) (run StartupRun, err error) {
	if len(s.Simulated) > 0 {
		return simulateStartup(n, alone, s.Seed, s.capacity(), s.PhaseDuration), nil
	}
	if run, err = s.playPhases(ctx, n, alone); err != nil {
		return run, err
	}
	run.ColdStart, err = s.playColdStart(ctx, n, alone)
	return run, err
}

// capacity is what the command channel can do.
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

// add takes a run into the worst values and the sums.
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

// computeRelativeRates sets each phase's rate in relation to that of the second phase, which is the calm one.
func (r *StartupRun) computeRelativeRates() {
	for i := range r.Phases {
		r.Phases[i].RelativeRate = ratio(r.Phases[i].CallRate, r.Phases[1].CallRate)
	}
}

// measurePhase counts the calls of n directors in a phase.
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

// Table is the result as text.
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
