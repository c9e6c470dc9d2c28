package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/faulttest"
)

// Membership is the experiment `tallybench peers`: directors that form a cluster, and faults
// between them. The directors are processes, or simulated, or only failure detectors.
type Membership struct {
	Directors         []int    `name:"instances" default:"5" help:"Numbers of directors, which run as processes."`
	Faults            []string `default:"seven" enum:"none,oneway,halves,thirds,stop,restart,seven,zone,away,flap,twin,loss,liar,term,drawn" help:"Kinds of fault: ${enum}."`
	Simulated         []int    `placeholder:"N,..." help:"Simulate these numbers of directors instead, with a failure detector that is late and sometimes wrong."`
	Detectors         []int    `name:"together" placeholder:"N,..." help:"Run only these numbers of failure detectors instead, in one process and in real time, and measure how long it takes until all know of a failure."`
	Slowdown          int      `name:"slow" default:"1" help:"Factor by which detectors run slower, for more of them than the machine has CPUs for; times in the result are divided by it."`
	Schedules         int      `default:"1" help:"Number of schedules for each size and kind of fault."`
	OnlySchedule      int      `name:"only" default:"-1" help:"Run only the schedule of this number."`
	ScheduleFile      string   `name:"schedule" placeholder:"FILE" help:"Run the schedule in this file instead; the file has the JSON of a printed schedule."`
	Shrink            bool     `help:"Shorten a schedule that fails, and print the shortest one that still fails."`
	CompareFixedQuota bool     `name:"beside" help:"Also run each schedule with fixed quotas, for comparison."`
	Seed              uint64   `default:"1" help:"Seed of schedules, clients and objects."`
	CacheNodes        int      `name:"boxes" default:"8" help:"Number of cache nodes."`
	Clients           int      `default:"200" help:"Number of clients."`
	Load              float64  `default:"0.4" help:"Demand of the clients, relative to the capacity of warm caches."`
	PrintHistory      bool     `name:"history" help:"Print the log and the events of every process."`
	JSON              bool     `name:"json" help:"Print one JSON object."`
	DirectorPath      string   `name:"director" placeholder:"FILE" help:"Path of the director's executable; default: tallyproxy in this executable's folder."`

	Argv []string  `kong:"-"` // command line that starts a director
	Log  io.Writer `kong:"-"` // receives the directors' logs; nil for none
}

const (
	maxDirectors   = 300 // largest number of directors as processes
	maxShrinkRuns  = 24  // largest number of runs to shorten a schedule
	maxFailing     = 8   // largest number of failing schedules in a result
	recoveryFailed = -1  // value of MembershipRun.Recovery if requests did not recover
)

// MembershipRun is the result for one number of directors and one kind of fault. Without processes
// only some of the values are measured.
type MembershipRun struct {
	// Number of directors in the cluster.
	Directors int `json:"instances"`
	// Kind of the faults.
	Faults string `json:"faults"`
	// The run was in simulated time.
	Simulated bool `json:"simulated"`
	// Schedules that were run.
	Schedules int `json:"schedules"`
	// Violations of rules on answers, copies, drains and processes.
	RulesBroken int `json:"rules_broken"`
	// Attempts that a director should have answered but did not.
	Lost int `json:"lost"`
	// Observations of a sum of quotas above its bound.
	QuotaExceeded int `json:"parts_over"`
	// Cache nodes that were overloaded.
	OverloadedNodes int `json:"fallen"`
	// Schedules without a common view at their end.
	Unfinished int `json:"unended"`
	// Largest sum of quotas.
	PeakQuotaSum float64 `json:"parts_peak"`
	// Median of the milliseconds until all directors knew of a failure.
	DetectionP50 float64 `json:"know_death_ms_p50"`
	// 99th percentile of the milliseconds until all directors knew of a failure.
	DetectionP99 float64 `json:"know_death_ms_p99"`
	// 99th percentile of the milliseconds from the end of the last fault until the common view.
	ConvergenceP99 float64 `json:"one_view_ms_p99"`
	// Wrong reports of a failure, per hour of a director.
	FalseFailures float64 `json:"wrongly_failed_per_hour"`
	// Wrong suspicions of a failure, per hour of a director.
	FalseSuspicions float64 `json:"wrongly_suspected_per_hour"`
	// Packets per second that a director received or, in simulated time, sent.
	Packets float64 `json:"packets_per_s"`
	// Bytes per second that a director received.
	Bytes float64 `json:"bytes_per_s"`
	// Peak memory of any director.
	Memory float64 `json:"memory_mb"`
	// Share of requests that succeeded.
	SuccessShare float64 `json:"fulfilled_share"`
	// Longest time in milliseconds until nine tenths of the requests succeeded; -1: never.
	Recovery float64 `json:"recovery_ms"`
	// faulttest.Outcome.SuccessSeries of the last schedule.
	Series []float64 `json:"series"`
	// Peak load of a cold cache node, relative to its overload threshold.
	PeakColdLoad float64 `json:"cold_peak_load"`
	// The same schedules with fixed quotas.
	FixedQuota *MembershipRun `json:"fixed,omitempty"`
	// Schedules that failed, as JSON.
	Failing []string `json:"failing,omitempty"`
	// Reasons why the schedules failed.
	Reasons []string `json:"why,omitempty"`

	detections      []float64 // ms
	convergences    []float64 // ms
	hours           float64   // sum of the directors' running times
	falseFailures   int
	falseSuspicions int
}

// MembershipResult has all runs and their sums.
type MembershipResult struct {
	// One run for each kind of fault and number of directors.
	Runs []*MembershipRun `json:"runs"`
	// Violations of rules on answers, copies, drains and processes.
	RulesBroken int `json:"rules_broken"`
	// Attempts that a director should have answered but did not.
	Lost int `json:"lost"`
	// Observations of a sum of quotas above its bound.
	QuotaExceeded int `json:"parts_over"`
	// Cache nodes that were overloaded.
	OverloadedNodes int `json:"fallen"`
	// Schedules that were run.
	Schedules int `json:"schedules"`
	// Schedules without a common view at their end.
	Unfinished int `json:"unended"`
	// 99th percentile of the milliseconds until all directors knew of a failure, over all runs.
	DetectionP99 float64 `json:"know_death_ms_p99"`

	detections []float64 // ms
}

// Broken returns the names and counts of the rules that were broken.
func (r MembershipResult) Broken() []string {
	return countsAboveZero([]namedCount{
		{"rules_broken", r.RulesBroken}, {"lost", r.Lost}, {"parts_over", r.QuotaExceeded}, {"fallen", r.OverloadedNodes}, {"unended", r.Unfinished},
	})
}

// add adds a run to the result and its sums.
func (r *MembershipResult) add(run *MembershipRun) {
	r.Runs = append(r.Runs, run)
	r.detections = append(r.detections, run.detections...)
	r.RulesBroken += run.RulesBroken
	r.Lost += run.Lost
	r.QuotaExceeded += run.QuotaExceeded
	r.OverloadedNodes += run.OverloadedNodes
	r.Schedules += run.Schedules
	r.Unfinished += run.Unfinished
	r.DetectionP99 = quantile(r.detections, 0.99)
}

// Execute runs the experiment. It returns an error if the experiment could not be run; broken rules
// are part of the result.
func (p *Membership) Execute(ctx context.Context) (out MembershipResult, err error) {
	if len(p.Detectors) > 0 {
		return p.runDetectors(ctx)
	}
	counts, simulated := p.Directors, false
	if len(p.Simulated) > 0 {
		counts, simulated = p.Simulated, true
	}
	for _, kind := range p.Faults {
		for _, n := range counts {
			if n < 2 || n > maxDirectors && !simulated || n > maxSimulatedDirectors {
				return out, fmt.Errorf("--instances, --simulated: %d is out of range, want 2 to %d directors, or 2 to %d in simulated time", n, maxDirectors, maxSimulatedDirectors)
			}
			run, err := p.runKind(ctx, kind, n, simulated)
			if err != nil {
				return out, err
			}
			out.add(run)
		}
	}
	return out, nil
}

// runDetectors runs trials in which failure detectors fail one at a time, and then trials in which
// most of them fail at the same time.
func (p *Membership) runDetectors(ctx context.Context) (out MembershipResult, err error) {
	for _, n := range p.Detectors {
		oneByOne := DetectorTrial{Directors: n, Failing: 1, Rounds: min(10, n-2), Slowdown: p.Slowdown}
		most := DetectorTrial{Directors: n, Failing: min(n*7/10, n-2), Rounds: 1, Slowdown: p.Slowdown}
		for _, trial := range []DetectorTrial{oneByOne, most} {
			run, err := trial.Execute(ctx)
			if err != nil {
				return out, err
			}
			out.add(run)
		}
	}
	return out, nil
}

// runKind runs the schedules of one kind of fault with n directors.
func (p *Membership) runKind(ctx context.Context, kind string, n int, simulated bool) (*MembershipRun, error) {
	run := &MembershipRun{Directors: n, Faults: kind, Simulated: simulated}
	if p.CompareFixedQuota && !simulated {
		run.FixedQuota = &MembershipRun{Directors: n, Faults: kind}
	}
	for number := range p.Schedules {
		if p.OnlySchedule >= 0 && number != p.OnlySchedule && p.OnlySchedule < p.Schedules {
			continue
		}
		schedule, err := p.schedule(kind, number, n)
		if err != nil {
			return nil, err
		}
		run.Directors = schedule.Directors
		if err := p.runSchedule(ctx, run, schedule, simulated); err != nil {
			return nil, err
		}
	}
	run.summarize()
	return run, nil
}

// schedule returns the schedule of the given number, or the one in ScheduleFile if that is set. An
// OnlySchedule that is not below Schedules replaces every number.
func (p *Membership) schedule(kind string, number, n int) (faulttest.Schedule, error) {
	if p.ScheduleFile != "" {
		return p.readSchedule()
	}
	if p.OnlySchedule >= p.Schedules {
		number = p.OnlySchedule
	}
	return NamedSchedule(kind, p.Seed, number, n), nil
}

func (p *Membership) readSchedule() (schedule faulttest.Schedule, err error) {
	text, err := os.ReadFile(p.ScheduleFile)
	if err == nil {
		err = json.Unmarshal(text, &schedule)
	}
	if err == nil {
		err = schedule.Validate()
	}
	if err != nil {
		err = fmt.Errorf("--schedule: %s: %w", p.ScheduleFile, err)
	}
	return schedule, err
}

// runSchedule runs one schedule. If it fails and Shrink is set, it also runs shorter ones.
func (p *Membership) runSchedule(ctx context.Context, run *MembershipRun, schedule faulttest.Schedule, simulated bool) error {
	run.Schedules++
	if simulated {
		p.simulateSchedule(run, schedule)
		return nil
	}
	outcome, err := faulttest.Run(ctx, p.spec(false), schedule, nil)
	if err != nil {
		return err
	}
	run.add(outcome)
	if p.PrintHistory {
		fmt.Fprint(os.Stderr, outcome.History)
	}
	if violations := outcome.Violations(); len(violations) > 0 {
		run.Reasons = append(run.Reasons, fmt.Sprint(violations, outcome.LostReasons, outcome.CrashDetail))
		p.recordFailure(run, schedule, func(shorter faulttest.Schedule) bool {
			outcome, err := faulttest.Run(ctx, p.spec(false), shorter, nil)
			return err == nil && len(outcome.Violations()) > 0
		})
	}
	if run.FixedQuota != nil {
		run.FixedQuota.Schedules++
		outcome, err := faulttest.Run(ctx, p.spec(true), schedule, nil)
		if err != nil {
			return err
		}
		run.FixedQuota.add(outcome)
	}
	return nil
}

// simulateSchedule runs one schedule in simulated time.
func (p *Membership) simulateSchedule(run *MembershipRun, schedule faulttest.Schedule) {
	result := simulateMembership(schedule)
	run.PeakQuotaSum = max(run.PeakQuotaSum, result.PeakQuotaSum)
	run.QuotaExceeded += result.QuotaExceeded
	run.convergences = append(run.convergences, float64(result.Convergence)/1000)
	run.Packets = result.MessageRate
	run.Unfinished += boolean.Int(result.Unfinished)
	if result.failed() {
		p.recordFailure(run, schedule, func(shorter faulttest.Schedule) bool { return simulateMembership(shorter).failed() })
	}
}

// recordFailure adds a failed schedule to the run. With Shrink it adds a shorter schedule for which
// fails returns true as well.
func (p *Membership) recordFailure(run *MembershipRun, schedule faulttest.Schedule, fails func(faulttest.Schedule) bool) {
	if len(run.Failing) >= maxFailing {
		return
	}
	if p.Shrink {
		schedule = faulttest.Shrink(schedule, maxShrinkRuns, fails)
	}
	run.Failing = append(run.Failing, schedule.String())
}

// spec returns the spec of the harness, for directors in a cluster or with fixed quotas.
func (p *Membership) spec(fixedQuota bool) faulttest.Spec {
	return faulttest.Spec{
		Argv: p.Argv, NoPeers: fixedQuota, CacheNodes: p.CacheNodes, Clients: p.Clients, LoadFactor: p.Load, WarmCaches: true, LoadBefore: time.Second,
		LoadAfter: 2 * time.Second, Log: p.Log,
	}
}

// add adds the outcome of a schedule, which r.Schedules must already count.
func (r *MembershipRun) add(o faulttest.Outcome) {
	r.RulesBroken += o.RuleViolations()
	r.Lost += o.Lost
	r.QuotaExceeded += o.QuotaViolations
	r.OverloadedNodes += o.OverloadedNodes
	r.Unfinished += boolean.Int(o.Incomplete)
	r.PeakQuotaSum = max(r.PeakQuotaSum, o.QuotaPeak[0], o.QuotaPeak[1])
	r.PeakColdLoad = max(r.PeakColdLoad, o.ColdPeakLoad)
	r.Memory = max(r.Memory, o.MemoryMB)
	r.detections = append(r.detections, o.DetectionMS...)
	r.convergences = append(r.convergences, o.ConvergenceMS)
	r.hours += o.DirectorHours
	r.falseFailures += o.FalseFailures
	r.falseSuspicions += o.FalseSuspicions
	n := float64(r.Schedules)
	mean := func(old, now float64) float64 { return (old*(n-1) + now) / n }
	r.Packets, r.Bytes = mean(r.Packets, o.PacketsPerSecond), mean(r.Bytes, o.BytesPerSecond)
	r.SuccessShare = mean(r.SuccessShare, o.SuccessRate)
	r.Series = o.SuccessSeries
	r.Recovery = max(r.Recovery, o.RecoveryMS)
	if o.RecoveryMS < 0 {
		r.Recovery = recoveryFailed
	}
}

// summarize computes quantiles and rates from the collected values.
func (r *MembershipRun) summarize() {
	r.DetectionP50, r.DetectionP99 = quantile(r.detections, 0.5), quantile(r.detections, 0.99)
	r.ConvergenceP99 = quantile(r.convergences, 0.99)
	if r.hours > 0 {
		r.FalseFailures, r.FalseSuspicions = float64(r.falseFailures)/r.hours, float64(r.falseSuspicions)/r.hours
	}
	if r.FixedQuota != nil {
		r.FixedQuota.summarize()
	}
}
