package fakes

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"
)

// peer speaks to a node as a director does.
type peer struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, n *Node) peer {
	nc, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	return peer{nc, bufio.NewReader(nc)}
}

func (p peer) want(id, fields string) { fmt.Fprintf(p, "want %s %s 0\r\n\r\n", id, fields) }

// answer reads an answer's word, fields and body.
func (p peer) answer(t *testing.T) (word, fields, body string) {
	t.Helper()
	line, err := p.in.ReadString('\n')
	words := strings.Fields(line)
	if err != nil || len(words) != 4 {
		return "", line, fmt.Sprint(err)
	}
	var size int
	fmt.Sscan(words[3], &size)
	text := make([]byte, size+2)
	for n := 0; n < len(text); {
		m, err := p.in.Read(text[n:])
		if err != nil {
			t.Fatal(err)
		}
		n += m
	}
	return words[1], words[2], string(text[:size])
}

func world(t *testing.T, change func(*Spec)) *Cluster {
	s := DefaultSpec(2, 1)
	s.ColdEdges, s.Parents = false, 1
	change(&s)
	w, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	return w
}

func TestNodes(t *testing.T) {
	w := world(t, func(*Spec) {})
	box, parent := w.Node("box-0"), w.Node("parent-0")
	p := dial(t, box)
	thumb := "sort=thumbnail,asset=0000000000000001,slice=0,patience=3000"
	cases := []struct{ name, fields, word, note string }{
		{"nothing held and no source", thumb, "absent", "n=not_there"},
		{"held elsewhere only", thumb + ",from=parent-0,mode=held", "absent", "n=not_there"},
		{"filled through the parent", thumb + ",from=parent-0", "data", "n=pulled_far"},
		{"held now", thumb, "data", "n=local"},
		{"too old", thumb + ",oldest=1", "absent", "n=not_there"},
		{"the parent has it", thumb + ",oldest=1,from=parent-0", "data", "n=pulled_far"},
		{"not to be kept, with the origin", "sort=cover-pick,asset=0000000000000002,slice=0,op=k,from=origin", "data", "n=pulled_far"},
		{"not to be kept, without", "sort=cover-pick,asset=0000000000000002,slice=0,op=k", "absent", "n=not_there"},
		{"an unknown type", "sort=x,asset=0000000000000002,slice=0", "failed", "-"},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p.want(fmt.Sprint("id", i), c.fields)
			word, fields, body := p.answer(t)
			if word != c.word || !strings.HasPrefix(fields, c.note) || word == "data" && !strings.Contains(body, "/0 born ") {
				t.Errorf("%s %s %q", word, fields, body)
			}
		})
	}
	parent.Kill()
	p.want("dead", "sort=thumbnail,asset=0000000000000009,slice=0,from=parent-0")
	if word, fields, _ := p.answer(t); word != "failed" || fields != "n=cut_off" {
		t.Errorf("with its source dead: %s %s", word, fields)
	}
	for trouble, want := range map[Fault]string{FaultError: "failed", FaultMalformed: "", FaultReset: ""} {
		box.SetFault(trouble, 1)
		q := dial(t, box)
		q.want("x", thumb)
		if word, _, _ := q.answer(t); word != want {
			t.Errorf("trouble %d: %q, want %q", trouble, word, want)
		}
	}
}

// The books see what breaks a rule: a test that goes by them fails where it must.
func TestBooksSeeWhatBreaks(t *testing.T) {
	thumb := func(i int) string { return fmt.Sprintf("sort=thumbnail,asset=%016x,slice=0,from=parent-0", i) }
	cases := []struct {
		name  string
		cold  bool
		play  func(t *testing.T, w *Cluster)
		seen  func(b Violations) int
		peak  bool
		after time.Duration
	}{
		{"a cold box pushed over", true, func(t *testing.T, w *Cluster) {
			p := dial(t, w.Node("box-0"))
			for i := range 2000 {
				fmt.Fprintf(p, "want id%d %s 0\r\n\r\n", i, thumb(i))
			}
		}, func(b Violations) int { return b.OverloadedNodes }, true, 0},
		{"a box used long after it was drained", false, func(t *testing.T, w *Cluster) {
			w.Node("box-0").Announce("draining")
			time.Sleep(drainDeadline + 20*time.Millisecond)
			p := dial(t, w.Node("box-0"))
			p.want("a", thumb(1))
			p.answer(t)
		}, func(b Violations) int { return b.DrainedUses }, false, 0},
		{"a source named long after it was drained", false, func(t *testing.T, w *Cluster) {
			w.Node("parent-0").Announce("draining")
			time.Sleep(drainDeadline + 20*time.Millisecond)
			p := dial(t, w.Node("box-0"))
			p.want("a", thumb(1))
			p.answer(t)
		}, func(b Violations) int { return b.DrainedUses }, false, 0},
		{"one download at two boxes", false, func(t *testing.T, w *Cluster) {
			for _, name := range []string{"box-0", "box-1"} {
				w.Node(name).SetFault(FaultNoAnswer, 1)
				dial(t, w.Node(name)).want("same", thumb(1))
			}
		}, func(b Violations) int { return b.ConcurrentAttempts }, false, 0},
		{"a pick run twice", false, func(t *testing.T, w *Cluster) {
			w.ContentTypes[2].DedupWindow = 50 * time.Millisecond
			p := dial(t, w.Node("box-0"))
			for i := range 2 {
				p.want(fmt.Sprint("p", i), "sort=cover-pick,asset=0000000000000001,slice=0,op=k,from=origin")
				p.answer(t)
				time.Sleep(100 * time.Millisecond)
			}
		}, func(b Violations) int { return b.RepeatedEffects }, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := world(t, func(s *Spec) { s.ColdEdges = c.cold })
			c.play(t, w)
			for until := time.Now().Add(5 * time.Second); c.seen(w.Violations()) == 0; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(until) {
					t.Fatalf("not seen: %+v", w.Violations())
				}
			}
			if peak, fallen := w.Node("box-0").PeakLoad(); c.peak != fallen || c.peak && peak <= 1 {
				t.Errorf("peak %.2f, fallen %v", peak, fallen)
			}
		})
	}
}

// What a crowd of transfers divides among itself takes as long as it must.
func TestShareTakesItsTime(t *testing.T) {
	w := &Cluster{startedAt: time.Now()}
	s := &sharedCapacity{cluster: w, maxRate: 1, capacity: func(time.Duration) float64 { return 2 }}
	ends := make(chan time.Duration, 8)
	w.mu.Lock()
	for range 4 { // four of 50 ms on two at a time
		s.add(50_000, func() { ends <- w.now() })
	}
	gone := s.add(1e9, func() { t.Error("dropped, and over all the same") })
	s.cancel(gone)
	w.mu.Unlock()
	for range 4 {
		if took := <-ends; took < 95*time.Millisecond || took > 3*time.Second {
			t.Errorf("took %v", took)
		}
	}
}

func TestZipf(t *testing.T) {
	r, z := rand.New(rand.NewPCG(1, 1)), NewZipf(100, 1)
	seen := make([]int, 100)
	for range 50_000 {
		seen[z.Draw(r)]++
	}
	if ratio := float64(seen[0]) / float64(seen[9]); ratio < 8 || ratio > 12 {
		t.Errorf("the first is drawn %.1f times as often as the tenth", ratio)
	}
}
