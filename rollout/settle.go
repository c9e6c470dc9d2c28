package rollout

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	d "tallyproxy/policy"
)

// How an agent catches up, as ratios to Times.Resend.
const (
	askAfter  = 2 // in doubt for so long, it asks: by then most changes have told it by themselves
	askSpread = 2 // others at a time
	askSlower = 4 // at the most between two tries: a change that waits for an operator is asked of rarely
	ownSuffix = "/settles"
)

// IsRecoveryHolder says whether a holder of the right to change is an agent that brings to its end what a tool left open: no operator's
// work is in its way for longer than that takes.
func IsRecoveryHolder(holder string) bool {
	agent, is := strings.CutSuffix(holder, ownSuffix)
	return is && agent != ""
}

// Recovery is the part of an agent that ends what is open without an operator. It asks others what became of a change that this
// agent is in doubt about; and where the holder of the right to change is silent for its whole lease, it takes the right and
// settles what a majority knows, as any tool would. It begins no wave that nobody has begun: whether one may is an operator's
// to say, who may have left because of how things looked.
//
// Agents take turns, in an order that every change shuffles: the first that is there is first to try, the second some time
// later, and so on. Two that tried at once could each keep a majority from the other; in turns, one is through by then.
type Recovery struct {
	a       *Agent
	names   []string
	times   Timeouts
	asks    map[string]*doubt // emptied as doubts end
	turn    int
	c       *Coordinator
	highest int64    // ballot heard of
	resting d.Micros // until then it does not try again
}

type doubt struct{ since, next, wait d.Micros }

// NewRecovery makes one for an agent among all of the fleet. What it finds open was left by an earlier life, and is asked at once.
func NewRecovery(now d.Micros, a *Agent, agents []string, t Timeouts) *Recovery {
	s := &Recovery{a: a, names: slices.Sorted(slices.Values(agents)), times: t, asks: map[string]*doubt{}}
	for _, id := range a.InDoubt() {
		s.asks[id] = &doubt{since: now, next: now, wait: t.Resend}
	}
	return s
}

// Tick goes on where time has come. The agent's state must be stored before anything is sent.
func (s *Recovery) Tick(now d.Micros) (out []Envelope, do []Command) {
	ids := s.a.InDoubt()
	for id := range s.asks {
		if !slices.Contains(ids, id) {
			delete(s.asks, id)
		}
	}
	for _, id := range ids {
		out = append(out, s.ask(now, id)...)
	}
	var sends []Envelope
	switch {
	case s.c != nil:
		sends = s.c.Tick(now)
	case s.due(now):
		s.c = NewCoordinator(s.a.Name+ownSuffix, max(s.highest, s.a.State.Promised.Number)+1, s.names, nil, s.times, nil)
		s.c.hold = true
		sends = s.c.Start(now)
	default:
		return out, nil
	}
	more, do := s.said(now, sends)
	return append(out, more...), do
}

// DebugString says what it is about, for people.
func (s *Recovery) DebugString(now d.Micros) string {
	at := fmt.Sprintf("%s in doubt about %v, lease over in %v", s.a.Name, s.a.InDoubt(), max(0, s.a.until-now))
	if s.c != nil {
		at += ", settling: " + s.c.DebugString()
	}
	return at
}

// ask asks some others, in turn, what became of a change.
func (s *Recovery) ask(now d.Micros, id string) (out []Envelope) {
	q := s.asks[id]
	if q == nil {
		q = &doubt{since: now, next: now + askAfter*s.times.Resend, wait: s.times.Resend}
		s.asks[id] = q
		s.turn = s.rank(id)
	}
	if now < q.next {
		return nil
	}
	q.next, q.wait = now+q.wait, min(2*q.wait, askSlower*s.times.Resend)
	for range min(askSpread, len(s.names)-1) {
		s.turn = (s.turn + 1) % len(s.names)
		if s.names[s.turn] == s.a.Name {
			s.turn = (s.turn + 1) % len(s.names)
		}
		out = append(out, Envelope{s.names[s.turn], Message{Type: Query, ChangeID: id}})
	}
	return out
}

// rank is this agent's turn for a change.
func (s *Recovery) rank(id string) int {
	own, n := slices.Index(s.names, s.a.Name), len(s.names)
	return (own + int(xxhash.Sum64String(id)%uint64(n))) % n
}

// due says whether something is open that nobody who is there brings to its end, and it is this agent's turn.
func (s *Recovery) due(now d.Micros) bool {
	if now < s.resting || now < s.a.until {
		return false
	}
	for _, e := range s.a.State.Entries {
		q := s.asks[e.Change.ID]
		if e.Outcome != Undecided || q == nil {
			continue
		}
		// an operator's tool has its word first: it sends again, waits and only then gives up
		silent := max(s.a.until, q.since+askAfter*s.times.Resend)
		if now >= silent+d.Micros(s.rank(e.Change.ID))*s.times.Resend {
			return true
		}
	}
	return false
}

// HandleReply takes another's reply to what was sent.
func (s *Recovery) HandleReply(now d.Micros, from string, r Reply) (out []Envelope, do []Command) {
	s.highest = max(s.highest, r.Promised.Number)
	if r.Type == Query {
		return nil, s.a.HandleQueryReply(r)
	}
	if s.c != nil {
		return s.said(now, s.c.HandleReply(now, from, r))
	}
	return nil, nil
}

// said handles what the coordinator says to this agent itself; the rest is to be sent.
func (s *Recovery) said(now d.Micros, sends []Envelope) (out []Envelope, do []Command) {
	for len(sends) > 0 {
		x := sends[0]
		if sends = sends[1:]; x.To != s.a.Name {
			out = append(out, x)
			continue
		}
		r, cmds := s.a.Handle(now, x.Message)
		do = append(do, cmds...)
		sends = append(sends, s.c.HandleReply(now, x.To, r)...)
	}
	if s.c.Step() == StepDone {
		// one that could not get through leaves the others' turns between its own tries
		if s.c.Result().RefusalReason != "" {
			s.resting = now + s.times.Step
		}
		s.c = nil
	}
	return out, do
}
