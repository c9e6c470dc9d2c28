package server

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/gossip"
	"tallyproxy/internal/config"
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/gossipnet"
	"tallyproxy/internal/logevent"
	"tallyproxy/internal/upstream"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

const (
	// maxPendingUpdates is how many updates of others may wait to be applied. More are dropped: they come again, or by the own
	// channel.
	maxPendingUpdates = 2048
	// maxConcurrentProbes is how many nodes are probed at a time for others' hints; as many hints may wait, more are dropped.
	maxConcurrentProbes = 4
	// observationsPerHintInterval is how often the nodes are looked at in the interval between two hints.
	observationsPerHintInterval = 8
)

// gossipDriver connects gossip among directors to the decisions: quotas, updates of the command channel and hints on nodes. A
// director without peers has one that is not started, whose methods do nothing. Methods may be called from any goroutine unless
// they say otherwise.
type gossipDriver struct {
	// Set before start, constant from then on.
	routers *routerGroup
	nodes   *upstream.Pool
	channel *discovery.Client
	monitor *stallMonitor

	// Set by start, constant from then on. relay and store are nil, and the rest is zero, in a director without peers.
	relay           *relayClient
	store           *gossip.Store // guarded by mu
	retention       policy.Micros // so long without the channel, everywhere, and it counts as unreachable
	observeInterval time.Duration
	pending         chan receivedUpdate  // taken by receiveUpdates
	hints           chan membership.Hint // taken by probeHinted
	cancel          context.CancelFunc   // ends the goroutines

	network     atomic.Pointer[gossipnet.Driver]         // nil before start and without peers
	unconfirmed atomic.Bool                              // what is known binds with care: see setUnconfirmed
	lastAnswers atomic.Pointer[map[string]policy.Micros] // by node, when it last answered, as of the last observation
	unhealthy   atomic.Pointer[[]membership.Hint]        // nodes that are not healthy, as of the last observation

	mu             sync.Mutex // guards store and operatorAvoids; held while the routers are told of avoided nodes
	operatorAvoids []string   // nodes that the operator's file names

	// Owned by the goroutine of observe.
	nodeStatuses map[string]membership.NodeStatus
	channelLost  bool // no reachable director has heard the channel for the retention
}

// start opens the sockets and lets the driver work until stop or the end of ctx. The routers must run. Known is what the files
// say; it may be old, so that until the channel or another director has spoken nothing is sent and served.
func (g *gossipDriver) start(ctx context.Context, peers config.Peers, platform config.Config, known []discovery.Event) error {
	settings := platform.Site.Settings
	storeSettings := gossip.Derive(settings)
	g.retention = storeSettings.Retention
	g.store = gossip.New(g.now(), storeSettings)
	g.monitor.StartSuspect(g.monitor.Now())
	g.recordEvents(known, g.now()-2*g.retention) // what others hear of the channel is newer than a file
	g.relay = newRelayClient(g, relays.DeriveSettings(platform.Name, peers.Delegates, len(platform.Site.ZoneNames),
		len(platform.Site.KindNames), settings))
	g.relay.mergeEvents(known)
	g.channel.SetShouldPoll(g.relay.shouldPoll)

	members := membership.Derive(platform.Name, uint64(time.Now().UnixMicro()), settings)
	g.observeInterval = members.HintInterval.Duration() / observationsPerHintInterval
	g.hints, g.pending = make(chan membership.Hint, maxConcurrentProbes), make(chan receivedUpdate, maxPendingUpdates)
	g.nodeStatuses = map[string]membership.NodeStatus{}
	network, err := gossipnet.Start(peers, members, g.routers.first().Now, g.handlers())
	if err != nil {
		return err
	}
	g.network.Store(network)
	ctx, g.cancel = context.WithCancel(ctx)
	go g.observe(ctx)
	go g.receiveUpdates(ctx)
	go g.relay.run(ctx, network)
	for range maxConcurrentProbes {
		go g.probeHinted(ctx)
	}
	return nil
}

// handlers are what the network calls, from its own goroutines; none blocks.
func (g *gossipDriver) handlers() gossipnet.Handlers {
	return gossipnet.Handlers{
		ProbeNode:  g.enqueueHint,
		LastAnswer: g.lastAnswer,
		Update: func(from string, update gossip.Update) {
			g.enqueue(receivedUpdate{from: from, Update: update})
		},
		Snapshot:      g.snapshot,
		MergeSnapshot: func(from string, snapshot gossipnet.Snapshot) { g.applySnapshot(from, snapshot) },
		NeedsSnapshot: g.needsSnapshot,
		SnapshotReply: g.snapshotReply,
		ChannelAge:    g.channelAge,
		Relay:         g.relay.enqueue,
	}
}

// stop tells the others that this director leaves, and ends the goroutines.
func (g *gossipDriver) stop() {
	if network := g.network.Load(); network != nil {
		g.cancel()
		network.Leave()
	}
}

// enabled says whether this director gossips.
func (g *gossipDriver) enabled() bool { return g.store != nil }

// now is the director's own monotonic time, on which the store and the relay count.
func (g *gossipDriver) now() policy.Micros { return g.monitor.Now().Monotonic }

// quotaShare is what the decisions may use of a limit that the directors of the zone share, or all directors, as a multiple of the
// fixed quota.
func (g *gossipDriver) quotaShare(now policy.Micros, all bool) float64 {
	scope := membership.ScopeZone
	if all {
		scope = membership.ScopeFleet
	}
	return g.network.Load().Quota(now, scope)
}

// channelAge is the time since the own channel last answered.
func (g *gossipDriver) channelAge() policy.Micros {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.ChannelAge(g.now())
}

// setOperatorAvoids changes the nodes that the operator's file has avoided.
func (g *gossipDriver) setOperatorAvoids(nodes []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.operatorAvoids = slices.Clone(nodes)
	g.updateAvoided()
}

// refreshAvoided has the routers take up what the store says of avoided nodes.
func (g *gossipDriver) refreshAvoided() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateAvoided()
}

// updateAvoided has nodes taken for draining that the operator's file names, and those that only others' updates do. The caller
// holds the lock.
func (g *gossipDriver) updateAvoided() {
	avoided := g.operatorAvoids
	if g.enabled() {
		avoided = append(slices.Clone(avoided), g.store.AvoidedNodes()...)
	}
	g.routers.setDraining(avoided)
}

// membershipReport is the view of other directors; nil without peers.
func (g *gossipDriver) membershipReport() *membership.Report { return g.network.Load().Report() }

// report is how old what the command channel told is; nil without peers.
func (g *gossipDriver) report() *gossip.Report {
	if !g.enabled() {
		return nil
	}
	newestOfOthers := g.network.Load().NewestChannelAge()
	g.mu.Lock()
	defer g.mu.Unlock()
	report := g.store.Report(g.now(), newestOfOthers)
	return &report
}

// checkChannel polls the own channel where others know more, and logs when no reachable director hears the channel any more, and
// when one does again. It is called by observe alone.
func (g *gossipDriver) checkChannel() {
	failing, newestOfOthers := g.channel.Failing(), g.network.Load().NewestChannelAge()
	g.mu.Lock()
	now := g.now()
	poll, report := g.store.ShouldPoll(now, failing), g.store.Report(now, newestOfOthers)
	g.mu.Unlock()
	if poll && g.relay.shouldPoll() {
		g.channel.Refresh()
	}
	newest := policy.Micros(report.NewestAge)
	if lost := newest > g.retention; lost != g.channelLost {
		if g.channelLost = lost; lost {
			slog.Warn(logevent.DiscoveryUnreachable, "newest", newest.Duration())
		} else {
			slog.Info(logevent.DiscoveryReachable, "newest", newest.Duration())
		}
	}
}
