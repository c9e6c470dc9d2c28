package routing

import (
	"fmt"

	d "tallyproxy/policy"
)

const ms d.Micros = 1000

// bed is a module with a fleet: edges e0.. in zone 1, parents p0.. in zone 0, origin o.
type bed struct {
	*Logic
	t   *d.ContentType
	now d.Micros
}

func settings() d.Settings {
	return d.Settings{
		Zone: 1, Instances: 1, ParentKind: 1, OriginKind: 2, CanCancel: true, MostPulls: 6, PaceKB: 1000,
		LinkKB: 4000, PurgeKept: 6 * d.Second, MaxComeBack: d.Second, JoinFills: true,
		Edge:   d.Warming{From: 0.2, Time: 10 * d.Second, Multiple: 2.5, Window: 2 * d.Second},
		Parent: d.Warming{From: 0.1, Time: 20 * d.Second, Multiple: 2, Window: 2 * d.Second},
		Types: []*d.ContentType{{
			TargetTime: 400 * ms, Stretch: 2, Expiry: 5 * d.Second, Window: 3 * d.Second, Benefit: 1,
		}},
	}
}

func newBed(s d.Settings, edges, parents int) *bed {
	b := &bed{Logic: New(s, Options{}), t: s.Types[0], now: 100 * d.Second}
	var rows []d.Node
	for i := range edges {
		rows = append(rows, d.Node{ID: fmt.Sprint("e", i), Zone: 1})
	}
	for i := range parents {
		rows = append(rows, d.Node{ID: fmt.Sprint("p", i), Kind: 1})
	}
	b.Listed(b.now, append(rows, d.Node{ID: "o", Kind: 2}), true)
	return b
}

func (b *bed) list(rows ...d.Node) { b.Listed(b.now, rows, false) }

func (b *bed) download(object string) *d.Download {
	return &d.Download{Type: b.t, Object: object, Group: 7, SizeKB: 200, Arrived: b.now, Leaves: b.now + 3*d.Second}
}

// ask asks where a new download for the object goes.
func (b *bed) ask(object string) (*d.Download, d.Answer) {
	dl := b.download(object)
	return dl, b.Where(b.now, dl)
}

// end reports the end of the download's latest pull after a while.
func (b *bed) end(dl *d.Download, after d.Micros, ending d.Ending, filling d.Filling) d.Answer {
	b.now += after
	last := len(dl.Notes.(*notes).pulls) - 1
	dl.Over = dl.Over || ending == d.Fulfilled
	return b.After(b.now, dl, d.Outcome{Pull: last, Ending: ending, Filling: filling, Last: dl.Over})
}

// serve asks for n objects one after another and has each fulfilled.
func (b *bed) serve(n int, after d.Micros, filling d.Filling) {
	for i := range n {
		if dl, ans := b.ask(fmt.Sprint("s", i)); ans.Verb == d.Pull {
			b.end(dl, after, d.Fulfilled, filling)
		}
	}
}

// objects gives n whose home edge is the node, by asking while all is well.
func (b *bed) objects(home string, n int) (found []string) {
	for i := 0; len(found) < n; i++ {
		dl, ans := b.ask(fmt.Sprint("/o/", i))
		if ans.Node.ID == home {
			found = append(found, dl.Object)
		}
		b.end(dl, ms, d.Fulfilled, d.Hit)
	}
	return found
}
