package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	d "tallyproxy/policy"
	"tallyproxy/rollout"
)

// Rollout is what `tallybench fleet` plays: changes of a fleet in simulated time, by the real state machines, over a network and
// machines that fail.
type Rollout struct {
	Instances      []int   `name:"instances" default:"20,100,500" placeholder:"N,..." help:"Agents, with a director each."`
	Schedules      int     `default:"100" help:"Random schedules of faults for each size; each is a change."`
	LossRate       float64 `name:"loss" default:"0.05" help:"Share of messages that are lost,"`
	DuplicateRate  float64 `name:"twice" default:"0.05" help:"or come twice."`
	AgentCrashRate float64 `name:"deaths" default:"0.02" help:"Share of agents that die during a change, and come back."`
	ToolCrashRate  float64 `name:"tool-dies" default:"0.3" help:"Share of changes whose tool dies, to be resumed by another."`
	PartitionRate  float64 `name:"cuts" default:"0.1" help:"Share of changes during which a part of the agents, or the tool, is cut off for a while."`
	WaveSize       int     `name:"limit" default:"0" help:"So many directors at a time; 0: all at once."`
	Seed           uint64  `default:"1" help:"Of all chance."`
	OnlySchedule   int     `name:"only" default:"-1" help:"Play the schedule of this number alone, and show its messages."`
	MaxEvents      int     `name:"steps" default:"0" help:"After so many events a schedule counts as one without an end; 0: 2,000 an agent, 20,000 at least."`
	JSON           bool    `name:"json" help:"Print one JSON object."`
}

// RolloutRun is what came of one size.
type RolloutRun struct {
	Instances     int      `json:"instances"`
	Schedules     int      `json:"schedules"`
	Changed       int      `json:"changed"`         // ended with all directors changed,
	Untouched     int      `json:"untouched"`       // or none,
	Partial       int      `json:"partly"`          // or, told as such, as far as the waves had come;
	Inconsistent  int      `json:"neither"`         // or a director that is neither, or not told truly;
	Unfinished    int      `json:"unended"`         // or it did not end
	P50           float64  `json:"p50_ms"`          // simulated, from the start to a tool's word, the first tool's or its follower's
	P99           float64  `json:"p99_ms"`          //
	NoCrashP99    float64  `json:"lived_p99_ms"`    // the same where no tool died
	ToolMessages  float64  `json:"messages"`        // sent by tools, on average,
	AgentMessages float64  `json:"between"`         // and by agents among themselves
	KnownP50      float64  `json:"known_p50_ms"`    // from the start until every agent knows the outcome
	KnownP99      float64  `json:"known_p99_ms"`    //
	SettledP99    float64  `json:"settled_ms"`      // from the last fault's end until every director is in its last state, p99
	MaxEvents     int      `json:"events"`          // of the longest schedule
	Sequential    float64  `json:"by_hand_ms"`      // the same directors one after another, with no fault
	Problems      []string `json:"stuck,omitempty"` // what did not end or is in neither state: the schedule and who waits on whom
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
	*rollout.Agent
	settler *rollout.Recovery
	stored  rollout.State
	runs    string
	life    int // counts its starts
	up      bool
	cut     bool // reaches only others that are cut off too
}

type fleetSim struct {
	s       *Rollout
	r       *rand.Rand
	now     d.Micros
	order   int
	queue   simQueue
	agents  map[string]*simAgent
	names   []string
	sent    int // by tools
	between int // by agents
	events  int
	budget  int
	toolCut bool
	c       *rollout.Coordinator
	trace   func(string, ...any)
}

func (f *fleetSim) after(wait d.Micros, do func()) {
	f.order++
	heap.Push(&f.queue, &simEvent{f.now + wait, f.order, do})
}

// run works until a time or until done. Time goes there also where nothing happens: what waits for a time must see it come. It
// gives up once the schedule has used its events.
func (f *fleetSim) run(until d.Micros, done func() bool) {
	for len(f.queue) > 0 && f.queue[0].at <= until && f.events < f.budget {
		if done() {
			return
		}
		e := heap.Pop(&f.queue).(*simEvent)
		f.now = e.at
		f.events++
		e.do()
	}
	if f.events < f.budget && !done() {
		f.now = max(f.now, until)
	}
}

func never() bool { return false }

// wire delivers something after a while: once, twice or never.
func (f *fleetSim) wire(deliver func()) {
	times := 1
	switch x := f.r.Float64(); {
	case x < f.s.LossRate:
		times = 0
	case x < f.s.LossRate+f.s.DuplicateRate:
		times = 2
	}
	for range times {
		f.after(d.Micros(1000+f.r.IntN(20_000)), deliver)
	}
}

const (
	simInstance = "n-"
	simTick     = 50 * d.Second / 1000
	simEnd      = 600 * d.Second // of simulated time: a schedule has long ended
	shownStuck  = 20
)

func simSum(script string) string { return "sum " + script }

func (f *fleetSim) boot(name string) {
	a := f.agents[name]
	a.Agent = rollout.NewAgent(f.now, name, a.stored.Clone(), rollout.DefaultTimeouts().Lease, func(string, string) error { return nil }, simSum)
	a.settler = rollout.NewRecovery(f.now, a.Agent, f.names, rollout.DefaultTimeouts())
	a.up = true
	a.life++
	f.carry(a, a.UnfinishedCommands())
	f.keep(a)
	f.tickAgent(a, a.life)
}

func (f *fleetSim) keep(a *simAgent) {
	if a.TakeDirty() {
		a.stored = a.State.Clone()
	}
}

// tickAgent has an agent's settler work while this life of it lasts.
func (f *fleetSim) tickAgent(a *simAgent, life int) {
	f.after(2*simTick, func() {
		if a.up && a.life == life {
			f.agentSays(a, life, func() ([]rollout.Envelope, []rollout.Command) { return a.settler.Tick(f.now) })
			f.tickAgent(a, life)
		}
	})
}

// agentSays has an agent do something; what it says is sent to the others once it is stored.
func (f *fleetSim) agentSays(a *simAgent, life int, act func() ([]rollout.Envelope, []rollout.Command)) {
	sends, do := act()
	f.keep(a)
	f.carry(a, do)
	for _, s := range sends {
		f.between++
		other := f.agents[s.To]
		f.wire(func() {
			if !other.up || other.cut != a.cut {
				return
			}
			r := f.handle(a.Name, other, s.Message)
			f.wire(func() {
				if a.up && a.life == life && other.cut == a.cut {
					f.agentSays(a, life, func() ([]rollout.Envelope, []rollout.Command) { return a.settler.HandleReply(f.now, other.Name, r) })
				}
			})
		})
	}
}

func (f *fleetSim) handle(from string, a *simAgent, m rollout.Message) rollout.Reply {
	r, do := a.Handle(f.now, m)
	f.keep(a)
	f.carry(a, do)
	if f.trace != nil {
		f.trace("%8.3f s  %s to %s: %v %v waves %d -> %v %s", float64(f.now)/1e6, from, a.Name, m.Type, m.Outcome, m.AllowedWaves, r.OK, r.Reason)
	}
	return r
}

func (f *fleetSim) carry(a *simAgent, do []rollout.Command) {
	for _, c := range do {
		life := a.life
		f.after(d.Micros(20_000+f.r.IntN(180_000)), func() {
			if a.up && a.life == life {
				a.runs = c.Script
				a.CommandDone(c, "")
				f.keep(a)
			}
		})
	}
}

// tool runs a coordinator until it ends, or dies after a while; 0 for never.
func (f *fleetSim) tool(change *rollout.Change, dies d.Micros) *rollout.Coordinator {
	n := int64(1) // higher than any that the agents know
	for _, name := range f.names {
		n = max(n, f.agents[name].State.Promised.Number+1)
	}
	c := rollout.NewCoordinator(fmt.Sprint("op/", n), n, f.names, change, rollout.DefaultTimeouts(), nil)
	f.c = c
	begun := f.now
	alive := func() bool { return (dies == 0 || f.now < begun+dies) && c.Step() != rollout.StepDone }
	var say func([]rollout.Envelope)
	say = func(sends []rollout.Envelope) {
		for _, s := range sends {
			f.sent++
			f.wire(func() {
				a := f.agents[s.To]
				if !a.up || f.toolCut != a.cut {
					return
				}
				r := f.handle(fmt.Sprint("tool ", n), a, s.Message)
				f.wire(func() {
					if alive() && f.toolCut == a.cut {
						say(c.HandleReply(f.now, s.To, r))
					}
				})
			})
		}
	}
	var tick func()
	tick = func() {
		if alive() {
			say(c.Tick(f.now))
			f.after(simTick, tick)
		}
	}
	say(c.Start(f.now))
	f.after(simTick, tick)
	f.run(simEnd, func() bool { return !alive() })
	return c
}

// faults lays out what fails during the change, and gives when the last of it is over.
func (f *fleetSim) faults() (last d.Micros) {
	last = f.now
	for _, name := range f.names {
		if f.r.Float64() < f.s.AgentCrashRate {
			a, at, down := f.agents[name], d.Micros(f.r.IntN(2_000_000)), d.Micros(100_000+f.r.IntN(3_000_000))
			last = max(last, f.now+at+down)
			f.after(at, func() { a.up = false })
			f.after(at+down, func() { f.boot(name) })
		}
	}
	if f.r.Float64() < f.s.PartitionRate {
		share, at, long := f.r.Float64(), d.Micros(f.r.IntN(1_500_000)), d.Micros(500_000+f.r.IntN(8_000_000))
		last = max(last, f.now+at+long)
		f.after(at, func() {
			f.toolCut = f.r.Float64() < 0.3
			for _, name := range f.names {
				f.agents[name].cut = f.r.Float64() < share
			}
		})
		f.after(at+long, func() {
			f.toolCut = false
			for _, name := range f.names {
				f.agents[name].cut = false
			}
		})
	}
	return last
}

type simResult struct {
	state                string
	word, known, settled d.Micros
	sent, between        int
	events               int
	lived, ended         bool
	why                  string
}

// play plays one change and says what it came to.
func (s *Rollout) play(n int, number uint64) (e simResult) {
	f := &fleetSim{s: s, r: rand.New(rand.NewPCG(s.Seed, uint64(n)<<32|number)), now: d.Second, agents: map[string]*simAgent{}}
	if f.budget = s.MaxEvents; f.budget == 0 {
		f.budget = max(20_000, 2_000*n)
	}
	if s.OnlySchedule >= 0 {
		f.trace = func(format string, args ...any) { fmt.Printf(format+"\n", args...) }
	}
	var places []rollout.Candidate
	for i := range n {
		name := fmt.Sprintf("a%04d", i)
		f.agents[name] = &simAgent{runs: "old", stored: rollout.State{ActiveScripts: map[string]string{simInstance + name: "old"}}}
		f.names = append(f.names, name)
		places = append(places, rollout.Candidate{Instance: simInstance + name, Agent: name, Depot: fmt.Sprint(i / 10), Script: "old"})
	}
	for _, name := range f.names {
		f.boot(name)
	}
	change := rollout.Plan("c1", "op", "", places, s.WaveSize, simSum, func(rollout.Candidate) string { return "new" })
	begun, last := f.now, f.faults()
	dies := d.Micros(0)
	if f.r.Float64() < s.ToolCrashRate {
		dies = d.Micros(1 + f.r.IntN(1_500_000))
	}
	// who knows is watched beside what goes on
	var watch func()
	watch = func() {
		if e.known == 0 && f.known() {
			e.known = f.now - begun
		}
		if e.known == 0 {
			f.after(simTick, watch)
		}
	}
	f.after(simTick, watch)

	c := f.tool(change, dies)
	r := c.Result()
	e.lived = c.Step() == rollout.StepDone
	if !e.lived {
		last = max(last, f.now)
	}
	// another operator's tool goes on a moment later, and comes back for as long as the right to change is held
	again := !e.lived || r.NeedsResume
	for again && f.now < simEnd && f.events < f.budget {
		f.run(f.now+d.Second, never)
		if e.lived { // it goes on with its own
			c = f.tool(change, 0)
		} else {
			c = f.tool(nil, 0)
		}
		r = c.Result()
		again = c.Step() != rollout.StepDone || r.RefusalReason != "" || r.NeedsResume
	}
	e.word = f.now - begun
	e.ended = c.Step() == rollout.StepDone
	// what a director runs, what its agent says, and what was decided must agree; it may take until all are back
	for end := f.now + 120*d.Second; ; {
		e.state = f.state()
		if e.state != "neither" && f.now >= last && e.known > 0 || f.now >= end || f.events >= f.budget {
			break
		}
		f.run(f.now+2*simTick, never)
	}
	if !told(r, e.state) {
		e.state = "neither"
	}
	e.settled, e.sent, e.between, e.events = max(0, f.now-last), f.sent, f.between, f.events
	e.ended = e.ended && f.events < f.budget && e.known > 0
	if !e.ended || e.state == "neither" {
		e.why = fmt.Sprintf("--instances %d --seed %d --only %d: %s", n, s.Seed, number, f.waits())
	}
	return e
}

// told says whether a tool's word was true of how directors were in the end.
func told(r rollout.Result, state string) bool {
	for _, end := range r.Targets {
		switch {
		case end.State == "changed" && state == "untouched", end.State == "untouched" && state == "changed",
			end.State == "will be changed" && state == "untouched":
			return false
		}
	}
	return true
}

// known says whether every agent knows the outcome: nobody holds anything open.
func (f *fleetSim) known() bool {
	for _, name := range f.names {
		a := f.agents[name]
		if !a.up {
			return false
		}
		if e := a.Entry("c1"); e != nil && e.Outcome == rollout.Undecided {
			return false
		}
	}
	return f.c.Step() == rollout.StepDone || f.agents[f.names[0]].Entry("c1") != nil
}

// waits says who waits on whom.
func (f *fleetSim) waits() string {
	out := []string{fmt.Sprintf("after %.1f s and %d events: tool %v", float64(f.now)/1e6, f.events, f.c.DebugString())}
	for _, name := range f.names {
		a := f.agents[name]
		e := a.Entry("c1")
		switch {
		case !a.up:
			out = append(out, name+" is down")
		case e != nil && !e.IsComplete():
			out = append(out, fmt.Sprintf("%s, director at %q", a.settler.DebugString(f.now), a.runs))
		}
		if len(out) > shownStuck/2 {
			return strings.Join(append(out, "..."), "; ")
		}
	}
	return strings.Join(out, "; ")
}

// state is "changed", "untouched", "partly" where the waves were stopped, or, while directors differ otherwise or an agent says
// something else than its director, "neither".
func (f *fleetSim) state() string {
	counts, final, chosen := map[string]int{}, true, rollout.Undecided
	for _, name := range f.names {
		a := f.agents[name]
		says := "old"
		if e := a.Entry("c1"); e != nil {
			if chosen == rollout.Undecided {
				chosen = e.Outcome
			} else if e.Outcome != rollout.Undecided && e.Outcome != chosen {
				return "neither"
			}
			final = final && e.Final
			for _, l := range e.TargetStates {
				if l.Phase == rollout.PhaseApplied {
					says = "new"
				} else if !l.IsTerminal() {
					return "neither"
				}
			}
		}
		if says != a.runs || !a.up {
			return "neither"
		}
		counts[a.runs]++
	}
	switch {
	case len(f.names) == counts["new"]:
		return "changed"
	case len(f.names) == counts["old"]:
		return "untouched"
	case final && f.s.WaveSize > 0:
		return "partly"
	}
	return "neither"
}

// Execute plays all sizes.
func (s *Rollout) Execute() (runs []RolloutRun, err error) {
	for _, share := range []float64{s.LossRate, s.DuplicateRate, s.AgentCrashRate, s.ToolCrashRate, s.PartitionRate} {
		if share < 0 || share > 1 || s.LossRate >= 1 {
			return runs, fmt.Errorf("--loss, --twice, --deaths, --tool-dies, --cuts: %v is no share; --loss must be below 1", share)
		}
	}
	for _, n := range s.Instances {
		if n < 1 || s.Schedules < 1 || s.MaxEvents < 0 || s.WaveSize < 0 {
			return runs, fmt.Errorf("--instances %d, --schedules %d, --steps %d, --limit %d: the first two must be above 0, no other below",
				n, s.Schedules, s.MaxEvents, s.WaveSize)
		}
		ends, first := make([]simResult, s.Schedules), 0
		if s.OnlySchedule >= 0 {
			ends, first = ends[:1], s.OnlySchedule
		}
		next := atomic.Int64{}
		var all sync.WaitGroup
		for range runtime.GOMAXPROCS(0) { // each schedule has its own chance, so their order does not matter
			all.Go(func() {
				for i := next.Add(1) - 1; i < int64(len(ends)); i = next.Add(1) - 1 {
					ends[i] = s.play(n, uint64(first)+uint64(i))
				}
			})
		}
		all.Wait()
		runs = append(runs, sumUp(n, ends))
	}
	return runs, nil
}

func sumUp(n int, ends []simResult) RolloutRun {
	r := RolloutRun{Instances: n, Schedules: len(ends)}
	var word, lived, known, settled []float64
	for _, e := range ends {
		switch {
		case !e.ended:
			r.Unfinished++
		case e.state == "changed":
			r.Changed++
		case e.state == "untouched":
			r.Untouched++
		case e.state == "partly":
			r.Partial++
		default:
			r.Inconsistent++
		}
		if e.why != "" && len(r.Problems) < shownStuck {
			r.Problems = append(r.Problems, e.why)
		}
		word, settled = append(word, float64(e.word)/1000), append(settled, float64(e.settled)/1000)
		if known = append(known, float64(e.known)/1000); e.lived {
			lived = append(lived, float64(e.word)/1000)
		}
		r.ToolMessages += float64(e.sent) / float64(len(ends))
		r.AgentMessages += float64(e.between) / float64(len(ends))
		r.MaxEvents = max(r.MaxEvents, e.events)
	}
	r.P50, r.P99, r.NoCrashP99 = quantile(word, 0.5), quantile(word, 0.99), quantile(lived, 0.99)
	r.KnownP50, r.KnownP99, r.SettledP99 = quantile(known, 0.5), quantile(known, 0.99), quantile(settled, 0.99)
	r.Sequential = float64(n) * (110 + 2*11) // each is written, read and read back, with the wire between
	return r
}

// quantile is the value that so many are not above; 0 of none.
func quantile(all []float64, p float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(p*float64(len(all))))]
}
