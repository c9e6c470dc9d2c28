package rollout

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tallyproxy/policy"
)

// How an agent asks others about changes that it is in doubt about, as multiples of Timeouts.Resend.
const (
	queryDelay       = 2 // before the first query: by then most changes have become known without one
	maxQueryInterval = 4 // between two queries: a change that waits for an operator is asked about rarely
)

// queryFanout is the number of other agents that are asked at a time.
const queryFanout = 2

// recoverySuffix marks a ballot's holder as an agent's recovery. Agents of all versions compare it.
const recoverySuffix = "/settles"

// IsRecoveryHolder reports whether the holder of the right to change is an agent that completes what a tool left open: that is no other
// operator's work, and soon over.
func IsRecoveryHolder(holder string) bool {
	agent, found := strings.CutSuffix(holder, recoverySuffix)
	return found && agent != ""
}

// Recovery is the part of an agent that completes changes in doubt without an operator. It asks other agents what became of them. Where
// the holder of the right to change is silent for its whole lease, it takes the right and completes what a majority knows, as any tool
// would; it begins no wave that no one has begun, since a tool may have stopped because of a health check.
//
// Agents take turns, in an order that is shuffled by the ID of the change: the first that is up tries first, the second some time
// later, and so on. Two that try at once all the same can each keep a majority from the other. Each then rests for a time that it draws
// from its own seed, so that they do not try at once again (see retryBackoff).
type Recovery struct {
	agent        *Agent
	agents       []string // all of the fleet, sorted
	timeouts     Timeouts
	queries      map[string]*query // of the changes in doubt, by ID
	queryTurn    int               // index in agents of the one that was asked last
	coordinator  *Coordinator      // nil while this agent does not hold or ask for the right to change
	highest      int64             // ballot number heard of
	turnsSince   policy.Micros     // agents' turns count from then: the last holder fell silent, or a tool gave the right back
	backoff      retryBackoff      // of attempts that were refused
	backoffUntil policy.Micros     // it does not try again before
}

// query is when other agents are asked about a change in doubt.
type query struct {
	inDoubtSince policy.Micros
	next         policy.Micros
	interval     policy.Micros
}

// NewRecovery makes the recovery of an agent among all agents of the fleet. Changes that are in doubt at the start were left by an
// earlier run and are asked about at once.
func NewRecovery(now policy.Micros, a *Agent, agents []string, timeouts Timeouts) *Recovery {
	r := &Recovery{
		agent: a, agents: slices.Sorted(slices.Values(agents)), timeouts: timeouts, queries: map[string]*query{},
		backoff: newRetryBackoff(a.Name, len(agents), timeouts.Step),
	}
	for _, id := range a.InDoubt() {
		r.queries[id] = &query{inDoubtSince: now, next: now, interval: timeouts.Resend}
	}
	return r
}

// Tick goes on where a time has come. The agent's state must be stored before anything is sent.
func (r *Recovery) Tick(now policy.Micros) (out []Envelope, commands []Command) {
	ids := r.agent.InDoubt()
	for id := range r.queries {
		if !slices.Contains(ids, id) {
			delete(r.queries, id)
		}
	}
	for _, id := range ids {
		out = append(out, r.query(now, id)...)
	}
	var envelopes []Envelope
	switch {
	case r.coordinator != nil:
		envelopes = r.coordinator.Tick(now)
	case r.isDue(now):
		number := max(r.highest, r.agent.State.Promised.Number) + 1
		r.coordinator = NewCoordinator(r.agent.Name+recoverySuffix, number, r.agents, nil, r.timeouts, nil)
		r.coordinator.recoverOnly = true
		envelopes = r.coordinator.Start(now)
	default:
		return out, nil
	}
	remote, commands := r.deliverLocal(now, envelopes)
	return append(out, remote...), commands
}

// HandleReply takes another agent's reply to an envelope.
func (r *Recovery) HandleReply(now policy.Micros, from string, reply Reply) (out []Envelope, commands []Command) {
	r.highest = max(r.highest, reply.Promised.Number)
	if reply.Type == Query {
		return nil, r.agent.HandleQueryReply(reply)
	}
	if r.coordinator != nil {
		return r.deliverLocal(now, r.coordinator.HandleReply(now, from, reply))
	}
	return nil, nil
}

// DebugString tells what the recovery is doing.
func (r *Recovery) DebugString(now policy.Micros) string {
	text := fmt.Sprintf("%s in doubt about %v, lease over in %v", r.agent.Name, r.agent.InDoubt(), max(0, r.agent.leaseEnd-now))
	if r.coordinator != nil {
		text += ", settling: " + r.coordinator.DebugString()
	}
	return text
}

// query asks the agents whose turn it is what became of a change.
func (r *Recovery) query(now policy.Micros, id string) (out []Envelope) {
	q := r.queries[id]
	if q == nil {
		q = &query{inDoubtSince: now, next: now + queryDelay*r.timeouts.Resend, interval: r.timeouts.Resend}
		r.queries[id] = q
		r.queryTurn = r.rank(id)
	}
	if now < q.next {
		return nil
	}
	q.next, q.interval = now+q.interval, min(2*q.interval, maxQueryInterval*r.timeouts.Resend)
	for range min(queryFanout, len(r.agents)-1) {
		r.queryTurn = (r.queryTurn + 1) % len(r.agents)
		if r.agents[r.queryTurn] == r.agent.Name {
			r.queryTurn = (r.queryTurn + 1) % len(r.agents)
		}
		out = append(out, Envelope{r.agents[r.queryTurn], Message{Type: Query, ChangeID: id}})
	}
	return out
}

// rank returns this agent's turn for a change, from 0. It depends on the same hash in every version.
func (r *Recovery) rank(id string) int {
	own, n := slices.Index(r.agents, r.agent.Name), len(r.agents)
	return (own + int(xxhash.Sum64String(id)%uint64(n))) % n
}

// isDue reports whether a change is undecided, its holder has been silent for the lease, and it is this agent's turn.
func (r *Recovery) isDue(now policy.Micros) bool {
	if now < r.backoffUntil || now < r.agent.leaseEnd {
		return false
	}
	// A recovery that gave the right back was refused, or is done. The other agents' turns go on: if they began anew, agents that refuse
	// each other again and again would keep the turns of those after them from coming.
	if !r.agent.leaseReleased || !IsRecoveryHolder(r.agent.State.Promised.Holder) {
		r.turnsSince = r.agent.leaseEnd
	}
	for _, e := range r.agent.State.Entries {
		q := r.queries[e.Change.ID]
		if e.Outcome != Undecided || q == nil {
			continue
		}
		// The operator's tool comes first: it resends, waits, and only then gives up.
		silentSince := max(r.turnsSince, q.inDoubtSince+queryDelay*r.timeouts.Resend)
		if now >= silentSince+policy.Micros(r.rank(e.Change.ID))*r.timeouts.Resend {
			return true
		}
	}
	return false
}

// deliverLocal handles the coordinator's messages to this agent itself and returns those to others.
func (r *Recovery) deliverLocal(now policy.Micros, envelopes []Envelope) (out []Envelope, commands []Command) {
	for len(envelopes) > 0 {
		envelope := envelopes[0]
		envelopes = envelopes[1:]
		if envelope.To != r.agent.Name {
			out = append(out, envelope)
			continue
		}
		reply, more := r.agent.Handle(now, envelope.Message)
		commands = append(commands, more...)
		envelopes = append(envelopes, r.coordinator.HandleReply(now, envelope.To, reply)...)
	}
	if r.coordinator.Step() == StepDone {
		if r.coordinator.Result().RefusalReason != "" {
			r.backoffUntil = now + r.backoff.next(r.coordinator.lostToAnother)
		} else {
			r.backoff.reset()
		}
		r.coordinator = nil
	}
	return out, commands
}
