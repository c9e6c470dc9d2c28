package routing

import (
	"container/heap"
	"fmt"
	"math"

	"tallyproxy/policy"
)

// fleetEvent is a call that is due at a time of the simulation.
type fleetEvent struct {
	at    policy.Micros
	order int // of equal times
	call  func()
}

// eventQueue is a heap of events, earliest first. It implements heap.Interface.
type eventQueue struct {
	events []fleetEvent
	added  int
}

func (q *eventQueue) Len() int      { return len(q.events) }
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(fleetEvent)) }
func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}

func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

// at adds a call that is due at the given time.
func (f *coldFleet) at(due policy.Micros, call func()) {
	f.pending.added++
	heap.Push(&f.pending, fleetEvent{due, f.pending.added, call})
}

// run makes the due calls up to the given time.
func (f *coldFleet) run(until policy.Micros) {
	for f.pending.Len() > 0 && f.pending.events[0].at <= until {
		event := heap.Pop(&f.pending).(fleetEvent)
		f.now = event.at
		event.call()
	}
	f.now = until
}

// warmUp has each director route requests, whose answers it learns from, until it has seen some.
func (f *coldFleet) warmUp(requests int) {
	for i := range requests {
		for number := range f.routers {
			f.at(f.now+policy.Micros(i)*20*policy.Millisecond, func() { f.request(number) })
		}
	}
	f.run(f.now + policy.Micros(requests)*20*policy.Millisecond + 5*policy.Second)
}

// start makes the cold endpoints start, with the changes around the start, and plays the demand.
func (f *coldFleet) start() {
	f.startAt = f.now + f.spec.window/2
	prefix, kind, warm := "e", 0, f.spec.edges
	if f.spec.parent {
		prefix, kind, warm = "p", 1, f.spec.parents
	}
	f.at(f.startAt, func() {
		for i := range f.spec.coldNodes {
			e := f.endpoint(fmt.Sprint(prefix, "cold", i), kind)
			e.Started, e.Weight = f.now, f.spec.capacity*f.spec.sizeFactor
			f.publish(e)
		}
	})
	for i := range min(f.spec.removed, warm-1) {
		f.at(f.drawAround(), func() {
			e := f.list[fmt.Sprint(prefix, i)]
			e.State = policy.Removed
			f.publish(e)
		})
	}
	for i := range f.spec.added {
		f.at(f.drawAround(), func() { f.publish(f.endpoint(fmt.Sprint(prefix, "new", i), kind)) })
	}
	for number := range f.routers {
		if f.rng.Float64() < f.spec.restarted {
			f.at(f.startAt+policy.Micros(f.rng.Int64N(int64(f.spec.window))), func() { f.routers[number] = f.newRouter(uint64(number)) })
		}
	}
	f.playDemand()
}

// drawAround returns a time within a window of the start.
func (f *coldFleet) drawAround() policy.Micros {
	return f.startAt - f.spec.window/2 + policy.Micros(f.rng.Int64N(int64(3*f.spec.window/2)))
}

// publish puts an entry into the list and tells all directors of it, now or later.
func (f *coldFleet) publish(e policy.Endpoint) {
	if f.list[e.ID] = e; e.State == policy.Removed {
		delete(f.list, e.ID)
	}
	for number := range f.routers {
		delay := policy.Micros(0)
		if f.spec.announcedLate {
			delay = policy.Micros(f.rng.Int64N(int64(f.spec.window)))
		}
		f.at(f.now+delay, func() { f.routers[number].UpdateEndpoints(f.now, []policy.Endpoint{e}, false) })
	}
}

// playDemand has the directors route requests at random times until the end of the simulation.
func (f *coldFleet) playDemand() {
	end := f.startAt + policy.Micros(f.spec.windows)*f.spec.window
	tier, share := f.spec.edges, f.spec.initialShare
	if f.spec.parent {
		tier = f.spec.parents
	}
	rate := f.spec.demand * overloadBound(f.capacityAt(f.startAt)) * float64(tier+f.spec.coldNodes) / share
	if f.spec.parent {
		rate /= max(1-f.spec.hitsAfter, 0.1)
	}
	total := 0.0
	for _, load := range f.load {
		total += load
	}
	for number, load := range f.load {
		perWindow := rate * load / total
		mean := float64(f.spec.window) / perWindow
		next := f.startAt - f.spec.window/2
		for next += policy.Micros(f.rng.ExpFloat64() * mean); next < end; next += 1 + policy.Micros(f.rng.ExpFloat64()*mean) {
			f.at(next, func() { f.request(number) })
		}
	}
	f.run(end)
}

// request has a director route a new request.
func (f *coldFleet) request(number int) {
	kind := f.rng.IntN(f.spec.types)
	contentType := f.settings.ContentTypes[kind]
	transfer := f.meanWork[kind] * math.Exp(f.rng.NormFloat64()*f.spec.sigma-f.spec.sigma*f.spec.sigma/2)
	request := &policy.Request{
		Type: contentType, Object: fmt.Sprint("/o/", f.rng.IntN(f.spec.objects)), ArrivedAt: f.now, Deadline: f.now + contentType.Timeout,
	}
	if f.spec.requestSizes {
		request.SizeKB = transfer * f.settings.TransferKBPerSecond / float64(policy.Second)
	}
	router := f.routers[number]
	f.follow(router, request, kind, transfer, router.Route(f.now, request))
}

// follow carries out a decision of a router.
func (f *coldFleet) follow(router *Router, request *policy.Request, kind int, transfer float64, decision policy.Decision) {
	if decision.Action != policy.Send {
		request.Done = true // also if it is queued: the demand does not depend on it
		return
	}
	number := len(request.PolicyState.(*requestState).attempts) - 1
	end := func(at policy.Micros, result policy.Result, status policy.CacheStatus) {
		f.at(at, func() {
			request.Done = request.Done || result == policy.Succeeded
			next := router.AttemptDone(f.now, request, policy.Outcome{Attempt: number, Result: result, CacheStatus: status, Final: request.Done})
			if !request.Done {
				f.follow(router, request, kind, transfer, next)
			}
		})
	}
	written := f.writtenAt(decision.Endpoint)
	if written >= decision.NotAfter {
		end(decision.NotAfter, policy.Withdrawn, policy.Unknown)
		return
	}
	hit := f.isHit(decision.Endpoint)
	f.arrive(written, decision.Endpoint, f.meanWork[kind])
	if decision.Source.ID != decision.Endpoint.ID && !hit {
		f.arrive(written, decision.Source, f.meanWork[kind])
	}
	switch {
	case hit:
		end(written+policy.Micros(transfer), policy.Succeeded, f.status(policy.Hit))
	case decision.Source.ID == decision.Endpoint.ID || decision.OnlyIfCached:
		end(written+policy.Millisecond, policy.CacheMiss, policy.Unknown)
	default:
		end(written+policy.Micros(transfer), policy.Succeeded, f.status(policy.Filled))
	}
}

// status returns what an answer reports of its copy.
func (f *coldFleet) status(status policy.CacheStatus) policy.CacheStatus {
	if f.spec.sizesKnown {
		return policy.Unknown
	}
	return status
}

// isHit draws whether an edge cache or a parent holds an object. Cold caches hold none.
func (f *coldFleet) isHit(e *policy.Endpoint) bool {
	if e.Started > 0 {
		return false
	}
	if f.startAt == 0 || f.now < f.startAt {
		return f.rng.Float64() < f.spec.hitsBefore
	}
	return f.rng.Float64() < f.spec.hitsAfter
}

// writtenAt returns when an attempt that is sent now is written to its endpoint.
func (f *coldFleet) writtenAt(e *policy.Endpoint) policy.Micros {
	if e.Started == 0 {
		return f.now
	}
	longest := f.settings.ConnectTimeout
	switch f.spec.connect {
	case connectLate:
		return f.now + policy.Micros(f.rng.Int64N(int64(longest)))
	case connectTogether:
		return f.now - (f.now-f.startAt)%longest + longest
	}
	return f.now
}

// arrive records an attempt or a fill that reaches an endpoint in slow start.
func (f *coldFleet) arrive(at policy.Micros, e *policy.Endpoint, work float64) {
	if e.Started > 0 && at < e.Started+f.settings.EdgeSlowStart.Duration {
		f.arrivals[e.ID] = append(f.arrivals[e.ID], coldArrival{at, work})
	}
}
