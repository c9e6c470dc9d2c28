package gossipnet

import (
	"bytes"
	"fmt"
	"net"
	"testing"
	"time"

	"tallyproxy/gossip"
	"tallyproxy/internal/config"
	"tallyproxy/membership"
	"tallyproxy/policy"
)

// freeAddress returns an address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// startDriver starts director number i of the given number of directors. Its clock begins at
// clockStart.
func startDriver(t *testing.T, i, directors int, clockStart policy.Micros, o config.Peers, handlers Handlers) *Driver {
	t.Helper()
	started := time.Now()
	s := membership.Derive(fmt.Sprint("n", i), uint64(i+1), policy.Settings{
		ZoneDirectors: directors, TotalDirectors: directors, ConnectTimeout: 400_000,
		EdgeSlowStart: policy.SlowStart{OverloadWindow: 3 * policy.Second},
	})
	clock := func() policy.Micros { return clockStart + policy.MicrosOf(time.Since(started)) }
	driver, err := Start(o, s, clock, handlers)
	if err != nil {
		t.Fatal(err)
	}
	return driver
}

// peersConfig returns the configuration of a director whose key consists of equal bytes.
func peersConfig(listen string, seeds []string, key byte) config.Peers {
	return config.Peers{Listen: listen, Seeds: seeds, Fleet: "test", SharedKey: bytes.Repeat([]byte{key}, 32)}
}

// startReporting starts director number i of three, which reports the hints and updates that it
// receives.
func startReporting(t *testing.T, i int, listen string, seeds []string, key byte, received chan membership.Hint) *Driver {
	t.Helper()
	return startDriver(t, i, 3, policy.Second*100, peersConfig(listen, seeds, key), Handlers{
		ProbeNode:  func(h membership.Hint) { received <- h },
		LastAnswer: func(string) policy.Micros { return 0 },
		Update: func(from string, u gossip.Update) {
			received <- membership.Hint{Node: from + " " + u.Object}
		},
		Snapshot: func() (Snapshot, bool) {
			updates := []gossip.Update{{Object: fmt.Sprint("of n", i), PurgedAt: 1}}
			return Snapshot{ChannelAge: policy.Micros(i+1) * policy.Second, Updates: updates}, true
		},
		MergeSnapshot: func(from string, s Snapshot) {
			if len(s.Updates) != 1 || s.Updates[0].Object != "of "+from || s.ChannelAge < policy.Second {
				t.Errorf("n%d merged from %s: %+v", i, from, s)
			}
		},
		ChannelAge: func() policy.Micros { return policy.Micros(i+1) * policy.Second },
	})
}

// stateOf returns a director's state in the view of another; empty if it is unknown.
func stateOf(d *Driver, name string) string {
	if s, known := d.State(name); known {
		return s.String()
	}
	return ""
}

// eventually waits until a condition holds and fails the test after 20 s.
func eventually(t *testing.T, failure string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(20 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal(failure)
		}
	}
}

// TestDriver guards against directors that do not find each other, hints and updates that do not
// reach all others, and an announced shutdown that looks like a crash. It also guards against a
// memberlist release that changes the log line with which memberlist reports a suspicion, since
// there is no other report of it.
func TestDriver(t *testing.T) {
	addresses, received := []string{freeAddress(t), freeAddress(t), freeAddress(t)}, make(chan membership.Hint, 99)
	var drivers []*Driver
	for i := range addresses {
		drivers = append(drivers, startReporting(t, i, addresses[i], addresses[:1], 1, received))
	}
	outsider := startReporting(t, 3, freeAddress(t), addresses[:1], 2, received)
	defer outsider.Leave()
	for i, a := range drivers {
		for j := range drivers {
			if i != j {
				eventually(t, fmt.Sprintf("n%d does not see n%d", i, j), func() bool { return stateOf(a, fmt.Sprint("n", j)) == "up" })
			}
		}
	}
	eventually(t, "the views of the directors differ", func() bool {
		return drivers[0].Report().Digest == drivers[1].Report().Digest && drivers[1].Report().Digest == drivers[2].Report().Digest
	})
	if drivers[0].Quota(drivers[0].now(), membership.ScopeZone) != 1 {
		t.Error("a director exceeds its quota although all directors are present")
	}
	checkBroadcasts(t, drivers, received)
	eventually(t, "the newest channel age is not between 1 s and 2 s", func() bool {
		age := drivers[2].NewestChannelAge()
		return age >= policy.Second && age < 2*policy.Second
	})
	drivers[2].Leave()
	eventually(t, "n2 left, but the others do not see it as left", func() bool {
		return stateOf(drivers[0], "n2") == "left" && stateOf(drivers[1], "n2") == "left"
	})
	drivers[1].Shutdown()
	suspected := false
	eventually(t, "n1 crashed, but n0 does not see it as failed", func() bool {
		now := stateOf(drivers[0], "n1")
		suspected = suspected || now == "suspected"
		return now == "failed"
	})
	if !suspected {
		t.Error("n1 was never suspected")
	}
	if stateOf(drivers[0], "n3") != "" || stateOf(outsider, "n0") != "" {
		t.Error("a director with another key was admitted")
	}
	drivers[0].Leave()
}

// checkBroadcasts makes three drivers broadcast a hint and an update, and checks what the others
// receive.
func checkBroadcasts(t *testing.T, drivers []*Driver, received chan membership.Hint) {
	t.Helper()
	drivers[0].BroadcastHint(membership.Hint{Node: "box-1", Condition: membership.Overloaded})
	for range 2 {
		if h := <-received; h.Node != "box-1" || h.Condition != membership.Overloaded {
			t.Errorf("received %+v", h)
		}
	}
	drivers[1].BroadcastUpdates([]gossip.Update{{Object: "o", PurgedAt: 1}})
	for range 4 { // each receives it directly and again by gossip
		if h := <-received; h.Node != "n1 o" {
			t.Errorf("received %+v", h)
		}
	}
}
