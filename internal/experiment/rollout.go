package experiment

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// Rollout is the experiment `tallybench fleet`: configuration changes of a fleet in simulated time.
// The state machines are those of package rollout. Network, agents' machines and directors are
// simulated, and faults are injected into them.
type Rollout struct {
	Instances      []int   `name:"instances" default:"20,100,500" placeholder:"N,..." help:"Sizes of the fleet: numbers of agents, each with one director."`
	Schedules      int     `default:"100" help:"Number of random fault schedules for each size; each runs one change."`
	LossRate       float64 `name:"loss" default:"0.05" help:"Share of messages that are lost."`
	DuplicateRate  float64 `name:"twice" default:"0.05" help:"Share of messages that are delivered twice."`
	AgentCrashRate float64 `name:"deaths" default:"0.02" help:"Share of agents that crash during a change and restart."`
	ToolCrashRate  float64 `name:"tool-dies" default:"0.3" help:"Share of changes whose tool crashes; another tool resumes them."`
	PartitionRate  float64 `name:"cuts" default:"0.1" help:"Share of changes during which some agents or the tool are partitioned for some time."`
	WaveSize       int     `name:"limit" default:"0" help:"Number of directors that are changed at the same time; 0: all."`
	Seed           uint64  `default:"1" help:"Seed of the random generator."`
	OnlySchedule   int     `name:"only" default:"-1" help:"Run only the schedule of this number, and print its messages."`
	MaxEvents      int     `name:"steps" default:"0" help:"Number of events after which a schedule counts as unfinished; 0: 2,000 per agent, at least 20,000."`
	JSON           bool    `name:"json" help:"Print one JSON object."`
}

// RolloutRun summarizes the schedules of one fleet size. Times are simulated, in ms.
type RolloutRun struct {
	// Number of agents, each with one director.
	Instances int `json:"instances"`
	// Changes that were run.
	Schedules int `json:"schedules"`
	// Schedules in which all directors were changed.
	Changed int `json:"changed"`
	// Schedules in which no director was changed.
	Untouched int `json:"untouched"`
	// Schedules that stopped between waves and were reported as such.
	Partial int `json:"partly"`
	// Schedules with directors in any other state, or with a wrong report.
	Inconsistent int `json:"neither"`
	// Schedules that did not end.
	Unfinished int `json:"unended"`
	// Median of the time from the start until the last tool ended.
	P50 float64 `json:"p50_ms"`
	// 99th percentile of the time from the start until the last tool ended.
	P99 float64 `json:"p99_ms"`
	// P99 over schedules in which no tool crashed.
	NoCrashP99 float64 `json:"lived_p99_ms"`
	// Mean number of messages that tools sent.
	ToolMessages float64 `json:"messages"`
	// Mean number of messages between agents.
	AgentMessages float64 `json:"between"`
	// Median of the time from the start until every agent knew the outcome.
	KnownP50 float64 `json:"known_p50_ms"`
	// 99th percentile of the time from the start until every agent knew the outcome.
	KnownP99 float64 `json:"known_p99_ms"`
	// 99th percentile of the time from the end of the last fault until every director was in its
	// final state.
	ConvergenceP99 float64 `json:"settled_ms"`
	// Largest number of events of a schedule.
	MaxEvents int `json:"events"`
	// Estimated time of sequential changes without faults.
	Sequential float64 `json:"by_hand_ms"`
	// For each failed schedule: flags that repeat it, and what each party waits for.
	Problems []string `json:"stuck,omitempty"`
}

const maxProblems = 20 // reported for one fleet size

// Execute runs the schedules of all sizes. Each schedule has its own random generator, so the
// result does not depend on the order in which the goroutines run the schedules.
func (r *Rollout) Execute() (runs []RolloutRun, err error) {
	if err := r.validateShares(); err != nil {
		return nil, err
	}
	for _, n := range r.Instances {
		if n < 1 || r.Schedules < 1 || r.MaxEvents < 0 || r.WaveSize < 0 {
			return runs, fmt.Errorf("--instances %d, --schedules %d, --steps %d, --limit %d: the first two must be at least 1, the others at least 0",
				n, r.Schedules, r.MaxEvents, r.WaveSize)
		}
		runs = append(runs, summarizeRollouts(n, r.runSchedules(n)))
	}
	return runs, nil
}

func (r *Rollout) validateShares() error {
	for _, share := range []float64{r.LossRate, r.DuplicateRate, r.AgentCrashRate, r.ToolCrashRate, r.PartitionRate} {
		if share < 0 || share > 1 || r.LossRate >= 1 {
			return fmt.Errorf("--loss, --twice, --deaths, --tool-dies, --cuts: %v is not from 0 to 1, or --loss is not below 1", share)
		}
	}
	return nil
}

// runSchedules runs the schedules of a fleet of n agents on all CPUs.
func (r *Rollout) runSchedules(n int) []rolloutOutcome {
	outcomes, first := make([]rolloutOutcome, r.Schedules), 0
	if r.OnlySchedule >= 0 {
		outcomes, first = outcomes[:1], r.OnlySchedule
	}
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(outcomes)); i = next.Add(1) - 1 {
				outcomes[i] = r.runSchedule(n, uint64(first)+uint64(i))
			}
		})
	}
	workers.Wait()
	return outcomes
}

// summarizeRollouts summarizes the schedules of a fleet of n agents.
func summarizeRollouts(n int, outcomes []rolloutOutcome) RolloutRun {
	run := RolloutRun{Instances: n, Schedules: len(outcomes)}
	var reported, noCrash, known, convergences []float64
	for _, o := range outcomes {
		run.count(o)
		if o.problem != "" && len(run.Problems) < maxProblems {
			run.Problems = append(run.Problems, o.problem)
		}
		reported = append(reported, float64(o.reported)/1000)
		convergences = append(convergences, float64(o.convergence)/1000)
		known = append(known, float64(o.known)/1000)
		if !o.toolCrashed {
			noCrash = append(noCrash, float64(o.reported)/1000)
		}
		run.ToolMessages += float64(o.toolMessages) / float64(len(outcomes))
		run.AgentMessages += float64(o.agentMessages) / float64(len(outcomes))
		run.MaxEvents = max(run.MaxEvents, o.events)
	}
	run.P50, run.P99, run.NoCrashP99 = quantile(reported, 0.5), quantile(reported, 0.99), quantile(noCrash, 0.99)
	run.KnownP50, run.KnownP99 = quantile(known, 0.5), quantile(known, 0.99)
	run.ConvergenceP99 = quantile(convergences, 0.99)
	// For each director: a write with read-back, and two network delays.
	run.Sequential = float64(n) * (110 + 2*11)
	return run
}

// count counts a schedule by its outcome.
func (r *RolloutRun) count(o rolloutOutcome) {
	switch {
	case !o.finished:
		r.Unfinished++
	case o.state == fleetChanged:
		r.Changed++
	case o.state == fleetUntouched:
		r.Untouched++
	case o.state == fleetPartial:
		r.Partial++
	default:
		r.Inconsistent++
	}
}

// quantile sorts the values and returns the one at the share p, or 0 if there are none.
func quantile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(p*float64(len(values))))]
}
