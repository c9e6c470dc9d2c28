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
	// maxPendingUpdates limits the updates from other directors that wait to be applied. Updates
	// beyond it are dropped; the director receives them again from its peers or from its own
	// command channel.
	maxPendingUpdates = 2048
	// maxConcurrentProbes limits the nodes that are probed at the same time because of hints from
	// other directors. It also limits the hints that wait; hints beyond it are dropped.
	maxConcurrentProbes = 4
	// observationsPerHintInterval is the number of times the nodes are examined in the minimum
	// interval between two hints.
	observationsPerHintInterval = 8
)

// gossipDriver connects gossip among directors to the routing decisions: quotas, updates of the
// command channel, and hints about nodes. A director without peers has a gossipDriver that is not
// started and whose methods do nothing. Methods may be called from any goroutine unless their
// comments say otherwise.
type gossipDriver struct {
	// Set before start and constant afterwards.
	routers *routerGroup
	nodes   *upstream.Pool
	channel *discovery.Client
	monitor *stallMonitor

	// Set by start and constant afterwards. In a director without peers, relay and store are nil
	// and the others are zero.
	relay           *relayClient
	store           *gossip.Store // guarded by mu
	retention       policy.Micros // time without answers after which the channel is unreachable
	observeInterval time.Duration
	pending         chan receivedUpdate  // read by receiveUpdates
	hints           chan membership.Hint // read by probeHinted
	cancel          context.CancelFunc   // ends the goroutines

	network     atomic.Pointer[gossipnet.Driver]         // nil before start and without peers
	unconfirmed atomic.Bool                              // see setUnconfirmed
	lastAnswers atomic.Pointer[map[string]policy.Micros] // last answer by node, as last observed
	unhealthy   atomic.Pointer[[]membership.Hint]        // as last observed

	mu             sync.Mutex // guards store and operatorAvoids; held while avoided nodes are set
	operatorAvoids []string   // nodes that the operator's script avoids

	// Owned by the goroutine of observe.
	nodeStatuses map[string]membership.NodeStatus
	// no reachable director has received an answer from the channel within the retention time
	channelUnreachable bool
}

// start opens the sockets and starts the goroutines, which run until stop is called or ctx ends.
// The routers must be running. bootstrap holds the events from the configuration file. They may be
// out of date, so the director is suspect, and sends and serves nothing, until the command channel
// or another director has confirmed its state or the suspect timeout has passed; see
// suspicionResolved.
func (g *gossipDriver) start(ctx context.Context, peers config.Peers, platform config.Config, bootstrap []discovery.Event) error {
	settings := platform.Site.Settings
	storeSettings := gossip.Derive(settings)
	g.retention = storeSettings.Retention
	g.store = gossip.New(g.now(), storeSettings)
	g.monitor.StartSuspect(g.monitor.Now())
	// Bootstrap events are dated so that any update from a peer counts as newer.
	g.recordEvents(bootstrap, g.now()-2*g.retention)
	g.relay = newRelayClient(g, relays.DeriveSettings(platform.Name, peers.Delegates, len(platform.Site.ZoneNames),
		len(platform.Site.KindNames), settings))
	g.relay.mergeEvents(bootstrap)
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

// handlers returns the callbacks of the network. It calls them from its own goroutines, and none of
// them blocks.
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

// stop announces to the other directors that this one leaves, and ends the goroutines.
func (g *gossipDriver) stop() {
	if network := g.network.Load(); network != nil {
		g.cancel()
		network.Leave()
	}
}

// enabled reports whether this director gossips.
func (g *gossipDriver) enabled() bool { return g.store != nil }

// now returns the monotonic time of this director, the clock of the store and the relay.
func (g *gossipDriver) now() policy.Micros { return g.monitor.Now().Monotonic }

// quotaShare returns the share of a limit that this director may use, as a multiple of its fixed
// quota. The limit is shared by all directors if fleet is true, else by the directors of the zone.
func (g *gossipDriver) quotaShare(now policy.Micros, fleet bool) float64 {
	scope := membership.ScopeZone
	if fleet {
		scope = membership.ScopeFleet
	}
	return g.network.Load().Quota(now, scope)
}

// channelAge returns the time since the start of the latest poll that this director's command
// channel answered.
func (g *gossipDriver) channelAge() policy.Micros {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.store.ChannelAge(g.now())
}

// setOperatorAvoids replaces the nodes that the operator's script avoids.
func (g *gossipDriver) setOperatorAvoids(nodes []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.operatorAvoids = slices.Clone(nodes)
	g.updateAvoided()
}

// refreshAvoided applies the avoided nodes of the store to the routers.
func (g *gossipDriver) refreshAvoided() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateAvoided()
}

// updateAvoided makes the routers treat as draining the nodes that the operator's script names, and
// those that are draining or removed only according to updates of other directors. The caller holds
// the lock.
func (g *gossipDriver) updateAvoided() {
	avoided := g.operatorAvoids
	if g.enabled() {
		avoided = append(slices.Clone(avoided), g.store.AvoidedNodes()...)
	}
	g.routers.setDraining(avoided)
}

// membershipReport returns the view of the other directors; nil without peers.
func (g *gossipDriver) membershipReport() *membership.Report { return g.network.Load().Report() }

// report returns the age of the information from the command channel; nil without peers.
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

// checkChannel polls this director's channel if other directors have newer information. It logs
// when no reachable director has received an answer from the channel within the retention time, and
// when one has received an answer again. Only observe calls it.
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
	if unreachable := newest > g.retention; unreachable != g.channelUnreachable {
		if g.channelUnreachable = unreachable; unreachable {
			slog.Warn(logevent.DiscoveryUnreachable, "newest", newest.Duration())
		} else {
			slog.Info(logevent.DiscoveryReachable, "newest", newest.Duration())
		}
	}
}
