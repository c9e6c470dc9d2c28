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

// DetectorTrial plays the directors' talk with nothing else of a director: as many as there may be in one process, by the real detector
// and over real sockets, where as many whole directors would want more processors than a machine has. Some die without a word,
// and what is measured is how long it takes until all that live know of each, and until they have one view.
type DetectorTrial struct {
	Directors int
	Failing   int // at once,
	Rounds    int // and so often
	Slowdown  int // times slower than usual, all of it; what is told is divided by it
}

// startBatch is how many start at a time.
const startBatch = 25

// detectorDeadline is the longest that any wait takes, at full pace.
const detectorDeadline = 30 * time.Second

func (g DetectorTrial) deadline() time.Duration {
	return detectorDeadline * time.Duration(max(1, g.Slowdown))
}

// Execute plays it; what came of it is one run, whose Unended counts what did not come about in time.
func (g DetectorTrial) Execute(ctx context.Context) (*MembershipRun, error) {
	if g.Directors < 3 || g.Directors > 1000 || g.Failing < 1 || g.Rounds*g.Failing > g.Directors-2 {
		return nil, fmt.Errorf("--together: %d times %d deaths of %d: 3 to 1000, of whom two are left", g.Rounds, g.Failing, g.Directors)
	}
	logs := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler)) // each tells of each
	defer slog.SetDefault(logs)
	slow := policy.Micros(max(1, g.Slowdown))
	run := &MembershipRun{Directors: g.Directors, Faults: fmt.Sprintf("%dx%d die", g.Rounds, g.Failing), Schedules: 1}
	begun := time.Now()
	now := func() policy.Micros { return policy.Second + policy.Micros(time.Since(begun)/time.Microsecond) }
	live := map[int]*gossipnet.Driver{}
	defer func() {
		for _, t := range live {
			t.Shutdown()
		}
	}()
	var seeds []string
	for i := range g.Directors {
		listen, err := faulttest.FreeAddress()
		if err != nil {
			return nil, err
		}
		s := membership.Derive(fmt.Sprint("n", i), uint64(i+1), policy.Settings{ZoneDirectors: g.Directors, TotalDirectors: g.Directors,
			ConnectTimeout: 400_000 * slow, EdgeSlowStart: policy.SlowStart{OverloadWindow: 3 * policy.Second * slow}})
		t, err := gossipnet.Start(config.Peers{Listen: listen, Seeds: seeds, Fleet: "lab", SharedKey: bytes.Repeat([]byte{7}, 32)}, s, now,
			gossipnet.Handlers{})
		if err != nil {
			return nil, err
		}
		if live[i] = t; len(seeds) < 3 {
			seeds = append(seeds, listen)
		}
		if i%startBatch == startBatch-1 { // a start of all at once is of hundreds of machines, not of one
			if !awaitConvergence(ctx, live, g.deadline()) {
				break
			}
		}
	}
	if len(live) < g.Directors || !awaitConvergence(ctx, live, g.deadline()) {
		run.Unfinished++ // too many for this machine
		return run, nil
	}
	for time := range g.Rounds {
		took, views, ok := g.failSome(ctx, live, time*g.Failing)
		for i := range took {
			took[i] /= float64(slow)
		}
		views /= float64(slow)
		run.detections = append(run.detections, took...)
		if run.convergences = append(run.convergences, views); !ok {
			run.Unfinished++
		}
	}
	run.summarize()
	return run, ctx.Err()
}

// failSome has some die at once, by turns over the fleet, and gives how long it took until all knew of each, and had one view, in ms.
func (g DetectorTrial) failSome(ctx context.Context, live map[int]*gossipnet.Driver, first int) (took []float64, view float64, ok bool) {
	waits := map[int]map[int]bool{} // for whom, who
	var dying []*gossipnet.Driver
	for k := range g.Failing {
		i := (first + k) * 7 % g.Directors // numbers are not in order of their seeds
		for ; live[i] == nil; i = (i + 1) % g.Directors {
		}
		waits[i], dying = map[int]bool{}, append(dying, live[i])
		delete(live, i)
	}
	for i := range waits {
		for who := range live {
			waits[i][who] = true
		}
	}
	begun := time.Now()
	for _, t := range dying {
		t.Shutdown()
	}
	for len(waits) > 0 && time.Since(begun) < g.deadline() && ctx.Err() == nil {
		for i, who := range waits {
			for w := range who {
				if s, _ := live[w].State(fmt.Sprint("n", i)); s >= membership.Failed {
					delete(who, w)
				}
			}
			if len(who) == 0 {
				delete(waits, i)
				took = append(took, float64(time.Since(begun).Milliseconds()))
			}
		}
		fakes.Sleep(ctx, 10*time.Millisecond)
	}
	same := awaitConvergence(ctx, live, g.deadline())
	return took, float64(time.Since(begun).Milliseconds()), same && len(waits) == 0
}

// awaitConvergence waits until all see the same ones.
func awaitConvergence(ctx context.Context, live map[int]*gossipnet.Driver, bound time.Duration) bool {
	for until := time.Now().Add(bound); time.Now().Before(until) && ctx.Err() == nil; fakes.Sleep(ctx, 50*time.Millisecond) {
		ok, sum := true, ""
		for _, t := range live {
			s, count := t.ViewDigest()
			if ok = ok && count == len(live) && (sum == "" || s == sum); !ok {
				break
			}
			sum = s
		}
		if ok {
			return true
		}
	}
	return false
}
