package fleet

import (
	"fmt"
	"maps"
	"slices"

	d "tallyproxy/director"
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
	return Times{Lease: 15 * d.Second, Resend: d.Second / 2, Give: 5 * d.Second, Wave: 20 * d.Second}
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
	Ended
)

var steps = [...]string{"promising", "settling", "preparing", "deciding", "putting in force", "ended"}

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
	open    []*Entry // of others, to be settled first
	current *Change  // being decided or put in force
	outcome Outcome
	wave    int
	stop    string // why no further wave
	worse   func() string
	local   map[string]Local // latest word of each director
	r       Result
}

// NewCoordinator makes one for an operator's tool. Agents are all of the fleet. N must be higher than any ballot that this
// holder used before; worse, where given, says between waves why to stop.
func NewCoordinator(me string, n int64, agents []string, change *Change, t Times, worse func() string) *Coordinator {
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

// enter begins a step by saying the same to some agents.
func (c *Coordinator) enter(now d.Micros, s Step, to []string, m Message) []Send {
	c.step, c.since = s, now
	c.wait, c.sent, c.got = map[string]Message{}, map[string]d.Micros{}, map[string]Reply{}
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
	if c.step > Promising && now-c.renewed >= c.times.Lease/3 {
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
	c.got[from] = r
	if c.step != Waving || !r.OK || c.reached(from, r) {
		delete(c.wait, from)
	}
	return c.move(now)
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
	}
}

// reached says whether an agent's directors of the waves so far are over with the change.
func (c *Coordinator) reached(agent string, r Reply) bool {
	for _, t := range c.current.Targets {
		if t.Agent == agent && (t.Wave <= c.wave || c.outcome == Drop) {
			if l, told := c.local[t.Instance]; !l.Over() && (told || c.outcome == Go) {
				return false
			}
		}
	}
	return true
}

func (c *Coordinator) ok() (n int) {
	for _, r := range c.got {
		if r.OK {
			n++
		}
	}
	return n
}

// move goes on as far as what was answered allows.
func (c *Coordinator) move(now d.Micros) []Send {
	late := now-c.since >= c.times.Give
	switch c.step {
	case Promising:
		return c.promised(now, late)
	case Settling, Deciding:
		switch refused := len(c.got) - c.ok(); {
		case c.majority(c.ok()):
			return c.chosen(now)
		case c.majority(refused):
			return c.end(now, "taken over by another while it was being decided; `status` tells what came of it")
		case late && len(c.wait) > 0 && now-c.since >= 4*c.times.Give:
			return c.end(now, "no majority of the agents answers; `resume` goes on once they do")
		}
	case Preparing:
		for _, a := range slices.Sorted(maps.Keys(c.got)) {
			if r := c.got[a]; !r.OK {
				c.r.Refused = a + ": " + r.Why
				return c.decide(now, Drop)
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
	}
	return nil
}

// promised begins once a majority gave the right to change: with what earlier holders left open.
func (c *Coordinator) promised(now d.Micros, late bool) []Send {
	refused := 0
	var higher Reply
	for _, a := range slices.Sorted(maps.Keys(c.got)) {
		if r := c.got[a]; !r.OK {
			if refused++; higher.Ballot.Less(r.Ballot) || higher.Why == "" {
				higher = r
			}
		}
	}
	switch {
	case c.majority(refused) || late && !c.majority(c.ok()):
		c.r.Refused = "no majority of the agents answers"
		if refused > 0 {
			c.r.Refused, c.r.Holder, c.r.Held, c.r.Left = higher.Why, higher.Ballot.Holder, higher.Held, higher.Left
		}
		return c.end(now, "")
	case !c.majority(c.ok()) || len(c.wait) > 0 && !late && now-c.since < c.times.Resend:
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
			if old.Waves, old.Final = max(old.Waves, e.Waves), old.Final || e.Final; e.Vote != nil &&
				(old.Vote == nil || old.Vote.Ballot.Less(e.Vote.Ballot)) {
				old.Vote = e.Vote
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(best)) {
		if e := best[id]; c.change == nil || id != c.change.ID {
			c.open = append(c.open, e)
		} else if e.Vote != nil || e.Outcome != Open { // it was begun before: the same as resuming
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
		c.current, c.wave = e.Change, max(1, e.Waves)
		for name, l := range e.Local {
			c.local[name] = *l
		}
		c.outcome = Drop // nobody of a majority accepted anything: nothing was chosen, nor will be with a lower ballot
		if e.Outcome != Open {
			c.outcome = e.Outcome
		} else if e.Vote != nil {
			c.outcome = e.Vote.Outcome
		}
		if e.Final {
			c.stop = "stopped before"
		}
		return c.enter(now, Settling, c.agents, Message{Verb: Accept, Change: c.current, Outcome: c.outcome})
	}
	if c.change == nil {
		return c.end(now, "")
	}
	c.current, c.change, c.wave = c.change, nil, 1
	return c.enter(now, Preparing, c.current.Agents(), Message{Verb: Prepare, Change: c.current})
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
	pending, failed := 0, ""
	for _, t := range c.current.Targets {
		if c.outcome == Go && t.Wave > c.wave {
			continue
		}
		l, told := c.local[t.Instance]
		if !l.Over() && (told || c.outcome == Go) {
			pending++
		}
		if l.Phase == Failed {
			failed = t.Instance + ": " + l.Why
		}
	}
	known := len(c.agents) - len(c.wait)
	for a := range c.wait {
		if _, answered := c.got[a]; answered {
			known++
		}
	}
	late := now-c.since >= c.times.Wave
	if !late && (pending > 0 || !c.majority(known)) {
		return nil
	}
	last := c.outcome == Drop || c.stop != "" || c.wave >= c.current.Waves()
	if last && (late || now-c.since >= c.times.Resend || len(c.wait) == 0) {
		return c.over(now)
	}
	if last {
		return nil
	}
	switch {
	case failed != "":
		c.stop = failed
	case pending > 0:
		c.stop = fmt.Sprintf("wave %d did not come to its end", c.wave)
	case c.worse != nil:
		c.stop = c.worse()
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
		for _, t := range c.current.Targets {
			c.r.Ends = append(c.r.Ends, End{Instance: t.Instance, Agent: t.Agent, State: "not known", Why: why})
		}
	}
	out := c.enter(now, Ended, nil, Message{})
	for _, a := range c.agents {
		out = append(out, Send{a, Message{Verb: Release, Ballot: c.ballot}})
	}
	c.r.Sent += len(c.agents)
	return out
}
