package membership

import (
	"maps"
	"slices"

	d "tallyproxy/policy"
)

// Hint is what a director tells of a cache node: a reason for the others to ask it one question, and never more.
type Hint struct {
	Node string   `json:"Node"`
	What What     `json:"What"`
	Age  d.Micros `json:"Age"` // of what is told, on the teller's clock, when it was sent
}

// What is told of a node.
type What string

const (
	Gone  What = "gone"  // it does not answer
	Back  What = "back"  // it answers again
	Warms What = "warms" // it started anew
	Full  What = "full"  // it turns pulls away
)

// Sight is what a director sees of a node: whether it is skipped, tried with a pull at a time, how warm it is, and how many pulls
// may be out at it; 0 for no limit.
type Sight struct {
	Skipped, Trial bool
	Warm, Limit    float64
}

// News is what the others are to hear where one sight of a node has followed on another; false for nothing.
func News(before, now Sight) (What, bool) {
	switch {
	case now.Skipped != before.Skipped:
		if now.Skipped {
			return Gone, true
		}
		return Back, !now.Trial
	case now.Warm < before.Warm/2:
		return Warms, true
	case now.Limit < before.Limit/2:
		return Full, true
	}
	return "", false
}

// Unwell is what one that starts is to hear of a node that is seen so; false for nothing. How warm it is the list tells.
func Unwell(s Sight) (What, bool) {
	switch {
	case s.Skipped || s.Trial:
		return Gone, true
	case s.Limit > 0 && s.Limit < 1:
		return Full, true
	}
	return "", false
}

// Doubts is what a question that its node has answered leaves open: whether it started anew, and whether it takes more than one pull
// at a time. The next pull tells.
func (h Hint) Doubts() (anew, full bool) { return h.What == Warms, h.What == Full }

// Tell says whether the others should hear of a node now. Of each node each thing is told once in a while, and so many altogether.
func (b *Board) Tell(now d.Micros, h Hint) bool {
	if now-b.since >= b.s.HintEvery {
		b.since, b.budget = now, 0
	}
	if b.budget >= b.s.Hints || !once(b.told, now, string(h.What)+" "+h.Node, b.s) {
		return false
	}
	b.budget++
	return true
}

// Hinted says whether a hint is worth a question to its node. Heard is when the node last answered this director, which counts
// for more than any hint. A director that tells of all nodes all the time has a few of them asked, once each in a while.
func (b *Board) Hinted(now d.Micros, from string, h Hint, heard d.Micros) bool {
	p := b.peers[from]
	if p == nil || p.State > Suspected || h.Age < 0 || h.Age > b.s.HintAge || h.What != Back && now-heard < b.s.HintEvery/4 {
		return false
	}
	if h.What != Gone && h.What != Back && h.What != Warms && h.What != Full {
		return false // of a later version
	}
	if now-p.from >= b.s.HintEvery {
		p.from, p.hints = now, 0
	}
	if p.hints >= b.s.Hints || !once(b.asked, now, h.Node, b.s) {
		return false
	}
	p.hints++
	return true
}

// once says whether a node's turn has come, and books it. What is out of date goes when the book is full.
func once(book map[string]d.Micros, now d.Micros, node string, s Settings) bool {
	if at, ok := book[node]; ok && now-at < s.HintEvery {
		return false
	}
	if len(book) >= s.Memory {
		maps.DeleteFunc(book, func(_ string, at d.Micros) bool { return now-at >= s.HintEvery })
		if len(book) >= s.Memory {
			return false
		}
	}
	book[node] = now
	return true
}

// Report is what a director tells of the others.
type Report struct {
	Name     string  `json:"name"`
	Born     uint64  `json:"born"`
	Standing string  `json:"standing"`
	Sum      string  `json:"sum"`     // of its view
	Since    int64   `json:"since"`   // µs ago that the view changed
	Sharing  int     `json:"sharing"` // others that were last heard to have the same view
	Clash    string  `json:"clash,omitempty"`
	Zone     float64 `json:"zone_part"` // over the fixed one
	Fleet    float64 `json:"fleet_part"`
	Peers    []Row   `json:"peers"`
}

// Row is what it believes of one other.
type Row struct {
	Name  string `json:"name"`
	Born  uint64 `json:"born"`
	State string `json:"state"`
	Since int64  `json:"since"` // µs ago
	Alike bool   `json:"alike"` // it had the same view when last heard
}

// Report tells of it all, by name.
func (b *Board) Report(now d.Micros) Report {
	r := Report{Name: b.s.Name, Born: b.s.Born, Standing: b.Stands().String(), Sum: hex(b.sum), Since: int64(now - b.changed), Clash: b.clash}
	r.Zone, _ = b.Held(now, Zone)
	r.Fleet, _ = b.Held(now, Fleet)
	for _, name := range slices.Sorted(maps.Keys(b.peers)) {
		p := b.peers[name]
		alike := p.State <= Suspected && p.Heard > 0 && p.Sum == b.sum
		r.Sharing += bit(alike)
		r.Peers = append(r.Peers, Row{name, p.Born, p.State.String(), int64(now - p.Since), alike})
	}
	return r
}

func hex(x uint64) string {
	const digits = "0123456789abcdef"
	out := make([]byte, 16)
	for i := range out {
		out[15-i] = digits[x>>(4*i)&15]
	}
	return string(out)
}
