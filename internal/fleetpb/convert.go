// Package fleetpb implements the gRPC protocol between tallyctl and its agents. The messages are
// generated from fleet.proto. The functions convert the types of package rollout to protobuf
// messages (From...) and back (To...).
//
//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative fleet.proto
package fleetpb

import (
	"tallyproxy/policy"
	"tallyproxy/rollout"
)

// FromBallot converts a ballot to protobuf.
func FromBallot(b rollout.Ballot) *Ballot { return &Ballot{N: b.Number, Holder: b.Holder} }

// ToBallot converts a ballot from protobuf. Nil becomes the zero ballot.
func ToBallot(b *Ballot) rollout.Ballot {
	return rollout.Ballot{Number: b.GetN(), Holder: b.GetHolder()}
}

// fromChange converts a change to protobuf. Nil stays nil.
func fromChange(c *rollout.Change) *Change {
	if c == nil {
		return nil
	}
	out := &Change{Id: c.ID, By: c.Author, Note: c.Note, Undoes: c.Reverts}
	for _, t := range c.Targets {
		out.Targets = append(out.Targets, &Target{
			Instance: t.Instance, Agent: t.Agent, Base: t.Base, Script: t.Script, Wave: int32(t.Wave),
		})
	}
	return out
}

// toChange converts a change from protobuf. Nil stays nil.
func toChange(c *Change) *rollout.Change {
	if c == nil {
		return nil
	}
	out := &rollout.Change{ID: c.Id, Author: c.By, Note: c.Note, Reverts: c.Undoes}
	for _, t := range c.Targets {
		out.Targets = append(out.Targets, rollout.Target{
			Instance: t.Instance, Agent: t.Agent, Base: t.Base, Script: t.Script, Wave: int(t.Wave),
		})
	}
	return out
}

// FromEntries converts an agent's entries about changes to protobuf.
func FromEntries(entries []rollout.Entry) (out []*Entry) {
	for _, e := range entries {
		converted := &Entry{
			Change: fromChange(e.Change), Outcome: int32(e.Outcome), Waves: int32(e.AllowedWaves), Final: e.Final, Local: map[string]*Local{},
		}
		if e.Vote != nil {
			converted.Vote = &Vote{Ballot: FromBallot(e.Vote.Ballot), Outcome: int32(e.Vote.Outcome)}
		}
		for instance, state := range e.TargetStates {
			converted.Local[instance] = &Local{Phase: int32(state.Phase), Why: state.Reason, Before: state.PreviousScript}
		}
		out = append(out, converted)
	}
	return out
}

// ToEntries converts an agent's entries about changes from protobuf. It omits entries that have no
// change or an unknown outcome, votes with an unknown outcome, and target states with an unknown
// phase.
func ToEntries(entries []*Entry) (out []rollout.Entry) {
	for _, e := range entries {
		if e.GetChange() == nil || !isOutcome(e.Outcome) {
			continue
		}
		converted := rollout.Entry{
			Change: toChange(e.Change), Outcome: rollout.Outcome(e.Outcome), AllowedWaves: int(e.Waves), Final: e.Final,
			TargetStates: map[string]*rollout.TargetState{},
		}
		if e.Vote != nil && isOutcome(e.Vote.Outcome) {
			converted.Vote = &rollout.Vote{Ballot: ToBallot(e.Vote.Ballot), Outcome: rollout.Outcome(e.Vote.Outcome)}
		}
		for instance, state := range e.Local {
			if isPhase(state.GetPhase()) {
				converted.TargetStates[instance] = &rollout.TargetState{
					Phase: rollout.Phase(state.GetPhase()), Reason: state.GetWhy(), PreviousScript: state.GetBefore(),
				}
			}
		}
		out = append(out, converted)
	}
	return out
}

// isOutcome reports whether n is the number of a rollout.Outcome.
func isOutcome(n int32) bool { return n >= int32(rollout.Undecided) && n <= int32(rollout.Abort) }

// isPhase reports whether n is the number of a rollout.Phase.
func isPhase(n int32) bool {
	return n >= int32(rollout.PhasePrepared) && n <= int32(rollout.PhaseUnchanged)
}

// FromMessage converts a message to protobuf.
func FromMessage(m rollout.Message) *SayRequest {
	return &SayRequest{
		Verb: int32(m.Type), Seq: int64(m.Seq), Ballot: FromBallot(m.Ballot), LeaseUs: int64(m.Lease), Change: fromChange(m.Change),
		Id: m.ChangeID, Outcome: int32(m.Outcome), Waves: int32(m.AllowedWaves), Final: m.Final,
	}
}

// ToMessage converts a message from protobuf and reports whether the message is valid. In a valid
// message the type and the outcome are known, the lease is not negative, and a change is present if
// the type requires one.
func ToMessage(r *SayRequest) (m rollout.Message, valid bool) {
	m = rollout.Message{
		Type: rollout.MessageType(r.GetVerb()), Seq: int(r.GetSeq()), Ballot: ToBallot(r.GetBallot()), Lease: policy.Micros(r.GetLeaseUs()),
		Change: toChange(r.GetChange()), ChangeID: r.GetId(), Outcome: rollout.Outcome(r.GetOutcome()), AllowedWaves: int(r.GetWaves()),
		Final: r.GetFinal(),
	}
	hasKnownType := m.Type >= rollout.Promise && m.Type <= rollout.Query
	needsChange := m.Type == rollout.Prepare || m.Type == rollout.Accept
	hasChange := m.Change != nil && m.Change.ID != ""
	return m, hasKnownType && isOutcome(r.GetOutcome()) && m.Lease >= 0 && (!needsChange || hasChange)
}

// FromReply converts a reply to protobuf.
func FromReply(r rollout.Reply) *SayReply {
	return &SayReply{
		Verb: int32(r.Type), Seq: int64(r.Seq), Ok: r.OK, Why: r.Reason, Ballot: FromBallot(r.Promised), HeldUs: int64(r.HeldFor),
		LeftUs: int64(r.LeaseLeft), Entries: FromEntries(r.Entries),
	}
}

// ToReply converts a reply from protobuf. Like ToEntries, it omits invalid entries.
func ToReply(r *SayReply) rollout.Reply {
	return rollout.Reply{
		Type: rollout.MessageType(r.GetVerb()), Seq: int(r.GetSeq()), OK: r.GetOk(), Reason: r.GetWhy(), Promised: ToBallot(r.GetBallot()),
		HeldFor: policy.Micros(r.GetHeldUs()), LeaseLeft: policy.Micros(r.GetLeftUs()), Entries: ToEntries(r.GetEntries()),
	}
}
