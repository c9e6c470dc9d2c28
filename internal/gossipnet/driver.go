// Package gossipnet is the driver of membership and gossip among directors: hashicorp/memberlist detects who is present and carries the
// messages, package membership decides what follows. The driver opens the sockets, keeps the clock, and publishes the quotas that routing
// reads.
package gossipnet

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"tallyproxy/gossip"
	"tallyproxy/internal/config"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

// Handlers take what other directors send, and give what they ask for. They are called from memberlist's goroutines and must not block. Any
// may be nil, but ProbeNode needs LastAnswer, and Snapshot needs ChannelAge.
type Handlers struct {
	// ProbeNode takes a hint that is worth a probe of its node. The driver's lock is held: it must not call the driver.
	ProbeNode func(hint membership.Hint)
	// LastAnswer gives when a node last answered this director. The driver's lock is held: it must not call the driver.
	LastAnswer func(node string) policy.Micros
	// Update takes an update that another director sent.
	Update func(from string, update gossip.Update)
	// Snapshot gives this director's state, and whether it is new enough for another to trust.
	Snapshot func() (snapshot Snapshot, confirmed bool)
	// MergeSnapshot takes the state that another director sent as one of the two joined: it may be old, since it may have waited in a socket.
	MergeSnapshot func(from string, snapshot Snapshot)
	// NeedsSnapshot says whether this director should ask others for their state.
	NeedsSnapshot func() bool
	// SnapshotReply takes the state that another director sent when it was asked at a time, and says whether that is enough.
	SnapshotReply func(from string, requestedAt policy.Micros, snapshot Snapshot) bool
	// ChannelAge gives the time since this director's command channel last answered. The driver's lock is held: it must not call the driver.
	ChannelAge func() policy.Micros
	// Relay takes a message of the relays of the command channel.
	Relay func(from string, m relays.Message)
}

const (
	outboxSize       = 1024 // messages that wait to be sent; more are dropped, and sent again by their senders' own repeats
	maxReliableSends = 16   // messages on their way over connections; more are dropped, and asked for again
	leaveTimeout     = 500 * time.Millisecond
	nameConflictTime = 30 * time.Second // without another process of its name, a director has it for itself again
)

// Driver is one director's part in the group of directors. Its methods may be called from any goroutine. Those that say so accept a nil
// Driver, which stands for a director without peers.
type Driver struct {
	// Start sets these before the loops begin; they do not change afterwards.
	settings   membership.Settings
	now        func() policy.Micros
	seeds      []string
	handlers   Handlers
	broadcasts memberlist.TransmitLimitedQueue // what goes along with memberlist's own gossip; it has a lock of its own
	outbox     chan envelope                   // read by sendLoop
	logWriter  *logWriter
	memberlist *memberlist.Memberlist
	advertised string // the address at which others reach this director

	reliableSends    chan struct{}            // a slot for each message on its way over a connection
	quotas           [2]atomic.Pointer[quota] // in force, by membership.Scope
	memberCount      atomic.Int64             // directors, this one among them
	snapshotReceived atomic.Bool              // another's state was received that is enough

	cancel  context.CancelFunc // ends the loops
	running sync.WaitGroup     // the loops and what they start

	mu              sync.Mutex // of all that follows; never held while memberlist is called
	view            *membership.View
	live            map[string]memberlist.Node // members that have not failed; copies, since memberlist goes on changing its own
	channelAges     map[string]reportedAge     // of live members
	suspects        map[string]policy.Micros   // members that did not answer a probe, until when they may refute that; bounded by MaxEntries
	addresses       map[string]string          // of members that did not leave, live or not; bounded by the view
	loggedStates    map[string]loggedState     // bounded by twice MaxEntries
	loggedView      loggedView
	divergentPeer   string    // address of a live member whose last received digest differed; empty for none
	conflictAt      time.Time // when another process of this name was last seen; zero for none
	leaving         bool
	broadcastRounds int // rotate the peers that are chosen
	snapshotRounds  int
	rejoinAttempts  int
}

// Start opens the sockets and begins to look for other directors. That none is there yet is no error; an address that can't be used is. The
// clock must be that of the router that reads Quota.
func Start(o config.Peers, s membership.Settings, clock func() policy.Micros, handlers Handlers) (*Driver, error) {
	d := newDriver(s, clock, handlers)
	d.seeds = o.Seeds
	c, err := d.memberlistConfig(o)
	if err != nil {
		return nil, err
	}
	list, err := memberlist.Create(c)
	if err != nil {
		_ = c.Transport.Shutdown() // the error to report is the one before
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	advertised := net.JoinHostPort(c.AdvertiseAddr, strconv.Itoa(c.AdvertisePort))
	d.memberlist, d.advertised = list, advertised
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.running.Go(func() { d.tickLoop(ctx) })
	d.running.Go(func() { d.sendLoop(ctx) })
	d.running.Go(func() { d.joinLoop(ctx) })
	slog.Info(logevent.GossipStarted, "listen", o.Listen, "advertise", advertised, "seeds", len(o.Seeds), "incarnation", s.Incarnation)
	return d, nil
}

// newDriver makes a driver without sockets, in which the fixed quotas are in force.
func newDriver(s membership.Settings, clock func() policy.Micros, handlers Handlers) *Driver {
	d := &Driver{
		settings:      s,
		now:           clock,
		handlers:      handlers,
		outbox:        make(chan envelope, outboxSize),
		reliableSends: make(chan struct{}, maxReliableSends),
		view:          membership.New(clock(), s),
		live:          map[string]memberlist.Node{},
		channelAges:   map[string]reportedAge{},
		suspects:      map[string]policy.Micros{},
		addresses:     map[string]string{},
		loggedStates:  map[string]loggedState{},
	}
	d.logWriter = &logWriter{onSuspect: d.suspect}
	for scope := range d.quotas {
		d.quotas[scope].Store(&fixedQuota)
	}
	return d
}

// Shutdown ends the driver without an announcement, as a crash does.
func (d *Driver) Shutdown() {
	d.stopLoops()
	_ = d.memberlist.Shutdown() // the sockets are gone either way
}

// Leave announces to the others that this director leaves, and ends the driver. The driver may be nil.
func (d *Driver) Leave() {
	if d == nil {
		return
	}
	d.stopLoops()
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	// memberlist does not tell a member that leaves from one that has failed: the metadata does. Whom neither reaches in time finds a failure.
	_ = d.memberlist.UpdateNode(leaveTimeout)
	_ = d.memberlist.Leave(leaveTimeout)
	_ = d.memberlist.Shutdown() // the sockets are gone either way
}

// stopLoops ends the loops and waits for them.
func (d *Driver) stopLoops() {
	d.cancel()
	d.running.Wait()
}

// update makes a call of the view, sends the messages that it gives, by the name of the receiver, and publishes the quotas that follow. The
// messages go through the outbox: many calls come from within memberlist, which must not be called back.
func (d *Driver) update(call func(now policy.Micros, view *membership.View) map[string]message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for to, m := range call(now, d.view) {
		d.enqueue(envelope{to: to, message: m})
	}
	d.publishQuotas(now)
}

// tickLoop renews leases, brings the states of members up to date, and asks for others' state where that is needed.
func (d *Driver) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(d.settings.RenewInterval.Duration() / 4)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.update(d.tick)
		d.logWriter.flush()
		d.requestSnapshots()
	}
}

// tick is one step of tickLoop. The caller holds the lock.
func (d *Driver) tick(now policy.Micros, view *membership.View) map[string]message {
	d.observeLiveMembers(now)
	if !d.conflictAt.IsZero() && time.Since(d.conflictAt) > nameConflictTime {
		d.conflictAt = time.Time{}
		view.SetNameConflict("")
		slog.Info(logevent.PeerNameReleased, "name", d.settings.Name)
	}
	messages := map[string]message{}
	for to, request := range view.Tick(now) {
		messages[to] = message{LeaseRequest: &request}
	}
	return messages
}
