package faulttest

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/fakes"
)

// Parameters of soak schedules.
const (
	soakStream      = 4711 // second seed of soakSchedule
	soakLengthMS    = 9500
	soakCacheNodes  = 6
	soakFirstMS     = 700  // earliest start of the first planned restart
	soakSecondMS    = 5200 // earliest start of the second planned restart
	soakRestartSpan = 800  // random part of the start of a restart, ms
	soakMaxFaultMS  = 2500 // longest duration of a fault, ms
	soakIdleClients = 220  // number of idle clients; more than a director may hold
)

// soakNodeFaults are the kinds of node faults from which a soak draws.
var soakNodeFaults = []Kind{HangingNode, HangingNode, ResettingNode, CrashedNode, LateNode, IdleCloses, ColdCaches}

// soakSchedule draws a schedule from a seed: planned restarts and reloads, and other faults around
// them, on one to three directors. The same seed gives the same schedule.
func soakSchedule(seed uint64) Schedule {
	random := rand.New(rand.NewPCG(seed, soakStream))
	directors := 1
	if random.IntN(2) == 0 {
		directors = 2 + random.IntN(2)
	}
	d := soakDrawer{random, directors}
	s := Schedule{Seed: seed, Directors: directors, LengthMS: soakLengthMS}
	s.Faults = slices.Concat(d.restarts(), d.reloads(), d.nodeFaults(), d.channelFaults(), d.linkFaults())
	if random.IntN(3) == 0 {
		at := random.IntN(soakFirstMS + soakRestartSpan)
		s.Faults = append(s.Faults, Fault{Kind: IdleClients, AtMS: at, ForMS: 3000 + random.IntN(4000), Targets: []int{random.IntN(directors)}, Rate: soakIdleClients})
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return a.AtMS - b.AtMS })
	return s
}

// soakDrawer draws the faults of a soak.
type soakDrawer struct {
	random    *rand.Rand
	directors int
}

// span draws the start and the duration, in ms, of a fault with the given longest duration.
func (d soakDrawer) span(maxMS int) (at, duration int) {
	at = d.random.IntN(soakLengthMS - maxMS)
	return at, minDrawnMS + d.random.IntN(maxMS-minDrawnMS)
}

func (d soakDrawer) restarts() (faults []Fault) {
	for _, from := range []int{soakFirstMS, soakSecondMS} {
		targets := d.random.Perm(d.directors)[:1+d.random.IntN(d.directors)]
		faults = append(faults, Fault{Kind: PlannedRestart, AtMS: from + d.random.IntN(soakRestartSpan), Targets: slices.Sorted(slices.Values(targets))})
	}
	return faults
}

func (d soakDrawer) reloads() (faults []Fault) {
	for range 1 + d.random.IntN(2) {
		f := Fault{Kind: Reloads, AtMS: d.random.IntN(soakLengthMS - 1000), Targets: []int{d.random.IntN(d.directors)}}
		f.Rate = float64(boolean.Int(d.random.IntN(2) == 0))
		faults = append(faults, f)
	}
	return faults
}

func (d soakDrawer) nodeFaults() (faults []Fault) {
	for range 2 + d.random.IntN(3) {
		f := Fault{Kind: soakNodeFaults[d.random.IntN(len(soakNodeFaults))], Targets: d.random.Perm(soakCacheNodes)[:1+d.random.IntN(2)]}
		f.AtMS, f.ForMS = d.span(soakMaxFaultMS)
		faults = append(faults, f)
	}
	return faults
}

func (d soakDrawer) channelFaults() (faults []Fault) {
	if d.random.IntN(2) == 0 {
		f := Fault{Kind: ChannelOutage, Rate: float64(1 + d.random.IntN(3))}
		f.AtMS, f.ForMS = d.span(soakMaxFaultMS)
		faults = append(faults, f)
	}
	if d.random.IntN(2) == 0 {
		f := Fault{Kind: Drain}
		f.AtMS, f.ForMS = d.span(5000)
		faults = append(faults, f)
	}
	for range d.random.IntN(3) {
		faults = append(faults, Fault{Kind: Purge, AtMS: d.random.IntN(soakLengthMS)})
	}
	return faults
}

func (d soakDrawer) linkFaults() (faults []Fault) {
	if d.directors > 1 && d.random.IntN(2) == 0 {
		f := Fault{Kind: CutLinks, Targets: []int{0}, Peers: []int{1}, Both: d.random.IntN(2) == 0}
		f.AtMS, f.ForMS = d.span(soakMaxFaultMS)
		faults = append(faults, f)
	}
	return faults
}

// soakSpec returns the harness spec for a soak schedule.
func soakSpec(argv []string, s Schedule) Spec {
	return Spec{
		Argv: argv, CacheNodes: soakCacheNodes, WarmCaches: true, LoadAfter: time.Second, NoPeers: s.Directors == 1 || s.Seed%3 == 0,
		ChangeCluster: func(c *fakes.Spec) {
			c.ContentTypes[0].MeanTransfer, c.ContentTypes[1].MeanTransfer = 8*time.Millisecond, 40*time.Millisecond
			c.ContentTypes[0].RequestShare, c.ContentTypes[1].RequestShare, c.ContentTypes[2].RequestShare = 0.5, 0.38, 0.12
			if s.Seed%3 == 2 {
				sharpenColdStarts(c)
			}
		},
	}
}

// sharpenColdStarts makes cold caches fall at a lower load, over shorter windows and for longer, and
// requests hit warm caches nearly always. The directors' settings tell the same figures.
func sharpenColdStarts(c *fakes.Spec) {
	c.EdgeOverloadFactor, c.OverloadWindow, c.EdgeSlowStart = 2.5, 2*time.Second, 15*time.Second
	c.Objects = 20
}

// soakClients is a number of soak clients with the same behavior.
type soakClients struct {
	count    int
	behavior fakes.Behavior
}

// soakMix lists the clients of a soak.
var soakMix = []soakClients{
	{10, fakes.Behavior{MaxOpen: 1, MaxBurst: 1, MeanPause: 200 * time.Millisecond, RepeatShare: 0.5}},
	{4, fakes.Behavior{MaxOpen: 32, MaxBurst: 32, MeanPause: 1500 * time.Millisecond, RepeatShare: 0.5, Aimed: true}},
	{60, fakes.Behavior{MaxOpen: 4, MaxBurst: 1, MeanPause: 3 * time.Second, Aimed: true}},
	{4, fakes.Behavior{MaxOpen: 4, MaxBurst: 2, MeanPause: 250 * time.Millisecond, SlowShare: 1, Aimed: true}},
	{4, fakes.Behavior{MaxOpen: 8, MaxBurst: 4, MeanPause: 400 * time.Millisecond, CancelShare: 0.5}},
	{4, fakes.Behavior{MaxOpen: 8, MaxBurst: 4, MeanPause: 300 * time.Millisecond, LeaveShare: 0.3}},
}

// startSoakClients starts the clients of a soak.
func (h *Harness) startSoakClients() {
	random := rand.New(rand.NewPCG(h.Cluster.Seed, clientStream))
	for _, clients := range soakMix {
		h.StartPipelined(clients.count, clients.behavior, random)
	}
}

// TestSoakSchedule guards against seeds whose schedule is invalid or differs between two draws.
func TestSoakSchedule(t *testing.T) {
	for seed := range uint64(2000) {
		s := soakSchedule(seed)
		if err := s.Validate(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if again := soakSchedule(seed); again.String() != s.String() {
			t.Fatalf("seed %d: %v, then %v", seed, s, again)
		}
	}
}
