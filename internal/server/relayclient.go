package server

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"tallyproxy/gossip"
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/gossipnet"
	"tallyproxy/internal/logevent"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

const (
	// ticksPerMemberUpdate is the number of ticks between two updates of the members from which the
	// relay chooses.
	ticksPerMemberUpdate = 4
	// maxPendingMessages limits the messages of other directors that wait to be handled. Messages
	// beyond it are dropped; their senders send them again.
	maxPendingMessages = 256
)

// relayClient polls the command channel through other directors: it sends and answers the messages
// that package relays decides on, and puts endpoint lists from other directors in force.
type relayClient struct {
	gossip    *gossipDriver
	interval  time.Duration // between ticks of the relay
	pending   chan relayMessage
	startedAt policy.Micros // when this process started

	// applyMu is held while an endpoint list is put in force, so that an older list can't replace a
	// newer one. It is locked before mu.
	applyMu sync.Mutex

	mu          sync.Mutex // guards all fields below
	relay       *relays.Relay
	channelList map[string]relays.Endpoint // the list according to this director's channel
	channelSum  string                     // checksum of channelList
	activeList  map[string]relays.Endpoint // the list in force
	// listChanged is true if the poll that was just answered carried an endpoint list.
	listChanged bool
	polling     bool // last result of shouldPoll
	ticks       int
}

// relayMessage is a message from another director.
type relayMessage struct {
	from string // name of the sender
	relays.Message
}

// newRelayClient returns a client that knows no endpoints.
func newRelayClient(g *gossipDriver, settings relays.Settings) *relayClient {
	return &relayClient{
		gossip: g, interval: settings.QueryInterval.Duration() / 2, pending: make(chan relayMessage, maxPendingMessages),
		relay: relays.New(g.now(), settings), startedAt: g.now(),
		channelList: map[string]relays.Endpoint{}, channelSum: relays.Sum(nil), activeList: map[string]relays.Endpoint{},
	}
}

// shouldPoll reports whether this director must poll the command channel itself now. After a stall
// it polls, whether or not other directors do.
func (c *relayClient) shouldPoll() bool {
	if monitor := c.gossip.monitor; monitor.Suspect() && monitor.Stalls() > 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	polling := c.relay.ShouldPoll(c.gossip.now())
	if polling != c.polling {
		slog.Info(logevent.RelayRole, "polls_discovery", polling)
	}
	c.polling = polling
	return polling
}

// mergeEvents merges all changes that events of this director's channel make to the endpoint list
// into one change at the end of the events. The first events may be old, and the intermediate lists
// must not temporarily undo changes received from other directors.
func (c *relayClient) mergeEvents(events []discovery.Event) (merged []discovery.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasList := false
	for _, event := range events {
		if !event.HasEndpoints {
			merged = append(merged, event)
			continue
		}
		hasList = true
		relays.Merge(c.channelList, relayEndpoints(event.Endpoints), event.Snapshot)
	}
	if hasList {
		c.listChanged = true
		endpoints := relays.SortedEndpoints(c.channelList)
		c.channelSum = relays.Sum(endpoints)
		merged = append(merged, c.activate(endpoints)...)
	}
	return merged
}

// activate records a list as the one in force and returns the event that puts it in force, or no
// event if the list is already in force. The caller holds the lock.
func (c *relayClient) activate(endpoints []relays.Endpoint) []discovery.Event {
	changed := relays.Diff(c.activeList, endpoints)
	relays.Merge(c.activeList, endpoints, true)
	if len(changed) == 0 {
		return nil
	}
	return []discovery.Event{{HasEndpoints: true, Group: policy.AllGroups, Endpoints: discoveryEndpoints(changed)}}
}

// relayEndpoints converts endpoints of the channel to those that directors exchange.
func relayEndpoints(endpoints []discovery.Endpoint) []relays.Endpoint {
	converted := make([]relays.Endpoint, len(endpoints))
	for i, e := range endpoints {
		converted[i] = relays.Endpoint{
			ID: e.ID, Address: e.Address, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight, Started: e.Started, State: e.State,
		}
	}
	return converted
}

// discoveryEndpoints converts endpoints that directors exchange to those of the channel.
func discoveryEndpoints(endpoints []relays.Endpoint) []discovery.Endpoint {
	converted := make([]discovery.Endpoint, len(endpoints))
	for i, e := range endpoints {
		converted[i] = discovery.Endpoint{Address: e.Address, Endpoint: policy.Endpoint{
			ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, Weight: e.Weight, Started: e.Started, State: e.State,
		}}
	}
	return converted
}

// pollSucceeded records that this director's channel has answered a poll that began at the given
// time.
func (c *relayClient) pollSucceeded(began policy.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay.PollSucceeded(c.gossip.now(), c.channelSum, began, c.listChanged)
	c.listChanged = false
}

// report returns this director's role in polling the channel; nil for a nil client.
func (c *relayClient) report() *relays.Report {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.relay.Report(c.gossip.now())
	return &report
}

// enqueue queues a message for run. The message is dropped if the queue is full.
func (c *relayClient) enqueue(from string, message relays.Message) {
	select {
	case c.pending <- relayMessage{from, message}:
	default:
	}
}

// run queries other directors and handles their messages until ctx ends.
func (c *relayClient) run(ctx context.Context, network *gossipnet.Driver) {
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			// Messages come before the queries: a response counts even if this goroutine was
			// delayed.
			for n := len(c.pending); n > 0; n-- {
				c.handle(network, <-c.pending)
			}
			c.query(network)
		case message := <-c.pending:
			c.handle(network, message)
		}
	}
}

// query sends the queries that are due. If this director must poll the channel itself from now on,
// query wakes the channel's client.
func (c *relayClient) query(network *gossipnet.Driver) {
	now := c.gossip.now()
	c.mu.Lock()
	if c.ticks++; c.ticks%ticksPerMemberUpdate == 1 {
		c.relay.SetMembers(network.ZonePeers())
	}
	targets, mustPoll := c.relay.Tick(now), c.relay.ShouldPoll(now) && !c.polling
	c.mu.Unlock()
	if mustPoll {
		c.gossip.channel.Wake()
	}
	if len(targets) == 0 {
		return
	}
	digest := c.purgeDigest(now)
	for _, target := range targets {
		network.SendRelay(target, relays.Message{Query: &relays.Query{SentAt: now, PurgeDigest: digest}})
	}
}

// purgeDigest returns the digest of the recent purges that this director knows.
func (c *relayClient) purgeDigest(now policy.Micros) uint64 {
	c.gossip.mu.Lock()
	defer c.gossip.mu.Unlock()
	_, digest := c.gossip.store.RecentPurges(now)
	return digest
}

// missingPurges returns the purges that another director may lack, given that director's digest of
// recent purges.
func (c *relayClient) missingPurges(digest uint64) []gossip.Update {
	c.gossip.mu.Lock()
	defer c.gossip.mu.Unlock()
	now := c.gossip.now()
	if _, own := c.gossip.store.RecentPurges(now); digest == own {
		return nil
	}
	return c.gossip.store.RepairPurges(now)
}

// handle handles a message from another director.
func (c *relayClient) handle(network *gossipnet.Driver, message relayMessage) {
	switch {
	case message.Query != nil:
		c.handleQuery(network, message.from, *message.Query)
	case message.Response != nil:
		c.handleResponse(network, message.from, *message.Response)
	case message.WantList != "":
		c.handleListRequest(network, message.from, message.WantList)
	case message.List != nil:
		c.handleList(message.from, message.List)
	}
}

// handleQuery answers a query and sends the purges that the other director may lack.
func (c *relayClient) handleQuery(network *gossipnet.Driver, from string, query relays.Query) {
	now := c.gossip.now()
	c.mu.Lock()
	response := c.relay.HandleQuery(now, query)
	c.mu.Unlock()
	network.SendRelay(from, relays.Message{Response: &response})
	network.SendUpdates(from, c.missingPurges(query.PurgeDigest))
}

// handleResponse handles a response to a query. It requests the endpoint list if this director
// lacks it, and otherwise records the time until which the list in force is known to be current.
func (c *relayClient) handleResponse(network *gossipnet.Driver, from string, response relays.Response) {
	now := c.gossip.now()
	c.mu.Lock()
	wanted := c.relay.HandleResponse(now, from, response)
	until, _ := c.relay.InForce()
	c.mu.Unlock()
	if wanted != "" {
		network.SendRelay(from, relays.Message{WantList: wanted})
		return
	}
	// If until is earlier, no list is known to have been current since this process started.
	if until > c.startedAt {
		c.gossip.channelAnswered(until)
	}
}

// handleListRequest sends the list in force if it has the requested checksum. If the list has
// changed since, the other director will request the new one.
func (c *relayClient) handleListRequest(network *gossipnet.Driver, from, wanted string) {
	c.mu.Lock()
	var endpoints []relays.Endpoint
	if _, sum := c.relay.InForce(); sum == wanted {
		endpoints = relays.SortedEndpoints(c.activeList)
	}
	c.mu.Unlock()
	if endpoints != nil {
		network.SendRelay(from, relays.Message{List: endpoints})
	}
}

// handleList puts a list in force that this director requested.
func (c *relayClient) handleList(from string, endpoints []relays.Endpoint) {
	now := c.gossip.now()
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	c.mu.Lock()
	until, accepted := c.relay.AcceptList(endpoints)
	var events []discovery.Event
	if accepted {
		events = c.activate(endpoints)
	}
	c.mu.Unlock()
	if !accepted {
		return
	}
	c.gossip.routers.apply(events)
	c.gossip.recordEvents(events, until)
	c.gossip.channelAnswered(until)
	slog.Info(logevent.EndpointListRelayed, "from", from, "endpoints", len(endpoints), "age", (now - until).Duration())
}
