package lab

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	d "tallyproxy/director"
	"tallyproxy/fleet"
)

// FleetSim is what `tallylab fleet` plays: changes of a fleet in simulated time, by the real state machines, over a network and
// machines that fail.
type FleetSim struct {
	Instances []int   `default:"20,100,500" placeholder:"N,..." help:"Agents, with a director each."`
	Schedules int     `default:"100" help:"Random schedules of faults for each size; each is a change."`
	Loss      float64 `default:"0.05" help:"Share of messages that are lost,"`
	Twice     float64 `default:"0.05" help:"or come twice."`
	Deaths    float64 `default:"0.02" help:"Share of agents that die during a change, and come back."`
	ToolDies  float64 `default:"0.3" help:"Share of changes whose tool dies, to be resumed by another."`
	Limit     int     `default:"0" help:"So many directors at a time; 0: all at once."`
	Seed      uint64  `default:"1" help:"Of all chance."`
	JSON      bool    `name:"json" help:"Print one JSON object."`
}

// FleetRun is what came of one size.
type FleetRun struct {
	Instances int     `json:"instances"`
	Schedules int     `json:"schedules"`
	Changed   int     `json:"changed"`    // ended with all directors changed,
	Untouched int     `json:"untouched"`  // or none,
	Neither   int     `json:"neither"`    // or a director that is neither, or not told truly
	P50       float64 `json:"p50_ms"`     // simulated, from the start to the tool's word,
	P99       float64 `json:"p99_ms"`     //
	Messages  float64 `json:"messages"`   // sent by tools, on average
	AllKnown  float64 `json:"known_ms"`   // from the last fault's end until every director is in its last state, at the 99th percentile
	OneByOne  float64 `json:"by_hand_ms"` // the same directors one after another, with no fault
}

type simEvent struct {
	at    d.Micros
	order int
	do    func()
}

type simQueue []*simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(*simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

type simAgent struct {
	*fleet.Agent
	stored []byte
	runs   string
	life   int // counts its starts
	up     bool
}

type fleetSim struct {
	s      *FleetSim
	r      *rand.Rand
	now    d.Micros
	order  int
	queue  simQueue
	agents map[string]*simAgent
	names  []string
	sent   int
}

func (f *fleetSim) after(wait d.Micros, do func()) {
	f.order++
	heap.Push(&f.queue, &simEvent{f.now + wait, f.order, do})
}

// run works until a time, or until nothing is left.
func (f *fleetSim) run(until d.Micros, done func() bool) {
	for len(f.queue) > 0 && f.queue[0].at <= until && !done() {
		e := heap.Pop(&f.queue).(*simEvent)
		f.now = e.at
		e.do()
	}
}

// wire delivers something after a while: once, twice or never.
func (f *fleetSim) wire(deliver func()) {
	times := 1
	switch x := f.r.Float64(); {
	case x < f.s.Loss:
		times = 0
	case x < f.s.Loss+f.s.Twice:
		times = 2
	}
	for range times {
		f.after(d.Micros(1000+f.r.IntN(20_000)), deliver)
	}
}

const simInstance = "n-"

func simSum(script string) string { return "sum " + script }

func (f *fleetSim) boot(name string) {
	a := f.agents[name]
	var s fleet.State
	if err := json.Unmarshal(a.stored, &s); err != nil {
		panic(err)
	}
	a.Agent = fleet.NewAgent(f.now, name, s, 15*d.Second, func(string, string) error { return nil }, simSum)
	a.up = true
	a.life++
	f.carry(a, a.Unfinished())
	f.keep(a)
	f.doubt(a, a.life)
}

func (f *fleetSim) keep(a *simAgent) {
	if a.Changed() {
		a.stored, _ = json.Marshal(a.State)
	}
}

// doubt has an agent ask the others, every second, what became of what it holds open.
func (f *fleetSim) doubt(a *simAgent, life int) {
	f.after(d.Second, func() {
		if !a.up || a.life != life {
			return
		}
		for _, id := range a.Doubts() {
			other := f.agents[f.names[f.r.IntN(len(f.names))]]
			f.wire(func() {
				if !other.up || other == a {
					return
				}
				r, _ := other.Handle(f.now, fleet.Message{Verb: fleet.Ask, ID: id})
				f.wire(func() {
					if a.up && a.life == life {
						do := a.Heard(r)
						f.keep(a)
						f.carry(a, do)
					}
				})
			})
		}
		f.doubt(a, life)
	})
}

func (f *fleetSim) carry(a *simAgent, do []fleet.Command) {
	for _, c := range do {
		life := a.life
		f.after(d.Micros(20_000+f.r.IntN(180_000)), func() {
			if a.up && a.life == life {
				a.runs = c.Script
				a.Done(c, "")
				f.keep(a)
			}
		})
	}
}

// tool runs a coordinator until it ends, or dies after a while; 0 for never.
func (f *fleetSim) tool(n int64, change *fleet.Change, dies d.Micros) *fleet.Coordinator {
	c := fleet.NewCoordinator(fmt.Sprint("op/", n), n, f.names, change, fleet.DefaultTimes(), nil)
	begun := f.now
	alive := func() bool { return (dies == 0 || f.now < begun+dies) && c.Step() != fleet.Ended }
	var say func([]fleet.Send)
	say = func(sends []fleet.Send) {
		for _, s := range sends {
			f.sent++
			f.wire(func() {
				a := f.agents[s.To]
				if !a.up {
					return
				}
				r, do := a.Handle(f.now, s.Message)
				f.keep(a)
				f.carry(a, do)
				f.wire(func() {
					if alive() {
						say(c.Got(f.now, s.To, r))
					}
				})
			})
		}
	}
	var tick func()
	tick = func() {
		if alive() {
			say(c.Tick(f.now))
			f.after(50_000, tick)
		}
	}
	say(c.Start(f.now))
	f.after(50_000, tick)
	f.run(f.now+300*d.Second, func() bool { return !alive() })
	return c
}

// play plays one change and says what it came to.
func (s *FleetSim) play(n int, seed uint64) (state string, took, settled d.Micros, sent int) {
	f := &fleetSim{s: s, r: rand.New(rand.NewPCG(s.Seed, seed)), now: d.Second, agents: map[string]*simAgent{}}
	var places []fleet.Place
	for i := range n {
		name := fmt.Sprintf("a%04d", i)
		a := &simAgent{runs: "old"}
		a.stored, _ = json.Marshal(fleet.State{InForce: map[string]string{simInstance + name: "old"}})
		f.agents[name], f.names = a, append(f.names, name)
		places = append(places, fleet.Place{Instance: simInstance + name, Agent: name, Depot: fmt.Sprint(i / 10), Script: "old"})
	}
	for _, name := range f.names {
		f.boot(name)
	}
	change := fleet.Plan("c1", "op", "", places, s.Limit, simSum, func(fleet.Place) string { return "new" })
	last := f.now
	for _, name := range f.names {
		if f.r.Float64() < s.Deaths {
			a, at, down := f.agents[name], d.Micros(f.r.IntN(2_000_000)), d.Micros(100_000+f.r.IntN(3_000_000))
			last = max(last, f.now+at+down)
			f.after(at, func() { a.up = false })
			f.after(at+down, func() { f.boot(name) })
		}
	}
	begun := f.now
	dies := d.Micros(0)
	if f.r.Float64() < s.ToolDies {
		dies = d.Micros(1 + f.r.IntN(1_500_000))
	}
	c := f.tool(1, change, dies)
	took = f.now - begun
	if c.Step() != fleet.Ended { // another tool goes on, once the lease is over
		last = max(last, f.now)
		f.run(f.now+20*d.Second, func() bool { return false })
		f.tool(2, nil, 0)
	}
	sent = f.sent
	// what a director runs, what its agent says, and what was decided must agree; it may take until all are back
	for end := f.now + 120*d.Second; ; {
		state = f.state()
		if state != "neither" || f.now >= end {
			settled = max(0, f.now-last)
			return state, took, settled, sent
		}
		f.run(f.now+100_000, func() bool { return false })
	}
}

// state is "changed", "untouched" or, while directors differ or an agent says otherwise, "neither".
func (f *fleetSim) state() string {
	counts := map[string]int{}
	for _, name := range f.names {
		a := f.agents[name]
		says := "old"
		if e := a.Entry("c1"); e != nil {
			for _, l := range e.Local {
				if l.Phase == fleet.InForce {
					says = "new"
				} else if !l.Over() {
					return "neither"
				}
			}
		}
		if says != a.runs || !a.up {
			return "neither"
		}
		counts[a.runs]++
	}
	switch len(f.names) {
	case counts["new"]:
		return "changed"
	case counts["old"]:
		return "untouched"
	}
	return "neither"
}

// Play plays all sizes.
func (s *FleetSim) Play() (runs []FleetRun, err error) {
	for _, n := range s.Instances {
		if n < 1 || s.Schedules < 1 {
			return runs, fmt.Errorf("--instances, --schedules: %d and %d, both must be above 0", n, s.Schedules)
		}
		r := FleetRun{Instances: n, Schedules: s.Schedules}
		type end struct {
			state         string
			took, settled d.Micros
			sent          int
		}
		ends, next := make([]end, s.Schedules), atomic.Int64{}
		var all sync.WaitGroup
		for range runtime.GOMAXPROCS(0) { // each schedule has its own chance, so their order does not matter
			all.Go(func() {
				for i := next.Add(1) - 1; i < int64(s.Schedules); i = next.Add(1) - 1 {
					e := &ends[i]
					e.state, e.took, e.settled, e.sent = s.play(n, uint64(n)<<32|uint64(i))
				}
			})
		}
		all.Wait()
		var took, settled []float64
		for _, e := range ends {
			t, k, sent := e.took, e.settled, e.sent
			switch e.state {
			case "changed":
				r.Changed++
			case "untouched":
				r.Untouched++
			default:
				r.Neither++
			}
			took, settled = append(took, float64(t)/1000), append(settled, float64(k)/1000)
			r.Messages += float64(sent) / float64(s.Schedules)
		}
		slices.Sort(took)
		slices.Sort(settled)
		r.P50, r.P99 = took[len(took)/2], took[len(took)*99/100]
		r.AllKnown = settled[len(settled)*99/100]
		r.OneByOne = float64(n) * (110 + 2*11) // each is written, read and read back, with the wire between
		runs = append(runs, r)
	}
	return runs, nil
}
