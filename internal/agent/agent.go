package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/fleetpb"
	"tallyproxy/internal/gossipnet"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	d "tallyproxy/policy"
	"tallyproxy/rollout"
)

// Agent is a running agent.
type Agent struct {
	fleetpb.UnimplementedAgentServer
	inv       *config.Inventory
	me        config.AgentEntry
	id        *authority.Identity
	store     *Store
	directors map[string]*Director
	start     time.Time
	peers     *Clients
	ctx       context.Context
	work      sync.WaitGroup

	calls chan struct{} // places for calls to others under way

	mu      sync.Mutex
	a       *rollout.Agent
	settler *rollout.Recovery
	talk    atomic.Pointer[gossipnet.Driver] // none where the inventory has no key for it
}

const (
	callsAtOnce = 256
	callTimeout = time.Second
	lookAgain   = 250 * time.Millisecond // whether a director still runs
)

// New takes up from the store, or, where it has nothing, from what the directors' scripts say now.
func New(inv *config.Inventory, name string, id *authority.Identity, store *Store) (*Agent, error) {
	me := inv.Agent(name)
	if me == nil {
		return nil, fmt.Errorf("%s: there is no agent %q", inv.Path, name)
	}
	if id.Name() != name {
		return nil, fmt.Errorf("the certificate is that of %q, not of %q", id.Name(), name)
	}
	a := &Agent{
		inv: inv, me: *me, id: id, store: store, directors: map[string]*Director{}, start: time.Now(), peers: NewClients(inv, id),
		calls: make(chan struct{}, callsAtOnce),
	}
	for _, e := range inv.DirectorsOf(name) {
		a.directors[e.Name] = &Director{DirectorEntry: e}
	}
	return a, a.load()
}

// load makes the agent of what is stored.
func (a *Agent) load() error {
	s, ok, err := a.store.Load()
	if err != nil {
		return err
	}
	if s.ActiveScripts == nil {
		s.ActiveScripts = map[string]string{}
	}
	for name := range s.ActiveScripts { // of directors that the inventory no longer has
		if a.directors[name] == nil {
			delete(s.ActiveScripts, name)
		}
	}
	for name, d := range a.directors {
		if _, known := s.ActiveScripts[name]; known {
			continue
		}
		raw, err := os.ReadFile(d.SettingsFile)
		if err != nil {
			return fmt.Errorf("director %s: %w", name, err)
		}
		s.ActiveScripts[name], ok = string(raw), false
	}
	a.a = rollout.NewAgent(a.now(), a.me.Name, s, a.inv.LeaseDuration, check, sum)
	times := rollout.DefaultTimeouts()
	times.Lease = a.inv.LeaseDuration
	a.settler = rollout.NewRecovery(a.now(), a.a, a.inv.AgentNames(), times)
	if !ok {
		return a.store.Save(a.a.State)
	}
	return nil
}

func check(instance, script string) error {
	_, err := config.ParseOperator(instance+".star", []byte(script))
	return err
}

func sum(script string) string { return config.Digest([]byte(script)) }

func (a *Agent) now() d.Micros { return d.Micros(time.Since(a.start) / time.Microsecond) }

// Serve listens and works until the context ends. Its directors go on.
func (a *Agent) Serve(ctx context.Context) error {
	l, err := net.Listen("tcp", a.me.Address)
	if err != nil {
		return err
	}
	return a.ServeListener(ctx, l)
}

// ServeListener does so on a listener that is there.
func (a *Agent) ServeListener(ctx context.Context, l net.Listener) error {
	ctx, leave := context.WithCancel(ctx)
	defer leave()
	a.ctx = ctx
	for _, name := range slices.Sorted(maps.Keys(a.directors)) {
		if dir := a.directors[name]; len(dir.Command) > 0 {
			if err := dir.Start(ctx); err != nil {
				slog.Error(logevent.DirectorStartFailed, "agent", a.me.Name, "director", name, "err", err)
			}
		}
	}
	server := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(a.id.ServerTLS())), grpc.MaxRecvMsgSize(8<<20), grpc.MaxConcurrentStreams(64),
		grpc.ConnectionTimeout(5*time.Second), grpc.UnaryInterceptor(a.guard),
		grpc.WaitForHandlers(true), // what was taken is carried out or refused before the store is closed
	)
	fleetpb.RegisterAgentServer(server, a)
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	a.mu.Lock()
	unfinished := a.a.UnfinishedCommands()
	err := a.save()
	a.mu.Unlock()
	if err == nil {
		a.carry(unfinished)
	}
	for _, name := range slices.Sorted(maps.Keys(a.directors)) {
		if dir := a.directors[name]; len(dir.Command) > 0 {
			a.work.Go(func() { a.keepUp(ctx, dir) })
		}
	}
	if err := a.meet(); err != nil {
		slog.Error(logevent.GossipUnavailable, "agent", a.me.Name, "err", err) // it looks after its directors all the same
	}
	slog.Info(logevent.AgentStarted, "agent", a.me.Name, "listen", l.Addr().String(), "directors", len(a.directors))
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			server.Stop()
			a.work.Wait()
			a.peers.Close()
			a.talk.Load().Leave()
			return <-served
		case err := <-served:
			return err
		case <-tick.C:
			a.settle(func() ([]rollout.Envelope, []rollout.Command) { return a.settler.Tick(a.now()) })
		}
	}
}

// meet has agents find out who of them is there, by the same detector as directors, where the inventory has a key for it.
func (a *Agent) meet() error {
	if a.me.GossipAddress == "" {
		return nil
	}
	key, err := config.ReadKey(a.inv.GossipKeyFile)
	if err != nil {
		return fmt.Errorf("fleet.talk_key: %w", err)
	}
	o := config.Peers{Listen: a.me.GossipAddress, Fleet: "agents", SharedKey: key}
	for _, other := range a.inv.Agents {
		if other.Name != a.me.Name {
			o.Seeds = append(o.Seeds, other.GossipAddress)
		}
	}
	s := membership.Derive(a.me.Name, uint64(time.Now().UnixMicro()), d.Settings{
		ConnectTimeout: meetTime, ZoneDirectors: len(a.inv.Agents), TotalDirectors: len(a.inv.Agents),
	})
	talk, err := gossipnet.Start(o, s, a.now, gossipnet.Handlers{})
	if err == nil {
		a.talk.Store(talk)
	}
	return err
}

const meetTime = 2 * d.Second / 5 // for a connection between agents

// keepUp starts a director again that ended by itself, with the script that it was given last.
func (a *Agent) keepUp(ctx context.Context, dir *Director) {
	var k rollout.RestartPolicy
	tick := time.NewTicker(lookAgain)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		_, err := dir.Report(ctx)
		running, stopped := dir.process()
		if !k.ShouldStart(a.now(), err == nil || running, stopped) || ctx.Err() != nil {
			continue
		}
		err = dir.Start(ctx)
		slog.Warn(logevent.DirectorRestarted, "agent", a.me.Name, "director", dir.Name, "exits", k.Exits(), "err", err)
		if nerr := a.store.AppendAudit(time.Now(), a.me.Name, "started again "+dir.Name); nerr != nil {
			slog.Error(logevent.AuditWriteFailed, "agent", a.me.Name, "err", nerr)
		}
	}
}

// save stores what was changed. Where that fails, as on a full disk, the agent goes back to what is stored: what it can't
// remember it has not said. The caller holds the lock.
func (a *Agent) save() error {
	if !a.a.TakeDirty() {
		return nil
	}
	err := a.store.Save(a.a.State)
	if err != nil {
		slog.Error(logevent.StoreWriteFailed, "agent", a.me.Name, "err", err)
		if lerr := a.load(); lerr != nil {
			err = errors.Join(err, lerr)
		}
	}
	return err
}

// carry carries commands out, each on its own.
func (a *Agent) carry(do []rollout.Command) {
	for _, c := range do {
		a.work.Go(func() {
			dir := a.directors[c.Instance]
			why := "it is not in the inventory any more"
			if dir != nil {
				why = ""
				if err := dir.Apply(a.ctx, c.Script, c.PreviousScript); err != nil {
					why = err.Error()
				}
			}
			if a.ctx.Err() != nil {
				return // the agent stops; it takes the command up again when it is back
			}
			slog.Info(logevent.ChangeApplied, "agent", a.me.Name, "director", c.Instance, "change", c.ChangeID, "failed", why)
			for a.ctx.Err() == nil {
				a.mu.Lock()
				a.a.CommandDone(c, why)
				err := a.save()
				a.mu.Unlock()
				if err == nil {
					return
				}
				time.Sleep(time.Second) // it is done; that it is must be stored before it is said
			}
		})
	}
}

// caller is who calls, and what that may do.
func (a *Agent) caller(ctx context.Context) (string, []authority.Role, error) {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return "", nil, errors.New("no caller")
	}
	info, ok := p.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.PeerCertificates) == 0 {
		return "", nil, errors.New("no certificate")
	}
	return a.id.Verify(info.State.PeerCertificates[0], time.Now())
}

// guard lets a call through where the certificate still holds and has the role. A panic ends the call alone.
func (a *Agent) guard(ctx context.Context, req any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (resp any, err error) {
	defer func() {
		if bad := recover(); bad != nil {
			slog.Error(logevent.PanicRecovered, "component", "agent", "err", bad)
			err = status.Error(codes.Internal, "panic")
		}
	}()
	name, of, err := a.caller(ctx)
	if err != nil {
		return nil, status.Error(codes.Unauthenticated, err.Error())
	}
	needs := []authority.Role{authority.RoleViewer, authority.RoleEditor, authority.RoleKeyAdmin, authority.RoleAgent}
	if say, ok := req.(*fleetpb.SayRequest); ok && rollout.MessageType(say.GetVerb()) != rollout.Query {
		if needs = []authority.Role{authority.RoleEditor, authority.RoleAgent}; rollout.MessageType(say.GetVerb()) == rollout.Prepare {
			needs = needs[:1] // agents end what is open; they begin nothing
		}
		if b := say.GetBallot().GetHolder(); b != "" && !strings.HasPrefix(b, name+"/") {
			return nil, status.Errorf(codes.PermissionDenied, "%s speaks for %s", name, b)
		}
	}
	if !slices.ContainsFunc(needs, func(r authority.Role) bool { return slices.Contains(of, r) }) {
		return nil, status.Errorf(codes.PermissionDenied, "%s has %v, this needs one of %v", name, of, needs)
	}
	return handle(ctx, req)
}

// Say handles a message of a change.
func (a *Agent) Say(ctx context.Context, req *fleetpb.SayRequest) (*fleetpb.SayReply, error) {
	m, ok := fleetpb.ToMessage(req)
	if !ok {
		return nil, status.Error(codes.InvalidArgument, "a message that means nothing")
	}
	a.mu.Lock()
	r, do := a.a.Handle(a.now(), m)
	err := a.save()
	a.mu.Unlock()
	if err != nil {
		return nil, status.Errorf(codes.ResourceExhausted, "%s can't store it: %v", a.me.Name, err)
	}
	a.carry(do)
	if m.Type == rollout.Prepare || m.Type == rollout.Accept || m.Type == rollout.Promise || len(do) > 0 {
		who, _, _ := a.caller(ctx)
		id := m.ChangeID
		if m.Change != nil {
			id = m.Change.ID
		}
		what := fmt.Sprintf("%s %s %s ok=%v %s", verbs[m.Type], id, m.Outcome, r.OK, r.Reason)
		if err := a.store.AppendAudit(time.Now(), who, strings.TrimSpace(what)); err != nil {
			slog.Error(logevent.AuditWriteFailed, "agent", a.me.Name, "err", err)
		}
	}
	return fleetpb.FromReply(r), nil
}

var verbs = map[rollout.MessageType]string{
	rollout.Promise: "take", rollout.Prepare: "prepare", rollout.Accept: "decide", rollout.Learn: "put in force",
}

// Status tells how this agent and its directors are.
func (a *Agent) Status(ctx context.Context, _ *fleetpb.StatusRequest) (*fleetpb.StatusReply, error) {
	out := &fleetpb.StatusReply{Name: a.me.Name, Members: map[string]string{}}
	a.mu.Lock()
	r, _ := a.a.Handle(a.now(), rollout.Message{Type: rollout.Query})
	for _, e := range a.a.State.Entries {
		out.Entries = append(out.Entries, fleetpb.FromEntries([]rollout.Entry{*e})...)
	}
	scripts := maps.Clone(a.a.State.ActiveScripts)
	a.mu.Unlock()
	if r := a.talk.Load().Report(); r != nil {
		for _, o := range a.inv.Agents {
			if o.Name != a.me.Name {
				out.Members[o.Name] = "unknown"
			}
		}
		for _, p := range r.Peers {
			out.Members[p.Name] = p.State
		}
	}
	out.Promised, out.HeldUs, out.LeftUs = fleetpb.FromBallot(r.Promised), int64(r.HeldFor), int64(r.LeaseLeft)
	for _, name := range slices.Sorted(maps.Keys(a.directors)) {
		s := &fleetpb.DirectorStatus{Name: name, Script: scripts[name]}
		if report, err := a.directors[name].Report(ctx); err != nil {
			s.Why = err.Error()
		} else {
			s.Up, s.Settings = true, report.SettingsDigest
			s.Report, _ = json.Marshal(report)
		}
		out.Directors = append(out.Directors, s)
	}
	return out, nil
}

// Probe says that it is there: agents of a version before this one ask.
func (a *Agent) Probe(_ context.Context, req *fleetpb.ProbeRequest) (*fleetpb.ProbeReply, error) {
	return &fleetpb.ProbeReply{Ok: req.GetOf() == "" || req.GetOf() == a.me.Name}, nil
}

// Audit gives the record.
func (a *Agent) Audit(context.Context, *fleetpb.AuditRequest) (*fleetpb.AuditReply, error) {
	all, err := a.store.Audit()
	if err != nil {
		return nil, status.Error(codes.DataLoss, err.Error())
	}
	out := &fleetpb.AuditReply{}
	for _, r := range all {
		out.Records = append(out.Records, &fleetpb.AuditRecord{Number: r.Number, UnixMs: r.UnixMS, Who: r.Actor, What: r.Action, Hash: r.Hash})
	}
	return out, nil
}

// settle has the settler do something. What it says leaves once what it rests on is stored.
func (a *Agent) settle(act func() ([]rollout.Envelope, []rollout.Command)) {
	a.mu.Lock()
	sends, do := act()
	err := a.save()
	a.mu.Unlock()
	if err != nil {
		return
	}
	for _, c := range do {
		if err := a.store.AppendAudit(time.Now(), a.me.Name, "settled, put in force "+c.ChangeID+" "+c.Instance); err != nil {
			slog.Error(logevent.AuditWriteFailed, "agent", a.me.Name, "err", err)
		}
	}
	a.carry(do)
	for _, s := range sends {
		select {
		case a.calls <- struct{}{}:
		default:
			continue // it is said again
		}
		a.work.Go(func() {
			defer func() { <-a.calls }()
			ctx, leave := context.WithTimeout(a.ctx, callTimeout)
			defer leave()
			if r, err := a.peers.Send(ctx, s.To, s.Message); err == nil {
				a.settle(func() ([]rollout.Envelope, []rollout.Command) { return a.settler.HandleReply(a.now(), s.To, r) })
			}
		})
	}
}
