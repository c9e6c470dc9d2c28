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

// delayingRelay forwards TCP and UDP to an address. Until it is released it holds back the first
// bytes of each connection and drops packets.
type delayingRelay struct {
	target   string
	listener net.Listener
	packets  net.PacketConn
	released atomic.Bool
}

// startDelayingRelay starts a relay that is closed at the end of the test.
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

// forwardPackets forwards UDP packets after the release and drops them before.
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

// accept forwards each TCP connection.
func (r *delayingRelay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(in)
	}
}

// forward forwards one connection after the release.
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
		_ = out.(*net.TCPConn).CloseWrite() // the other end may have closed the connection
	}()
	copyQuietly(in, out)
}

// copyQuietly copies until either end closes, which is the normal end of a relayed connection.
func copyQuietly(to io.Writer, from io.Reader) { _, _ = io.Copy(to, from) }

// closeQuietly closes a connection of the relay. Data that was written to it is not lost.
func closeQuietly(c io.Closer) { _ = c.Close() }

// TestDelayedSnapshot guards against a director that relies on an outdated snapshot: the state sent
// at a join may wait in a connection while newer updates arrive, so the director must request the
// current state. The relay in front of n1 holds back what n0 sends first until n0 has an update.
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
				t.Errorf("reply to a request of time %d, before the start of the clock", requestedAt)
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
			if !stale || r.updates != 1 { // the state sent at the join is the one held back
				t.Errorf("reply has %d updates, want 1; an outdated snapshot came before: %v, want true", r.updates, stale)
			}
			return
		case <-until:
			t.Fatal("no reply to the snapshot request")
		}
	}
}
