package experiment

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"time"

	"tallyproxy/internal/config"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
	"tallyproxy/internal/gossipnet"
	"tallyproxy/membership"
	"tallyproxy/policy"
)

// DetectorTrial runs the directors' failure detectors alone: up to 1000 in one process, in real time and over real sockets, where as many
// whole directors would want more processors than a machine has. Some fail without a word; measured is how long it takes until all that
// are left know of each, and until they have one view.
type DetectorTrial struct {
	Directors int // whose detectors run
	Failing   int // at once
	Rounds    int // of failures
	Slowdown  int // factor on all times of the detectors, by which the measured ones are divided; 0 is 1
}

const (
	maxDetectors          = 1000
	detectorBatch         = 25 // that start at once, before there is one view again
	detectorDeadline      = 30 * time.Second
	failurePollInterval   = 10 * time.Millisecond
	convergenceCheckEvery = 50 * time.Millisecond
)

// detectorFleet are the detectors that run, by number. It belongs to the goroutine that runs the trial.
type detectorFleet struct {
	DetectorTrial
	begun   time.Time
	seeds   []string
	running map[int]*gossipnet.Driver
}

// Execute runs the trial. Unfinished of the result counts the rounds that did not come to one view in time.
func (t DetectorTrial) Execute(ctx context.Context) (*MembershipRun, error) {
	if t.Directors < 3 || t.Directors > maxDetectors || t.Failing < 1 || t.Rounds*t.Failing > t.Directors-2 {
		return nil, fmt.Errorf("--together: %d times %d failures of %d: 3 to %d, of whom two are left", t.Rounds, t.Failing, t.Directors, maxDetectors)
	}
	defer slog.SetDefault(slog.Default())
	slog.SetDefault(slog.New(slog.DiscardHandler)) // each detector logs what it finds of each other one
	t.Slowdown = max(1, t.Slowdown)
	run := &MembershipRun{Directors: t.Directors, Faults: fmt.Sprintf("%dx%d die", t.Rounds, t.Failing), Schedules: 1}
	fleet := &detectorFleet{DetectorTrial: t, begun: time.Now(), running: map[int]*gossipnet.Driver{}}
	defer fleet.shutdown()
	if started, err := fleet.start(ctx); err != nil {
		return nil, err
	} else if !started { // too many for this machine
		run.Unfinished++
		return run, nil
	}
	for round := range t.Rounds {
		detections, convergence, ok := fleet.failSome(ctx, round*t.Failing)
		for _, ms := range detections {
			run.detections = append(run.detections, ms/float64(t.Slowdown))
		}
		run.convergences = append(run.convergences, convergence/float64(t.Slowdown))
		if !ok {
			run.Unfinished++
		}
	}
	run.summarize()
	return run, ctx.Err()
}

// deadline is the longest that any wait takes.
func (t DetectorTrial) deadline() time.Duration { return detectorDeadline * time.Duration(t.Slowdown) }

// start starts the detectors in batches, since a machine does not start hundreds at once as hundreds of machines do. ok is false where they
// did not come to one view.
func (f *detectorFleet) start(ctx context.Context) (ok bool, err error) {
	for i := range f.Directors {
		if err := f.startDetector(i); err != nil {
			return false, err
		}
		endOfBatch := i%detectorBatch == detectorBatch-1
		if endOfBatch && !f.awaitConvergence(ctx) && i < f.Directors-1 {
			return false, nil
		}
	}
	return f.awaitConvergence(ctx), nil
}

func (f *detectorFleet) startDetector(i int) error {
	address, err := faulttest.FreeAddress()
	if err != nil {
		return err
	}
	slowdown := policy.Micros(f.Slowdown)
	settings := membership.Derive(fmt.Sprint("n", i), uint64(i+1), policy.Settings{ZoneDirectors: f.Directors, TotalDirectors: f.Directors,
		ConnectTimeout: 400 * millisecond * slowdown, EdgeSlowStart: policy.SlowStart{OverloadWindow: 3 * policy.Second * slowdown}})
	peers := config.Peers{Listen: address, Seeds: f.seeds, Fleet: "lab", SharedKey: bytes.Repeat([]byte{7}, 32)}
	now := func() policy.Micros { return policy.Second + policy.MicrosOf(time.Since(f.begun)) }
	driver, err := gossipnet.Start(peers, settings, now, gossipnet.Handlers{})
	if err != nil {
		return err
	}
	f.running[i] = driver
	if len(f.seeds) < maxSeeds {
		f.seeds = append(f.seeds, address)
	}
	return nil
}

func (f *detectorFleet) shutdown() {
	for _, driver := range f.running {
		driver.Shutdown()
	}
}

// failSome stops detectors at once, spread over the fleet, and returns how long it took in ms until all others knew of each, and until
// they had one view; ok is false where that did not happen in time.
func (f *detectorFleet) failSome(ctx context.Context, first int) (detections []float64, convergence float64, ok bool) {
	failing := f.removeSome(first)
	unaware := map[int]map[int]bool{} // by the number that failed: those that don't know it yet
	for i := range failing {
		unaware[i] = map[int]bool{}
		for j := range f.running {
			unaware[i][j] = true
		}
	}
	begun := time.Now()
	for _, driver := range failing {
		driver.Shutdown()
	}
	for len(unaware) > 0 && time.Since(begun) < f.deadline() && ctx.Err() == nil {
		for i, by := range unaware {
			f.removeAware(i, by)
			if len(by) == 0 {
				delete(unaware, i)
				detections = append(detections, float64(time.Since(begun).Milliseconds()))
			}
		}
		fakes.Sleep(ctx, failurePollInterval)
	}
	converged := f.awaitConvergence(ctx)
	return detections, float64(time.Since(begun).Milliseconds()), converged && len(unaware) == 0
}

// removeSome takes the detectors that are to fail out of the fleet. Steps of seven keep them from following the order of the seeds.
func (f *detectorFleet) removeSome(first int) map[int]*gossipnet.Driver {
	failing := map[int]*gossipnet.Driver{}
	for k := range f.Failing {
		i := (first + k) * 7 % f.Directors
		for f.running[i] == nil {
			i = (i + 1) % f.Directors
		}
		failing[i] = f.running[i]
		delete(f.running, i)
	}
	return failing
}

// removeAware removes from a set those that know that a director has failed.
func (f *detectorFleet) removeAware(failed int, unaware map[int]bool) {
	for i := range unaware {
		if state, _ := f.running[i].State(fmt.Sprint("n", failed)); state >= membership.Failed {
			delete(unaware, i)
		}
	}
}

// awaitConvergence waits until all have the same view, of all that run; false where the time was over.
func (f *detectorFleet) awaitConvergence(ctx context.Context) bool {
	for until := time.Now().Add(f.deadline()); time.Now().Before(until) && ctx.Err() == nil; fakes.Sleep(ctx, convergenceCheckEvery) {
		if f.converged() {
			return true
		}
	}
	return false
}

func (f *detectorFleet) converged() bool {
	common := ""
	for _, driver := range f.running {
		digest, count := driver.ViewDigest()
		if count != len(f.running) || common != "" && digest != common {
			return false
		}
		common = digest
	}
	return true
}
