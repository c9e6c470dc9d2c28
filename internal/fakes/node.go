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

// Fault is a kind of misbehavior of a node.
type Fault int

// The faults of nodes.
const (
	FaultNone      Fault = iota
	FaultNoAnswer        // reads requests and never answers
	FaultMalformed       // sends answers that cannot be parsed
	FaultReset           // resets the connection when a request arrives
	FaultError           // answers with an error that names no cause
)

// Values on the command channel.
const (
	statusUp = "up"
	hubZone  = "hub" // zone of parents and the origin
)

// Node is a cache, a parent or the origin. The lock of the cluster guards it.
type Node struct {
	Kind Kind   // role: Edge, Parent or Origin
	Name string // as on the command channel

	cluster      *Cluster
	addr         string
	listener     net.Listener             // nil while the node is down
	conns        map[net.Conn]*connection // value is nil until the connection is served
	startedAt    time.Duration            // relative to the cluster; negative if long running
	transfers    *sharedCapacity
	copies       map[string]*list.Element // by object and part; at most CacheEntries
	copyOrder    *list.List               // of *cachedCopy, most recently used first
	fills        map[string]*pendingFill  // by object and part
	inFlight     int                      // requests without an answer
	slowdown     float64                  // divisor of the capacity
	fault        Fault
	drainedAt    time.Duration // when draining or removal was published; 0 if neither was
	overloaded   bool          // failed under overload; stays down
	loadWindow   loadWindow
	requestCount int
}

// AddNode starts a new node and publishes it. A node that is not cold counts as long running.
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

// publishNode publishes a node's status. The caller holds the lock.
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

// start starts the listener of the node, with empty state. The caller holds the lock.
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
	n.fills, n.inFlight = map[string]*pendingFill{}, 0
	n.loadWindow = loadWindow{peak: n.loadWindow.peak}
	n.startedAt = -time.Hour
	if cold {
		n.startedAt = n.cluster.now()
	}
	go n.accept(listener)
	return nil
}

// accept serves new connections until the listener is closed.
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

// RequestCount returns the number of requests that reached the node.
func (n *Node) RequestCount() int {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.requestCount
}

// Kill stops the node as a crash of its process does. It publishes nothing.
func (n *Node) Kill() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.kill()
}

// kill stops the node: its connections are reset and its fills fail. The caller holds the lock.
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
		for _, waiter := range f.waiters {
			waiter(time.Time{}, noteCutOff)
		}
	}
}

// Restart starts a stopped node again, cold and at its old address, and publishes it. A node that
// failed under overload stays down.
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

// Announce publishes a status of the node on the command channel: "up", "draining" or "removed".
func (n *Node) Announce(status string) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.cluster.publishNode(n, status)
}

// SetFault sets the fault of the node, and divides its capacity by slowdown, which is raised to 1
// if lower.
func (n *Node) SetFault(fault Fault, slowdown float64) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.fault, n.slowdown = fault, max(1, slowdown)
}

// CloseIdle closes the connections without requests in flight, as nodes do after the keepalive time
// of the settings.
func (n *Node) CloseIdle() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	for conn, c := range n.conns {
		if c != nil && len(c.inFlight) == 0 {
			closeQuietly(conn)
		}
	}
}
