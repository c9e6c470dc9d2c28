package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/faulttest"
)

// Membership is what `tallybench peers` plays: directors that know each other, and faults between them.
type Membership struct {
	Directors         []int    `name:"instances" default:"5" help:"Directors, as processes."`
	Faults            []string `default:"seven" enum:"none,oneway,halves,thirds,stop,restart,seven,zone,away,flap,twin,loss,liar,term,drawn" help:"What goes wrong: ${enum}."`
	Simulated         []int    `placeholder:"N,..." help:"Directors in simulated time instead, with the modules that decide and a detector that is late and wrong."`
	Detectors         []int    `name:"together" placeholder:"N,..." help:"Detectors alone, in one process and by the clock, instead: how long until all know of deaths."`
	Slowdown          int      `name:"slow" default:"1" help:"All of that so many times slower, for more detectors than the machine has processors for; times are told divided by it."`
	Schedules         int      `default:"1" help:"Schedules of each."`
	OnlySchedule      int      `name:"only" default:"-1" help:"The schedule of this number alone."`
	ScheduleFile      string   `name:"schedule" placeholder:"FILE" help:"A schedule as it was printed, instead."`
	Shrink            bool     `help:"Make a schedule that fails short, and print it."`
	CompareFixedQuota bool     `name:"beside" help:"The same with fixed parts, beside it."`
	Seed              uint64   `default:"1" help:"Of schedules, clients and objects."`
	CacheNodes        int      `name:"boxes" default:"8" help:"Caches."`
	Clients           int      `default:"200" help:"Clients."`
	Load              float64  `default:"0.4" help:"What clients ask for, over what warm caches can do."`
	PrintHistory      bool     `name:"history" help:"Print what every process saw and did."`
	JSON              bool     `name:"json" help:"Print one JSON object."`
	DirectorPath      string   `name:"director" placeholder:"FILE" help:"The director's program; by default the one beside this."`

	Argv []string  `kong:"-"`
	Log  io.Writer `kong:"-"`
}

// MembershipRun is what came of one number of directors under one kind of fault.
type MembershipRun struct {
	Directors       int            `json:"instances"`
	Faults          string         `json:"faults"`
	Simulated       bool           `json:"simulated"`
	Schedules       int            `json:"schedules"`
	RulesBroken     int            `json:"rules_broken"`
	Lost            int            `json:"lost"`
	QuotaExceeded   int            `json:"parts_over"`
	OverloadedNodes int            `json:"fallen"`
	Unfinished      int            `json:"unended"`
	PeakQuotaSum    float64        `json:"parts_peak"`
	DetectionP50    float64        `json:"know_death_ms_p50"`
	DetectionP99    float64        `json:"know_death_ms_p99"`
	ConvergenceP99  float64        `json:"one_view_ms_p99"`
	FalseFailures   float64        `json:"wrongly_failed_per_hour"` // of a director
	FalseSuspicions float64        `json:"wrongly_suspected_per_hour"`
	Packets         float64        `json:"packets_per_s"`
	Bytes           float64        `json:"bytes_per_s"`
	Memory          float64        `json:"memory_mb"`
	SuccessShare    float64        `json:"fulfilled_share"`
	Recovery        float64        `json:"recovery_ms"`
	Series          []float64      `json:"series"` // of the last schedule, see rig.Outcome
	PeakColdLoad    float64        `json:"cold_peak_load"`
	FixedQuota      *MembershipRun `json:"fixed,omitempty"` // the same with fixed parts
	Failing         []string       `json:"failing,omitempty"`
	Reasons         []string       `json:"why,omitempty"`
	detections      []float64      // ms
	convergences    []float64      //
	hours           float64        //
	falseFailures   int            //
	falseSuspicions int            //
}

// MembershipResult is all of it; the sums are what the exit code goes by.
type MembershipResult struct {
	Runs            []*MembershipRun `json:"runs"`
	RulesBroken     int              `json:"rules_broken"`
	Lost            int              `json:"lost"`
	QuotaExceeded   int              `json:"parts_over"`
	OverloadedNodes int              `json:"fallen"`
	Schedules       int              `json:"schedules"`
	Unfinished      int              `json:"unended"`
	DetectionP99    float64          `json:"know_death_ms_p99"`
}

// Broken says what must not be.
func (r MembershipResult) Broken() (all []string) {
	for _, x := range []struct {
		name string
		n    int
	}{{"rules_broken", r.RulesBroken}, {"lost", r.Lost}, {"parts_over", r.QuotaExceeded}, {"fallen", r.OverloadedNodes}, {"unended", r.Unfinished}} {
		if x.n > 0 {
			all = append(all, fmt.Sprintf("%s %d", x.name, x.n))
		}
	}
	return all
}

// NamedSchedule is the schedule of a kind of fault for so many directors.
func NamedSchedule(kind string, seed uint64, number, n int) faulttest.Schedule {
	s := faulttest.Schedule{Seed: seed, Number: number, Directors: n, LengthMS: 8000}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	parts := func(k int) (groups [][]int) {
		groups = make([][]int, k)
		for i := range n {
			groups[i%k] = append(groups[i%k], i)
		}
		return groups
	}
	boxes := make([]int, 64) // all of them
	for i := range boxes {
		boxes[i] = i
	}
	switch kind {
	case "oneway":
		s.Faults = []faulttest.Fault{{Kind: faulttest.CutLinks, AtMS: 500, ForMS: 6000, Targets: all[:n/2], Peers: all[n/2:]}}
	case "halves", "thirds":
		k := map[string]int{"halves": 2, "thirds": 3}[kind]
		s.Faults = []faulttest.Fault{{Kind: faulttest.Partition, AtMS: 500, ForMS: 6000, Groups: parts(k)}, {Kind: faulttest.ColdCaches, AtMS: 4000, Targets: boxes}}
	case "stop":
		s.Faults = []faulttest.Fault{{Kind: faulttest.Pause, AtMS: 500, ForMS: 6000, Targets: all[:1]}, {Kind: faulttest.ColdCaches, AtMS: 1500, Targets: boxes}}
	case "restart":
		s.Faults = []faulttest.Fault{{Kind: faulttest.Restart, AtMS: 500, Targets: all[:(n+2)/3]}}
	case "seven":
		s.LengthMS = 14000
		s.Faults = []faulttest.Fault{{Kind: faulttest.Kill, AtMS: 500, ForMS: 13000, Targets: all[:n*7/10]}, {Kind: faulttest.ColdCaches, AtMS: 4000, Targets: boxes}}
	case "away":
		s.Faults = []faulttest.Fault{{Kind: faulttest.ChannelUnreachable, AtMS: 500, ForMS: 6000}, {Kind: faulttest.Drain, AtMS: 1500, ForMS: 6500}, {Kind: faulttest.Purge, AtMS: 2000}}
	case "zone":
		s.LengthMS = 14000
		left := slices.DeleteFunc(boxes, func(i int) bool { return i%2 == 1 }) // those of the location that is left
		s.Faults = []faulttest.Fault{{Kind: faulttest.ZoneLoss, AtMS: 500, ForMS: 13000, Targets: []int{1}}, {Kind: faulttest.ColdCaches, AtMS: 4000, Targets: left}}
	case "flap":
		s.Faults = []faulttest.Fault{{Kind: faulttest.FlappingLinks, AtMS: 500, ForMS: 6000, Targets: all[:n/2], Peers: all[n/2:]}}
	case "twin":
		s.Faults = []faulttest.Fault{{Kind: faulttest.DuplicateInstance, AtMS: 500, ForMS: 6000, Targets: all[:1]}}
	case "loss":
		s.Faults = []faulttest.Fault{{Kind: faulttest.LossyLinks, AtMS: 0, ForMS: 8000, Rate: 0.05}, {Kind: faulttest.BusyCores, AtMS: 0, ForMS: 8000, Rate: 8}}
	case "liar":
		s.Faults = []faulttest.Fault{{Kind: faulttest.FalseHints, AtMS: 500, ForMS: 6000}}
	case "term":
		s.Faults = []faulttest.Fault{{Kind: faulttest.Partition, AtMS: 500, ForMS: 6000, Groups: parts(2)}, {Kind: faulttest.Terminate, AtMS: 2500, ForMS: 3000, Targets: all[:(n+2)/3]}}
	case "drawn":
		return faulttest.RandomSchedule(seed, number, n, s.LengthMS)
	}
	return s
}

// Execute plays it. An error is for what could not be played; broken rules stand in the result.
func (p *Membership) Execute(ctx context.Context) (out MembershipResult, err error) {
	var deaths []float64
	for _, n := range p.Detectors {
		for _, g := range []DetectorTrial{{n, 1, min(10, n-2), p.Slowdown}, {n, min(n*7/10, n-2), 1, p.Slowdown}} {
			run, err := g.Execute(ctx)
			if err != nil {
				return out, err
			}
			out.Runs, deaths = append(out.Runs, run), append(deaths, run.detections...)
			out.Schedules, out.Unfinished, out.DetectionP99 = out.Schedules+1, out.Unfinished+run.Unfinished, quantile(deaths, 0.99)
		}
	}
	if len(p.Detectors) > 0 {
		return out, nil
	}
	for _, kind := range p.Faults {
		counts, simulated := p.Directors, false
		if len(p.Simulated) > 0 {
			counts, simulated = p.Simulated, true
		}
		for _, n := range counts {
			if n < 2 || n > 300 && !simulated || n > maxSimulatedDirectors {
				return out, fmt.Errorf("--instances, --simulated: %d is not from 2 to 300, or %d in simulated time", n, maxSimulatedDirectors)
			}
			run := &MembershipRun{Directors: n, Faults: kind, Simulated: simulated}
			if p.CompareFixedQuota && !simulated {
				run.FixedQuota = &MembershipRun{Directors: n, Faults: kind}
			}
			for number := range p.Schedules {
				if p.OnlySchedule >= 0 && number != p.OnlySchedule && p.OnlySchedule < p.Schedules {
					continue
				}
				s := NamedSchedule(kind, p.Seed, number, n)
				if p.OnlySchedule >= p.Schedules {
					s = NamedSchedule(kind, p.Seed, p.OnlySchedule, n)
				}
				if p.ScheduleFile != "" {
					if s, err = p.readSchedule(); err != nil {
						return out, err
					}
					run.Directors = s.Directors
				}
				if err := p.playSchedule(ctx, run, s, simulated); err != nil {
					return out, err
				}
			}
			run.summarize()
			out.Runs, deaths = append(out.Runs, run), append(deaths, run.detections...)
			out.RulesBroken, out.Lost, out.QuotaExceeded, out.OverloadedNodes = out.RulesBroken+run.RulesBroken, out.Lost+run.Lost, out.QuotaExceeded+run.QuotaExceeded, out.OverloadedNodes+run.OverloadedNodes
			out.Schedules, out.Unfinished = out.Schedules+run.Schedules, out.Unfinished+run.Unfinished
		}
	}
	out.DetectionP99 = quantile(deaths, 0.99)
	return out, nil
}

func (p *Membership) readSchedule() (s faulttest.Schedule, err error) {
	raw, err := os.ReadFile(p.ScheduleFile)
	if err == nil {
		err = json.Unmarshal(raw, &s)
	}
	if err == nil {
		err = s.Validate()
	}
	if err != nil {
		err = fmt.Errorf("--schedule: %s: %w", p.ScheduleFile, err)
	}
	return s, err
}

// playSchedule plays one schedule, and where it fails and that is wanted, shorter ones.
func (p *Membership) playSchedule(ctx context.Context, run *MembershipRun, s faulttest.Schedule, simulated bool) error {
	run.Schedules++
	if simulated {
		r := simulateMembership(s)
		run.PeakQuotaSum, run.QuotaExceeded = max(run.PeakQuotaSum, r.PeakQuotaSum), run.QuotaExceeded+r.QuotaExceeded
		run.convergences, run.Packets = append(run.convergences, float64(r.Convergence)/1000), r.MessageRate
		if run.Unfinished += boolean.Int(r.Unfinished); r.QuotaExceeded > 0 || r.Unfinished {
			p.recordFailure(run, s, func(s faulttest.Schedule) bool {
				r := simulateMembership(s)
				return r.QuotaExceeded > 0 || r.Unfinished
			})
		}
		return nil
	}
	o, err := faulttest.Run(ctx, p.spec(false), s, nil)
	if err != nil {
		return err
	}
	run.add(o)
	if p.PrintHistory {
		fmt.Fprint(os.Stderr, o.History)
	}
	if len(o.Violations()) > 0 {
		run.Reasons = append(run.Reasons, fmt.Sprint(o.Violations(), o.LostReasons, o.CrashDetail))
		p.recordFailure(run, s, func(s faulttest.Schedule) bool {
			o, err := faulttest.Run(ctx, p.spec(false), s, nil)
			return err == nil && len(o.Violations()) > 0
		})
	}
	if run.FixedQuota != nil {
		run.FixedQuota.Schedules++
		if o, err = faulttest.Run(ctx, p.spec(true), s, nil); err != nil {
			return err
		}
		run.FixedQuota.add(o)
	}
	return nil
}

const maxShrinkRuns = 24 // of shorter schedules

func (p *Membership) recordFailure(run *MembershipRun, s faulttest.Schedule, fails func(faulttest.Schedule) bool) {
	if len(run.Failing) >= 8 {
		return
	}
	if p.Shrink {
		s = faulttest.Shrink(s, maxShrinkRuns, fails)
	}
	run.Failing = append(run.Failing, s.String())
}

func (p *Membership) spec(alone bool) faulttest.Spec {
	return faulttest.Spec{
		Argv: p.Argv, NoPeers: alone, CacheNodes: p.CacheNodes, Clients: p.Clients, LoadFactor: p.Load, WarmCaches: true, LoadBefore: time.Second,
		LoadAfter: 2 * time.Second, Log: p.Log,
	}
}

func (r *MembershipRun) add(o faulttest.Outcome) {
	r.Lost, r.QuotaExceeded, r.OverloadedNodes, r.Unfinished = r.Lost+o.Lost, r.QuotaExceeded+o.QuotaViolations, r.OverloadedNodes+o.OverloadedNodes, r.Unfinished+boolean.Int(o.Incomplete)
	r.RulesBroken += o.RuleViolations()
	r.PeakQuotaSum, r.PeakColdLoad, r.Memory = max(r.PeakQuotaSum, o.QuotaPeak[0], o.QuotaPeak[1]), max(r.PeakColdLoad, o.ColdPeakLoad), max(r.Memory, o.MemoryMB)
	r.detections, r.convergences = append(r.detections, o.DetectionMS...), append(r.convergences, o.ConvergenceMS)
	r.hours, r.falseFailures, r.falseSuspicions = r.hours+o.DirectorHours, r.falseFailures+o.FalseFailures, r.falseSuspicions+o.FalseSuspicions
	n := float64(r.Schedules)
	mean := func(old, now float64) float64 { return (old*(n-1) + now) / n }
	r.Packets, r.Bytes, r.SuccessShare = mean(r.Packets, o.PacketsPerSecond), mean(r.Bytes, o.BytesPerSecond), mean(r.SuccessShare, o.SuccessRate)
	r.Series = o.SuccessSeries
	if r.Recovery = max(r.Recovery, o.RecoveryMS); o.RecoveryMS < 0 {
		r.Recovery = -1
	}
}

func (r *MembershipRun) summarize() {
	r.DetectionP50, r.DetectionP99, r.ConvergenceP99 = quantile(r.detections, 0.5), quantile(r.detections, 0.99), quantile(r.convergences, 0.99)
	if r.hours > 0 {
		r.FalseFailures, r.FalseSuspicions = float64(r.falseFailures)/r.hours, float64(r.falseSuspicions)/r.hours
	}
	if r.FixedQuota != nil {
		r.FixedQuota.summarize()
	}
}
