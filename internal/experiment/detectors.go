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

// DetectorTrial runs failure detectors without the rest of the directors: up to 1000 in one
// process, in real time and over real sockets. As many whole directors would need more CPUs than
// one machine has. Some detectors stop without notice. The trial measures the time until all
// remaining ones know of each failure, and the time until they have one common view.
type DetectorTrial struct {
	Directors int // number of detectors
	Failing   int // detectors that fail at the same time
	Rounds    int // how often Failing detectors fail
	Slowdown  int // multiplies all times of the detectors; results are divided by it; 0 means 1
}

const (
	maxDetectors = 1000
	// detectorBatch is the number of detectors that start together. The next batch starts when all
	// detectors have a common view.
	detectorBatch         = 25
	detectorDeadline      = 30 * time.Second
	failurePollInterval   = 10 * time.Millisecond
	convergenceCheckEvery = 50 * time.Millisecond
)

// detectorFleet is the set of running detectors, by number. Only the goroutine of the trial uses
// it.
type detectorFleet struct {
	DetectorTrial
	startedAt time.Time
	seeds     []string
	running   map[int]*gossipnet.Driver
}

// Execute runs the trial. The result's Unfinished counts the rounds without a common view before
// the deadline.
func (t DetectorTrial) Execute(ctx context.Context) (*MembershipRun, error) {
	if t.Directors < 3 || t.Directors > maxDetectors || t.Failing < 1 || t.Rounds*t.Failing > t.Directors-2 {
		return nil, fmt.Errorf("--together: %d rounds with %d failures of %d detectors: want 3 to %d detectors, two of which remain", t.Rounds, t.Failing, t.Directors, maxDetectors)
	}
	defer slog.SetDefault(slog.Default())
	// Each detector would log every state change of every other detector.
	slog.SetDefault(slog.New(slog.DiscardHandler))
	t.Slowdown = max(1, t.Slowdown)
	run := &MembershipRun{Directors: t.Directors, Faults: fmt.Sprintf("%dx%d die", t.Rounds, t.Failing), Schedules: 1}
	fleet := &detectorFleet{DetectorTrial: t, startedAt: time.Now(), running: map[int]*gossipnet.Driver{}}
	defer fleet.shutdown()
	if started, err := fleet.start(ctx); err != nil {
		return nil, err
	} else if !started { // too many detectors for this machine
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

// deadline returns the upper bound of every wait.
func (t DetectorTrial) deadline() time.Duration { return detectorDeadline * time.Duration(t.Slowdown) }

// start starts the detectors in batches, since one machine cannot start hundreds at the same time
// as hundreds of machines can. It returns false if they did not reach a common view in time.
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
	now := func() policy.Micros { return policy.Second + policy.MicrosOf(time.Since(f.startedAt)) }
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

// failSome stops some detectors at the same time. It returns for each the time in ms until all
// others knew of the failure, and the time until they had a common view. ok is false if either did
// not happen in time.
func (f *detectorFleet) failSome(ctx context.Context, first int) (detections []float64, convergence float64, ok bool) {
	failing := f.removeSome(first)
	// By number of the failed detector: the detectors that do not know of the failure yet.
	unaware := map[int]map[int]bool{}
	for i := range failing {
		unaware[i] = map[int]bool{}
		for j := range f.running {
			unaware[i][j] = true
		}
	}
	startedAt := time.Now()
	for _, driver := range failing {
		driver.Shutdown()
	}
	for len(unaware) > 0 && time.Since(startedAt) < f.deadline() && ctx.Err() == nil {
		for i, remaining := range unaware {
			f.removeAware(i, remaining)
			if len(remaining) == 0 {
				delete(unaware, i)
				detections = append(detections, float64(time.Since(startedAt).Milliseconds()))
			}
		}
		fakes.Sleep(ctx, failurePollInterval)
	}
	converged := f.awaitConvergence(ctx)
	return detections, float64(time.Since(startedAt).Milliseconds()), converged && len(unaware) == 0
}

// removeSome removes the detectors that are to fail from the fleet. It picks every seventh one, so
// that the order of failures does not follow the order of the seeds.
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

// removeAware removes from unaware the detectors that know of the failure.
func (f *detectorFleet) removeAware(failed int, unaware map[int]bool) {
	for i := range unaware {
		if state, _ := f.running[i].State(fmt.Sprint("n", failed)); state >= membership.Failed {
			delete(unaware, i)
		}
	}
}

// awaitConvergence waits until all running detectors have the same view of all running ones. It
// returns false if that does not happen before the deadline.
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
