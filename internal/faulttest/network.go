package faulttest

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link is the state of a directed link from one process to another. The zero value is a link
// without faults.
type Link struct {
	Cut       bool          // nothing arrives
	Loss      float64       // share of lost packets; lost stream data arrives after retransmitDelay
	Duplicate float64       // share of packets that arrive twice
	Delay     time.Duration // fixed delay of everything that arrives
	Jitter    time.Duration // upper bound of a uniform addition to Delay; reorders packets
}

const (
	retransmitDelay   = 200 * time.Millisecond // delay of a lost part of a stream
	cutPollInterval   = 50 * time.Millisecond  // before a stream retries a cut link
	maxDelayedPackets = 4096                   // per relay; further packets are lost
	streamBufferBytes = 32 << 10
	packetBufferBytes = 64 << 10
	listenAttempts    = 5
)

// networkStream is the second seed of the network's random number stream.
const networkStream = 21

// Network connects processes through relays. Each process sends from its own loopback address, and
// all others reach it through its relay; the relay thus knows from the sender's address which
// directed link it serves. This needs one relay per process instead of one per pair of processes:
// for 300 processes, 300 relays instead of 89,700. The methods are safe for concurrent use.
type Network struct {
	ctx        context.Context // done when the network is closed
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // of all relays

	mu      sync.Mutex
	relays  []*relay
	indexOf map[string]int  // index in relays, by host of the process behind the relay
	links   map[[2]int]Link // by sender and receiver; links without faults are omitted
	rand    *rand.Rand
}

// NewNetwork returns a network without processes. The seed determines losses and delays.
func NewNetwork(seed uint64) *Network {
	n := &Network{indexOf: map[string]int{}, links: map[[2]int]Link{}, rand: rand.New(rand.NewPCG(seed, networkStream))}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Add starts a relay for a process that is to listen on its own address, and returns the address at
// which others reach it. Processes are numbered from 0 in the order in which they are added.
func (n *Network) Add(listen string) (advertise string, err error) {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return "", err
	}
	r := &relay{network: n, target: listen}
	if err := r.listen(); err != nil {
		return "", err
	}
	n.mu.Lock()
	r.receiver = len(n.relays)
	n.relays = append(n.relays, r)
	n.indexOf[host] = r.receiver
	n.mu.Unlock()
	n.goroutines.Go(r.forwardPackets)
	n.goroutines.Go(r.acceptStreams)
	return r.tcp.Addr().String(), nil
}

// Close stops all relays and waits until their goroutines have returned.
func (n *Network) Close() {
	n.cancel()
	n.mu.Lock()
	for _, r := range n.relays {
		closeQuietly(r.udp)
		closeQuietly(r.tcp)
	}
	n.mu.Unlock()
	n.goroutines.Wait()
}

// SetLink sets the state of a directed link.
func (n *Network) SetLink(sender, receiver int, link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if link == (Link{}) {
		delete(n.links, [2]int{sender, receiver})
	} else {
		n.links[[2]int{sender, receiver}] = link
	}
}

// Heal removes the faults of all links.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
}

// Received returns the number of packets that a process has received so far, and the number of
// bytes including those of streams.
func (n *Network) Received(receiver int) (packets, octets int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays[receiver].packets.Load(), n.relays[receiver].octets.Load()
}

// indexAt returns the number of the process with the given host. It returns false if there is none.
func (n *Network) indexAt(host string) (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i, known := n.indexOf[host]
	return i, known
}

// transmit draws the random effects of the link from a host on one packet. It returns the delays
// after which the packet arrives: none if it is lost, two if it is duplicated. A cut link, or a
// link from an unknown host, transmits nothing.
func (n *Network) transmit(senderHost string, receiver int) (delays []time.Duration, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sender, known := n.indexOf[senderHost]
	if !known {
		return nil, true
	}
	link := n.links[[2]int{sender, receiver}]
	if link.Cut {
		return nil, true
	}
	delay := func() time.Duration { return link.Delay + time.Duration(n.rand.Float64()*float64(link.Jitter)) }
	if n.rand.Float64() >= link.Loss {
		delays = append(delays, delay())
	}
	if n.rand.Float64() < link.Duplicate {
		delays = append(delays, delay())
	}
	return delays, false
}
