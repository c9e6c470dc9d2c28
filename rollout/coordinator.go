package rollout

import (
	"fmt"
	"maps"
	"slices"

	d "tallyproxy/policy"
)

// Timeouts are how long a coordinator waits.
type Timeouts struct {
	Lease  d.Micros // of the right to change
	Resend d.Micros // between two tries of a message
	Step   d.Micros // up an agent that does not answer in a step
	Wave   d.Micros // for the directors of a wave to run what they were given
}

// DefaultTimeouts suit agents a few milliseconds apart.
func DefaultTimeouts() Timeouts {
	return Timeouts{Lease: 3 * d.Second, Resend: d.Second / 2, Step: 5 * d.Second, Wave: 20 * d.Second}
}

// Envelope is a message on its way to an agent.
type Envelope struct {
	To string
	Message
}

// Step is where a coordinator is.
type Step int

const (
	StepPromise Step = iota
	StepRecover      // what an earlier holder left open
	StepPrepare
	StepDecide
	StepApply
	StepQuery // what became of a change that another has taken over
	StepDone
)

var steps = [...]string{"promising", "settling", "preparing", "deciding", "putting in force", "finding out", "ended"}

func (s Step) String() string { return steps[s] }

// TargetResult is what came of one director.
type TargetResult struct {
	Instance string `json:"instance"`
	Agent    string `json:"agent"`
	State    string `json:"state"` // "changed", "untouched", "will be changed", "not known"
	Reason   string `json:"why,omitempty"`
}

// Result is what came of a coordinator's work.
type Result struct {
	ID            string         `json:"id"`
	Outcome       Outcome        `json:"outcome"`
	RefusalReason string         `json:"refused,omitempty"` // why nothing was begun, or all was dropped
	Holder        string         `json:"holder,omitempty"`  // who holds the right to change, where that is why,
	HeldFor       d.Micros       `json:"held,omitempty"`    // since how long
	LeaseLeft     d.Micros       `json:"left,omitempty"`    // and for how long yet
	StopReason    string         `json:"stopped,omitempty"` // why no further wave was begun
	NeedsResume   bool           `json:"resume,omitempty"`  // another decided it meanwhile, and waves are left to whoever may go on
	Targets       []TargetResult `json:"ends"`
	MessagesSent  int            `json:"sent"` // messages
}

// AllOrNone says whether every director has the change, or none has.
func (r Result) AllOrNone() bool {
	counts := map[string]int{}
	for _, e := range r.Targets {
		counts[e.State]++
	}
	return counts["changed"] == len(r.Targets) || counts["untouched"] == len(r.Targets)
}

// Coordinator takes one change through, or settles one that another left behind. It is told of time by Tick and of replies by
// Got, and says what to send.
type Coordinator struct {
	me      string
	agents  []string
	times   Timeouts
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
	local   map[string]TargetState // latest word of each director
	r       Result
}

// NewCoordinator makes one for an operator's tool. Agents are all of the fleet. N must be higher than any ballot that this
// holder used before; worse, where given, is asked between waves, until it has said, why to stop.
func NewCoordinator(me string, n int64, agents []string, change *Change, t Timeouts, worse func() (string, bool)) *Coordinator {
	c := &Coordinator{
		me: me, agents: slices.Sorted(slices.Values(agents)), times: t, change: change, ballot: Ballot{n, me},
		local: map[string]TargetState{}, worse: worse,
	}
	if change != nil {
		c.r.ID = change.ID
	}
	return c
}

// Start begins.
func (c *Coordinator) Start(now d.Micros) []Envelope {
	return c.enter(now, StepPromise, c.agents, Message{Type: Promise, Lease: c.times.Lease, Change: c.change})
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
func (c *Coordinator) enter(now d.Micros, s Step, to []string, m Message) []Envelope {
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
func (c *Coordinator) send(now d.Micros) (out []Envelope) {
	for _, a := range slices.Sorted(maps.Keys(c.wait)) {
		if at, said := c.sent[a]; !said || now-at >= c.times.Resend {
			c.sent[a] = now
			out = append(out, Envelope{a, c.wait[a]})
		}
	}
	c.r.MessagesSent += len(out)
	return out
}

// Tick goes on where time has come.
func (c *Coordinator) Tick(now d.Micros) []Envelope {
	if c.step == StepDone {
		return nil
	}
	out := c.move(now)
	if c.step == StepDone {
		return out
	}
	out = append(out, c.send(now)...)
	if c.step > StepPromise && c.step < StepQuery && now-c.renewed >= c.times.Lease/3 {
		c.renewed = now
		for _, a := range c.agents {
			out = append(out, Envelope{a, Message{Type: Renew, Ballot: c.ballot, Lease: c.times.Lease}})
		}
		c.r.MessagesSent += len(c.agents)
	}
	return out
}

// HandleReply takes a reply. One of an earlier step tells nothing new but how directors are.
func (c *Coordinator) HandleReply(now d.Micros, from string, r Reply) []Envelope {
	if c.step == StepDone || r.Type == Renew || r.Type == Release {
		return nil
	}
	c.note(r)
	if r.Seq != c.seq || c.wait[from].Type != r.Type {
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
	case c.step == StepQuery && (c.outcome == Undecided || !c.reached(from)): // it is asked again
	case c.step != StepApply || !r.OK || c.reached(from):
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
		for name, l := range e.TargetStates {
			if old, ok := c.local[name]; !ok || !old.IsTerminal() {
				c.local[name] = *l
			}
		}
		if c.step == StepQuery && e.Outcome != Undecided {
			c.outcome, c.wave = e.Outcome, max(c.wave, e.AllowedWaves)
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
	if c.outcome == Commit && t.Wave > c.wave {
		return false
	}
	l, told := c.local[t.Instance]
	return !l.IsTerminal() && (told || c.outcome == Commit)
}

// move goes on as far as what was answered allows.
func (c *Coordinator) move(now d.Micros) []Envelope {
	late := now-c.since >= c.times.Step
	switch c.step {
	case StepPromise:
		return c.promised(now, late)
	case StepRecover, StepDecide:
		switch {
		case c.majority(c.yes):
			return c.chosen(now)
		case c.beaten(): // also where an even fleet is split in halves, and all have answered
			return c.find(now)
		case now-c.since >= 4*c.times.Step:
			return c.end(now, "no majority of the agents answers; `resume` goes on once they do")
		}
	case StepPrepare:
		if c.no > 0 {
			for _, a := range slices.Sorted(maps.Keys(c.got)) {
				if r := c.got[a]; !r.OK {
					c.r.RefusalReason = a + ": " + r.Reason
					return c.decide(now, Abort)
				}
			}
		}
		if len(c.wait) == 0 {
			return c.decide(now, Commit)
		}
		if late {
			c.r.RefusalReason = slices.Sorted(maps.Keys(c.wait))[0] + ": does not answer"
			return c.decide(now, Abort)
		}
	case StepApply:
		return c.waved(now)
	case StepQuery:
		if len(c.wait) == 0 || now-c.since >= c.times.Wave {
			return c.found(now)
		}
	}
	return nil
}

// find asks what became of a change once another holds the right to it: whoever took it over brings it to an end, and the one
// who began it is told which.
func (c *Coordinator) find(now d.Micros) []Envelope {
	if c.r.ID != "" && c.current.ID != c.r.ID || c.r.ID == "" { // it was another's: of the own one nothing was begun
		return c.end(now, "taken over by another while an earlier change was being settled")
	}
	c.outcome, c.wave = Undecided, 1
	return c.enter(now, StepQuery, c.agents, Message{Type: Query, ChangeID: c.current.ID})
}

func (c *Coordinator) found(now d.Micros) []Envelope {
	if c.outcome == Undecided {
		return c.end(now, "taken over by another while it was being decided; `status` tells what came of it")
	}
	c.r.Outcome, c.r.Targets = c.outcome, c.ends()
	switch {
	case c.outcome == Abort && c.r.RefusalReason == "":
		c.r.RefusalReason = "taken over by another before it was decided"
	case c.outcome == Commit:
		c.r.RefusalReason, c.r.NeedsResume = "", c.wave < c.current.WaveCount()
	}
	return c.end(now, "")
}

// promised begins once a majority gave the right to change: with what earlier holders left open.
func (c *Coordinator) promised(now d.Micros, late bool) []Envelope {
	switch {
	case c.beaten() || late && !c.majority(c.yes):
		c.r.RefusalReason = "no majority of the agents answers"
		var higher Reply
		for _, a := range slices.Sorted(maps.Keys(c.got)) {
			if r := c.got[a]; !r.OK && (higher.Promised.Less(r.Promised) || higher.Reason == "") {
				higher = r
			}
		}
		if c.no > 0 {
			c.r.RefusalReason, c.r.Holder, c.r.HeldFor, c.r.LeaseLeft = higher.Reason, higher.Promised.Holder, higher.HeldFor, higher.LeaseLeft
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
			if old.Outcome == Undecided {
				old.Outcome = e.Outcome
			}
			if len(old.Change.Targets) == 0 { // told by one that is done with it
				old.Change = e.Change
			}
			if old.AllowedWaves, old.Final = max(old.AllowedWaves, e.AllowedWaves), old.Final || e.Final; e.Vote != nil &&
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
		} else if e.Vote != nil || e.Outcome != Undecided { // it was begun before: the same as resuming
			e.Change = c.change // those that are done with it told no more than its outcome
			c.open, c.change = append(c.open, e), nil
		}
	}
	return c.next(now)
}

// next takes up the next open change, then the operator's own.
func (c *Coordinator) next(now d.Micros) []Envelope {
	c.local, c.stop = map[string]TargetState{}, ""
	if len(c.open) > 0 {
		e := c.open[0]
		c.open = c.open[1:]
		c.take(e.Change, max(1, e.AllowedWaves))
		for name, l := range e.TargetStates {
			c.local[name] = *l
		}
		c.outcome = Abort // nobody of a majority accepted anything: nothing was chosen, nor will be with a lower ballot
		if e.Outcome != Undecided {
			c.outcome = e.Outcome
		} else if e.Vote != nil {
			c.outcome = e.Vote.Outcome
		}
		if e.Final && e.AllowedWaves < e.Change.WaveCount() {
			c.stop = "stopped before"
		}
		return c.enter(now, StepRecover, c.agents, Message{Type: Accept, Change: c.current, Outcome: c.outcome})
	}
	if c.change == nil {
		return c.end(now, "")
	}
	c.take(c.change, 1)
	c.change = nil
	return c.enter(now, StepPrepare, c.current.Agents(), Message{Type: Prepare, Change: c.current})
}

// take makes a change the current one.
func (c *Coordinator) take(change *Change, wave int) {
	c.current, c.wave, c.parts = change, wave, map[string][]Target{}
	for _, t := range change.Targets {
		c.parts[t.Agent] = append(c.parts[t.Agent], t)
	}
}

func (c *Coordinator) decide(now d.Micros, o Outcome) []Envelope {
	c.outcome = o
	return c.enter(now, StepDecide, c.agents, Message{Type: Accept, Change: c.current, Outcome: o})
}

// chosen tells all agents what a majority accepted.
func (c *Coordinator) chosen(now d.Micros) []Envelope {
	if c.r.ID == "" || c.r.ID == c.current.ID {
		c.r.ID, c.r.Outcome = c.current.ID, c.outcome
	}
	return c.tell(now)
}

// tell has the present wave put in force, or drops the change.
func (c *Coordinator) tell(now d.Micros) []Envelope {
	final := c.outcome == Abort || c.stop != "" || c.wave >= c.current.WaveCount()
	return c.enter(now, StepApply, c.agents, Message{
		Type: Learn, Change: c.current, Outcome: c.outcome, AllowedWaves: c.wave, Final: final,
	})
}

// waved goes on to the next wave once a majority knows of this one and its directors run it; it stops where one would not
// have it, where one does not answer, or where things look worse.
func (c *Coordinator) waved(now d.Micros) []Envelope {
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
		if l := c.local[t.Instance]; l.Phase == PhaseFailed && t.Wave <= c.wave {
			failed = t.Instance + ": " + l.Reason
		}
	}
	if !late && pending > 0 && !c.hold { // an agent that settles leaves the right to others meanwhile
		return nil
	}
	if c.outcome == Abort || c.stop != "" || c.hold || c.wave >= c.current.WaveCount() {
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
func (c *Coordinator) over(now d.Micros) []Envelope {
	if c.r.ID == c.current.ID {
		c.r.StopReason = c.stop
		c.r.Targets = c.ends()
	}
	return c.next(now)
}

func (c *Coordinator) ends() (ends []TargetResult) {
	for _, t := range c.current.Targets {
		e := TargetResult{Instance: t.Instance, Agent: t.Agent, State: "untouched"}
		l, told := c.local[t.Instance]
		switch {
		case told && l.Phase == PhaseApplied:
			e.State = "changed"
		case told && l.IsTerminal():
			e.Reason = l.Reason
		case c.outcome == Commit && t.Wave <= c.wave:
			e.State, e.Reason = "will be changed", "its agent does not answer, and does it when it is back"
			if told && l.Phase == PhaseApplying {
				e.Reason = "its director is not done with it"
			}
		}
		ends = append(ends, e)
	}
	return ends
}

// end stops, and gives the right to change back.
func (c *Coordinator) end(now d.Micros, why string) []Envelope {
	if why != "" {
		c.r.RefusalReason = why
		of, state := c.current, "not known"
		if c.change != nil { // it was not begun
			of, state = c.change, "untouched"
		}
		for _, t := range of.Targets {
			c.r.Targets = append(c.r.Targets, TargetResult{Instance: t.Instance, Agent: t.Agent, State: state, Reason: why})
		}
	}
	return append(c.enter(now, StepDone, nil, Message{}), c.Release()...)
}

// Release gives the right to change back, at the end or in the middle of it: what is open is then settled by others at once.
func (c *Coordinator) Release() (out []Envelope) {
	for _, a := range c.agents {
		out = append(out, Envelope{a, Message{Type: Release, Ballot: c.ballot}})
	}
	c.r.MessagesSent += len(c.agents)
	return out
}

// DebugString says whom it waits for, and where.
func (c *Coordinator) DebugString() string {
	return fmt.Sprintf("%v %s since %v, for %v", c.step, c.r.ID, c.since, slices.Sorted(maps.Keys(c.wait)))
}
