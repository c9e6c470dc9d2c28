package gossipnet

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"tallyproxy/gossip"
	"tallyproxy/policy"
)

// delayingRelay forwards TCP and UDP to an address, and holds all of it until it is released: the first bytes of a connection as they were
// sent; packets are dropped.
type delayingRelay struct {
	target   string
	listener net.Listener
	packets  net.PacketConn
	released atomic.Bool
}

func startDelayingRelay(t *testing.T, listen, target string) *delayingRelay {
	t.Helper()
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	packets, err := net.ListenPacket("udp", listen)
	if err != nil {
		t.Fatal(err)
	}
	r := &delayingRelay{target: target, listener: listener, packets: packets}
	t.Cleanup(func() {
		if err := errors.Join(listener.Close(), packets.Close()); err != nil {
			t.Error(err)
		}
	})
	go r.forwardPackets()
	go r.accept()
	return r
}

func (r *delayingRelay) forwardPackets() {
	out, err := net.Dial("udp", r.target)
	if err != nil {
		return
	}
	defer closeQuietly(out)
	for buffer := make([]byte, 1<<16); ; {
		n, _, err := r.packets.ReadFrom(buffer)
		if err != nil {
			return
		}
		if r.released.Load() {
			_, _ = out.Write(buffer[:n]) // a packet may be lost
		}
	}
}

func (r *delayingRelay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(in)
	}
}

func (r *delayingRelay) forward(in net.Conn) {
	defer closeQuietly(in)
	first := make([]byte, 1<<16)
	n, err := in.Read(first)
	if err != nil {
		return
	}
	for !r.released.Load() {
		time.Sleep(time.Millisecond)
	}
	out, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer closeQuietly(out)
	if _, err := out.Write(first[:n]); err != nil {
		return
	}
	go func() {
		copyQuietly(out, in)
		_ = out.(*net.TCPConn).CloseWrite() // the other end may be gone
	}()
	copyQuietly(in, out)
}

// copyQuietly copies until either end is gone, which is how each connection of the relay ends.
func copyQuietly(to io.Writer, from io.Reader) { _, _ = io.Copy(to, from) }

// closeQuietly closes a connection of the relay; nothing is lost that was written to it.
func closeQuietly(c io.Closer) { _ = c.Close() }

// What a director tells of its state as it joins may wait in a connection while more is told: it is not enough, and whoever asks is told the
// state by then. The relay before n1 holds what n0 sends it first until n0 knows more.
func TestDelayedSnapshot(t *testing.T) {
	addresses, relayAddress := []string{freeAddress(t), freeAddress(t)}, freeAddress(t)
	relay := startDelayingRelay(t, relayAddress, addresses[1])
	type result struct {
		merged  bool
		updates int
	}
	results := make(chan result, 99)
	sent := make(chan bool, 99)
	var known, needed atomic.Bool
	needed.Store(true)
	begin := func(i int, advertise string, seeds []string, handlers Handlers) {
		o := peersConfig(addresses[i], seeds, 1)
		o.Advertise = advertise
		t.Cleanup(startDriver(t, i, 2, policy.Second, o, handlers).Leave)
	}
	noAge := func() policy.Micros { return 0 }
	begin(1, relayAddress, nil, Handlers{
		MergeSnapshot: func(_ string, s Snapshot) { results <- result{true, len(s.Updates)} },
		NeedsSnapshot: needed.Load,
		SnapshotReply: func(_ string, requestedAt policy.Micros, s Snapshot) bool {
			if requestedAt <= policy.Second {
				t.Errorf("asked at %d", requestedAt)
			}
			needed.Store(false)
			results <- result{false, len(s.Updates)}
			return true
		},
		Snapshot:   func() (Snapshot, bool) { return Snapshot{}, false },
		ChannelAge: noAge,
	})
	begin(0, "", []string{relayAddress}, Handlers{
		Snapshot: func() (s Snapshot, confirmed bool) {
			if known.Load() {
				s.Updates = []gossip.Update{{Object: "o", PurgedAt: 1}}
			}
			sent <- true
			return s, true
		},
		MergeSnapshot: func(string, Snapshot) {},
		ChannelAge:    noAge,
	})
	<-sent
	known.Store(true)
	relay.released.Store(true)
	stale := false
	for until := time.After(20 * time.Second); ; {
		select {
		case r := <-results:
			if r.merged {
				stale = stale || r.updates == 0
				continue
			}
			if !stale || r.updates != 1 { // the state sent as the two joined is what was held
				t.Errorf("told %d updates; it had been told none before: %v", r.updates, stale)
			}
			return
		case <-until:
			t.Fatal("nobody told its state")
		}
	}
}
