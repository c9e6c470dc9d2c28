package agent

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"tallyproxy/internal/config"
	"tallyproxy/internal/fleetpb"
	"tallyproxy/internal/gossipnet"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/rollout"
)

const (
	recoveryInterval     = 100 * time.Millisecond // between two ticks of the recovery
	supervisionInterval  = 250 * time.Millisecond // between two checks whether a director is up
	memberConnectTimeout = 2 * policy.Second / 5  // for a gossip connection between agents

	maxRequestBytes      = 8 << 20
	maxConcurrentStreams = 64 // of one client connection
	handshakeTimeout     = 5 * time.Second
)

// Serve listens on the agent's address and runs the agent until the context ends. The directors
// continue to run after that.
func (a *Agent) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.entry.Address)
	if err != nil {
		return err
	}
	return a.ServeListener(ctx, listener)
}

// ServeListener is like Serve, but uses and closes a listener that the caller has opened. When the
// context ends or serving fails, it returns after the accepted calls and commands have finished, so
// that the caller can close the store.
func (a *Agent) ServeListener(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.runContext = ctx
	managed := a.managedDirectors()
	for _, director := range managed {
		if err := director.Start(ctx); err != nil {
			slog.Error(logevent.DirectorStartFailed, "agent", a.entry.Name, "director", director.Name, "err", err)
		}
	}
	server := a.newServer()
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	a.resumeCommands()
	for _, director := range managed {
		a.tasks.Go(func() { a.supervise(ctx, director) })
	}
	if err := a.joinMembership(); err != nil { // the agent can manage its directors without it
		slog.Error(logevent.GossipUnavailable, "agent", a.entry.Name, "err", err)
	}
	slog.Info(logevent.AgentStarted, "agent", a.entry.Name, "listen", listener.Addr().String(), "directors", len(a.directors))
	ticker := time.NewTicker(recoveryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			a.shutdown(server)
			return <-served
		case err := <-served:
			cancel()
			a.shutdown(server)
			return err
		case <-ticker.C:
			a.runRecovery(func() ([]rollout.Envelope, []rollout.Command) { return a.recovery.Tick(a.now()) })
		}
	}
}

// shutdown stops everything that ServeListener has started. The context of ServeListener must have
// ended.
func (a *Agent) shutdown(server *grpc.Server) {
	server.Stop()
	a.tasks.Wait()
	a.clients.Close()
	a.membership.Load().Leave()
}

// managedDirectors returns the directors that this agent starts, sorted by name.
func (a *Agent) managedDirectors() (managed []*Director) {
	for _, name := range slices.Sorted(maps.Keys(a.directors)) {
		if director := a.directors[name]; len(director.Command) > 0 {
			managed = append(managed, director)
		}
	}
	return managed
}

func (a *Agent) newServer() *grpc.Server {
	server := grpc.NewServer(
		grpc.Creds(credentials.NewTLS(a.identity.ServerTLS())), grpc.MaxRecvMsgSize(maxRequestBytes),
		grpc.MaxConcurrentStreams(maxConcurrentStreams), grpc.ConnectionTimeout(handshakeTimeout), grpc.UnaryInterceptor(a.authorize),
		grpc.WaitForHandlers(true), // accepted calls finish before the store is closed
	)
	fleetpb.RegisterAgentServer(server, a)
	return server
}

// joinMembership starts failure detection among the agents, in the same way as among directors. It
// does nothing if the inventory has no gossip address for this agent.
func (a *Agent) joinMembership() error {
	if a.entry.GossipAddress == "" {
		return nil
	}
	key, err := config.ReadKey(a.inventory.GossipKeyFile)
	if err != nil {
		return fmt.Errorf("fleet.talk_key: %w", err)
	}
	peers := config.Peers{Listen: a.entry.GossipAddress, Fleet: "agents", SharedKey: key}
	for _, other := range a.inventory.Agents {
		if other.Name != a.entry.Name {
			peers.Seeds = append(peers.Seeds, other.GossipAddress)
		}
	}
	settings := membership.Derive(a.entry.Name, uint64(time.Now().UnixMicro()), policy.Settings{
		ConnectTimeout: memberConnectTimeout, ZoneDirectors: len(a.inventory.Agents), TotalDirectors: len(a.inventory.Agents),
	})
	driver, err := gossipnet.Start(peers, settings, a.now, gossipnet.Handlers{})
	if err == nil {
		a.membership.Store(driver)
	}
	return err
}

// supervise restarts a director that exited on its own, with the latest script that it was given,
// until the context ends.
func (a *Agent) supervise(ctx context.Context, director *Director) {
	var restarts rollout.RestartPolicy
	ticker := time.NewTicker(supervisionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		_, err := director.Report(ctx)
		running, stopped := director.process()
		if !restarts.ShouldStart(a.now(), err == nil || running, stopped) || ctx.Err() != nil {
			continue
		}
		err = director.Start(ctx)
		slog.Warn(logevent.DirectorRestarted, "agent", a.entry.Name, "director", director.Name, "exits", restarts.Exits(), "err", err)
		a.audit(a.entry.Name, "started again "+director.Name)
	}
}
