// Package fleetpb is the wire between tallyctl and its agents: gRPC, its messages generated from fleet.proto. These functions
// turn them into those of fleet/ and back.
//
//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative fleet.proto
package fleetpb

import (
	d "tallyproxy/policy"
	"tallyproxy/rollout"
)

func fromBallot(b rollout.Ballot) *Ballot { return &Ballot{N: b.Number, Holder: b.Holder} }
func toBallot(b *Ballot) rollout.Ballot {
	return rollout.Ballot{Number: b.GetN(), Holder: b.GetHolder()}
}

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

// FromEntries words what an agent knows of changes.
func FromEntries(entries []rollout.Entry) (out []*Entry) {
	for _, e := range entries {
		x := &Entry{Change: fromChange(e.Change), Outcome: int32(e.Outcome), Waves: int32(e.AllowedWaves), Final: e.Final, Local: map[string]*Local{}}
		if e.Vote != nil {
			x.Vote = &Vote{Ballot: fromBallot(e.Vote.Ballot), Outcome: int32(e.Vote.Outcome)}
		}
		for name, l := range e.TargetStates {
			x.Local[name] = &Local{Phase: int32(l.Phase), Why: l.Reason, Before: l.PreviousScript}
		}
		out = append(out, x)
	}
	return out
}

// ToEntries reads it; one without its change, or with a figure that means nothing, is left out.
func ToEntries(entries []*Entry) (out []rollout.Entry) {
	for _, e := range entries {
		if e.GetChange() == nil || !outcome(e.Outcome) {
			continue
		}
		x := rollout.Entry{
			Change: toChange(e.Change), Outcome: rollout.Outcome(e.Outcome), AllowedWaves: int(e.Waves), Final: e.Final, TargetStates: map[string]*rollout.TargetState{},
		}
		if e.Vote != nil && outcome(e.Vote.Outcome) {
			x.Vote = &rollout.Vote{Ballot: toBallot(e.Vote.Ballot), Outcome: rollout.Outcome(e.Vote.Outcome)}
		}
		for name, l := range e.Local {
			if l.GetPhase() >= 0 && l.GetPhase() <= int32(rollout.PhaseUnchanged) {
				x.TargetStates[name] = &rollout.TargetState{Phase: rollout.Phase(l.Phase), Reason: l.Why, PreviousScript: l.Before}
			}
		}
		out = append(out, x)
	}
	return out
}

func outcome(n int32) bool { return n >= int32(rollout.Undecided) && n <= int32(rollout.Abort) }

// FromMessage words a message.
func FromMessage(m rollout.Message) *SayRequest {
	return &SayRequest{
		Verb: int32(m.Type), Seq: int64(m.Seq), Ballot: fromBallot(m.Ballot), LeaseUs: int64(m.Lease), Change: fromChange(m.Change),
		Id: m.ChangeID, Outcome: int32(m.Outcome), Waves: int32(m.AllowedWaves), Final: m.Final,
	}
}

// ToMessage reads one; false where it means nothing.
func ToMessage(r *SayRequest) (m rollout.Message, ok bool) {
	m = rollout.Message{
		Type: rollout.MessageType(r.GetVerb()), Seq: int(r.GetSeq()), Ballot: toBallot(r.GetBallot()), Lease: d.Micros(r.GetLeaseUs()),
		Change: toChange(r.GetChange()), ChangeID: r.GetId(), Outcome: rollout.Outcome(r.GetOutcome()), AllowedWaves: int(r.GetWaves()), Final: r.GetFinal(),
	}
	needs := m.Type == rollout.Prepare || m.Type == rollout.Accept
	return m, m.Type >= rollout.Promise && m.Type <= rollout.Query && outcome(r.GetOutcome()) && m.Lease >= 0 &&
		(!needs || m.Change != nil && m.Change.ID != "")
}

// FromReply words a reply.
func FromReply(r rollout.Reply) *SayReply {
	return &SayReply{
		Verb: int32(r.Type), Seq: int64(r.Seq), Ok: r.OK, Why: r.Reason, Ballot: fromBallot(r.Promised), HeldUs: int64(r.HeldFor),
		LeftUs: int64(r.LeaseLeft), Entries: FromEntries(r.Entries),
	}
}

// ToReply reads one.
func ToReply(r *SayReply) rollout.Reply {
	return rollout.Reply{
		Type: rollout.MessageType(r.GetVerb()), Seq: int(r.GetSeq()), OK: r.GetOk(), Reason: r.GetWhy(), Promised: toBallot(r.GetBallot()),
		HeldFor: d.Micros(r.GetHeldUs()), LeaseLeft: d.Micros(r.GetLeftUs()), Entries: ToEntries(r.GetEntries()),
	}
}

// FromBallot words a ballot.
func FromBallot(b rollout.Ballot) *Ballot { return fromBallot(b) }

// ToBallot reads one.
func ToBallot(b *Ballot) rollout.Ballot { return toBallot(b) }
