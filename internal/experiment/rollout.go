package experiment

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
)

// Rollout is the experiment `tallybench fleet`: configuration changes of a fleet in simulated time. The state machines are those of
// package rollout; network, agents' machines and directors are simulated and fail.
type Rollout struct {
	Instances      []int   `name:"instances" default:"20,100,500" placeholder:"N,..." help:"Sizes of the fleet: agents, with a director each."`
	Schedules      int     `default:"100" help:"Random schedules of faults for each size; each is one change."`
	LossRate       float64 `name:"loss" default:"0.05" help:"Share of messages that are lost."`
	DuplicateRate  float64 `name:"twice" default:"0.05" help:"Share of messages that are delivered twice."`
	AgentCrashRate float64 `name:"deaths" default:"0.02" help:"Share of agents that crash during a change, and restart."`
	ToolCrashRate  float64 `name:"tool-dies" default:"0.3" help:"Share of changes whose tool crashes; another one resumes them."`
	PartitionRate  float64 `name:"cuts" default:"0.1" help:"Share of changes during which some agents, or the tool, are partitioned for a while."`
	WaveSize       int     `name:"limit" default:"0" help:"Directors that are changed at a time; 0: all at once."`
	Seed           uint64  `default:"1" help:"Seed of the random generator."`
	OnlySchedule   int     `name:"only" default:"-1" help:"Run only the schedule of this number, and print its messages."`
	MaxEvents      int     `name:"steps" default:"0" help:"Events after which a schedule counts as unfinished; 0: 2,000 an agent, at least 20,000."`
	JSON           bool    `name:"json" help:"Print one JSON object."`
}

// RolloutRun sums up the schedules of one size. Times are simulated, in ms.
type RolloutRun struct {
	Instances      int      `json:"instances"`       // agents, with a director each
	Schedules      int      `json:"schedules"`       // changes that were played
	Changed        int      `json:"changed"`         // schedules that ended with all directors changed
	Untouched      int      `json:"untouched"`       // schedules that ended with no director changed
	Partial        int      `json:"partly"`          // schedules stopped between waves and reported so
	Inconsistent   int      `json:"neither"`         // schedules with directors in another state, or reported wrongly
	Unfinished     int      `json:"unended"`         // schedules that did not end
	P50            float64  `json:"p50_ms"`          // from the start until the last tool ended
	P99            float64  `json:"p99_ms"`          // from the start until the last tool ended
	NoCrashP99     float64  `json:"lived_p99_ms"`    // P99 of schedules in which no tool crashed
	ToolMessages   float64  `json:"messages"`        // mean of messages that tools sent
	AgentMessages  float64  `json:"between"`         // mean of messages that agents sent each other
	KnownP50       float64  `json:"known_p50_ms"`    // from the start until every agent knew the outcome
	KnownP99       float64  `json:"known_p99_ms"`    // from the start until every agent knew the outcome
	ConvergenceP99 float64  `json:"settled_ms"`      // from the end of the last fault until every director was in its final state
	MaxEvents      int      `json:"events"`          // events of the longest schedule
	Sequential     float64  `json:"by_hand_ms"`      // estimate for changing the directors one after another, without faults
	Problems       []string `json:"stuck,omitempty"` // flags that repeat an unfinished or inconsistent schedule, and who waits for whom
}

const maxProblems = 20 // reported of one size

// Execute runs the schedules of all sizes. Each schedule has its own random generator, so the result does not depend on the order in
// which the goroutines take them.
func (r *Rollout) Execute() (runs []RolloutRun, err error) {
	if err := r.validateShares(); err != nil {
		return nil, err
	}
	for _, n := range r.Instances {
		if n < 1 || r.Schedules < 1 || r.MaxEvents < 0 || r.WaveSize < 0 {
			return runs, fmt.Errorf("--instances %d, --schedules %d, --steps %d, --limit %d: the first two must be above 0, no other below",
				n, r.Schedules, r.MaxEvents, r.WaveSize)
		}
		runs = append(runs, summarizeRollouts(n, r.playSchedules(n)))
	}
	return runs, nil
}

func (r *Rollout) validateShares() error {
	for _, share := range []float64{r.LossRate, r.DuplicateRate, r.AgentCrashRate, r.ToolCrashRate, r.PartitionRate} {
		if share < 0 || share > 1 || r.LossRate >= 1 {
			return fmt.Errorf("--loss, --twice, --deaths, --tool-dies, --cuts: %v is no share; --loss must be below 1", share)
		}
	}
	return nil
}

// playSchedules plays the schedules of a fleet of n agents on all processors.
func (r *Rollout) playSchedules(n int) []rolloutOutcome {
	outcomes, first := make([]rolloutOutcome, r.Schedules), 0
	if r.OnlySchedule >= 0 {
		outcomes, first = outcomes[:1], r.OnlySchedule
	}
	var next atomic.Int64
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(outcomes)); i = next.Add(1) - 1 {
				outcomes[i] = r.playSchedule(n, uint64(first)+uint64(i))
			}
		})
	}
	workers.Wait()
	return outcomes
}

// summarizeRollouts makes the report of the schedules of a fleet of n agents.
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
	run.Sequential = float64(n) * (110 + 2*11) // a write and a read back of each, and the wire's delay twice
	return run
}

// count adds a schedule to the class of its outcome.
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

// quantile is the value at a share p of the values, which it sorts; 0 of none.
func quantile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(len(values)-1, int(p*float64(len(values))))]
}
