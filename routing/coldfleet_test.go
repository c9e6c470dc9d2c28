package routing

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// coldFleet is a simulated fleet of routers around endpoints that start cold. It holds the true
// capacity of each cold endpoint, of which the routers know only what the settings and the answers
// tell them.
type coldFleet struct {
	spec     coldFleetSpec
	settings policy.Settings
	rng      *rand.Rand
	routers  []*Router
	load     []float64 // relative load of each router
	meanWork []float64 // true mean transfer time by content type, in µs
	list     map[string]policy.Endpoint
	now      policy.Micros
	startAt  policy.Micros // when the cold endpoints start
	pending  eventQueue
	arrivals map[string][]coldArrival // at each cold endpoint
}

// coldArrival is an attempt or a fill that arrives at a cold endpoint.
type coldArrival struct {
	at   policy.Micros
	work float64 // mean work of its content type
}

// coldFleetSpec describes the fleet and what happens around the start.
type coldFleetSpec struct {
	directors     int
	window        policy.Micros
	parent        bool    // parents start cold, not edge caches
	sizesKnown    bool    // the list tells the endpoints' sizes, and no link is told
	requestSizes  bool    // requests tell the size of their answers
	edges         int     // warm edge caches before the start
	parents       int     // warm parents before the start
	coldNodes     int     // endpoints that start cold
	capacity      float64 // true capacity of an endpoint of mean size, in transfers
	linkRatio     float64 // link per edge cache, as a share of the cache's capacity
	sizeFactor    float64 // true size of the cold endpoints, relative to the mean
	initialShare  float64 // share of its capacity that an endpoint has at its start
	workRatio     float64 // mean transfer time, as a share of the latency objective
	types         int     // content types
	sigma         float64 // standard deviation of the logarithm of transfer times
	hitsBefore    float64 // hit ratio of warm caches before the start
	hitsAfter     float64 // hit ratio of warm caches afterwards
	objects       int     // number of objects
	heavyDirector float64 // load of the first director, relative to the others
	demand        float64 // demand for the cold endpoints, as a multiple of their bound
	restarted     float64 // share of the directors that are replaced soon after the start
	removed       int     // warm endpoints of the tier that are removed around the start
	added         int     // warm endpoints of the tier that are added around the start
	announcedLate bool    // directors hear of the start at different times
	connect       connectMode
	windows       int           // overload windows that are simulated after the start
	connectLimit  policy.Micros // longest time in which a connection may come up
}

// connectMode is how connections to cold endpoints come up.
type connectMode int

const (
	connectAtOnce   connectMode = iota
	connectLate                 // each after a delay of its own
	connectTogether             // all at the same moments
)

// newColdFleet returns a fleet whose endpoints are all warm.
func newColdFleet(seed uint64, spec coldFleetSpec) *coldFleet {
	f := &coldFleet{
		spec: spec, rng: rand.New(rand.NewPCG(seed, 1)), now: 1000 * policy.Second,
		list: map[string]policy.Endpoint{}, arrivals: map[string][]coldArrival{},
	}
	f.settings = policy.Settings{
		Zone: 1, ZoneDirectors: spec.directors, TotalDirectors: spec.directors, ParentKind: 1, OriginKind: 2, CanCancel: true,
		MaxAttempts: 8, ReportsCacheStatus: !spec.sizesKnown, WeightsAreSizes: spec.sizesKnown, PurgeRetention: 6 * policy.Second,
		ConnectTimeout: spec.connectLimit,
		EdgeSlowStart:  policy.SlowStart{InitialShare: spec.initialShare, Duration: 12 * policy.Second, OverloadFactor: 2.5, OverloadWindow: spec.window},
	}
	f.settings.ParentSlowStart = f.settings.EdgeSlowStart
	f.settings.ParentSlowStart.OverloadFactor = 2
	if spec.requestSizes {
		f.settings.TransferKBPerSecond = 1000
	} else {
		f.settings.TransferKBPerSecond = 1 // the unit of the link below
	}
	if !spec.sizesKnown {
		f.settings.FillLinkKBPerSecond = spec.capacity * spec.linkRatio * float64(spec.edges) * f.settings.TransferKBPerSecond
	}
	for i := range spec.types {
		objective := policy.Micros(200+300*i) * policy.Millisecond
		f.settings.ContentTypes = append(f.settings.ContentTypes, &policy.ContentType{
			LatencyObjective: objective, TransferFactor: 2, Timeout: 5 * policy.Second, PriorityWeight: 1,
		})
		f.meanWork = append(f.meanWork, spec.workRatio*float64(objective))
	}
	f.addWarmEndpoints()
	for i := range spec.directors {
		f.routers = append(f.routers, f.newRouter(uint64(i)))
		f.load = append(f.load, math.Exp(f.rng.NormFloat64()/2))
	}
	f.load[0] *= spec.heavyDirector
	return f
}

// addWarmEndpoints puts the warm endpoints and the origin into the list.
func (f *coldFleet) addWarmEndpoints() {
	for i := range f.spec.edges {
		f.list[fmt.Sprint("e", i)] = f.endpoint(fmt.Sprint("e", i), 0)
	}
	for i := range f.spec.parents {
		f.list[fmt.Sprint("p", i)] = f.endpoint(fmt.Sprint("p", i), 1)
	}
	f.list["o"] = policy.Endpoint{ID: "o", Kind: 2}
}

// endpoint returns a list entry of an edge cache (kind 0) or a parent (kind 1) of mean size.
func (f *coldFleet) endpoint(id string, kind int) policy.Endpoint {
	return policy.Endpoint{ID: id, Kind: kind, Zone: 1 - kind, Weight: f.spec.capacity}
}

// newRouter returns a router that knows the present list.
func (f *coldFleet) newRouter(seed uint64) *Router {
	settings := f.settings
	settings.Seed = hash.Mix(seed + f.rng.Uint64())
	r := New(settings, Options{})
	r.UpdateEndpoints(f.now, f.entries(), true)
	return r
}

// entries returns the list in the order of the endpoints' IDs.
func (f *coldFleet) entries() (entries []policy.Endpoint) {
	for _, e := range f.list {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b policy.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return entries
}

// meanDemandWork returns the mean transfer time over all requests.
func (f *coldFleet) meanDemandWork() float64 {
	sum := 0.0
	for _, work := range f.meanWork {
		sum += work
	}
	return sum / float64(len(f.meanWork))
}

// capacityAt returns the number of requests of mean work that a cold endpoint can take in a window
// if it has the capacity of the given time throughout: N of ../given/kit/more/mass/STANDING.md, from
// its true capacity.
func (f *coldFleet) capacityAt(at policy.Micros) float64 {
	slowStart, capacity := f.settings.EdgeSlowStart, f.spec.capacity*f.spec.sizeFactor
	if f.spec.parent {
		slowStart = f.settings.ParentSlowStart
		if !f.spec.sizesKnown { // parents together carry what the link does
			capacity = f.spec.capacity * f.spec.linkRatio * float64(f.spec.edges) / float64(f.spec.parents)
		}
	}
	share := slowStart.InitialShare + (1-slowStart.InitialShare)*float64(max(0, at-f.startAt))/float64(slowStart.Duration)
	return slowStart.OverloadFactor * capacity * min(1, share) * float64(slowStart.OverloadWindow) / f.meanDemandWork()
}

// overloadBound returns the number of requests of mean work in a window above which a cold endpoint
// that can take n falls, as ../given/kit/more/mass/STANDING.md has it.
func overloadBound(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// peakLoad returns the highest load of a cold endpoint in any window, as a multiple of its bound.
func (f *coldFleet) peakLoad(id string) (peak float64) {
	arrivals := f.arrivals[id]
	slices.SortFunc(arrivals, func(a, b coldArrival) int { return cmp.Compare(a.at, b.at) })
	sum, last := 0.0, 0
	for i, first := range arrivals {
		for ; last < len(arrivals) && arrivals[last].at < first.at+f.spec.window; last++ {
			sum += arrivals[last].work
		}
		middle := first.at + f.spec.window/2 // the capacity rises linearly
		peak = max(peak, sum/f.meanDemandWork()/overloadBound(f.capacityAt(middle)))
		sum -= arrivals[i].work
	}
	return peak
}
