package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"tallyproxy/internal/authority"
	"tallyproxy/internal/fleetpb"
	"tallyproxy/internal/logevent"
	"tallyproxy/rollout"
)

// Errors of calls whose caller cannot be identified. Their texts are sent to the caller.
var (
	errNoCaller      = errors.New("no caller")
	errNoCertificate = errors.New("no certificate")
)

// caller returns the name and the roles in the certificate of a call's client.
func (a *Agent) caller(ctx context.Context) (string, []authority.Role, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", nil, errNoCaller
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return "", nil, errNoCertificate
	}
	return a.identity.Verify(info.State.PeerCertificates[0], time.Now())
}

// authorize handles a call if the caller's certificate is currently valid and has one of the roles
// that the call needs. The holder of a message's ballot must belong to the caller, except in a
// Query. A panic ends only the call.
func (a *Agent) authorize(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (resp any, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			slog.Error(logevent.PanicRecovered, "component", "agent", "err", cause)
			err = status.Error(codes.Internal, "panic")
		}
	}()
	name, roles, err := a.caller(ctx)
	if err != nil {
		return nil, status.Error(codes.Unauthenticated, err.Error())
	}
	if message, ok := req.(*fleetpb.SayRequest); ok {
		holder := message.GetBallot().GetHolder()
		if rollout.MessageType(message.GetVerb()) != rollout.Query && holder != "" && !strings.HasPrefix(holder, name+"/") {
			return nil, status.Errorf(codes.PermissionDenied, "%s speaks for %s", name, holder)
		}
	}
	needed := neededRoles(req)
	if !slices.ContainsFunc(needed, func(r authority.Role) bool { return slices.Contains(roles, r) }) {
		return nil, status.Errorf(codes.PermissionDenied, "%s has %v, this needs one of %v", name, roles, needed)
	}
	return handle(ctx, req)
}

// neededRoles returns the roles of which the caller of a request must have at least one.
func neededRoles(req any) []authority.Role {
	message, ok := req.(*fleetpb.SayRequest)
	switch {
	case !ok || rollout.MessageType(message.GetVerb()) == rollout.Query:
		return []authority.Role{authority.RoleViewer, authority.RoleEditor, authority.RoleKeyAdmin, authority.RoleAgent}
	case rollout.MessageType(message.GetVerb()) == rollout.Prepare:
		// Agents complete undecided changes, but start none.
		return []authority.Role{authority.RoleEditor}
	default:
		return []authority.Role{authority.RoleEditor, authority.RoleAgent}
	}
}

// Say handles a message about a change.
func (a *Agent) Say(ctx context.Context, req *fleetpb.SayRequest) (*fleetpb.SayReply, error) {
	m, ok := fleetpb.ToMessage(req)
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "a message that means nothing")
	}
	a.mu.Lock()
	reply, commands := a.state.Handle(a.now(), m)
	err := a.save()
	a.mu.Unlock()
	if err != nil {
		return nil, status.Errorf(codes.ResourceExhausted, "%s can't store it: %v", a.entry.Name, err)
	}
	a.carryOut(commands)
	if m.Type == rollout.Prepare || m.Type == rollout.Accept || m.Type == rollout.Promise || len(commands) > 0 {
		actor, _, _ := a.caller(ctx) // authorize has verified it
		a.audit(actor, auditedAction(m, reply))
	}
	return fleetpb.FromReply(reply), nil
}

// auditedVerbs are the verbs in audit records, which are kept across versions.
var auditedVerbs = map[rollout.MessageType]string{
	rollout.Promise: "take", rollout.Prepare: "prepare", rollout.Accept: "decide", rollout.Learn: "put in force",
}

func auditedAction(m rollout.Message, reply rollout.Reply) string {
	id := m.ChangeID
	if m.Change != nil {
		id = m.Change.ID
	}
	return strings.TrimSpace(fmt.Sprintf("%s %s %s ok=%v %s", auditedVerbs[m.Type], id, m.Outcome, reply.OK, reply.Reason))
}

// Status returns the state of this agent and of its directors.
func (a *Agent) Status(ctx context.Context, _ *fleetpb.StatusRequest) (*fleetpb.StatusReply, error) {
	out := &fleetpb.StatusReply{Name: a.entry.Name, Members: a.memberStates()}
	a.mu.Lock()
	reply, _ := a.state.Handle(a.now(), rollout.Message{Type: rollout.Query})
	for _, e := range a.state.State.Entries {
		out.Entries = append(out.Entries, fleetpb.FromEntries([]rollout.Entry{*e})...)
	}
	scripts := maps.Clone(a.state.State.ActiveScripts)
	a.mu.Unlock()
	out.Promised, out.HeldUs, out.LeftUs = fleetpb.FromBallot(reply.Promised), int64(reply.HeldFor), int64(reply.LeaseLeft)
	for _, name := range slices.Sorted(maps.Keys(a.directors)) {
		director := &fleetpb.DirectorStatus{Name: name, Script: scripts[name]}
		if report, err := a.directors[name].Report(ctx); err != nil {
			director.Why = err.Error()
		} else {
			director.Up, director.Settings = true, report.SettingsDigest
			director.Report, _ = json.Marshal(report) // the report was just decoded from JSON
		}
		out.Directors = append(out.Directors, director)
	}
	return out, nil
}

// memberStates returns the state of each other agent, as the failure detector sees it. The map is
// empty if there is no failure detector.
func (a *Agent) memberStates() map[string]string {
	states := map[string]string{}
	report := a.membership.Load().Report()
	if report == nil {
		return states
	}
	for _, other := range a.inventory.Agents {
		if other.Name != a.entry.Name {
			states[other.Name] = "unknown"
		}
	}
	for _, peer := range report.Peers {
		states[peer.Name] = peer.State
	}
	return states
}

// Probe confirms that the agent is running. Agents of earlier versions call it.
func (a *Agent) Probe(_ context.Context, req *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error) {
	return &fleetpb.ProbeReply{Ok: req.GetOf() == "" || req.GetOf() == a.entry.Name}, nil
}

// Audit returns the audit records, or a DataLoss error if their chain of hashes is broken.
func (a *Agent) Audit(context.Context, *fleetpb.AuditRequest) (*fleetpb.AuditReply, error) {
	records, err := a.store.Audit()
	if err != nil {
		return nil, status.Error(codes.DataLoss, err.Error())
	}
	out := &fleetpb.AuditReply{}
	for _, r := range records {
		out.Records = append(out.Records, &fleetpb.AuditRecord{Number: r.Number, UnixMs: r.UnixMS, Who: r.Actor, What: r.Action, Hash: r.Hash})
	}
	return out, nil
}
