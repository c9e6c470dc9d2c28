// Package fakes simulates the peers of a director: cache nodes, parents, the origin, the command
// channel and clients, all on 127.0.0.1 with a port each. Nodes have a capacity and a slow start,
// hold copies of objects, and fail under overload. All of them record what they receive, so that
// the rules of the protocol can be checked from outside. Tests, fault tests and tallybench use the
// package.
//
// The lock of the cluster guards all nodes and the channel. Clients run in goroutines of their
// callers, and their statistics have a separate lock.
package fakes

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Cluster holds all peers of the directors. Its lock guards its unexported fields, the nodes and
// the channel.
type Cluster struct {
	Spec
	Nodes      []*Node       // caches, parents, then the origin
	Clients    ClientStats   // statistics of all clients
	ChannelMux http.ServeMux // handlers of the command channel; add more before directors start

	mu               sync.Mutex
	startedAt        time.Time
	links            []*sharedCapacity // links for fills, by zone
	events           []map[string]any  // events of the command channel; the first has cursor 1
	changed          chan struct{}     // closed and replaced on every change that polls wait for
	channel          net.Listener
	server           *http.Server
	secondListener   net.Listener // second channel address, for directors with odd numbers
	secondServer     *http.Server
	channelState     channelState
	attemptsInFlight map[string]int           // by request ID, over all nodes
	effects          map[string]effect        // by idempotency key
	purgedAt         map[string]time.Duration // by purge key
	abandonedAt      map[string]time.Duration // by request ID; maxAbandoned at most
	clientDeadlines  map[string]time.Duration // by request ID; maxDeadlines at most
	attemptDeadlines []attemptDeadline        // maxDeadlines at most
	lateEvents       []string                 // of violations.SentAfterLeave; maxLateEvents at most
	violations       Violations
	instantEffects   instantEffects
}

// Violations counts violations of the protocol rules, as observed by the nodes.
type Violations struct {
	DrainedUses        int // requests or fills at a node later than drainDeadline after its drain
	ConcurrentAttempts int // attempts of one request in flight at two nodes
	SentAfterLeave     int // attempts that arrived over abandonedLimit after the client left
	ExceededDeadlines  int // attempts told more time than their clients had left and deadlineSlack
	RepeatedEffects    int // keys whose request took effect twice
	OverloadedNodes    int // nodes that failed under overload
}

const (
	drainDeadline  = 1050 * time.Millisecond // after a drain, with the slack of the rule
	purgeDeadline  = 550 * time.Millisecond  // after a purge, with the slack of the rule
	purgeRetention = 6 * time.Second         // after this time nodes hold no purged copies
	repollWithin   = purgeRetention / 3      // for directors to poll again after an outage
	cancelDelay    = 50 * time.Millisecond   // a cancelled attempt may still be in flight
)

// New starts a cluster. Close stops it.
func New(spec Spec) (*Cluster, error) {
	c := &Cluster{
		Spec:             spec,
		startedAt:        time.Now(),
		changed:          make(chan struct{}),
		attemptsInFlight: map[string]int{},
		effects:          map[string]effect{},
		purgedAt:         map[string]time.Duration{},
		abandonedAt:      map[string]time.Duration{},
		clientDeadlines:  map[string]time.Duration{},
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

// addNodes starts the nodes of the spec. Directors hash the names of nodes, so the names must not
// change.
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

// Close stops the channel and all nodes.
func (c *Cluster) Close() {
	closeQuietly(c.server)
	closeQuietly(c.secondServer)
	for _, n := range c.Nodes {
		n.Kill()
	}
}

// address returns the address at which the node or channel of the given name listens.
func (c *Cluster) address(name string) string {
	if addr := c.Addresses[name]; addr != "" {
		return addr
	}
	return "127.0.0.1:0"
}

// Node returns the node with the given name, or nil if there is none.
func (c *Cluster) Node(name string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodeByName(name)
}

// nodeByName is Node for callers that hold the lock.
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

// Now returns the time since the start of the cluster. All recorded times are relative to it.
func (c *Cluster) Now() time.Duration { return c.now() }

func (c *Cluster) now() time.Duration { return time.Since(c.startedAt) }

// clockTime returns the seconds of the current wall-clock time in the format of director logs.
func (c *Cluster) clockTime() string { return time.Now().UTC().Format("05.000000") }

// Violations returns the violations counted so far.
func (c *Cluster) Violations() Violations {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := c.violations
	violations.ExceededDeadlines = len(c.exceededDeadlines())
	for _, n := range c.Nodes {
		if n.overloaded {
			violations.OverloadedNodes++
		}
	}
	for _, e := range c.effects {
		if e.times > 1 {
			violations.RepeatedEffects++
		}
	}
	return violations
}
