package gossipnet

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"tallyproxy/gossip"
	"tallyproxy/internal/config"
	"tallyproxy/membership"
	"tallyproxy/policy"
)

func free(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// start starts one of three directors.
func start(t *testing.T, i int, listen string, seeds []string, key byte, hints chan membership.Hint) *Driver {
	begun := time.Now()
	s := membership.Derive(fmt.Sprint("n", i), uint64(i+1), policy.Settings{ZoneDirectors: 3, TotalDirectors: 3, ConnectTimeout: 400_000,
		EdgeSlowStart: policy.SlowStart{OverloadWindow: 3 * policy.Second}})
	talk, err := Start(config.Peers{Listen: listen, Seeds: seeds, Fleet: "test", SharedKey: bytes.Repeat([]byte{key}, 32)}, s,
		func() policy.Micros {
			return policy.Second*100 + policy.Micros(time.Since(begun)/time.Microsecond)
		},
		Handlers{ProbeNode: func(h membership.Hint) { hints <- h }, LastAnswer: func(string) policy.Micros { return 0 },
			Update: func(from string, i gossip.Update) { hints <- membership.Hint{Node: from + " " + i.Object} },
			Snapshot: func() (Snapshot, bool) {
				return Snapshot{ChannelAge: policy.Micros(i+1) * policy.Second, Updates: []gossip.Update{{Object: fmt.Sprint("of n", i), PurgedAt: 1}}}, true
			},
			MergeSnapshot: func(from string, m Snapshot) {
				if len(m.Updates) != 1 || m.Updates[0].Object != "of "+from || m.ChannelAge < policy.Second {
					t.Errorf("n%d met %s: %+v", i, from, m)
				}
			},
			ChannelAge: func() policy.Micros { return policy.Micros(i+1) * policy.Second }})
	if err != nil {
		t.Fatal(err)
	}
	return talk
}

// state is what one believes of another; empty where it does not know it.
func state(t *Driver, of string) string {
	if s, known := t.State(of); known {
		return s.String()
	}
	return ""
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(what)
		}
	}
}

// Three find each other, a hint goes from one to both others, one that leaves has left, and one that dies without a word is
// suspected before it has failed; memberlist tells a suspicion only in its log, which this holds it to.
func TestTalk(t *testing.T) {
	at, hints := []string{free(t), free(t), free(t)}, make(chan membership.Hint, 99)
	var talks []*Driver
	for i := range at {
		talks = append(talks, start(t, i, at[i], at[:1], 1, hints))
	}
	stranger := start(t, 3, free(t), at[:1], 2, hints)
	defer stranger.Leave()
	for i, a := range talks {
		for j := range talks {
			if i != j {
				eventually(t, fmt.Sprintf("n%d does not see n%d", i, j), func() bool { return state(a, fmt.Sprint("n", j)) == "up" })
			}
		}
	}
	eventually(t, "their views differ", func() bool {
		return talks[0].Report().Digest == talks[1].Report().Digest && talks[1].Report().Digest == talks[2].Report().Digest
	})
	if talks[0].Quota(talks[0].now(), membership.ScopeZone) != 1 {
		t.Error("all are there, and one holds more than its part")
	}
	talks[0].BroadcastHint(membership.Hint{Node: "box-1", Condition: membership.Overloaded})
	for range 2 {
		if h := <-hints; h.Node != "box-1" || h.Condition != membership.Overloaded {
			t.Errorf("heard %+v", h)
		}
	}
	talks[1].BroadcastUpdates([]gossip.Update{{Object: "o", PurgedAt: 1}})
	for range 4 { // to each at once, and again with what goes round
		if h := <-hints; h.Node != "n1 o" {
			t.Errorf("heard %+v", h)
		}
	}
	eventually(t, "nobody has told how old the newest word is", func() bool {
		age := talks[2].NewestChannelAge()
		return age >= policy.Second && age < 2*policy.Second
	})
	talks[2].Leave()
	eventually(t, "one that left is not taken for it", func() bool { return state(talks[0], "n2") == "left" && state(talks[1], "n2") == "left" })
	talks[1].Shutdown()
	suspected := false
	eventually(t, "one that died has not failed", func() bool {
		now := state(talks[0], "n1")
		suspected = suspected || now == "suspected"
		return now == "failed"
	})
	if !suspected {
		t.Error("it was never suspected")
	}
	if state(talks[0], "n3") != "" || state(stranger, "n0") != "" {
		t.Error("one with another key was taken in")
	}
	talks[0].Leave()
}

// What one tells of itself as it joins may lie in a connection while more is told: it is nothing that a doubt ends with, whoever asks
// is told what is in force by then. The relay before n1 holds what n0 sends it first until n0 knows more.
func TestMeetingThatWasHeldBack(t *testing.T) {
	at, door := []string{free(t), free(t)}, free(t)
	var known, release atomic.Bool
	l, err := net.Listen("tcp", door)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	packets, err := net.ListenPacket("udp", door)
	if err != nil {
		t.Fatal(err)
	}
	defer packets.Close()
	go func() { // what comes without a connection waits for the same moment
		to, err := net.Dial("udp", at[1])
		if err != nil {
			return
		}
		defer to.Close()
		for in := make([]byte, 1<<16); ; {
			n, _, err := packets.ReadFrom(in)
			if err != nil {
				return
			}
			if release.Load() {
				to.Write(in[:n])
			}
		}
	}()
	said := make(chan bool, 99)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer in.Close()
				first := make([]byte, 1<<16)
				n, err := in.Read(first)
				if err != nil {
					return
				}
				for !release.Load() {
					time.Sleep(time.Millisecond)
				}
				out, err := net.Dial("tcp", at[1])
				if err != nil {
					return
				}
				defer out.Close()
				out.Write(first[:n])
				go func() {
					io.Copy(out, in)
					out.(*net.TCPConn).CloseWrite()
				}()
				io.Copy(in, out)
			}()
		}
	}()
	type heard struct {
		met   bool
		words int
	}
	got := make(chan heard, 99)
	var doubts atomic.Bool
	doubts.Store(true)
	begin := func(i int, advertise string, seeds []string, ears Handlers) *Driver {
		begun := time.Now()
		s := membership.Derive(fmt.Sprint("n", i), uint64(i+1), policy.Settings{ZoneDirectors: 2, TotalDirectors: 2, ConnectTimeout: 400_000,
			EdgeSlowStart: policy.SlowStart{OverloadWindow: 3 * policy.Second}})
		talk, err := Start(config.Peers{Listen: at[i], Advertise: advertise, Seeds: seeds, Fleet: "test", SharedKey: bytes.Repeat([]byte{1}, 32)}, s,
			func() policy.Micros { return policy.Second + policy.Micros(time.Since(begun)/time.Microsecond) }, ears)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(talk.Leave)
		return talk
	}
	begin(1, door, nil, Handlers{MergeSnapshot: func(_ string, m Snapshot) { got <- heard{true, len(m.Updates)} }, NeedsSnapshot: doubts.Load,
		SnapshotReply: func(_ string, asked policy.Micros, m Snapshot) bool {
			if asked <= policy.Second {
				t.Errorf("asked at %d", asked)
			}
			doubts.Store(false)
			got <- heard{false, len(m.Updates)}
			return true
		}, Snapshot: func() (Snapshot, bool) { return Snapshot{}, false }, ChannelAge: func() policy.Micros { return 0 }})
	begin(0, "", []string{door}, Handlers{Snapshot: func() (m Snapshot, vouches bool) {
		if known.Load() {
			m.Updates = []gossip.Update{{Object: "o", PurgedAt: 1}}
		}
		said <- true
		return m, true
	}, MergeSnapshot: func(string, Snapshot) {}, ChannelAge: func() policy.Micros { return 0 }})
	<-said
	known.Store(true)
	release.Store(true)
	stale := false
	for until := time.After(20 * time.Second); ; {
		select {
		case h := <-got:
			if stale = stale || h.met && h.words == 0; h.met {
				continue
			}
			if !stale || h.words != 1 { // as one is told as the two meet, that is what was held back
				t.Errorf("told %d words; it had been told none before: %v", h.words, stale)
			}
			return
		case <-until:
			t.Fatal("nobody told what is in force")
		}
	}
}
