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
	// ticksPerMemberUpdate is how many ticks there are to a look at which directors are there.
	ticksPerMemberUpdate = 4
	// maxPendingMessages is how many messages of others may wait to be handled. More are dropped, and come again.
	maxPendingMessages = 256
)

// relayClient polls the command channel through other directors: it sends and answers the messages that package relays decides on,
// and puts endpoint lists in force that come from others.
type relayClient struct {
	gossip   *gossipDriver
	interval time.Duration // between ticks of the relay
	pending  chan relayMessage
	began    policy.Micros // when this process did

	// applyMu is held while an endpoint list is put in force, so that none comes after a newer one. It is taken before mu.
	applyMu sync.Mutex

	mu          sync.Mutex // guards all below
	relay       *relays.Relay
	channelList map[string]relays.Endpoint // as the own channel has told it
	channelSum  string                     // of that list
	activeList  map[string]relays.Endpoint // as it is in force
	listChanged bool                       // the poll that has just been answered brought an endpoint list
	polls       bool                       // this director polled the channel itself when it was last asked
	ticks       int
}

// relayMessage is a message of another director.
type relayMessage struct {
	from string // its name
	relays.Message
}

// newRelayClient makes a client that knows no endpoints.
func newRelayClient(g *gossipDriver, settings relays.Settings) *relayClient {
	return &relayClient{
		gossip: g, interval: settings.QueryInterval.Duration() / 2, pending: make(chan relayMessage, maxPendingMessages),
		relay: relays.New(g.now(), settings), began: g.now(),
		channelList: map[string]relays.Endpoint{}, channelSum: relays.Sum(nil), activeList: map[string]relays.Endpoint{},
	}
}

// shouldPoll says whether this director polls the command channel itself now. After a stall it does, whoever else polls.
func (c *relayClient) shouldPoll() bool {
	if monitor := c.gossip.monitor; monitor.Suspect() && monitor.Stalls() > 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	polls := c.relay.ShouldPoll(c.gossip.now())
	if polls != c.polls {
		slog.Info(logevent.RelayRole, "polls_discovery", polls)
	}
	c.polls = polls
	return polls
}

// mergeEvents gives events of the own channel as they are to be put in force: all that they do to the endpoint list as one change at
// their end. They may begin long ago, and the lists on the way must not undo for a moment what has come from others.
func (c *relayClient) mergeEvents(events []discovery.Event) (merged []discovery.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := false
	for _, event := range events {
		if !event.HasEndpoints {
			merged = append(merged, event)
			continue
		}
		listed = true
		relays.Merge(c.channelList, relayEndpoints(event.Endpoints), event.Snapshot)
	}
	if listed {
		c.listChanged = true
		endpoints := relays.SortedEndpoints(c.channelList)
		c.channelSum = relays.Sum(endpoints)
		merged = append(merged, c.activate(endpoints)...)
	}
	return merged
}

// activate records a list that is to be in force, and gives the event that makes it so; none where it is already. The caller holds
// the lock.
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

// pollSucceeded records that the own channel has answered a poll that began at a time.
func (c *relayClient) pollSucceeded(began policy.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relay.PollSucceeded(c.gossip.now(), c.channelSum, began, c.listChanged)
	c.listChanged = false
}

// report is this director's role in polling the channel; nil for a nil client.
func (c *relayClient) report() *relays.Report {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	report := c.relay.Report(c.gossip.now())
	return &report
}

// enqueue has a message handled by run; it is dropped where there is no room.
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
			for n := len(c.pending); n > 0; n-- { // what has come counts as an answer, however late this goroutine is
				c.handle(network, <-c.pending)
			}
			c.query(network)
		case message := <-c.pending:
			c.handle(network, message)
		}
	}
}

// query asks the directors that it is time to ask, and wakes the channel's client where this director must poll from now on.
func (c *relayClient) query(network *gossipnet.Driver) {
	now := c.gossip.now()
	c.mu.Lock()
	if c.ticks++; c.ticks%ticksPerMemberUpdate == 1 {
		c.relay.SetMembers(network.ZonePeers())
	}
	targets, mustPoll := c.relay.Tick(now), c.relay.ShouldPoll(now) && !c.polls
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

// purgeDigest is the digest of the recent purges that this director knows.
func (c *relayClient) purgeDigest(now policy.Micros) uint64 {
	c.gossip.mu.Lock()
	defer c.gossip.mu.Unlock()
	_, digest := c.gossip.store.RecentPurges(now)
	return digest
}

// missingPurges is what a director may lack whose digest of recent purges is given.
func (c *relayClient) missingPurges(digest uint64) []gossip.Update {
	c.gossip.mu.Lock()
	defer c.gossip.mu.Unlock()
	now := c.gossip.now()
	if _, own := c.gossip.store.RecentPurges(now); digest == own {
		return nil
	}
	return c.gossip.store.RepairPurges(now)
}

// handle handles a message of another director.
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

// handleQuery answers a query, and sends purges that the other director may lack.
func (c *relayClient) handleQuery(network *gossipnet.Driver, from string, query relays.Query) {
	now := c.gossip.now()
	c.mu.Lock()
	response := c.relay.HandleQuery(now, query)
	c.mu.Unlock()
	network.SendRelay(from, relays.Message{Response: &response})
	network.SendUpdates(from, c.missingPurges(query.PurgeDigest))
}

// handleResponse takes a response. It asks for the list that this director lacks, or records until when the list in force is known
// to hold.
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
	if until > c.began { // else no list is known to have held since this process began
		c.gossip.channelAnswered(until)
	}
}

// handleListRequest sends the list in force where its sum is the one that is wanted. Where the list has changed since, the other
// director will want the new one.
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

// handleList puts a list in force that this director wanted.
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
