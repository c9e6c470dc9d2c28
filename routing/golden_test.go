package routing

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"

	"tallyproxy/dedup"
	"tallyproxy/internal/hash"
	"tallyproxy/overload"
	"tallyproxy/policy"
)

// The values in this file were recorded once and are never recorded anew: routers of different versions run side by side during a
// roll-out and must place every object alike.

func TestGoldenHashes(t *testing.T) {
	for _, c := range []struct {
		text        string
		hash, mixed uint64
		unit        float64
	}{
		{"", 0xc3817c016ba4ff30, 0x21fa69a58f3d62f5, 0.1327272443006584},
		{"a", 0x5f29c2aadd9b8527, 0xd6b886a45cb41f2b, 0.8387531424784388},
		{"e0", 0x39a03e255a057248, 0x2c9c56e30350eeb6, 0.1742605499487727},
		{"/o/1", 0xb17f32bde0aa7eb5, 0xcc297afa2fc8045d, 0.7975079403693428},
		{"cache-17.zone-3", 0xc4ec27172491a000, 0xdc72db6e89fa2b04, 0.8611275811071911},
		{"ä", 0x9f520a0861a56b8a, 0xbcfcbcb3295f1745, 0.73823146223128},
		{"a much longer name of an object, with spaces", 0x90e72f0bddc5d21b, 0x1684f64a8253e419, 0.08796634024686467},
	} {
		if got := hash.String(c.text); got != c.hash || hash.Mix(got) != c.mixed || hash.Unit(got) != c.unit {
			t.Errorf("{%q, %#x, %#x, %v},", c.text, got, hash.Mix(got), hash.Unit(got))
		}
	}
}

// TestGoldenPlacement checks the order in which the rendezvous hash prefers endpoints, one digit an endpoint, for objects and sizes.
func TestGoldenPlacement(t *testing.T) {
	want := map[string]string{
		"/object/0 [1 1 1 1 1]":    "31024",
		"/object/1 [1 1 1 1 1]":    "32014",
		"/object/2 [1 1 1 1 1]":    "13024",
		"/object/3 [1 1 1 1 1]":    "24130",
		"/object/4 [1 1 1 1 1]":    "41203",
		"/object/5 [1 1 1 1 1]":    "13024",
		"/object/6 [1 1 1 1 1]":    "12430",
		"/object/7 [1 1 1 1 1]":    "30124",
		"/object/8 [1 1 1 1 1]":    "14032",
		"/object/9 [1 1 1 1 1]":    "14320",
		"/object/10 [1 1 1 1 1]":   "01432",
		"/object/11 [1 1 1 1 1]":   "02413",
		"/object/12 [1 1 1 1 1]":   "32401",
		"/object/13 [1 1 1 1 1]":   "41302",
		"/object/14 [1 1 1 1 1]":   "32401",
		"/object/15 [1 1 1 1 1]":   "42310",
		"/object/16 [1 1 1 1 1]":   "14203",
		"/object/17 [1 1 1 1 1]":   "12340",
		"/object/18 [1 1 1 1 1]":   "10423",
		"/object/19 [1 1 1 1 1]":   "40231",
		"/object/0 [1 2 4 0.5 1]":  "12304",
		"/object/1 [1 2 4 0.5 1]":  "32104",
		"/object/2 [1 2 4 0.5 1]":  "12034",
		"/object/3 [1 2 4 0.5 1]":  "24103",
		"/object/4 [1 2 4 0.5 1]":  "14203",
		"/object/5 [1 2 4 0.5 1]":  "12043",
		"/object/6 [1 2 4 0.5 1]":  "12403",
		"/object/7 [1 2 4 0.5 1]":  "20134",
		"/object/8 [1 2 4 0.5 1]":  "12403",
		"/object/9 [1 2 4 0.5 1]":  "14230",
		"/object/10 [1 2 4 0.5 1]": "10243",
		"/object/11 [1 2 4 0.5 1]": "20143",
		"/object/12 [1 2 4 0.5 1]": "21340",
		"/object/13 [1 2 4 0.5 1]": "14023",
		"/object/14 [1 2 4 0.5 1]": "24301",
		"/object/15 [1 2 4 0.5 1]": "42103",
		"/object/16 [1 2 4 0.5 1]": "12403",
		"/object/17 [1 2 4 0.5 1]": "12430",
		"/object/18 [1 2 4 0.5 1]": "12043",
		"/object/19 [1 2 4 0.5 1]": "42013",
	}
	for _, weights := range [][]float64{{1, 1, 1, 1, 1}, {1, 2, 4, 0.5, 1}} {
		s := settings()
		s.WeightsAreSizes = true
		b := newTestRouter(s, 0, 1)
		var rows []policy.Endpoint
		for i, w := range weights {
			rows = append(rows, policy.Endpoint{ID: fmt.Sprint("edge-", i), Zone: 1, Weight: w})
		}
		b.updateEndpoints(rows...)
		for i := range 20 {
			object := fmt.Sprint("/object/", i)
			key := fmt.Sprint(object, " ", weights)
			state := &requestState{objectHash: hash.Mix(hash.String(object) + uint64(i%3))}
			var order strings.Builder
			seen := map[*endpoint]bool{}
			for range weights {
				n := b.pick(b.now, &b.edges, state.objectHash, 0, func(n *endpoint) bool { return !seen[n] })
				seen[n] = true
				order.WriteString(strings.TrimPrefix(n.ID, "edge-"))
			}
			if got := order.String(); got != want[key] {
				t.Errorf("%q: %q,", key, got)
			}
		}
	}
}

// TestGoldenDecisions plays a drawn history against the router and compares a hash of every decision, in its order.
func TestGoldenDecisions(t *testing.T) {
	for _, c := range []struct {
		seed     uint64
		reported bool
		direct   bool
		attempts int
		want     uint64
	}{
		{1, false, false, 921, 0xb4b7986d983c5426},
		{2, true, false, 939, 0xbde08a9f4ca6048f},
		{3, false, true, 1059, 0xfe888ba49c67dd49},
		{4, true, true, 1453, 0x9fb1a112da7e482a},
		{5, true, true, 1500, 0x41b4d9549f287acf},
		{6, true, false, 1067, 0xdb5cb4a7ce79ea4b},
	} {
		attempts, hash := playDrawn(c.seed, c.reported, c.direct)
		if attempts != c.attempts || hash != c.want {
			t.Errorf("{%d, %v, %v, %d, %#x},", c.seed, c.reported, c.direct, attempts, hash)
		}
	}
}

// playDrawn plays a history that depends on the seed alone.
func playDrawn(seed uint64, reported, direct bool) (attempts int, hash uint64) {
	r := rand.New(rand.NewPCG(seed, 7))
	var trace strings.Builder
	s := settings()
	s.Seed, s.ReportsCacheStatus, s.AllowDirect, s.WeightsAreSizes, s.ZoneDirectors, s.TotalDirectors = seed, reported, direct, seed%2 == 0, 2, 6
	s.ContentTypes = append(s.ContentTypes,
		&policy.ContentType{LatencyObjective: 800 * ms, TransferFactor: 1, Timeout: 6 * policy.Second, RetrySafety: policy.IdempotentWithKey, DedupWindow: policy.Second, PriorityWeight: 3, TTL: 9 * policy.Second},
		&policy.ContentType{LatencyObjective: 300 * ms, Timeout: 2 * policy.Second, RetrySafety: policy.NotIdempotent, PriorityWeight: 2, Uncacheable: true},
		&policy.ContentType{LatencyObjective: 500 * ms, Timeout: 4 * policy.Second, RetrySafety: policy.IdempotentWithKey, DedupScope: policy.DedupScopeCell, DedupWindow: 2 * policy.Second, PriorityWeight: 1})
	if seed%3 == 0 {
		s.FillLinkKBPerSecond = 0
	}
	b := newTestRouter(s, 4, 2)
	o := Options{Overload: overload.DefaultSettings(), Dedup: dedup.Settings{MaxRecords: 60, RetainWindows: 3, FailUnknownRetries: seed%2 == 1}}
	if seed > 2 {
		o.Overload.Mode = overload.ModeReserve
	}
	b.SetOptions(o)
	type flight struct {
		request *policy.Request
		attempt int
	}
	var out []flight
	var waiting []*policy.Request
	take := func(request *policy.Request, decision policy.Decision) {
		target, source := "-", "-"
		if decision.Endpoint != nil {
			target = decision.Endpoint.ID
		}
		if decision.Source != nil {
			source = decision.Source.ID
		}
		fmt.Fprintf(&trace, "%d %d %s %s %d %d %v %v %v %d %d %d %d %v %d\n", b.now, decision.Action, target, source, decision.CacheRank, decision.MaxAge,
			decision.Coalesce, decision.OnlyIfCached, decision.Revalidate, decision.Timeout, decision.NotAfter, decision.Attempt, decision.RetryAfter, decision.Unprocessable, b.RecheckAfter(b.now, request))
		switch decision.Action {
		case policy.Send:
			out = append(out, flight{request, len(request.PolicyState.(*requestState).attempts) - 1})
			attempts++
		case policy.Queue:
			waiting = append(waiting, request)
		case policy.Reject, policy.Fail:
			request.Done = true
		}
	}
	for step := range 6000 {
		b.now += policy.Micros(r.IntN(int(12 * ms)))
		if r.IntN(60) == 0 {
			b.now += policy.Micros(r.IntN(int(900 * ms)))
		}
		switch what := r.IntN(100); {
		case what < 35:
			kind := s.ContentTypes[r.IntN(len(s.ContentTypes))]
			request := &policy.Request{Type: kind, Object: fmt.Sprint("/o/", r.IntN(60)), Part: r.IntN(3), Group: r.IntN(4), IsRetry: r.IntN(8) == 0,
				ClientHash: uint64(r.IntN(50)), ClientSuspect: r.IntN(20) == 0, ArrivedAt: b.now, Deadline: b.now + kind.Timeout}
			if r.IntN(2) == 0 {
				request.SizeKB = float64(50 + r.IntN(400))
			}
			if kind.RetrySafety == policy.IdempotentWithKey {
				request.IdempotencyKey = fmt.Sprint("key", r.IntN(2000))
			}
			take(request, b.Route(b.now, request))
		case what < 80 && len(out) > 0:
			i := r.IntN(len(out))
			f := out[i]
			out = append(out[:i], out[i+1:]...)
			result := policy.Succeeded
			if r.IntN(4) == 0 {
				result = policy.Result(r.IntN(int(policy.Withdrawn) + 1))
			}
			status := policy.Unknown
			if r.IntN(4) > 0 {
				status = policy.CacheStatus(r.IntN(int(policy.OriginFailed) + 1))
			}
			if result == policy.Succeeded {
				if status > policy.Stale {
					status = policy.Filled
				}
				f.request.Done = true
			}
			take(f.request, b.AttemptDone(b.now, f.request, policy.Outcome{Attempt: f.attempt, Result: result, CacheStatus: status, Final: f.request.Done}))
		case what < 90 && len(waiting) > 0:
			request := waiting[0]
			waiting = waiting[1:]
			take(request, b.Route(b.now, request))
		case what < 96 && len(out) > 0:
			f := out[r.IntN(len(out))]
			if decision := b.Route(b.now, f.request); decision.Action == policy.CancelAttempt {
				take(f.request, decision)
			}
		case what < 97:
			b.Purge(b.now, []string{"", fmt.Sprint("/o/", r.IntN(60))}[r.IntN(2)], r.IntN(5)-1, b.now-policy.Micros(r.IntN(int(policy.Second))))
		case what < 98:
			id, kind, zone := fmt.Sprint("e", r.IntN(5)), 0, 1
			if r.IntN(3) == 0 {
				id, kind, zone = fmt.Sprint("p", r.IntN(3)), 1, 0
			}
			started := policy.Micros(0)
			if r.IntN(2) == 0 {
				started = b.now
			}
			b.updateEndpoints(policy.Endpoint{ID: id, Kind: kind, Zone: zone, Cell: r.IntN(3), Weight: float64(1 + r.IntN(3)), State: policy.EndpointState(r.IntN(8) / 6), Started: started})
		case what < 99:
			b.ClientConnected(b.now)
			b.ProbeDone(b.now, fmt.Sprint("e", r.IntN(5)), r.IntN(2) == 0, r.IntN(2) == 0)
		default:
			fmt.Fprintln(&trace, step, b.Capacity(b.now), b.WarmCapacity(), b.fillLatency, b.missRatio, b.errorRate, b.fillLimiter.limit, b.originLimiter.limit)
		}
	}
	return attempts, sum64(&trace)
}

// TestGoldenTimeouts checks the times that sockets call for.
func TestGoldenTimeouts(t *testing.T) {
	s := settings()
	s.AnswerGrace, s.ConnectTimeout, s.KeepAliveTimeout, s.MaxConcurrentStreams = 30*ms, 400*ms, 30*policy.Second, 250
	s.PurgePropagation, s.DrainPropagation = 900*ms, 700*ms
	m := Timeouts(s)
	got := fmt.Sprint(m.AnswerReserve, m.Connect, m.ReadStall, m.Idle, m.PreferredStreams, m.MaxStreams, m.CancelConfirm, m.RequestRead, m.DownstreamIdle, m.DefaultRetryAfter, m.WriteFlush, m.DrainAccept,
		m.DrainDeadline, m.LongPoll, m.PollRetry, m.Heartbeat, m.StallThreshold, m.SuspectTimeout, m.MaxDecisionAge)
	if want := "60000 400000 200000 1875000 2 250 100000 2000000 5000000 400000 5000000 800000 3350000 1200000 100000 40000 200000 800000 50000"; got != want {
		t.Errorf("%q", got)
	}
}

// TestGoldenView checks the JSON of the state socket.
func TestGoldenView(t *testing.T) {
	const want = `{"id":"e0","kind":"edge","state":"ready","warm":0.5,"out":3,"limit":2.5,"skipped":1.25,"trial":true,"heard":0.125}`
	view := EndpointView{
		ID: "e0", Kind: "edge", State: "ready", SlowStartShare: 0.5, InFlight: 3, Limit: 2.5, EjectedFor: 1.25, HalfOpen: true, LastAnswer: 0.125,
	}
	if got, err := json.Marshal(view); err != nil || string(got) != want {
		t.Errorf("%s, %v", got, err)
	}
	var decoded EndpointView
	if err := json.Unmarshal([]byte(want), &decoded); err != nil || decoded != view {
		t.Errorf("%+v, %v", decoded, err)
	}
}

// TestGoldenEndpoints checks the words for kinds and states of endpoints.
func TestGoldenEndpoints(t *testing.T) {
	b := newTestRouter(settings(), 1, 1)
	b.updateEndpoints(policy.Endpoint{ID: "e1", Zone: 1, State: policy.Draining, Started: b.now}, policy.Endpoint{ID: "x", Zone: 2})
	b.now += policy.Second
	got, err := json.Marshal(b.Endpoints(b.now))
	if want := `[{"id":"e0","kind":"edge","state":"ready","warm":1,"out":0,"limit":8,"skipped":0,"trial":false,"heard":1},{"id":"e1","kind":"edge","state":"draining","warm":0.28,"out":0,"limit":8,"skipped":0,"trial":false,"heard":1},{"id":"o","kind":"origin","state":"ready","warm":1,"out":0,"limit":0,"skipped":0,"trial":false,"heard":1},{"id":"p0","kind":"parent","state":"ready","warm":1,"out":0,"limit":0,"skipped":0,"trial":false,"heard":1},{"id":"x","kind":"other","state":"ready","warm":1,"out":0,"limit":0,"skipped":0,"trial":false,"heard":1}]`; err != nil || string(got) != want {
		t.Errorf("%s, %v", got, err)
	}
}

// sum64 is the FNV-1a hash of a trace.
func sum64(trace *strings.Builder) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(trace.String()))
	return sum.Sum64()
}
