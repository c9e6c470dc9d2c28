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

// The values in this file must never be recorded again. Routers of different versions run side by
// side during a rollout and must place every object on the same endpoints.

// TestGoldenHashes guards against a change of the hashes on which placement depends.
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

// TestGoldenPlacement checks the rank order of endpoints, one digit for each, by object and sizes.
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
		r := newTestRouter(s, 0, 1)
		var entries []policy.Endpoint
		for i, w := range weights {
			entries = append(entries, policy.Endpoint{ID: fmt.Sprint("edge-", i), Zone: 1, Weight: w})
		}
		r.updateEndpoints(entries...)
		for i := range 20 {
			object := fmt.Sprint("/object/", i)
			key := fmt.Sprint(object, " ", weights)
			state := &requestState{objectHash: hash.Mix(hash.String(object) + uint64(i%3))}
			var order strings.Builder
			chosen := map[*endpoint]bool{}
			for range weights {
				e := r.pick(r.now, &r.edges, state.objectHash, 0, func(e *endpoint) bool { return !chosen[e] })
				chosen[e] = true
				order.WriteString(strings.TrimPrefix(e.ID, "edge-"))
			}
			if got := order.String(); got != want[key] {
				t.Errorf("%q: %q,", key, got)
			}
		}
	}
}

// TestGoldenDecisions applies randomly generated events to the router and compares a hash of all
// decisions in order.
func TestGoldenDecisions(t *testing.T) {
	for _, c := range []struct {
		seed          uint64
		reportsStatus bool
		direct        bool
		attempts      int
		want          uint64
	}{
		{1, false, false, 1122, 0x8f375aaef8ca1899},
		{2, true, false, 1447, 0x90f464e2c44c44b3},
		{3, false, true, 1059, 0xfe888ba49c67dd49},
		{4, true, true, 1487, 0x76134bc13e2fc21},
		{5, true, true, 1440, 0x1af7b103c0282f2a},
		{6, true, false, 1379, 0x215ee23d74f3fc28},
	} {
		attempts, hash := runRandomHistory(c.seed, c.reportsStatus, c.direct)
		if attempts != c.attempts || hash != c.want {
			t.Errorf("{%d, %v, %v, %d, %#x},", c.seed, c.reportsStatus, c.direct, attempts, hash)
		}
	}
}

// runRandomHistory applies a sequence of events that depends only on the seed, and returns the
// number of attempts and the hash of all decisions.
func runRandomHistory(seed uint64, reportsStatus, direct bool) (attempts int, hash uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	var trace strings.Builder
	s := settings()
	s.Seed, s.ReportsCacheStatus, s.AllowDirect, s.WeightsAreSizes, s.ZoneDirectors, s.TotalDirectors = seed, reportsStatus, direct, seed%2 == 0, 2, 6
	s.ContentTypes = append(s.ContentTypes,
		&policy.ContentType{LatencyObjective: 800 * ms, TransferFactor: 1, Timeout: 6 * policy.Second, RetrySafety: policy.IdempotentWithKey, DedupWindow: policy.Second, PriorityWeight: 3, TTL: 9 * policy.Second},
		&policy.ContentType{LatencyObjective: 300 * ms, Timeout: 2 * policy.Second, RetrySafety: policy.NotIdempotent, PriorityWeight: 2, Uncacheable: true},
		&policy.ContentType{LatencyObjective: 500 * ms, Timeout: 4 * policy.Second, RetrySafety: policy.IdempotentWithKey, DedupScope: policy.DedupScopeCell, DedupWindow: 2 * policy.Second, PriorityWeight: 1})
	if seed%3 == 0 {
		s.FillLinkKBPerSecond = 0
	}
	r := newTestRouter(s, 4, 2)
	options := Options{Overload: overload.DefaultSettings(), Dedup: dedup.Settings{MaxRecords: 60, RetainWindows: 3, FailUnknownRetries: seed%2 == 1}}
	if seed > 2 {
		options.Overload.Mode = overload.ModeReserve
	}
	r.SetOptions(options)
	type sentAttempt struct {
		request *policy.Request
		attempt int
	}
	var inFlight []sentAttempt
	var queued []*policy.Request
	apply := func(request *policy.Request, decision policy.Decision) {
		target, source := "-", "-"
		if decision.Endpoint != nil {
			target = decision.Endpoint.ID
		}
		if decision.Source != nil {
			source = decision.Source.ID
		}
		fmt.Fprintf(&trace, "%d %d %s %s %d %d %v %v %v %d %d %d %d %v %d\n", r.now, decision.Action, target, source, decision.CacheRank, decision.MaxAge,
			decision.Coalesce, decision.OnlyIfCached, decision.Revalidate, decision.Timeout, decision.NotAfter, decision.Attempt, decision.RetryAfter, decision.Unprocessable, r.RecheckAfter(r.now, request))
		switch decision.Action {
		case policy.Send:
			inFlight = append(inFlight, sentAttempt{request, len(request.PolicyState.(*requestState).attempts) - 1})
			attempts++
		case policy.Queue:
			queued = append(queued, request)
		case policy.Reject, policy.Fail:
			request.Done = true
		}
	}
	for step := range 6000 {
		r.now += policy.Micros(rng.IntN(int(12 * ms)))
		if rng.IntN(60) == 0 {
			r.now += policy.Micros(rng.IntN(int(900 * ms)))
		}
		switch event := rng.IntN(100); {
		case event < 35:
			kind := s.ContentTypes[rng.IntN(len(s.ContentTypes))]
			request := &policy.Request{Type: kind, Object: fmt.Sprint("/o/", rng.IntN(60)), Part: rng.IntN(3), Group: rng.IntN(4), IsRetry: rng.IntN(8) == 0,
				ClientHash: uint64(rng.IntN(50)), ClientSuspect: rng.IntN(20) == 0, ArrivedAt: r.now, Deadline: r.now + kind.Timeout}
			if rng.IntN(2) == 0 {
				request.SizeKB = float64(50 + rng.IntN(400))
			}
			if kind.RetrySafety == policy.IdempotentWithKey {
				request.IdempotencyKey = fmt.Sprint("key", rng.IntN(2000))
			}
			apply(request, r.Route(r.now, request))
		case event < 80 && len(inFlight) > 0:
			i := rng.IntN(len(inFlight))
			sent := inFlight[i]
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
			result := policy.Succeeded
			if rng.IntN(4) == 0 {
				result = policy.Result(rng.IntN(int(policy.Withdrawn) + 1))
			}
			status := policy.Unknown
			if rng.IntN(4) > 0 {
				status = policy.CacheStatus(rng.IntN(int(policy.OriginFailed) + 1))
			}
			if result == policy.Succeeded {
				if status > policy.Stale {
					status = policy.Filled
				}
				sent.request.Done = true
			}
			apply(sent.request, r.AttemptDone(r.now, sent.request, policy.Outcome{Attempt: sent.attempt, Result: result, CacheStatus: status, Final: sent.request.Done}))
		case event < 90 && len(queued) > 0:
			request := queued[0]
			queued = queued[1:]
			apply(request, r.Route(r.now, request))
		case event < 96 && len(inFlight) > 0:
			sent := inFlight[rng.IntN(len(inFlight))]
			if decision := r.Route(r.now, sent.request); decision.Action == policy.CancelAttempt {
				apply(sent.request, decision)
			}
		case event < 97:
			r.Purge(r.now, []string{"", fmt.Sprint("/o/", rng.IntN(60))}[rng.IntN(2)], rng.IntN(5)-1, r.now-policy.Micros(rng.IntN(int(policy.Second))))
		case event < 98:
			id, kind, zone := fmt.Sprint("e", rng.IntN(5)), 0, 1
			if rng.IntN(3) == 0 {
				id, kind, zone = fmt.Sprint("p", rng.IntN(3)), 1, 0
			}
			started := policy.Micros(0)
			if rng.IntN(2) == 0 {
				started = r.now
			}
			r.updateEndpoints(policy.Endpoint{ID: id, Kind: kind, Zone: zone, Cell: rng.IntN(3), Weight: float64(1 + rng.IntN(3)), State: policy.EndpointState(rng.IntN(8) / 6), Started: started})
		case event < 99:
			r.ClientConnected(r.now)
			r.ProbeDone(r.now, fmt.Sprint("e", rng.IntN(5)), rng.IntN(2) == 0, rng.IntN(2) == 0)
		default:
			fmt.Fprintln(&trace, step, r.Capacity(r.now), r.WarmCapacity(), r.fillLatency, r.missRatio, r.errorRate, r.fillLimiter.limit, r.originLimiter.limit)
		}
	}
	return attempts, sum64(&trace)
}

// TestGoldenTimeouts checks the timeouts that are derived from the settings.
func TestGoldenTimeouts(t *testing.T) {
	s := settings()
	s.AnswerGrace, s.ConnectTimeout, s.KeepAliveTimeout, s.MaxConcurrentStreams = 30*ms, 400*ms, 30*policy.Second, 250
	s.PurgePropagation, s.DrainPropagation = 900*ms, 700*ms
	timeouts := Timeouts(s)
	got := fmt.Sprint(timeouts.AnswerReserve, timeouts.Connect, timeouts.ReadStall, timeouts.Idle, timeouts.PreferredStreams, timeouts.MaxStreams, timeouts.CancelConfirm, timeouts.RequestRead, timeouts.DownstreamIdle, timeouts.DefaultRetryAfter, timeouts.WriteFlush, timeouts.DrainAccept,
		timeouts.DrainDeadline, timeouts.LongPoll, timeouts.PollRetry, timeouts.Heartbeat, timeouts.StallThreshold, timeouts.SuspectTimeout, timeouts.MaxDecisionAge)
	if want := "60000 400000 200000 1875000 2 250 100000 2000000 5000000 400000 5000000 800000 3350000 1200000 100000 40000 200000 800000 50000"; got != want {
		t.Errorf("%q", got)
	}
}

// TestGoldenView checks the JSON encoding of endpoints on the state socket.
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

// TestGoldenEndpoints checks the names of endpoint kinds and states on the state socket.
func TestGoldenEndpoints(t *testing.T) {
	r := newTestRouter(settings(), 1, 1)
	r.updateEndpoints(policy.Endpoint{ID: "e1", Zone: 1, State: policy.Draining, Started: r.now}, policy.Endpoint{ID: "x", Zone: 2})
	r.now += policy.Second
	got, err := json.Marshal(r.Endpoints(r.now))
	if want := `[{"id":"e0","kind":"edge","state":"ready","warm":1,"out":0,"limit":8,"skipped":0,"trial":false,"heard":1},{"id":"e1","kind":"edge","state":"draining","warm":0.28,"out":0,"limit":8,"skipped":0,"trial":false,"heard":1},{"id":"o","kind":"origin","state":"ready","warm":1,"out":0,"limit":0,"skipped":0,"trial":false,"heard":1},{"id":"p0","kind":"parent","state":"ready","warm":1,"out":0,"limit":0,"skipped":0,"trial":false,"heard":1},{"id":"x","kind":"other","state":"ready","warm":1,"out":0,"limit":0,"skipped":0,"trial":false,"heard":1}]`; err != nil || string(got) != want {
		t.Errorf("%s, %v", got, err)
	}
}

// sum64 returns the FNV-1a hash of a trace.
func sum64(trace *strings.Builder) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(trace.String()))
	return sum.Sum64()
}
