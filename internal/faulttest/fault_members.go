package faulttest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"tallyproxy/backoff"
	"tallyproxy/gossip"
	"tallyproxy/internal/config"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/gossipnet"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

// faultyMemberName is the name of the member that sends false hints, and the name under which
// settings for faulty members are parsed.
const faultyMemberName = "liar"

// errNoPeers is returned when a faulty member is to join directors that have no peers.
var errNoPeers = errors.New("directors are configured without peers")

// falseHintInterval is the time between two false hints about a cache.
const falseHintInterval = 100 * time.Millisecond

// falseHints joins the directors as a member, and repeatedly reports all caches as unreachable,
// restarted and overloaded.
type falseHints struct {
	faultRun
	driver *gossipnet.Driver // nil before apply, or if the join failed
}

func (f *falseHints) apply(ctx context.Context) {
	startedAt := time.Now()
	f.driver = f.harness.joinMember(faultyMemberName, gossipnet.Handlers{}, func(s *membership.Settings) {
		s.HintsPerInterval, s.HintInterval = 1<<20, 1 // no limit on hints
	})
	if f.driver == nil {
		return
	}
	f.harness.clients.Go(func() {
		for round := 0; time.Now().Before(startedAt.Add(f.duration)) && ctx.Err() == nil && f.harness.clientsCtx.Err() == nil; round++ {
			f.broadcast(round)
			fakes.Sleep(ctx, falseHintInterval)
		}
	})
}

// broadcast sends one false hint about each cache, with a different condition in each round.
func (f *falseHints) broadcast(round int) {
	conditions := []membership.Condition{membership.Unreachable, membership.Restarted, membership.Overloaded}
	for i := range f.harness.spec.CacheNodes {
		f.driver.BroadcastHint(membership.Hint{Node: cacheNodeName(i), Condition: conditions[round%len(conditions)]})
	}
}

func (f *falseHints) undo(context.Context) { leaveMember(f.driver) }

// malformedRelay joins the directors under a name that ranks first among the relay delegates. It
// answers all messages with malformed ones, and with an endpoint list that the channel never
// published and that gives false addresses for all caches.
type malformedRelay struct {
	faultRun
	driver *gossipnet.Driver // nil before apply, or if the join failed
}

func (f *malformedRelay) apply(context.Context) {
	var driver atomic.Pointer[gossipnet.Driver] // handlers may be called before joinMember returns
	list := f.falseList()
	handlers := gossipnet.Handlers{
		Relay: func(from string, m relays.Message) {
			if d := driver.Load(); d != nil {
				answerMalformed(d, from, m, list)
			}
		},
		ProbeNode:  func(membership.Hint) {},
		LastAnswer: func(string) policy.Micros { return 0 },
	}
	f.driver = f.harness.joinMember(f.firstRankingName(), handlers, func(*membership.Settings) {})
	driver.Store(f.driver)
}

func (f *malformedRelay) undo(context.Context) { leaveMember(f.driver) }

// firstRankingName returns a name that ranks before all directors in the order of relay delegates.
func (f *malformedRelay) firstRankingName() string {
	for i := 0; ; i++ {
		name, preceded := fmt.Sprint(faultyMemberName, "-", i), false
		for _, p := range f.harness.Processes() {
			preceded = preceded || backoff.Seed(0, p.Name) < backoff.Seed(0, name)
		}
		if !preceded {
			return name
		}
	}
}

// falseList returns an endpoint list with all caches at an address where nothing listens.
func (f *malformedRelay) falseList() []relays.Endpoint {
	list := []relays.Endpoint{}
	for i := range f.harness.spec.CacheNodes {
		list = append(list, relays.Endpoint{ID: cacheNodeName(i), Address: "127.0.0.1:9", Zone: 1, Weight: 1})
	}
	return list
}

// answerMalformed answers a relay message with messages that no director would send.
func answerMalformed(driver *gossipnet.Driver, from string, m relays.Message, list []relays.Endpoint) {
	switch {
	case m.Query != nil:
		driver.SendRelay(from, relays.Message{Response: &relays.Response{SentAt: m.Query.SentAt, ListSum: relays.Sum(list)}})
		driver.SendRelay(from, relays.Message{Response: &relays.Response{SentAt: -5, Age: -7, ListSum: "\x00"}})
		driver.SendRelay(from, relays.Message{List: list})
		driver.SendRelay(from, relays.Message{WantList: "?"})
		driver.SendUpdates(from, []gossip.Update{{Node: cacheNodeName(0), Age: -1}, {Node: "\x00", Object: "x", PurgedAt: 1}, {Group: -9, PurgedAt: 1}, {}})
	case m.WantList != "":
		driver.SendRelay(from, relays.Message{List: list})
	}
}

// leaveMember makes a faulty member leave, if it joined.
func leaveMember(driver *gossipnet.Driver) {
	if driver != nil {
		driver.Leave()
	}
}

// joinMember joins the directors with a member that runs in this process, under the given name and
// with its settings modified by change. On failure it records the error and returns nil.
func (h *Harness) joinMember(name string, handlers gossipnet.Handlers, change func(*membership.Settings)) *gossipnet.Driver {
	peers, settings, err := h.memberSettings(name)
	if err != nil {
		h.recordError("join of "+name, err)
		return nil
	}
	startedAt := time.Now()
	s := membership.Derive(name, uint64(startedAt.UnixMicro()), settings)
	change(&s)
	clock := func() policy.Micros { return policy.Micros(time.Since(startedAt)/time.Microsecond) + 1 }
	driver, err := gossipnet.Start(peers, s, clock, handlers)
	if err != nil {
		h.recordError("join of "+name, err)
		return nil
	}
	return driver
}

// memberSettings returns the first director's gossip settings, with the member's own address, and
// the platform's settings.
func (h *Harness) memberSettings(name string) (peers config.Peers, settings policy.Settings, err error) {
	listen, err := FreeAddress()
	if err != nil {
		return peers, settings, err
	}
	advertise, err := h.Network.Add(listen)
	if err != nil {
		return peers, settings, err
	}
	raw, err := os.ReadFile(h.scriptPath(0))
	if err != nil {
		return peers, settings, err
	}
	operator, err := config.ParseOperator(faultyMemberName, raw)
	if err != nil {
		return peers, settings, err
	}
	if operator.Peers == nil {
		return peers, settings, errNoPeers
	}
	peers = *operator.Peers
	peers.Listen, peers.Advertise = listen, advertise
	var platform struct{ Settings json.RawMessage }
	limits := Limits{Sockets: directorSockets, MemoryMB: minMemoryMB, Cores: 1}
	if err := json.Unmarshal(h.Cluster.Config(name, listen, limits.Sockets, limits.MemoryMB, limits.Cores), &platform); err != nil {
		return peers, settings, err
	}
	site, err := config.ParseSite(platform.Settings)
	if err != nil {
		return peers, settings, err
	}
	return peers, site.Settings, nil
}
