package faulttest

import (
	"context"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tallyproxy/internal/fakes"
)

// Link is what happens on the way from one process to another.
type Link struct {
	Cut       bool
	Loss      float64 // share of packets; a part of a stream comes later by lostLater
	Duplicate float64 // share of packets that come twice
	Delay     time.Duration
	Jitter    time.Duration // more, by chance: packets overtake each other
}

const (
	lostLater   = 200 * time.Millisecond
	mostPackets = 4096 // on their way over a relay
	streamBytes = 32 << 10
)

// Network stands between processes. Each of them has a loopback address of its own, from which all that it sends comes, and a relay
// at which all others reach it: so the relay of one knows by the sender which directed link it carries. An address for each pair
// would be 89,700 pairs of sockets at 300 processes; this is 300.
type Network struct {
	mu     sync.Mutex
	relays []*relay
	of     map[string]int // processes by their addresses
	links  map[[2]int]Link
	rand   *rand.Rand
	ctx    context.Context
	leave  context.CancelFunc
	all    sync.WaitGroup
}

// relay is what others reach a process at.
type relay struct {
	n               *Network
	to              int
	at              string // its own address
	target          string // the process's
	udp             *net.UDPConn
	tcp             net.Listener
	flying          atomic.Int64
	packets, octets atomic.Int64 // that came to it
}

// NewNetwork makes one; chance comes from the seed.
func NewNetwork(seed uint64) *Network {
	n := &Network{of: map[string]int{}, links: map[[2]int]Link{}, rand: rand.New(rand.NewPCG(seed, 21))}
	n.ctx, n.leave = context.WithCancel(context.Background())
	return n
}

// Add makes a relay for a process that is to listen at an address of its own, and gives the address at which others reach it.
func (n *Network) Add(listen string) (advertise string, err error) {
	host, _, err := net.SplitHostPort(listen)
	if err != nil {
		return "", err
	}
	at, r := "", &relay{n: n, target: listen}
	for try := 0; try < 5 && (try == 0 || err != nil); try++ { // the port may have been taken since it was free
		if at, err = FreeAddress(); err == nil {
			r.tcp, err = net.Listen("tcp4", at)
		}
	}
	if err != nil {
		return "", err
	}
	r.at = at
	addr, err := net.ResolveUDPAddr("udp4", at)
	if err == nil {
		r.udp, err = net.ListenUDP("udp4", addr)
	}
	if err != nil {
		r.tcp.Close()
		return "", err
	}
	n.mu.Lock()
	r.to = len(n.relays)
	n.relays = append(n.relays, r)
	n.of[host] = r.to
	n.mu.Unlock()
	n.all.Go(r.packetsIn)
	n.all.Go(r.streams)
	return at, nil
}

// Close ends all of it.
func (n *Network) Close() {
	n.leave()
	n.mu.Lock()
	for _, r := range n.relays {
		r.udp.Close()
		r.tcp.Close()
	}
	n.mu.Unlock()
	n.all.Wait()
}

// SetLink says what happens on a directed link from now on.
func (n *Network) SetLink(from, to int, l Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l == (Link{}) {
		delete(n.links, [2]int{from, to})
	} else {
		n.links[[2]int{from, to}] = l
	}
}

// Heal makes all links well.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.links)
}

// Received is how many packets, and bytes with those of streams, came to a process.
func (n *Network) Received(to int) (packets, octets int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays[to].packets.Load(), n.relays[to].octets.Load()
}

// way is what the link from an address does to one packet: how often it comes, and when.
func (n *Network) way(from string, to int) (times []time.Duration, cut bool) {
	host, _, _ := strings.Cut(from, ":")
	n.mu.Lock()
	defer n.mu.Unlock()
	i, known := n.of[host]
	if !known {
		return nil, true
	}
	l := n.links[[2]int{i, to}]
	if l.Cut {
		return nil, true
	}
	after := func() time.Duration { return l.Delay + time.Duration(n.rand.Float64()*float64(l.Jitter)) }
	if n.rand.Float64() >= l.Loss {
		times = append(times, after())
	}
	if n.rand.Float64() < l.Duplicate {
		times = append(times, after())
	}
	return times, false
}

func (r *relay) packetsIn() {
	target, err := net.ResolveUDPAddr("udp4", r.target)
	if err != nil {
		return
	}
	for buf := make([]byte, 64<<10); ; {
		size, from, err := r.udp.ReadFromUDP(buf)
		if err != nil {
			if r.n.ctx.Err() != nil {
				return
			}
			continue // the process was not there for the packet before
		}
		times, _ := r.n.way(from.String(), r.to)
		for _, after := range times {
			r.packets.Add(1)
			r.octets.Add(int64(size))
			if after == 0 {
				r.udp.WriteToUDP(buf[:size], target)
			} else if packet := append([]byte(nil), buf[:size]...); r.flying.Add(1) <= mostPackets {
				time.AfterFunc(after, func() {
					defer r.flying.Add(-1)
					if r.n.ctx.Err() == nil {
						r.udp.WriteToUDP(packet, target)
					}
				})
			} else {
				r.flying.Add(-1)
			}
		}
	}
}

func (r *relay) streams() {
	for {
		in, err := r.tcp.Accept()
		if err != nil {
			return
		}
		r.n.all.Go(func() { r.stream(in) })
	}
}

// stream carries a connection both ways. While a way is cut its bytes wait, as they do where packets are lost.
func (r *relay) stream(in net.Conn) {
	defer in.Close()
	host, _, _ := strings.Cut(in.RemoteAddr().String(), ":")
	r.n.mu.Lock()
	from, known := r.n.of[host]
	r.n.mu.Unlock()
	if !known || !r.wait(in.RemoteAddr().String(), r.to) {
		return
	}
	out, err := net.DialTimeout("tcp4", r.target, time.Second)
	if err != nil {
		return
	}
	defer out.Close()
	stop := context.AfterFunc(r.n.ctx, func() { in.Close(); out.Close() })
	defer stop()
	var both sync.WaitGroup
	carry := func(to, of net.Conn, sender string, receiver int, count bool) {
		defer to.(*net.TCPConn).CloseWrite()
		for buf := make([]byte, streamBytes); ; {
			size, err := of.Read(buf)
			if size > 0 {
				if !r.wait(sender, receiver) {
					return
				}
				if count {
					r.octets.Add(int64(size))
				}
				if _, err := to.Write(buf[:size]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	own, _, _ := strings.Cut(r.target, ":")
	both.Go(func() { carry(out, in, host, r.to, true) })
	both.Go(func() { carry(in, out, own, from, false) })
	both.Wait()
}

// wait holds bytes of a stream back for as long as their link has them wait; false at the end.
func (r *relay) wait(from string, to int) bool {
	for r.n.ctx.Err() == nil {
		times, cut := r.n.way(from, to)
		switch {
		case cut:
			if !fakes.Sleep(r.n.ctx, lostLater/4) {
				return false
			}
			continue
		case len(times) == 0:
			return fakes.Sleep(r.n.ctx, lostLater)
		}
		return times[0] == 0 || fakes.Sleep(r.n.ctx, times[0])
	}
	return false
}
