package overload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	d "tallyproxy/policy"
)

const ms d.Micros = 1000

// caches are a field that warms in a straight line from a time on.
type caches struct {
	full, from float64
	began      d.Micros
	warm       d.Micros
}

func (c *caches) WarmCapacity() float64 { return c.full }
func (c *caches) Capacity(at d.Micros) float64 {
	if at >= c.began+c.warm {
		return c.full
	}
	return c.full * (c.from + (1-c.from)*float64(max(0, at-c.began))/float64(c.warm))
}

func guard(f CapacityEstimate, told func(d.Micros, Report)) *Controller {
	s := DefaultSettings()
	s.Mode = ModeReserve
	return New(s, d.Second, 7, f, told)
}

func TestModes(t *testing.T) {
	f := &caches{full: 10}
	cases := []struct {
		name string
		mode Mode
		most d.Micros
		want d.Micros
	}{
		{"fixed", ModeFixed, d.Second, 250 * ms}, {"silent", ModeSilent, d.Second, 0}, {"guard in calm", ModeReserve, d.Second, 250 * ms},
		{"guard where clients heed nothing", ModeReserve, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := DefaultSettings()
			s.Mode = c.mode
			g := New(s, c.most, 1, f, nil)
			for i := range 100 {
				a := &Admission{ObjectHash: uint64(i), Work: 1000 * float64(ms), RelativeCost: 1, IsRetry: true}
				if c.mode != ModeReserve && !g.Admit(d.Second, a) {
					t.Fatal("turned away")
				}
			}
			if got := g.RetryAfter(d.Second, &Admission{Work: 1, RelativeCost: 1}, min(250*ms, c.most)); got != c.want {
				t.Errorf("told %d, want %d", got, c.want)
			}
		})
	}
}

// crowd plays clients against a guard and a plain limit, in simulated time: what is let in is served where the caches have
// room in the present slice of time, else turned away.
type crowd struct {
	g      *Controller
	f      *caches
	now    d.Micros
	spent  float64 // of the slice
	slice  d.Micros
	served map[int]d.Micros
	told   map[int]d.Micros
}

func (c *crowd) try(who int, a *Admission) (served bool, later d.Micros) {
	if at := c.now / (10 * ms); at != c.slice {
		c.slice, c.spent = at, 0
	}
	if c.g.Admit(c.now, a) && c.spent+a.Work <= c.f.Capacity(c.now)*float64(10*ms) {
		c.spent += a.Work
		c.g.Completed(c.now, a, false)
		c.served[who] = c.now
		return true, 0
	}
	later = c.g.RetryAfter(c.now, a, 250*ms)
	c.told[who] = c.now + later
	return false, later
}

func newCrowd(full float64, told func(d.Micros, Report)) *crowd {
	f := &caches{full: full, from: 0.2, began: 100 * d.Second, warm: 10 * d.Second}
	return &crowd{g: guard(f, told), f: f, now: 100 * d.Second, served: map[int]d.Micros{}, told: map[int]d.Micros{}}
}

func ask(who int, again bool) *Admission {
	return &Admission{ClientHash: uint64(who)*7919 + 1, ObjectHash: uint64(who) * 104729, Work: float64(50 * ms), RelativeCost: 1, IsRetry: again}
}

// Clients that heed come back to room: of those that had a place, nearly all are served at it, and no window gets more than
// the caches can do.
func TestPlacesMeetRoom(t *testing.T) {
	var states []State
	c := newCrowd(20, func(_ d.Micros, r Report) { states = append(states, r.State) })
	type come struct {
		at  d.Micros
		who int
	}
	var queue []come
	for i := range 400 {
		c.now = 100*d.Second + d.Micros(i)*250
		c.g.ClientConnected(c.now)
		if ok, later := c.try(i, ask(i, false)); !ok {
			queue = append(queue, come{c.now + later, i})
		}
	}
	due, met := 0, 0
	for len(queue) > 0 && c.now < 130*d.Second {
		next := slices.MinFunc(queue, func(a, b come) int { return int(a.at - b.at) })
		queue = slices.DeleteFunc(queue, func(x come) bool { return x == next })
		c.now = max(c.now, next.at) + ms
		a := ask(next.who, true)
		ok, later := c.try(next.who, a)
		if a.OnTime() {
			due++
			if ok {
				met++
			}
		}
		if !ok {
			queue = append(queue, come{c.now + later, next.who})
		}
	}
	if len(c.served) != 400 || due < 50 || float64(met) < 0.8*float64(due) {
		t.Errorf("%d served; %d of %d came to their place and met room", len(c.served), met, due)
	}
	// the whole of it takes no longer than the caches need, and half as long again
	last := d.Micros(0)
	for _, at := range c.served {
		last = max(last, at)
	}
	need, done := d.Micros(0), 0.0
	for at := 100 * d.Second; done < 400*float64(50*ms); at += ms {
		done += c.f.Capacity(at) * float64(ms)
		need = at - 100*d.Second
	}
	if took := last - 100*d.Second; took > need*3/2+d.Second {
		t.Errorf("took %d ms where the caches need %d", took/ms, need/ms)
	}
	for at := range 40 {
		c.now += d.Micros(at) * 20 * ms
		c.g.ClientConnected(c.now)
	}
	if len(states) < 4 || states[0] != Rising || states[1] != Held || states[len(states)-1] != Calm {
		t.Errorf("went through %v", states)
	}
}

func TestEarlyGainsNothing(t *testing.T) {
	c := newCrowd(4, nil)
	for i := range 200 {
		c.now += ms
		c.try(i, ask(i, false))
	}
	told := c.told[150]
	if told <= c.now {
		t.Fatal("150 was told no time")
	}
	for i := range 20 {
		c.now += ms
		a := ask(150, true)
		if ok, later := c.try(150, a); ok || c.now+later != told && i < 10 {
			t.Fatalf("early, try %d: served %v, told %d, had %d", i, ok, c.now+later, told)
		}
		if a.OnTime() {
			t.Fatal("early is not due")
		}
	}
	if n := c.g.early.count(ask(150, true).ClientHash); n < often {
		t.Errorf("seen early %d times", n)
	}
	if n := c.g.early.count(ask(151, true).ClientHash); n >= often {
		t.Errorf("one that never came early counts %d", n)
	}
	// early time and again: a place in a window less full than others may have
	if at := c.g.Report(c.now); at.EarlyRetries == 0 {
		t.Error("the report tells of none that were early")
	}
}

func TestNoStorm(t *testing.T) {
	cases := []struct {
		name string
		play func(c *crowd, r *rand.Rand)
	}{
		{"a busy morning", func(c *crowd, r *rand.Rand) {
			for i := 0; c.now < 160*d.Second; i++ {
				rate := 20 + 300*float64(c.now-100*d.Second)/float64(60*d.Second) // up to 0.8 of what can be done
				c.now += d.Micros(r.ExpFloat64() * float64(d.Second) / rate)
				c.g.ClientConnected(c.now)
				c.try(i, ask(i, r.IntN(10) == 0))
			}
		}},
		{"one popular object", func(c *crowd, r *rand.Rand) {
			for i := 0; c.now < 130*d.Second; i++ {
				c.now += d.Micros(r.ExpFloat64() * float64(d.Second) / 800)
				a := ask(i, i%3 > 0)
				if r.IntN(10) > 0 {
					a.ObjectHash = 42
				}
				c.try(i, a)
			}
		}},
		{"more than can be done, no sign of a storm", func(c *crowd, r *rand.Rand) {
			for i := range 20000 {
				c.now += d.Second / 700
				if i%20 == 0 {
					c.g.ClientConnected(c.now)
				}
				c.try(i, ask(i, false))
			}
		}},
		{"few clients, all repeat", func(c *crowd, r *rand.Rand) {
			for i := range 1000 {
				c.now += d.Second / 50
				c.try(i, ask(i, true))
			}
		}},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			rose := 0
			c := newCrowd(20, func(_ d.Micros, r Report) {
				if r.State == Rising {
					rose++
				}
			})
			c.f.began = 0
			for range 300 { // what is usual
				c.now += 10 * ms
				c.g.ClientConnected(c.now)
			}
			x.play(c, rand.New(rand.NewPCG(1, 2)))
			if rose > 0 {
				t.Errorf("taken for a storm %d times; at the end %+v", rose, c.g.Report(c.now))
			}
		})
	}
}

func TestSecondStorm(t *testing.T) {
	var states []State
	c := newCrowd(20, func(_ d.Micros, r Report) { states = append(states, r.State) })
	burst := func(from int) {
		for i := range 500 {
			c.now += ms / 4
			c.g.ClientConnected(c.now)
			c.try(from+i, ask(from+i, false))
		}
	}
	burst(0)
	for c.g.State() != Draining && c.now < 200*d.Second {
		c.now += 10 * ms
		c.g.ClientConnected(c.now)
	}
	c.f.began = c.now // the power goes again
	burst(1000)
	if c.g.State() != Rising && c.g.State() != Held {
		t.Errorf("after the second: %v, through %v", c.g.State(), states)
	}
	c.now += 60 * d.Second
	if c.g.ClientConnected(c.now); c.g.State() != Calm {
		t.Errorf("after a long silence: %v", c.g.State())
	}
}

// Directors that see a half each, with half of the room each, together promise no more than the caches can do.
func TestTwoDirectorsTogether(t *testing.T) {
	for _, halves := range [][2]int{{500, 500}, {1000, 0}, {900, 100}} {
		t.Run(fmt.Sprint(halves), func(t *testing.T) {
			promised := map[d.Micros]float64{}
			for _, n := range halves {
				c := newCrowd(10, nil)
				for i := range n {
					c.now = 100*d.Second + d.Micros(i)*ms
					if ok, later := c.try(i, ask(i, false)); !ok {
						if p := c.g.places.find(id(ask(i, false))); p != nil && p.work > 0 {
							promised[(c.now+later)/(100*ms)] += float64(p.work)
						}
					}
				}
			}
			f := newCrowd(20, nil).f
			for window, work := range promised {
				if able := f.Capacity((window+1)*100*ms) * float64(100*ms); work > 1.3*able {
					t.Errorf("%0.f promised for a window that can do %0.f", work, able)
				}
			}
		})
	}
}

// Whatever comes in whatever order: no panic, every time told lies within the reach, nobody is turned away twice for one
// ask, and the same events give the same answers.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &caches{full: rapid.Float64Range(0, 50).Draw(t, "full"), from: 0.1, began: d.Second, warm: 5 * d.Second}
		a, b := guard(f, nil), guard(f, nil)
		now := d.Second
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += d.Micros(rapid.SampledFrom([]int{0, 1, 100, 20_000, 150_000, 3_000_000, 90_000_000}).Draw(t, "step"))
			x := Admission{
				ClientHash: uint64(rapid.IntRange(0, 5).Draw(t, "who")), ObjectHash: uint64(rapid.IntRange(0, 3).Draw(t, "object")),
				Work: float64(rapid.IntRange(0, 2_000_000).Draw(t, "work")), RelativeCost: rapid.Float64Range(0.1, 10).Draw(t, "cost"),
				IsRetry: rapid.Bool().Draw(t, "again"),
			}
			y := x
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				a.ClientConnected(now)
				b.ClientConnected(now)
			default:
				in := a.Admit(now, &x)
				if in != b.Admit(now, &y) {
					t.Fatal("two that saw the same differ")
				}
				if in && rapid.Bool().Draw(t, "served") {
					a.Completed(now, &x, false)
					b.Completed(now, &y, false)
					continue
				}
				p := a.RetryAfter(now, &x, 250*ms)
				if q := b.RetryAfter(now, &y, 250*ms); p != q {
					t.Fatalf("two that saw the same tell %d and %d", p, q)
				}
				if p <= 0 || p > d.Second+200*ms {
					t.Fatalf("told to come after %d", p)
				}
			}
			for _, held := range a.ahead {
				if held < 0 || held != held {
					t.Fatalf("promised %v", a.ahead)
				}
			}
		}
	})
}

func TestMajority(t *testing.T) {
	cases := []struct {
		name        string
		share       float64 // of one object
		least, most float64
	}{{"none", 0, 0, 0.2}, {"a third", 0.33, 0, 0.4}, {"half", 0.5, 0.35, 0.55}, {"nearly all", 0.95, 0.9, 1}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var m majority
			r := rand.New(rand.NewPCG(3, 4))
			for i := range 5000 {
				object := uint64(1000 + i)
				if r.Float64() < c.share {
					object = 7
				}
				m.add(object, 1)
				if i%500 == 499 {
					m.fade()
				}
			}
			if got := m.share(); got < c.least || got > c.most {
				t.Errorf("share %.2f, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}

// What is remembered of clients: the table of places beside a plain map that is swept, both for 4096 clients in 100,000.
func BenchmarkMemory(b *testing.B) {
	ids := make([]uint64, 100_000)
	for i := range ids {
		ids[i] = mix(uint64(i) + 1)
	}
	b.Run("places", func(b *testing.B) {
		b.ReportAllocs()
		p := newPlaces(4096)
		for n := range b.N {
			id := ids[n*7919%len(ids)]
			if p.find(id) == nil {
				p.put(id, place{at: d.Micros(n), work: 1})
			}
		}
	})
	b.Run("map", func(b *testing.B) {
		b.ReportAllocs()
		p := map[uint64]place{}
		for n := range b.N {
			id := ids[n*7919%len(ids)]
			if _, ok := p[id]; !ok {
				p[id] = place{at: d.Micros(n), work: 1}
				if len(p) > 4096 {
					for id, e := range p {
						if e.at < d.Micros(n-2048) {
							delete(p, id)
						}
					}
				}
			}
		}
	})
}
