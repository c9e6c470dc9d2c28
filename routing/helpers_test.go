package routing

import (
	"fmt"

	d "tallyproxy/policy"
)

const ms d.Micros = 1000

// bed is a module with a fleet: edges e0.. in zone 1, parents p0.. in zone 0, origin o.
type bed struct {
	*Router
	t   *d.ContentType
	now d.Micros
}

func settings() d.Settings {
	return d.Settings{
		Zone: 1, ZoneDirectors: 1, ParentKind: 1, OriginKind: 2, CanCancel: true, MaxAttempts: 6, TransferKBPerSecond: 1000,
		FillLinkKBPerSecond: 4000, PurgeRetention: 6 * d.Second, MaxRetryAfter: d.Second, CoalesceFills: true,
		EdgeSlowStart:   d.SlowStart{InitialShare: 0.2, Duration: 10 * d.Second, OverloadFactor: 2.5, OverloadWindow: 2 * d.Second},
		ParentSlowStart: d.SlowStart{InitialShare: 0.1, Duration: 20 * d.Second, OverloadFactor: 2, OverloadWindow: 2 * d.Second},
		ContentTypes: []*d.ContentType{{
			LatencyObjective: 400 * ms, TransferFactor: 2, Timeout: 5 * d.Second, DedupWindow: 3 * d.Second, PriorityWeight: 1,
		}},
	}
}

func newBed(s d.Settings, edges, parents int) *bed {
	b := &bed{Router: New(s, Options{}), t: s.ContentTypes[0], now: 100 * d.Second}
	var rows []d.Endpoint
	for i := range edges {
		rows = append(rows, d.Endpoint{ID: fmt.Sprint("e", i), Zone: 1})
	}
	for i := range parents {
		rows = append(rows, d.Endpoint{ID: fmt.Sprint("p", i), Kind: 1})
	}
	b.UpdateEndpoints(b.now, append(rows, d.Endpoint{ID: "o", Kind: 2}), true)
	return b
}

func (b *bed) list(rows ...d.Endpoint) { b.UpdateEndpoints(b.now, rows, false) }

func (b *bed) download(object string) *d.Request {
	return &d.Request{Type: b.t, Object: object, Group: 7, SizeKB: 200, ArrivedAt: b.now, Deadline: b.now + 3*d.Second}
}

// ask asks where a new download for the object goes.
func (b *bed) ask(object string) (*d.Request, d.Decision) {
	dl := b.download(object)
	return dl, b.Route(b.now, dl)
}

// end reports the end of the download's latest pull after a while.
func (b *bed) end(dl *d.Request, after d.Micros, ending d.Result, filling d.CacheStatus) d.Decision {
	b.now += after
	last := len(dl.PolicyState.(*notes).pulls) - 1
	dl.Done = dl.Done || ending == d.Succeeded
	return b.AttemptDone(b.now, dl, d.Outcome{Attempt: last, Result: ending, CacheStatus: filling, Final: dl.Done})
}

// serve asks for n objects one after another and has each fulfilled.
func (b *bed) serve(n int, after d.Micros, filling d.CacheStatus) {
	for i := range n {
		if dl, ans := b.ask(fmt.Sprint("s", i)); ans.Action == d.Send {
			b.end(dl, after, d.Succeeded, filling)
		}
	}
}

// objects gives n whose home edge is the node, by asking while all is well.
func (b *bed) objects(home string, n int) (found []string) {
	for i := 0; len(found) < n; i++ {
		dl, ans := b.ask(fmt.Sprint("/o/", i))
		if ans.Endpoint.ID == home {
			found = append(found, dl.Object)
		}
		b.end(dl, ms, d.Succeeded, d.Hit)
	}
	return found
}
