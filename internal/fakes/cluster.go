// Package fakes plays what a director talks to: cache nodes, parents, the origin, the command channel and clients, each on 127.0.0.1 and
// a port of its own. Nodes have a capacity and a slow start, keep copies, and are pushed over by overload; all of them record what reached
// them, so that the rules can be checked from outside. Tests, fault tests and tallybench use it.
//
// One lock, the cluster's, guards all nodes and the channel; clients are goroutines of their users, and their statistics have a lock of
// their own.
package fakes

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Cluster is all that directors talk to. Its lock guards everything below it, the nodes and the channel.
type Cluster struct {
	Spec
	Nodes      []*Node       // caches, parents, then the origin
	Clients    ClientStats   // what all clients have seen
	ChannelMux http.ServeMux // of the command channel; users may add handlers of their own before directors start

	mu               sync.Mutex
	startedAt        time.Time
	links            []*sharedCapacity // for fills, by zone
	events           []map[string]any  // of the command channel, the first with cursor 1
	changed          chan struct{}     // closed, and made anew, with every change that polls wait for
	channel          net.Listener
	server           *http.Server
	secondListener   net.Listener // the channel's address for directors with odd numbers, which can be cut
	secondServer     *http.Server
	channelState     channelState
	attemptsInFlight map[string]int           // by request id, over all nodes
	effects          map[string]effect        // by idempotency key
	purgedAt         map[string]time.Duration // by purge key
	abandonedAt      map[string]time.Duration // when clients gave requests up, by request id; bounded by maxAbandoned
	lateEvents       []string                 // of violations.SentAfterLeave, maxLateEvents at the most
	violations       Violations
	instantEffects   instantEffects
}

// Violations counts what broke a rule, as the nodes see it.
type Violations struct {
	DrainedUses        int // requests or fills at a node later than drainDeadline after it was told to drain
	ConcurrentAttempts int // attempts of one request in flight at two nodes
	SentAfterLeave     int // attempts that began later than abandonedLimit after their client had left
	RepeatedEffects    int // keys whose request had its effect twice
	OverloadedNodes    int // nodes that were pushed over
}

const (
	drainDeadline  = 1050 * time.Millisecond // after a drain was published, with the rule's slack
	purgeDeadline  = 550 * time.Millisecond  // after a purge was published, with the rule's slack
	purgeRetention = 6 * time.Second         // after it nodes hold no purged copies
	repollWithin   = purgeRetention / 3      // directors poll again within this after an outage
	cancelDelay    = 50 * time.Millisecond   // for which a cancelled attempt may still count as in flight
)

// New starts a cluster; Close ends it.
func New(spec Spec) (*Cluster, error) {
	c := &Cluster{
		Spec:             spec,
		startedAt:        time.Now(),
		changed:          make(chan struct{}),
		attemptsInFlight: map[string]int{},
		effects:          map[string]effect{},
		purgedAt:         map[string]time.Duration{},
		abandonedAt:      map[string]time.Duration{},
	}
	linkCapacity := func(time.Duration) float64 { return spec.LinkCapacity }
	for range max(1, spec.Zones) {
		c.links = append(c.links, &sharedCapacity{cluster: c, maxRate: spec.FillSpeedup, capacity: linkCapacity})
	}
	if err := c.addNodes(); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", c.address("channel"))
	if err != nil {
		return nil, err
	}
	c.channel = listener
	c.ChannelMux.HandleFunc("/cmd/next", c.servePoll)
	c.server = &http.Server{Handler: &c.ChannelMux}
	go serveHTTP(c.server, listener)
	return c, c.CutSecondPath(false)
}

// addNodes starts the nodes of the spec. Directors hash their names, so these stay as they are.
func (c *Cluster) addNodes() error {
	for i := range c.CacheNodes {
		if _, err := c.AddNode(Edge, fmt.Sprint("box-", i), c.ColdEdges); err != nil {
			return err
		}
	}
	for i := range c.Parents {
		if _, err := c.AddNode(Parent, fmt.Sprint("parent-", i), c.ColdParents); err != nil {
			return err
		}
	}
	_, err := c.AddNode(Origin, originName, false)
	return err
}

// Close ends the channel and all nodes.
func (c *Cluster) Close() {
	closeQuietly(c.server)
	closeQuietly(c.secondServer)
	for _, n := range c.Nodes {
		n.Kill()
	}
}

// address is where something of a name listens.
func (c *Cluster) address(name string) string {
	if addr := c.Addresses[name]; addr != "" {
		return addr
	}
	return "127.0.0.1:0"
}

// Node returns the node of a name; nil for none.
func (c *Cluster) Node(name string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodeByName(name)
}

// nodeByName is as Node. The caller holds the lock.
func (c *Cluster) nodeByName(name string) *Node {
	for _, n := range c.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

const originName = "origin"

func (c *Cluster) origin() *Node { return c.nodeByName(originName) }

// Now returns the time since the cluster's start, by which all of its records go.
func (c *Cluster) Now() time.Duration { return c.now() }

func (c *Cluster) now() time.Duration { return time.Since(c.startedAt) }

// clockTime is the present seconds by the machine's clock, as directors log them.
func (c *Cluster) clockTime() string { return time.Now().UTC().Format("05.000000") }

// Violations returns what broke a rule so far.
func (c *Cluster) Violations() Violations {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := c.violations
	for _, n := range c.Nodes {
		if n.overloaded {
			seen.OverloadedNodes++
		}
	}
	for _, e := range c.effects {
		if e.times > 1 {
			seen.RepeatedEffects++
		}
	}
	return seen
}
