package rollout

import (
	"fmt"
	"maps"
	"slices"

	d "tallyproxy/policy"
)

// State is what an agent must not forget: it is stored before any reply that rests on it leaves.
type State struct {
	Promised      Ballot            `json:"promised"`
	Entries       []*Entry          `json:"entries"`        // in the order they came
	ActiveScripts map[string]string `json:"in_force"`       // by director: the script
	Completed     []CompletedChange `json:"past,omitempty"` // settled changes whose entries made room, the latest last
}

// CompletedChange is what stays of a settled change: an agent that was away for long must still not be told otherwise.
type CompletedChange struct {
	ID           string  `json:"id"`
	Outcome      Outcome `json:"outcome"`
	AllowedWaves int     `json:"waves"`
	Final        bool    `json:"final"`
}

func (p CompletedChange) entry() Entry {
	return Entry{Change: &Change{ID: p.ID}, Outcome: p.Outcome, AllowedWaves: p.AllowedWaves, Final: p.Final}
}

// Clone is a state of its own; changes, which nobody alters, are shared.
func (s State) Clone() State {
	c := State{Promised: s.Promised, ActiveScripts: maps.Clone(s.ActiveScripts), Completed: slices.Clone(s.Completed)}
	for _, e := range s.Entries {
		entry := copyOf(e)
		c.Entries = append(c.Entries, &entry)
	}
	return c
}

// Agent is one machine's part. Check says whether a director could take a script; it reads no more than its arguments.
type Agent struct {
	Name  string
	State State
	check func(instance, script string) error
	sum   func(script string) string

	// not stored: a restart gives the holder a whole lease
	lease   d.Micros // of the holder of the promised ballot
	until   d.Micros
	since   d.Micros
	changed bool
}

// NewAgent takes up from what was stored; a first start has only what is in force.
func NewAgent(now d.Micros, name string, s State, lease d.Micros, check func(instance, script string) error,
	sum func(script string) string) *Agent {
	a := &Agent{Name: name, State: s, check: check, sum: sum, lease: lease, since: now}
	if s.Promised.Number > 0 {
		a.until = now + lease
	}
	if a.State.ActiveScripts == nil {
		a.State.ActiveScripts = map[string]string{}
	}
	return a
}

// TakeDirty says whether the state must be stored before anything else is done, and is then taken to be.
func (a *Agent) TakeDirty() bool {
	changed := a.changed
	a.changed = false
	return changed
}

// Entry is what is known of a change; nil for nothing.
func (a *Agent) Entry(id string) *Entry {
	for _, e := range a.State.Entries {
		if e.Change.ID == id {
			return e
		}
	}
	return nil
}

// Handle takes a message and answers it. The commands are to be carried out, and their ends told to Done.
func (a *Agent) Handle(now d.Micros, m Message) (r Reply, do []Command) {
	r = Reply{Type: m.Type, Seq: m.Seq}
	switch m.Type {
	case Promise:
		r.OK, r.Reason = a.promise(now, m)
	case Renew:
		if r.OK = m.Ballot == a.State.Promised; r.OK {
			a.until = now + m.Lease
		}
	case Release:
		if r.OK = m.Ballot == a.State.Promised; r.OK {
			a.until = now
		}
	case Prepare:
		r.OK, r.Reason = a.prepare(now, m)
	case Accept:
		r.OK, r.Reason = a.accept(now, m)
	case Learn:
		r.OK, r.Reason, do = a.learn(m)
	case Query:
		r.OK = true
	}
	r.Promised, r.HeldFor, r.LeaseLeft = a.State.Promised, now-a.since, max(0, a.until-now)
	r.Entries = a.told(m)
	return r, do
}

// told is what a reply tells of changes: of the one that is spoken of how its directors are; to who takes the right to change,
// all that is open, and what was chosen of all that is not. Without the last, whoever settles with a majority of those that
// were told nothing and those that are done with it would drop what was decided to go.
func (a *Agent) told(m Message) (out []Entry) {
	if m.Type == Promise {
		for _, p := range a.State.Completed {
			out = append(out, p.entry())
		}
	}
	for _, e := range a.State.Entries {
		if m.Type == Promise {
			if e.IsComplete() {
				out = append(out, past(e).entry())
			} else {
				out = append(out, copyOf(e))
			}
		} else if m.ChangeID == e.Change.ID || m.Change != nil && m.Change.ID == e.Change.ID {
			c := copyOf(e)
			c.Change = &Change{ID: e.Change.ID} // who asks has the rest, or has no use for it
			out = append(out, c)
		}
	}
	if m.Type == Query && len(out) == 0 {
		if p := a.past(m.ChangeID); p != nil {
			out = append(out, p.entry())
		}
	}
	return out
}

func past(e *Entry) CompletedChange {
	return CompletedChange{e.Change.ID, e.Outcome, e.AllowedWaves, e.Final}
}

// past is what is left of a change whose entry made room; nil for nothing.
func (a *Agent) past(id string) *CompletedChange {
	for i := range a.State.Completed {
		if a.State.Completed[i].ID == id {
			return &a.State.Completed[i]
		}
	}
	return nil
}

func copyOf(e *Entry) Entry {
	c := *e
	if e.TargetStates != nil {
		c.TargetStates = map[string]*TargetState{}
	}
	for name, l := range e.TargetStates {
		local := *l
		c.TargetStates[name] = &local
	}
	if e.Vote != nil {
		vote := *e.Vote
		c.Vote = &vote
	}
	return c
}

// promise gives the right to change to a higher ballot, where nobody else's lease runs.
func (a *Agent) promise(now d.Micros, m Message) (bool, string) {
	held := a.State.Promised
	switch {
	case m.Ballot == held: // it was lost on its way
	case !held.Less(m.Ballot):
		return false, fmt.Sprintf("a higher right was given, to %s", held.Holder)
	case held.Number > 0 && held.Holder != m.Ballot.Holder && a.until > now:
		return false, fmt.Sprintf("held by %s", held.Holder)
	default:
		a.State.Promised, a.changed, a.since = m.Ballot, true, now
	}
	a.until = now + m.Lease
	return true, ""
}

// fenced says whether a ballot has been taken over.
func (a *Agent) fenced(now d.Micros, m Message) (string, bool) {
	if m.Ballot.Less(a.State.Promised) {
		return fmt.Sprintf("taken over by %s", a.State.Promised.Holder), true
	}
	if a.State.Promised.Less(m.Ballot) { // its promise was lost, or given elsewhere
		a.State.Promised, a.changed, a.since, a.until = m.Ballot, true, now, now+a.lease
	}
	return "", false
}

// prepare checks a change for this agent's directors and stores it.
func (a *Agent) prepare(now d.Micros, m Message) (bool, string) {
	if why, out := a.fenced(now, m); out {
		return false, why
	}
	if e := a.Entry(m.Change.ID); e != nil {
		for _, l := range e.TargetStates {
			if l.Phase == PhaseRefused {
				return false, l.Reason
			}
		}
		return e.Outcome != Abort && e.TargetStates != nil, "it was dropped"
	}
	if a.past(m.Change.ID) != nil {
		return false, "it is over"
	}
	e := &Entry{Change: m.Change, TargetStates: map[string]*TargetState{}}
	for _, t := range m.Change.Targets {
		if t.Agent != a.Name {
			continue
		}
		before, mine := a.State.ActiveScripts[t.Instance]
		l := &TargetState{PreviousScript: before}
		e.TargetStates[t.Instance] = l
		switch err := a.check(t.Instance, t.Script); {
		case !mine:
			l.Reason = fmt.Sprintf("%s: not a director of %s", t.Instance, a.Name)
		case a.sum(before) != t.Base:
			l.Reason = fmt.Sprintf("%s: something else is in force than the change was made for", t.Instance)
		case a.busy(t.Instance):
			l.Reason = fmt.Sprintf("%s: an earlier change is not over", t.Instance)
		case err != nil:
			l.Reason = fmt.Sprintf("%s: %v", t.Instance, err)
		}
		if l.Reason != "" {
			l.Phase = PhaseRefused
		}
	}
	a.add(e)
	for _, name := range slices.Sorted(maps.Keys(e.TargetStates)) {
		if e.TargetStates[name].Phase == PhaseRefused {
			return false, e.TargetStates[name].Reason
		}
	}
	return true, ""
}

// busy says whether a director has an unfinished part in an earlier change.
func (a *Agent) busy(instance string) bool {
	for _, e := range a.State.Entries {
		if l := e.TargetStates[instance]; l != nil && !l.IsTerminal() {
			return true
		}
	}
	return false
}

// add remembers a change, and forgets the oldest settled one where there are too many.
func (a *Agent) add(e *Entry) {
	a.changed = true
	a.State.Entries = append(a.State.Entries, e)
	for i := 0; len(a.State.Entries) > keptEntries && i < len(a.State.Entries); i++ {
		if e := a.State.Entries[i]; e.IsComplete() {
			a.State.Completed = append(a.State.Completed, past(e))
			a.State.Completed = a.State.Completed[max(0, len(a.State.Completed)-keptPast):]
			a.State.Entries = slices.Delete(a.State.Entries, i, i+1)
			i--
		}
	}
}

// accept accepts a decision, unless a higher ballot was promised.
func (a *Agent) accept(now d.Micros, m Message) (bool, string) {
	if why, out := a.fenced(now, m); out {
		return false, why
	}
	e := a.Entry(m.Change.ID)
	if p := a.past(m.Change.ID); p != nil && p.Outcome != m.Outcome || e != nil && e.Outcome != Undecided && e.Outcome != m.Outcome {
		return false, "it was chosen otherwise"
	} else if p != nil {
		return true, ""
	}
	if e == nil { // no part in it, or it was not reached: it can hold the decision all the same
		e = &Entry{Change: m.Change}
		a.add(e)
	}
	if e.Vote == nil || *e.Vote != (Vote{m.Ballot, m.Outcome}) {
		e.Vote, a.changed = &Vote{m.Ballot, m.Outcome}, true
	}
	return true, ""
}

// learn takes what was chosen. It needs no ballot: it can't be otherwise any more.
func (a *Agent) learn(m Message) (bool, string, []Command) {
	id := m.ChangeID
	if m.Change != nil {
		id = m.Change.ID
	}
	e := a.Entry(id)
	if p := a.past(id); e == nil && p != nil {
		return p.Outcome == m.Outcome, "it is over", nil
	}
	if e == nil && m.Change != nil {
		e = &Entry{Change: m.Change}
		a.add(e)
	}
	if e == nil {
		return false, "not known", nil
	}
	if e.Outcome != Undecided && e.Outcome != m.Outcome {
		return false, fmt.Sprintf("%s was chosen, not %s", e.Outcome, m.Outcome), nil // never, unless an agent forgot what it must not
	}
	waves, final := max(e.AllowedWaves, m.AllowedWaves), e.Final || m.Final
	if e.Final {
		waves = e.AllowedWaves
	}
	if e.Outcome != m.Outcome || e.AllowedWaves != waves || e.Final != final {
		e.Outcome, e.AllowedWaves, e.Final, a.changed = m.Outcome, waves, final, true
	}
	return true, "", a.drive(e)
}

// drive moves an entry's directors on as far as what was chosen allows.
func (a *Agent) drive(e *Entry) (do []Command) {
	for _, t := range e.Change.Targets {
		l := e.TargetStates[t.Instance]
		if l == nil || t.Agent != a.Name || l.Phase != PhasePrepared {
			continue
		}
		switch {
		case e.Outcome == Abort || e.Outcome == Commit && e.Final && t.Wave > e.AllowedWaves:
			l.Phase, a.changed = PhaseUnchanged, true
		case e.Outcome == Commit && t.Wave <= e.AllowedWaves:
			l.Phase, a.changed = PhaseApplying, true
			do = append(do, Command{e.Change.ID, t.Instance, t.Script, l.PreviousScript})
		}
	}
	return do
}

// UnfinishedCommands are the commands that a restart finds begun: the director may have what it was told, or not.
func (a *Agent) UnfinishedCommands() (do []Command) {
	for _, e := range a.State.Entries {
		for _, t := range e.Change.Targets {
			if l := e.TargetStates[t.Instance]; l != nil && l.Phase == PhaseApplying {
				do = append(do, Command{e.Change.ID, t.Instance, t.Script, l.PreviousScript})
			}
		}
		do = append(do, a.drive(e)...)
	}
	return do
}

// CommandDone takes a command's end: why is empty where the director runs the script, read back from it.
func (a *Agent) CommandDone(c Command, why string) {
	e := a.Entry(c.ChangeID)
	if e == nil || e.TargetStates[c.Instance] == nil || e.TargetStates[c.Instance].Phase != PhaseApplying {
		return
	}
	a.changed = true
	l := e.TargetStates[c.Instance]
	if l.Phase, l.Reason = PhaseApplied, why; why != "" {
		l.Phase = PhaseFailed
		return
	}
	a.State.ActiveScripts[c.Instance] = c.Script
}

// InDoubt are the changes of which this agent should ask the others what became of them: it knows no outcome, or whether one of
// its directors may go. One that is being put in force is no doubt.
func (a *Agent) InDoubt() (ids []string) {
	for _, e := range a.State.Entries {
		doubt := e.Outcome == Undecided
		for _, l := range e.TargetStates {
			doubt = doubt || l.Phase == PhasePrepared
		}
		if doubt {
			ids = append(ids, e.Change.ID)
		}
	}
	return ids
}

// HandleQueryReply takes another agent's answer to Ask: what it knows to be chosen is so.
func (a *Agent) HandleQueryReply(r Reply) (do []Command) {
	for _, e := range r.Entries {
		if e.Outcome != Undecided && a.Entry(e.Change.ID) != nil {
			_, _, more := a.learn(Message{ChangeID: e.Change.ID, Outcome: e.Outcome, AllowedWaves: e.AllowedWaves, Final: e.Final})
			do = append(do, more...)
		}
	}
	return do
}
