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

// Membership is the experiment `tallybench peers`: directors that form a cluster, and faults between them. Directors are processes, or
// simulated, or failure detectors alone.
type Membership struct {
	Directors         []int    `name:"instances" default:"5" help:"Directors, as processes."`
	Faults            []string `default:"seven" enum:"none,oneway,halves,thirds,stop,restart,seven,zone,away,flap,twin,loss,liar,term,drawn" help:"Kinds of fault: ${enum}."`
	Simulated         []int    `placeholder:"N,..." help:"Run so many directors in simulated time instead, with a failure detector that is late and at times wrong."`
	Detectors         []int    `name:"together" placeholder:"N,..." help:"Run so many failure detectors alone instead, in one process and in real time: how long until all know that some have failed."`
	Slowdown          int      `name:"slow" default:"1" help:"Run detectors so many times slower, for more of them than the machine has processors for; times in the result are divided by it."`
	Schedules         int      `default:"1" help:"Schedules for each size and kind."`
	OnlySchedule      int      `name:"only" default:"-1" help:"Run only the schedule of this number."`
	ScheduleFile      string   `name:"schedule" placeholder:"FILE" help:"Run a schedule as it was printed instead."`
	Shrink            bool     `help:"Shorten a schedule that fails, and print what is left."`
	CompareFixedQuota bool     `name:"beside" help:"Run the same with fixed quotas, for comparison."`
	Seed              uint64   `default:"1" help:"Seed of schedules, clients and objects."`
	CacheNodes        int      `name:"boxes" default:"8" help:"Cache nodes."`
	Clients           int      `default:"200" help:"Clients."`
	Load              float64  `default:"0.4" help:"Clients' demand, relative to the capacity of warm caches."`
	PrintHistory      bool     `name:"history" help:"Print what every process logged and did."`
	JSON              bool     `name:"json" help:"Print one JSON object."`
	DirectorPath      string   `name:"director" placeholder:"FILE" help:"The director's program; by default tallyproxy beside this program."`

	Argv []string  `kong:"-"` // starts a director
	Log  io.Writer `kong:"-"` // of the directors; nil for none
}

const (
	maxDirectors   = 300 // as processes
	maxShrinkRuns  = 24  // to shorten a schedule
	maxFailing     = 8   // schedules that a run prints
	recoveryFailed = -1  // MembershipRun.Recovery
)

// MembershipRun is the result of one number of directors with one kind of fault. Without processes only few of the values are measured.
type MembershipRun struct {
	Directors       int            `json:"instances"`                  // in the cluster
	Faults          string         `json:"faults"`                     // their kind
	Simulated       bool           `json:"simulated"`                  // in simulated time
	Schedules       int            `json:"schedules"`                  // that were played
	RulesBroken     int            `json:"rules_broken"`               // of answers, copies, drains and processes
	Lost            int            `json:"lost"`                       // attempts without the answer that a director owed
	QuotaExceeded   int            `json:"parts_over"`                 // times at which the sum of quotas was above its bound
	OverloadedNodes int            `json:"fallen"`                     // cache nodes
	Unfinished      int            `json:"unended"`                    // schedules that did not end with a common view in time
	PeakQuotaSum    float64        `json:"parts_peak"`                 // most that the quotas came to together
	DetectionP50    float64        `json:"know_death_ms_p50"`          // ms until all knew that a director had failed
	DetectionP99    float64        `json:"know_death_ms_p99"`          // ms until all knew that a director had failed
	ConvergenceP99  float64        `json:"one_view_ms_p99"`            // ms from the end of the last fault until the common view
	FalseFailures   float64        `json:"wrongly_failed_per_hour"`    // of a director
	FalseSuspicions float64        `json:"wrongly_suspected_per_hour"` // of a director
	Packets         float64        `json:"packets_per_s"`              // that a director received; simulated: sent
	Bytes           float64        `json:"bytes_per_s"`                // that a director received
	Memory          float64        `json:"memory_mb"`                  // most of any director
	SuccessShare    float64        `json:"fulfilled_share"`            // of requests
	Recovery        float64        `json:"recovery_ms"`                // the longest until nine tenths of the requests succeeded; -1 for not
	Series          []float64      `json:"series"`                     // of the last schedule, see faulttest.Outcome.SuccessSeries
	PeakColdLoad    float64        `json:"cold_peak_load"`             // of a cache node that was cold, relative to what overloads it
	FixedQuota      *MembershipRun `json:"fixed,omitempty"`            // the same with fixed quotas
	Failing         []string       `json:"failing,omitempty"`          // schedules that failed, as JSON
	Reasons         []string       `json:"why,omitempty"`              // why they failed

	detections      []float64 // ms
	convergences    []float64 // ms
	hours           float64   // that directors ran, together
	falseFailures   int
	falseSuspicions int
}

// MembershipResult has all runs and their sums.
type MembershipResult struct {
	Runs            []*MembershipRun `json:"runs"`              // for each kind of fault and number of directors
	RulesBroken     int              `json:"rules_broken"`      // of answers, copies, drains and processes
	Lost            int              `json:"lost"`              // attempts without the answer that a director owed
	QuotaExceeded   int              `json:"parts_over"`        // times at which the sum of quotas was above its bound
	OverloadedNodes int              `json:"fallen"`            // cache nodes
	Schedules       int              `json:"schedules"`         // that were played
	Unfinished      int              `json:"unended"`           // schedules that did not end with a common view in time
	DetectionP99    float64          `json:"know_death_ms_p99"` // of all runs' failures, in ms

	detections []float64 // ms
}

// Broken names the rules that were broken, with counts.
func (r MembershipResult) Broken() []string {
	return countsAboveZero([]namedCount{
		{"rules_broken", r.RulesBroken}, {"lost", r.Lost}, {"parts_over", r.QuotaExceeded}, {"fallen", r.OverloadedNodes}, {"unended", r.Unfinished},
	})
}

// add takes a run into the sums.
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

// Execute runs the experiment. An error says that it could not be run; broken rules are in the result.
func (p *Membership) Execute(ctx context.Context) (out MembershipResult, err error) {
	if len(p.Detectors) > 0 {
		return p.playDetectors(ctx)
	}
	counts, simulated := p.Directors, false
	if len(p.Simulated) > 0 {
		counts, simulated = p.Simulated, true
	}
	for _, kind := range p.Faults {
		for _, n := range counts {
			if n < 2 || n > maxDirectors && !simulated || n > maxSimulatedDirectors {
				return out, fmt.Errorf("--instances, --simulated: %d is not from 2 to %d, or %d in simulated time", n, maxDirectors, maxSimulatedDirectors)
			}
			run, err := p.playKind(ctx, kind, n, simulated)
			if err != nil {
				return out, err
			}
			out.add(run)
		}
	}
	return out, nil
}

// playDetectors has failure detectors fail one at a time, and then most of them at once.
func (p *Membership) playDetectors(ctx context.Context) (out MembershipResult, err error) {
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

// playKind plays the schedules of one kind of fault with n directors.
func (p *Membership) playKind(ctx context.Context, kind string, n int, simulated bool) (*MembershipRun, error) {
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
		if err := p.playSchedule(ctx, run, schedule, simulated); err != nil {
			return nil, err
		}
	}
	run.summarize()
	return run, nil
}

// schedule is the schedule of a number: the one of the file where there is one. A number above all takes every schedule's place.
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

// playSchedule plays one schedule, and shorter ones where it fails and that is wanted.
func (p *Membership) playSchedule(ctx context.Context, run *MembershipRun, schedule faulttest.Schedule, simulated bool) error {
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

// simulateSchedule plays one schedule in simulated time.
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

// recordFailure adds a schedule that failed to the run's; with Shrink a shorter one for which fails is true as well.
func (p *Membership) recordFailure(run *MembershipRun, schedule faulttest.Schedule, fails func(faulttest.Schedule) bool) {
	if len(run.Failing) >= maxFailing {
		return
	}
	if p.Shrink {
		schedule = faulttest.Shrink(schedule, maxShrinkRuns, fails)
	}
	run.Failing = append(run.Failing, schedule.String())
}

// spec is the harness's for directors in a cluster, or with fixed quotas.
func (p *Membership) spec(fixedQuota bool) faulttest.Spec {
	return faulttest.Spec{
		Argv: p.Argv, NoPeers: fixedQuota, CacheNodes: p.CacheNodes, Clients: p.Clients, LoadFactor: p.Load, WarmCaches: true, LoadBefore: time.Second,
		LoadAfter: 2 * time.Second, Log: p.Log,
	}
}

// add takes the outcome of one more schedule into the run, whose Schedules counts it already.
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

// summarize sets the quantiles and rates from what was collected.
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
