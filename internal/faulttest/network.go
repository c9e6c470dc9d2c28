package faulttest

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Link is what happens on the way from one process to another. The zero Link is a sound one.
type Link struct {
	Cut       bool          // nothing arrives
	Loss      float64       // share of packets that are lost; a part of a stream comes retransmitDelay later
	Duplicate float64       // share of packets that come twice
	Delay     time.Duration // of all that arrives
	Jitter    time.Duration // at the most added to Delay, uniformly; packets overtake each other
}

const (
	retransmitDelay   = 200 * time.Millisecond // of a part of a stream that was lost
	cutPollInterval   = 50 * time.Millisecond  // after which a stream tries a cut link again
	maxDelayedPackets = 4096                   // delayed packets over a relay; more are lost
	streamBufferBytes = 32 << 10
	packetBufferBytes = 64 << 10
	listenAttempts    = 5
)

// networkStream is the second seed of the network's random numbers.
const networkStream = 21

// Network stands between processes. Each process has a loopback address of its own, from which all comes that it sends, and a relay at
// which all others reach it, so that a relay knows by the sender which directed link it carries. It takes a relay for each process
// instead of one for each of their pairs: 300 in place of 89,700. Its methods may be called by any goroutine.
type Network struct {
	ctx        context.Context // done when the network is closed
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // of all relays

	mu      sync.Mutex
	relays  []*relay
	indexOf map[string]int  // relays by the host of the process behind them
	links   map[[2]int]Link // by sender and receiver; those that are not sound
	rand    *rand.Rand
}

// NewNetwork returns a network without processes. Losses and delays are drawn from the seed.
func NewNetwork(seed uint64) *Network {
	n := &Network{indexOf: map[string]int{}, links: map[[2]int]Link{}, rand: rand.New(rand.NewPCG(seed, networkStream))}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Add starts a relay for a process that is to listen at an address of its own, and returns the address at which others reach it.
// Processes are numbered from 0 in the order in which they are added.
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

// Close ends all relays and waits until their goroutines have ended.
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

// SetLink says what happens on a directed link from now on.
func (n *Network) SetLink(sender, receiver int, link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if link == (Link{}) {
		delete(n.links, [2]int{sender, receiver})
	} else {
		n.links[[2]int{sender, receiver}] = link
	}
}

// Heal makes all links sound.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
}

// Received returns how many packets, and bytes with those of streams, came to a process so far.
func (n *Network) Received(receiver int) (packets, octets int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays[receiver].packets.Load(), n.relays[receiver].octets.Load()
}

// indexAt returns the number of the process at a host; false where there is none.
func (n *Network) indexAt(host string) (int, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i, known := n.indexOf[host]
	return i, known
}

// transmit draws what the link from a host does to one packet: after which delays it arrives, none where it is lost and two where it is
// duplicated. A link that is cut, or from a host that is unknown, carries nothing.
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
