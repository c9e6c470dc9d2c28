package rollout

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"tallyproxy/policy"
)

// Timing of an agent's queries about a change in doubt, as multiples of Timeouts.Resend.
const (
	// Before the first query. By then, most outcomes have become known without a query.
	queryDelay = 2
	// Between two queries at most, so that a change that waits for an operator is queried rarely.
	maxQueryInterval = 4
)

// queryFanout is the number of other agents that are queried at a time.
const queryFanout = 2

// recoverySuffix marks the holder of a ballot as an agent's recovery. Agents of all versions
// compare it.
const recoverySuffix = "/settles"

// IsRecoveryHolder reports whether the holder of the right to change is an agent that completes a
// change that a tool left undecided. Such a holder does not work for another operator, and it
// finishes soon.
func IsRecoveryHolder(holder string) bool {
	agent, found := strings.CutSuffix(holder, recoverySuffix)
	return found && agent != ""
}

// Recovery is the part of an agent that completes changes in doubt without an operator. It queries
// other agents for the outcomes of these changes. If the holder of the right to change is silent
// for its whole lease, Recovery acquires that right and completes the changes that a majority
// knows, as a tool would. It starts no wave that has not been started before, because a tool may
// have stopped the change after a health check.
//
// Agents take turns in an order that is shuffled by the ID of the change: the first agent that is
// up tries first, the second one some time later, and so on. If two agents still try at the same
// time, each can keep the other from getting a majority. Each of them then waits for a time that it
// draws with its own seed, so that they do not try at the same time again (see retryBackoff).
type Recovery struct {
	agent         *Agent
	agents        []string // all agents of the fleet, sorted
	timeouts      Timeouts
	queries       map[string]*query // for the changes in doubt, by change ID
	lastQueried   int               // index in agents of the agent that was queried last
	coordinator   *Coordinator      // nil unless this agent holds or requests the right to change
	highestNumber int64             // highest ballot number seen in a reply
	// The agents' turns start at this time: when the last holder's lease expired, or when a tool
	// gave the right to change back.
	turnsSince   policy.Micros
	backoff      retryBackoff  // after refused attempts
	backoffUntil policy.Micros // no new attempt is made before this time
}

// query is the schedule of the queries about a change in doubt.
type query struct {
	inDoubtSince policy.Micros
	next         policy.Micros
	interval     policy.Micros
}

// NewRecovery returns the recovery of an agent; agents are all agents of the fleet. Changes that
// are in doubt at the start were left by an earlier run and are queried at once.
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

// Tick does what is due at the given time: it sends queries and runs the coordinator. The agent's
// state must be stored before any of the returned envelopes is sent.
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
		number := max(r.highestNumber, r.agent.State.Promised.Number) + 1
		r.coordinator = NewCoordinator(r.agent.Name+recoverySuffix, number, r.agents, nil, r.timeouts, nil)
		r.coordinator.recoverOnly = true
		envelopes = r.coordinator.Start(now)
	default:
		return out, nil
	}
	remote, commands := r.deliverLocal(now, envelopes)
	return append(out, remote...), commands
}

// HandleReply processes another agent's reply to one of the returned envelopes.
func (r *Recovery) HandleReply(now policy.Micros, from string, reply Reply) (out []Envelope, commands []Command) {
	r.highestNumber = max(r.highestNumber, reply.Promised.Number)
	if reply.Type == Query {
		return nil, r.agent.HandleQueryReply(reply)
	}
	if r.coordinator != nil {
		return r.deliverLocal(now, r.coordinator.HandleReply(now, from, reply))
	}
	return nil, nil
}

// DebugString describes what the recovery is doing.
func (r *Recovery) DebugString(now policy.Micros) string {
	text := fmt.Sprintf("%s: changes in doubt: %v, lease expires in %v", r.agent.Name, r.agent.InDoubt(), max(0, r.agent.leaseEnd-now))
	if r.coordinator != nil {
		text += ", recovering: " + r.coordinator.DebugString()
	}
	return text
}

// query returns the queries about a change that are due, to the agents whose turn it is.
func (r *Recovery) query(now policy.Micros, id string) (out []Envelope) {
	q := r.queries[id]
	if q == nil {
		q = &query{inDoubtSince: now, next: now + queryDelay*r.timeouts.Resend, interval: r.timeouts.Resend}
		r.queries[id] = q
		r.lastQueried = r.rank(id)
	}
	if now < q.next {
		return nil
	}
	q.next, q.interval = now+q.interval, min(2*q.interval, maxQueryInterval*r.timeouts.Resend)
	for range min(queryFanout, len(r.agents)-1) {
		r.lastQueried = (r.lastQueried + 1) % len(r.agents)
		if r.agents[r.lastQueried] == r.agent.Name {
			r.lastQueried = (r.lastQueried + 1) % len(r.agents)
		}
		out = append(out, Envelope{r.agents[r.lastQueried], Message{Type: Query, ChangeID: id}})
	}
	return out
}

// rank returns this agent's turn for a change, from 0. All versions must use the same hash for it.
func (r *Recovery) rank(id string) int {
	ownIndex, n := slices.Index(r.agents, r.agent.Name), len(r.agents)
	return (ownIndex + int(xxhash.Sum64String(id)%uint64(n))) % n
}

// isDue reports whether a change is undecided, its holder has been silent for the whole lease, and
// it is this agent's turn to complete the change.
func (r *Recovery) isDue(now policy.Micros) bool {
	if now < r.backoffUntil || now < r.agent.leaseEnd {
		return false
	}
	// A recovery that gave the right back was refused or is done. The turns of the other agents
	// then continue. If the turns started again from the first agent, agents that repeatedly refuse
	// each other would keep the turns of later agents from coming.
	if !r.agent.leaseReleased || !IsRecoveryHolder(r.agent.State.Promised.Holder) {
		r.turnsSince = r.agent.leaseEnd
	}
	for _, e := range r.agent.State.Entries {
		q := r.queries[e.Change.ID]
		if e.Outcome != Undecided || q == nil {
			continue
		}
		// The operator's tool has priority, so the turns start only after it has had time to resend
		// its messages and wait for replies.
		silentSince := max(r.turnsSince, q.inDoubtSince+queryDelay*r.timeouts.Resend)
		if now >= silentSince+policy.Micros(r.rank(e.Change.ID))*r.timeouts.Resend {
			return true
		}
	}
	return false
}

// deliverLocal handles the coordinator's messages to this agent itself and returns the messages to
// other agents.
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
