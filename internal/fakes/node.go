package fakes

import (
	"container/list"
	"net"
	"time"
)

// Kind is the role of a node.
type Kind int

// The roles of nodes.
const (
	Edge Kind = iota
	Parent
	Origin
)

var kindNames = [...]string{"edge", "parent", "origin"}

// Fault is a way in which a node misbehaves.
type Fault int

// The faults of nodes.
const (
	FaultNone      Fault = iota
	FaultNoAnswer        // reads all and never answers
	FaultMalformed       // answers with what can't be read
	FaultReset           // resets the connection under a request
	FaultError           // answers with an error that names no cause
)

// Words of the command channel.
const (
	statusUp = "up"
	hubZone  = "hub" // of parents and the origin
)

// Node is a cache, a parent or the origin. The cluster's lock guards it.
type Node struct {
	Kind Kind   // role
	Name string // as the command channel has it

	cluster      *Cluster
	addr         string
	listener     net.Listener             // nil while the node is down
	conns        map[net.Conn]*connection // nil until it is served
	startedAt    time.Duration            // since the cluster's start; negative for long ago
	transfers    *sharedCapacity
	copies       map[string]*list.Element // by object and part; bounded by CacheEntries
	copyOrder    *list.List               // of *cachedCopy, the latest used first
	fills        map[string]*pendingFill  // by object and part
	inHand       int                      // requests that are not answered
	slowdown     float64                  // its capacity is divided by this
	fault        Fault
	drainedAt    time.Duration // when the channel said that it drains or was removed; 0 for not
	overloaded   bool          // it was pushed over, and stays down
	loadWindow   loadWindow
	requestCount int
}

// AddNode starts a new node and publishes it. One that is not cold counts as started long ago.
func (c *Cluster) AddNode(kind Kind, name string, cold bool) (*Node, error) {
	n := &Node{cluster: c, Kind: kind, Name: name, slowdown: 1}
	c.mu.Lock()
	defer c.mu.Unlock()
	n.transfers = &sharedCapacity{cluster: c, maxRate: 1, capacity: n.capacity}
	if kind != Edge {
		n.transfers.maxRate = c.FillSpeedup
	}
	if err := n.start(cold); err != nil {
		return nil, err
	}
	c.Nodes = append(c.Nodes, n)
	c.publishNode(n, statusUp)
	return n, nil
}

// publishNode publishes a node's state. The caller holds the lock.
func (c *Cluster) publishNode(n *Node, status string) {
	zone, since := zoneName(c.ZoneOf(n.Name)), int64(0)
	if n.Kind != Edge {
		zone = hubZone
	}
	if n.startedAt >= 0 {
		since = c.startedAt.Add(n.startedAt).UnixMilli()
	}
	c.publish(map[string]any{"nodes": map[string]any{"snapshot": len(c.events) == 0, "endpoints": []any{map[string]any{
		"name": n.Name, "address": n.addr, "zone": zone, "type": kindNames[n.Kind], "status": status, "since_ms": since,
	}}}})
	if n.drainedAt = 0; status != statusUp {
		n.drainedAt = c.now()
	}
}

// start begins to listen with empty state. The caller holds the lock.
func (n *Node) start(cold bool) error {
	addr := n.addr
	if addr == "" {
		addr = n.cluster.address(n.Name)
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	n.listener, n.addr, n.conns = listener, listener.Addr().String(), map[net.Conn]*connection{}
	n.copies, n.copyOrder = map[string]*list.Element{}, list.New()
	n.fills, n.inHand = map[string]*pendingFill{}, 0
	n.loadWindow = loadWindow{peak: n.loadWindow.peak}
	n.startedAt = -time.Hour
	if cold {
		n.startedAt = n.cluster.now()
	}
	go n.accept(listener)
	return nil
}

// accept serves connections until the listener is closed.
func (n *Node) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		n.cluster.mu.Lock()
		current := n.listener == listener
		if current {
			n.conns[conn] = nil
		}
		n.cluster.mu.Unlock()
		if !current {
			closeQuietly(conn)
			return
		}
		go n.serve(conn)
	}
}

// RequestCount returns how many requests reached it.
func (n *Node) RequestCount() int {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.requestCount
}

// Kill ends it as the death of a process does; nothing is published.
func (n *Node) Kill() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.kill()
}

// kill ends it: its connections are reset and its fills fail. The caller holds the lock.
func (n *Node) kill() {
	if n.listener == nil {
		return
	}
	closeQuietly(n.listener)
	for conn := range n.conns {
		reset(conn)
	}
	n.listener = nil
	n.transfers.clear()
	for key, f := range n.fills {
		delete(n.fills, key)
		for _, then := range f.waiters {
			then(time.Time{}, noteCutOff)
		}
	}
}

// Restart brings a node back that is down, cold, at its address, and publishes it. One that was pushed over stays down.
func (n *Node) Restart() error {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.overloaded || n.listener != nil {
		return nil
	}
	if err := n.start(true); err != nil {
		return err
	}
	n.cluster.publishNode(n, statusUp)
	return nil
}

// Announce publishes its state on the command channel: "up", "draining" or "removed".
func (n *Node) Announce(status string) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.publishNode(n, status)
}

// SetFault has it misbehave from now on, and divides its capacity by slowdown, 1 at the least.
func (n *Node) SetFault(fault Fault, slowdown float64) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.fault, n.slowdown = fault, max(1, slowdown)
}

// CloseIdle ends the connections on which no request is in hand, as a node does after the time that the settings name.
func (n *Node) CloseIdle() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for conn, c := range n.conns {
		if c != nil && len(c.inHand) == 0 {
			closeQuietly(conn)
		}
	}
}
