package routing

import (
	"fmt"
	"math"
	"testing"

	"tallyproxy/internal/hash"
	"tallyproxy/policy"
)

// Rule 4 under the sum: directors that know nothing of one another, all alike and all asked at once for more than fits, keep what
// a cold node bears in every window, with no more beyond it than chance has. What a part does not fill is not lost either.
func TestColdNodeUnderTheSum(t *testing.T) {
	for _, directors := range []int{1, 3, 8, 20, 30, 60, 300} {
		for _, busy := range []int{1, 12} { // how much more one of them is asked for
			t.Run(fmt.Sprint(directors, " directors, one asked ", busy, " times as much"), func(t *testing.T) {
				s := settings()
				s.ZoneDirectors = directors
				var beds []*testRouter
				for i := range directors {
					s.Seed = hash.Mix(uint64(i))
					b := newTestRouter(s, 3, 1)
					b.updateEndpoints(policy.Endpoint{ID: "e9", Zone: 1, Started: b.now})
					beds = append(beds, b)
				}
				begun, number := beds[0].now, 0
				var sent []policy.Micros
				for beds[0].now < begun+s.EdgeSlowStart.Duration {
					for i, b := range beds {
						times := 1
						if i == 0 {
							times = busy
						}
						for range times * max(1, 240/directors) {
							number++
							b.missRatio = 0.5
							dl, ans := b.route(fmt.Sprint(number))
							if ans.Action != policy.Send {
								continue
							}
							if ans.Endpoint.ID == "e9" {
								sent = append(sent, b.now)
							}
							b.finish(dl, 0, policy.Succeeded, policy.Hit)
						}
						b.now += 100 * ms
					}
				}
				bears := func(at policy.Micros) float64 { // of the link's four transfers; half of pulls miss; 0.2 s of work each
					return s.EdgeSlowStart.OverloadFactor * 4 / 4 / 0.5 * slowStartShare(at, beds[0].endpoints["e9"], s.EdgeSlowStart) / 0.2 * 2
				}
				all := 0.0
				for i, at := range sent {
					last := i
					for last < len(sent) && sent[last] < at+s.EdgeSlowStart.OverloadWindow {
						last++
					}
					if n := bears(at); float64(last-i) > n+2*math.Sqrt(n)+2 {
						t.Fatalf("%d in the window from %d ms, which bears %.1f", last-i, (at-begun)/ms, n)
					}
				}
				for at := begun; at < begun+s.EdgeSlowStart.Duration; at += s.EdgeSlowStart.OverloadWindow {
					all += bears(at)
				}
				if float64(len(sent)) < all/5 {
					t.Errorf("%d in all, where %.0f would have been borne", len(sent), all)
				}
			})
		}
	}
}

// A deduped download whose window ends is not begun after it, however long its pull waits to be written.
func TestNoPullBeginsTooLate(t *testing.T) {
	cases := []struct {
		name   string
		repeat policy.RetrySafety
		window policy.Micros
		before policy.Micros // of the second pull, after the first was sent
	}{
		{"retriable", policy.Idempotent, policy.Second, 3 * policy.Second},
		{"deduped, a short window", policy.IdempotentWithKey, policy.Second, policy.Second},
		{"deduped, a long window", policy.IdempotentWithKey, 9 * policy.Second, 3 * policy.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newTestRouter(settings(), 3, 1)
			b.t.RetrySafety, b.t.DedupWindow = c.repeat, c.window
			begun := b.now
			dl, first := b.route("a")
			if first.Action != policy.Send || first.NotAfter != dl.Deadline {
				t.Fatalf("first %+v", first)
			}
			again := b.finish(dl, 10*ms, policy.Failed, policy.CacheFull)
			if again.Action != policy.Send || again.NotAfter != begun+c.before {
				t.Errorf("again %+v, want it before %d", again, begun+c.before)
			}
		})
	}
}

// The protocol's figures hold with any settings: what was taken is answered before the process may be killed, and clients that send
// what is no message have their end in time.
func TestMarginsOfAnyCustomer(t *testing.T) {
	for _, connect := range []policy.Micros{20 * ms, 400 * ms, 5 * policy.Second} {
		for _, expiry := range []policy.Micros{500 * ms, 1500 * ms, 30 * policy.Second} {
			s := settings()
			s.ConnectTimeout, s.KeepAliveTimeout, s.MaxConcurrentStreams = connect, 30*policy.Second, 100
			s.ContentTypes[0].Timeout = expiry
			m := Timeouts(s)
			if m.DrainAccept <= 600*ms || m.DrainAccept > policy.Second || m.DrainDeadline > min(expiry, 3*policy.Second)+500*ms || m.MaxDecisionAge > 50*ms ||
				m.RequestRead+m.RequestRead/8 > 3*policy.Second || m.RequestRead < policy.Second { // it is looked for eight times in that time
				t.Errorf("connect %d, expiry %d: linger %d, stop %d, late %d, silent %d", connect, expiry, m.DrainAccept, m.DrainDeadline, m.MaxDecisionAge, m.RequestRead)
			}
		}
	}
}

// A pull that was recalled is as if it had not been decided, however often that happens while the list turns over: it counts neither
// towards the attempts nor, while pulls are late, as one that may not be followed.
func TestRecalledAgainAndAgain(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		b := newTestRouter(settings(), 3, 1)
		dl, ans := b.route("a")
		if overloaded {
			b.errorRate = 1
		}
		for i := range 4 * b.settings.MaxAttempts {
			if ans.Action != policy.Send {
				t.Fatalf("overloaded %v: after %d recalls %+v", overloaded, i, ans)
			}
			ans = b.finish(dl, ms, policy.Withdrawn, policy.Unknown)
		}
		if ans = b.finish(dl, ms, policy.Succeeded, policy.Hit); ans.Action != policy.None {
			t.Errorf("overloaded %v: in the end %+v", overloaded, ans)
		}
	}
}

// What passes through is never a hit, so how long it takes is learned from any answer of a node that is not near its limit. Else it is
// taken for as long as its whole target time: a customer most of whose downloads are writes could not use a cold node, and had none held.
func TestPassThroughIsLearned(t *testing.T) {
	for _, c := range []struct {
		name        string
		passThrough bool
		filling     policy.CacheStatus
		learned     bool
	}{
		{"what passes through", true, policy.FilledByOrigin, true},
		{"what passes through, untold", true, policy.Unknown, true},
		{"a hit", false, policy.Hit, true},
		{"a fill", false, policy.FilledByOrigin, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := settings()
			s.ReportsCacheStatus = c.filling != policy.Unknown
			s.ContentTypes[0].Uncacheable = c.passThrough
			b := newTestRouter(s, 3, 1)
			ask := func(object string) (*policy.Request, policy.Decision) {
				dl := b.request(object)
				dl.SizeKB = 0
				return dl, b.Route(b.now, dl)
			}
			sent := func() (n int) { // to a cold node in a window
				b.missRatio = 0.5
				b.updateEndpoints(policy.Endpoint{ID: "e9", Zone: 1, Started: b.now})
				for until := b.now + s.EdgeSlowStart.OverloadWindow; b.now < until; b.now += 50 * ms {
					for i := range 20 {
						dl, ans := ask(fmt.Sprint("cold", b.now, " ", i))
						if ans.Action == policy.Send && ans.Endpoint.ID == "e9" {
							n++
						}
						if ans.Action == policy.Send {
							dl.Done = true // its client has left
							b.finish(dl, 0, policy.NotSent, policy.Unknown)
						}
					}
				}
				b.updateEndpoints(policy.Endpoint{ID: "e9", State: policy.Removed})
				return n
			}
			before := sent()
			for i := range 200 {
				dl, ans := ask(fmt.Sprint(i))
				if ans.Action != policy.Send {
					t.Fatalf("%+v", ans)
				}
				b.finish(dl, s.ContentTypes[0].LatencyObjective/20, policy.Succeeded, c.filling)
			}
			if after := sent(); (after > 3*before) != c.learned {
				t.Errorf("a cold node had %d in a window, %d before anything was known", after, before)
			}
		})
	}
}
