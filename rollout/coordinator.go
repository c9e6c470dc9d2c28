package rollout

import (
	"fmt"
	"maps"
	"slices"

	d "tallyproxy/policy"
)

// Times are how long a coordinator waits.
type Times struct {
	Lease  d.Micros // of the right to change
	Resend d.Micros // between two tries of a message
	Give   d.Micros // up an agent that does not answer in a step
	Wave   d.Micros // for the directors of a wave to run what they were given
}

// DefaultTimes suit agents a few milliseconds apart.
func DefaultTimes() Times {
	return Times{Lease: 3 * d.Second, Resend: d.Second / 2, Give: 5 * d.Second, Wave: 20 * d.Second}
}

// Send is a message on its way to an agent.
type Send struct {
	To string
	Message
}

// Step is where a coordinator is.
type Step int

const (
	Promising Step = iota
	Settling       // what an earlier holder left open
	Preparing
	Deciding
	Waving
	Finding // what became of a change that another has taken over
	Ended
)

var steps = [...]string{"promising", "settling", "preparing", "deciding", "putting in force", "finding out", "ended"}

func (s Step) String() string { return steps[s] }

// End is what came of one director.
type End struct {
	Instance string `json:"instance"`
	Agent    string `json:"agent"`
	State    string `json:"state"` // "changed", "untouched", "will be changed", "not known"
	Why      string `json:"why,omitempty"`
}

// Result is what came of a coordinator's work.
type Result struct {
	ID      string   `json:"id"`
	Outcome Outcome  `json:"outcome"`
	Refused string   `json:"refused,omitempty"` // why nothing was begun, or all was dropped
	Holder  string   `json:"holder,omitempty"`  // who holds the right to change, where that is why,
	Held    d.Micros `json:"held,omitempty"`    // since how long
	Left    d.Micros `json:"left,omitempty"`    // and for how long yet
	Stopped string   `json:"stopped,omitempty"` // why no further wave was begun
	Resume  bool     `json:"resume,omitempty"`  // another decided it meanwhile, and waves are left to whoever may go on
	Ends    []End    `json:"ends"`
	Sent    int      `json:"sent"` // messages
}

// Whole says whether every director has the change, or none has.
func (r Result) Whole() bool {
	counts := map[string]int{}
	for _, e := range r.Ends {
		counts[e.State]++
	}
	return counts["changed"] == len(r.Ends) || counts["untouched"] == len(r.Ends)
}

// Coordinator takes one change through, or settles one that another left behind. It is told of time by Tick and of replies by
// Got, and says what to send.
type Coordinator struct {
	me      string
	agents  []string
	times   Times
	change  *Change // nil: to settle what is open, no more
	ballot  Ballot
	step    Step
	since   d.Micros // when the step began
	renewed d.Micros
	seq     int
	wait    map[string]Message // not answered in this step, by agent
	sent    map[string]d.Micros
	got     map[string]Reply
	yes, no int      // of those
	open    []*Entry // of others, to be settled first
	current *Change  // being decided or put in force
	parts   map[string][]Target
	outcome Outcome
	wave    int
	stop    string // why no further wave
	hold    bool   // no wave is begun that nobody has begun: whether it may is an operator's to say
	worse   func() (why string, said bool)
	local   map[string]Local // latest word of each director
	r       Result
}

// NewCoordinator makes one for an operator's tool. Agents are all of the fleet. N must be higher than any ballot that this
// holder used before; worse, where given, is asked between waves, until it has said, why to stop.
func NewCoordinator(me string, n int64, agents []string, change *Change, t Times, worse func() (string, bool)) *Coordinator {
	c := &Coordinator{
		me: me, agents: slices.Sorted(slices.Values(agents)), times: t, change: change, ballot: Ballot{n, me},
		local: map[string]Local{}, worse: worse,
	}
	if change != nil {
		c.r.ID = change.ID
	}
	return c
}

// Start begins.
func (c *Coordinator) Start(now d.Micros) []Send {
	return c.enter(now, Promising, c.agents, Message{Verb: Promise, Lease: c.times.Lease, Change: c.change})
}

// Step says where it is.
func (c *Coordinator) Step() Step { return c.step }

// Wave is the wave that is being put in force.
func (c *Coordinator) Wave() int { return c.wave }

// Result is what came of it; whole once the step is Ended.
func (c *Coordinator) Result() Result { return c.r }

func (c *Coordinator) majority(n int) bool { return n > len(c.agents)/2 }

// beaten says whether so many have refused that no majority can come any more.
func (c *Coordinator) beaten() bool { return !c.majority(len(c.agents) - c.no) }

// enter begins a step by saying the same to some agents.
func (c *Coordinator) enter(now d.Micros, s Step, to []string, m Message) []Send {
	c.step, c.since = s, now
	c.wait, c.sent, c.got = map[string]Message{}, map[string]d.Micros{}, map[string]Reply{}
	c.yes, c.no = 0, 0
	c.seq++
	m.Ballot, m.Seq = c.ballot, c.seq
	for _, a := range to {
		c.wait[a] = m
	}
	return c.send(now)
}

// send says what was not said yet, or was and not answered for a while.
func (c *Coordinator) send(now d.Micros) (out []Send) {
	for _, a := range slices.Sorted(maps.Keys(c.wait)) {
		if at, said := c.sent[a]; !said || now-at >= c.times.Resend {
			c.sent[a] = now
			out = append(out, Send{a, c.wait[a]})
		}
	}
	c.r.Sent += len(out)
	return out
}

// Tick goes on where time has come.
func (c *Coordinator) Tick(now d.Micros) []Send {
	if c.step == Ended {
		return nil
	}
	out := c.move(now)
	if c.step == Ended {
		return out
	}
	out = append(out, c.send(now)...)
	if c.step > Promising && c.step < Finding && now-c.renewed >= c.times.Lease/3 {
		c.renewed = now
		for _, a := range c.agents {
			out = append(out, Send{a, Message{Verb: Renew, Ballot: c.ballot, Lease: c.times.Lease}})
		}
		c.r.Sent += len(c.agents)
	}
	return out
}

// Got takes a reply. One of an earlier step tells nothing new but how directors are.
func (c *Coordinator) Got(now d.Micros, from string, r Reply) []Send {
	if c.step == Ended || r.Verb == Renew || r.Verb == Release {
		return nil
	}
	c.note(r)
	if r.Seq != c.seq || c.wait[from].Verb != r.Verb {
		return nil
	}
	if _, waited := c.wait[from]; !waited {
		return nil
	}
	if old, again := c.got[from]; again {
		c.yes, c.no = c.yes-one(old.OK), c.no-one(!old.OK)
	}
	c.yes, c.no, c.got[from] = c.yes+one(r.OK), c.no+one(!r.OK), r
	switch {
	case c.step == Finding && (c.outcome == Open || !c.reached(from)): // it is asked again
	case c.step != Waving || !r.OK || c.reached(from):
		delete(c.wait, from)
	}
	return c.move(now)
}

func one(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// note keeps what a reply tells of the directors of the change in hand.
func (c *Coordinator) note(r Reply) {
	for _, e := range r.Entries {
		if c.current == nil || e.Change.ID != c.current.ID {
			continue
		}
		for name, l := range e.Local {
			if old, ok := c.local[name]; !ok || !old.Over() {
				c.local[name] = *l
			}
		}
		if c.step == Finding && e.Outcome != Open {
			c.outcome, c.wave = e.Outcome, max(c.wave, e.Waves)
		}
	}
}

// reached says whether an agent's directors of the waves so far are over with the change.
func (c *Coordinator) reached(agent string) bool {
	for _, t := range c.parts[agent] {
		if c.pending(t) {
			return false
		}
	}
	return true
}

// pending says whether something more will come of a director in the waves so far.
func (c *Coordinator) pending(t Target) bool {
	if c.outcome == Go && t.Wave > c.wave {
		return false
	}
	l, told := c.local[t.Instance]
	return !l.Over() && (told || c.outcome == Go)
}

// move goes on as far as what was answered allows.
func (c *Coordinator) move(now d.Micros) []Send {
	late := now-c.since >= c.times.Give
	switch c.step {
	case Promising:
		return c.promised(now, late)
	case Settling, Deciding:
		switch {
		case c.majority(c.yes):
			return c.chosen(now)
		case c.beaten(): // also where an even fleet is split in halves, and all have answered
			return c.find(now)
		case now-c.since >= 4*c.times.Give:
			return c.end(now, "no majority of the agents answers; `resume` goes on once they do")
		}
	case Preparing:
		if c.no > 0 {
			for _, a := range slices.Sorted(maps.Keys(c.got)) {
				if r := c.got[a]; !r.OK {
					c.r.Refused = a + ": " + r.Why
					return c.decide(now, Drop)
				}
			}
		}
		if len(c.wait) == 0 {
			return c.decide(now, Go)
		}
		if late {
			c.r.Refused = slices.Sorted(maps.Keys(c.wait))[0] + ": does not answer"
			return c.decide(now, Drop)
		}
	case Waving:
		return c.waved(now)
	case Finding:
		if len(c.wait) == 0 || now-c.since >= c.times.Wave {
			return c.found(now)
		}
	}
	return nil
}

// find asks what became of a change once another holds the right to it: whoever took it over brings it to an end, and the one
// who began it is told which.
func (c *Coordinator) find(now d.Micros) []Send {
	if c.r.ID != "" && c.current.ID != c.r.ID || c.r.ID == "" { // it was another's: of the own one nothing was begun
		return c.end(now, "taken over by another while an earlier change was being settled")
	}
	c.outcome, c.wave = Open, 1
	return c.enter(now, Finding, c.agents, Message{Verb: Ask, ID: c.current.ID})
}

func (c *Coordinator) found(now d.Micros) []Send {
	if c.outcome == Open {
		return c.end(now, "taken over by another while it was being decided; `status` tells what came of it")
	}
	c.r.Outcome, c.r.Ends = c.outcome, c.ends()
	switch {
	case c.outcome == Drop && c.r.Refused == "":
		c.r.Refused = "taken over by another before it was decided"
	case c.outcome == Go:
		c.r.Refused, c.r.Resume = "", c.wave < c.current.Waves()
	}
	return c.end(now, "")
}

// promised begins once a majority gave the right to change: with what earlier holders left open.
func (c *Coordinator) promised(now d.Micros, late bool) []Send {
	switch {
	case c.beaten() || late && !c.majority(c.yes):
		c.r.Refused = "no majority of the agents answers"
		var higher Reply
		for _, a := range slices.Sorted(maps.Keys(c.got)) {
			if r := c.got[a]; !r.OK && (higher.Ballot.Less(r.Ballot) || higher.Why == "") {
				higher = r
			}
		}
		if c.no > 0 {
			c.r.Refused, c.r.Holder, c.r.Held, c.r.Left = higher.Why, higher.Ballot.Holder, higher.Held, higher.Left
		}
		return c.end(now, "")
	case !c.majority(c.yes) || len(c.wait) > 0 && !late && now-c.since < c.times.Resend:
		return nil // the others may know of something open; a moment is given to all
	}
	c.renewed = now
	best := map[string]*Entry{}
	for _, a := range slices.Sorted(maps.Keys(c.got)) {
		if !c.got[a].OK {
			continue
		}
		for _, e := range c.got[a].Entries {
			old := best[e.Change.ID]
			if old == nil {
				entry := e
				best[e.Change.ID] = &entry
				continue
			}
			if old.Outcome == Open {
				old.Outcome = e.Outcome
			}
			if len(old.Change.Targets) == 0 { // told by one that is done with it
				old.Change = e.Change
			}
			if old.Waves, old.Final = max(old.Waves, e.Waves), old.Final || e.Final; e.Vote != nil &&
				(old.Vote == nil || old.Vote.Ballot.Less(e.Vote.Ballot)) {
				old.Vote = e.Vote
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(best)) {
		if len(best[id].Change.Targets) == 0 && (c.change == nil || id != c.change.ID) {
			continue // all who know it are done with it
		}
		if e := best[id]; c.change == nil || id != c.change.ID {
			c.open = append(c.open, e)
		} else if e.Vote != nil || e.Outcome != Open { // it was begun before: the same as resuming
			e.Change = c.change // those that are done with it told no more than its outcome
			c.open, c.change = append(c.open, e), nil
		}
	}
	return c.next(now)
}

// next takes up the next open change, then the operator's own.
func (c *Coordinator) next(now d.Micros) []Send {
	c.local, c.stop = map[string]Local{}, ""
	if len(c.open) > 0 {
		e := c.open[0]
		c.open = c.open[1:]
		c.take(e.Change, max(1, e.Waves))
		for name, l := range e.Local {
			c.local[name] = *l
		}
		c.outcome = Drop // nobody of a majority accepted anything: nothing was chosen, nor will be with a lower ballot
		if e.Outcome != Open {
			c.outcome = e.Outcome
		} else if e.Vote != nil {
			c.outcome = e.Vote.Outcome
		}
		if e.Final && e.Waves < e.Change.Waves() {
			c.stop = "stopped before"
		}
		return c.enter(now, Settling, c.agents, Message{Verb: Accept, Change: c.current, Outcome: c.outcome})
	}
	if c.change == nil {
		return c.end(now, "")
	}
	c.take(c.change, 1)
	c.change = nil
	return c.enter(now, Preparing, c.current.Agents(), Message{Verb: Prepare, Change: c.current})
}

// take makes a change the current one.
func (c *Coordinator) take(change *Change, wave int) {
	c.current, c.wave, c.parts = change, wave, map[string][]Target{}
	for _, t := range change.Targets {
		c.parts[t.Agent] = append(c.parts[t.Agent], t)
	}
}

func (c *Coordinator) decide(now d.Micros, o Outcome) []Send {
	c.outcome = o
	return c.enter(now, Deciding, c.agents, Message{Verb: Accept, Change: c.current, Outcome: o})
}

// chosen tells all agents what a majority accepted.
func (c *Coordinator) chosen(now d.Micros) []Send {
	if c.r.ID == "" || c.r.ID == c.current.ID {
		c.r.ID, c.r.Outcome = c.current.ID, c.outcome
	}
	return c.tell(now)
}

// tell has the present wave put in force, or drops the change.
func (c *Coordinator) tell(now d.Micros) []Send {
	final := c.outcome == Drop || c.stop != "" || c.wave >= c.current.Waves()
	return c.enter(now, Waving, c.agents, Message{
		Verb: Learn, Change: c.current, Outcome: c.outcome, Waves: c.wave, Final: final,
	})
}

// waved goes on to the next wave once a majority knows of this one and its directors run it; it stops where one would not
// have it, where one does not answer, or where things look worse.
func (c *Coordinator) waved(now d.Micros) []Send {
	known := c.majority(c.yes) // an answer that is no more than late says so too
	late := now-c.since >= c.times.Wave
	if !late && !known {
		return nil
	}
	pending, failed := 0, ""
	for _, t := range c.current.Targets {
		if c.pending(t) {
			pending++
		}
		if l := c.local[t.Instance]; l.Phase == Failed && t.Wave <= c.wave {
			failed = t.Instance + ": " + l.Why
		}
	}
	if !late && pending > 0 && !c.hold { // an agent that settles leaves the right to others meanwhile
		return nil
	}
	if c.outcome == Drop || c.stop != "" || c.hold || c.wave >= c.current.Waves() {
		if late || now-c.since >= c.times.Resend || len(c.wait) == 0 {
			return c.over(now)
		}
		return nil
	}
	switch {
	case failed != "":
		c.stop = failed
	case pending > 0:
		c.stop = fmt.Sprintf("wave %d did not come to its end", c.wave)
	case !known: // else every wave of many could take its whole time, with nobody there
		c.stop = fmt.Sprintf("no majority of the agents knows of wave %d", c.wave)
	case c.worse != nil:
		why, said := c.worse()
		if !said && now-c.since < 2*c.times.Wave {
			return nil // the right to change is renewed meanwhile
		}
		if c.stop = why; !said {
			c.stop = fmt.Sprintf("after wave %d nobody could say how things look", c.wave)
		}
	}
	if c.stop == "" {
		c.wave++
	}
	return c.tell(now)
}

// over ends a change: what came of it is told, and the next is taken up.
func (c *Coordinator) over(now d.Micros) []Send {
	if c.r.ID == c.current.ID {
		c.r.Stopped = c.stop
		c.r.Ends = c.ends()
	}
	return c.next(now)
}

func (c *Coordinator) ends() (ends []End) {
	for _, t := range c.current.Targets {
		e := End{Instance: t.Instance, Agent: t.Agent, State: "untouched"}
		l, told := c.local[t.Instance]
		switch {
		case told && l.Phase == InForce:
			e.State = "changed"
		case told && l.Over():
			e.Why = l.Why
		case c.outcome == Go && t.Wave <= c.wave:
			e.State, e.Why = "will be changed", "its agent does not answer, and does it when it is back"
			if told && l.Phase == Going {
				e.Why = "its director is not done with it"
			}
		}
		ends = append(ends, e)
	}
	return ends
}

// end stops, and gives the right to change back.
func (c *Coordinator) end(now d.Micros, why string) []Send {
	if why != "" {
		c.r.Refused = why
		of, state := c.current, "not known"
		if c.change != nil { // it was not begun
			of, state = c.change, "untouched"
		}
		for _, t := range of.Targets {
			c.r.Ends = append(c.r.Ends, End{Instance: t.Instance, Agent: t.Agent, State: state, Why: why})
		}
	}
	return append(c.enter(now, Ended, nil, Message{}), c.Leave()...)
}

// Leave gives the right to change back, at the end or in the middle of it: what is open is then settled by others at once.
func (c *Coordinator) Leave() (out []Send) {
	for _, a := range c.agents {
		out = append(out, Send{a, Message{Verb: Release, Ballot: c.ballot}})
	}
	c.r.Sent += len(c.agents)
	return out
}

// Waits says whom it waits for, and where.
func (c *Coordinator) Waits() string {
	return fmt.Sprintf("%v %s since %v, for %v", c.step, c.r.ID, c.since, slices.Sorted(maps.Keys(c.wait)))
}
