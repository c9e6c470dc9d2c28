// Package fleet decides how many directors are changed together: prepared everywhere, decided once, then put in force. It
// does no I/O and takes the clock as a value. Agent is a machine's part in it, Coordinator the tool's; what they say to each
// other may be lost, repeated, late and out of order, and either may die between any two steps.
//
// The decision is one value in a register that the agents hold together (Paxos, one round a ballot): what a majority of
// them has accepted is chosen, and whoever asks a majority finds it. So a tool that dies after it decided has decided, and
// one that dies before has not, whatever it told to whom. A ballot is the right to change, for as long as its lease; a
// higher one takes it over and fences its messages off.
package rollout

import (
	"cmp"
	"slices"

	d "tallyproxy/policy"
)

// Ballot is a right to change the fleet. The higher takes it over from the lower.
type Ballot struct {
	Number int64  `json:"n"`
	Holder string `json:"holder"`
}

// Less says whether b is the lower.
func (b Ballot) Less(c Ballot) bool {
	return cmp.Or(cmp.Compare(b.Number, c.Number), cmp.Compare(b.Holder, c.Holder)) < 0
}

// Outcome is what was decided of a change.
type Outcome int

const (
	Undecided Outcome = iota
	Commit
	Abort
)

var outcomes = [...]string{"open", "go", "drop"}

func (o Outcome) String() string { return outcomes[o] }

// Target is what becomes of one director.
type Target struct {
	Instance string `json:"instance"`
	Agent    string `json:"agent"`
	Base     string `json:"base"` // what must be in force before, as Sum gives it
	Script   string `json:"script"`
	Wave     int    `json:"wave"` // from 1
}

// Change is one of several directors, to be whole or not at all.
type Change struct {
	ID      string   `json:"id"`
	Author  string   `json:"by"`
	Note    string   `json:"note"`
	Reverts string   `json:"undoes,omitempty"`
	Targets []Target `json:"targets"`
}

// WaveCount is how many there are.
func (c *Change) WaveCount() (n int) {
	for _, t := range c.Targets {
		n = max(n, t.Wave)
	}
	return n
}

// Agents are those that have a part in it, in order.
func (c *Change) Agents() (names []string) {
	for _, t := range c.Targets {
		names = append(names, t.Agent)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Phase is how far a director is with a change.
type Phase int

const (
	PhasePrepared  Phase = iota // prepared, and not decided or not its wave
	PhaseRefused                // it can't be prepared
	PhaseApplying               // being put in force
	PhaseApplied                // read back from the director
	PhaseFailed                 // the director would not have it; what was before is in force
	PhaseUnchanged              // dropped, or stopped before its wave
)

var phases = [...]string{"waiting", "refused", "going", "in force", "failed", "untouched"}

func (p Phase) String() string { return phases[p] }

// TargetState is one director's part in a change, at its agent.
type TargetState struct {
	Phase          Phase  `json:"phase"`
	Reason         string `json:"why,omitempty"`
	PreviousScript string `json:"before"` // the script that was in force
}

// IsTerminal says whether nothing more will come of it.
func (l *TargetState) IsTerminal() bool {
	return l.Phase == PhaseApplied || l.Phase == PhaseFailed || l.Phase == PhaseUnchanged || l.Phase == PhaseRefused
}

// Vote is what an agent has accepted of a decision.
type Vote struct {
	Ballot  Ballot  `json:"ballot"`
	Outcome Outcome `json:"outcome"`
}

// Entry is what an agent knows of a change.
type Entry struct {
	Change       *Change                 `json:"change"`
	Vote         *Vote                   `json:"vote,omitempty"`
	Outcome      Outcome                 `json:"outcome"` // chosen, once that is known
	AllowedWaves int                     `json:"waves"`   // that may go
	Final        bool                    `json:"final"`   // no further wave will
	TargetStates map[string]*TargetState `json:"local,omitempty"`
}

// IsComplete says whether the agent has nothing more to do or to learn of it.
func (e *Entry) IsComplete() bool {
	if e.Outcome == Undecided {
		return false
	}
	for _, l := range e.TargetStates {
		if !l.IsTerminal() {
			return false
		}
	}
	return e.Outcome == Abort || e.Final || e.AllowedWaves >= e.Change.WaveCount()
}

// MessageType is what a message asks.
type MessageType int

const (
	Promise MessageType = iota // take the right to change
	Renew                      // keep it
	Release                    // give it back
	Prepare                    // check a change and store it
	Accept                     // accept a decision
	Learn                      // a decision was chosen, so many waves may go
	Query                      // what is known of a change
)

var verbs = [...]string{"promise", "renew", "release", "prepare", "accept", "learn", "ask"}

func (v MessageType) String() string { return verbs[v] }

// Message is what a coordinator, or an agent that seeks to catch up, says to an agent.
type Message struct {
	Type         MessageType `json:"verb"`
	Seq          int         `json:"seq"` // of its coordinator, given back with the reply
	Ballot       Ballot      `json:"ballot"`
	Lease        d.Micros    `json:"lease,omitempty"`
	Change       *Change     `json:"change,omitempty"`
	ChangeID     string      `json:"id,omitempty"`
	Outcome      Outcome     `json:"outcome,omitempty"`
	AllowedWaves int         `json:"waves,omitempty"`
	Final        bool        `json:"final,omitempty"`
}

// Reply answers a message.
type Reply struct {
	Type      MessageType `json:"verb"`
	Seq       int         `json:"seq"`
	OK        bool        `json:"ok"`
	Reason    string      `json:"why,omitempty"`
	Promised  Ballot      `json:"ballot"` // the highest that was promised
	HeldFor   d.Micros    `json:"held,omitempty"`
	LeaseLeft d.Micros    `json:"left,omitempty"` // of the holder's lease
	Entries   []Entry     `json:"entries,omitempty"`
}

// Command is what an agent must do with one of its directors: put a script in force and read back whether it is.
type Command struct {
	ChangeID, Instance, Script, PreviousScript string
}

const (
	keptEntries = 64  // settled changes that an agent remembers whole,
	keptPast    = 512 // and those before of which it remembers what was chosen
)
