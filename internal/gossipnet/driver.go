// Package gossipnet drives membership and gossip among directors: hashicorp/memberlist detects
// which directors are present and carries the messages, and package membership makes the decisions.
// The driver opens the sockets, reads the clock, and publishes the quotas that routing reads.
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

// Handlers process what other directors send and return what they request. They are called from
// memberlist's goroutines and must not block. Any of them may be nil, but ProbeNode requires
// LastAnswer, and Snapshot requires ChannelAge.
type Handlers struct {
	// ProbeNode probes the node of a hint. The driver's lock is held, so ProbeNode must not call
	// the driver.
	ProbeNode func(hint membership.Hint)
	// LastAnswer returns the time of a node's last answer to this director. The driver's lock is
	// held, so LastAnswer must not call the driver.
	LastAnswer func(node string) policy.Micros
	// Update handles an update from another director.
	Update func(from string, update gossip.Update)
	// Snapshot returns this director's state and reports whether it is recent enough for another
	// director to rely on.
	Snapshot func() (snapshot Snapshot, confirmed bool)
	// MergeSnapshot merges the state that another director sent when one of the two joined. The
	// state may be old, since it may have waited in a socket buffer.
	MergeSnapshot func(from string, snapshot Snapshot)
	// NeedsSnapshot reports whether this director should ask others for their state.
	NeedsSnapshot func() bool
	// SnapshotReply handles the state that another director sent in reply to a request of the given
	// time, and reports whether this state is sufficient.
	SnapshotReply func(from string, requestedAt policy.Micros, snapshot Snapshot) bool
	// ChannelAge returns the time since this director's command channel last answered. The driver's
	// lock is held, so ChannelAge must not call the driver.
	ChannelAge func() policy.Micros
	// Relay handles a message about relaying the command channel.
	Relay func(from string, m relays.Message)
}

const (
	// outboxSize limits the messages that wait to be sent. Messages beyond it are dropped; their
	// senders repeat them.
	outboxSize = 1024
	// maxReliableSends limits the messages that are being sent over connections. Messages beyond it
	// are dropped; their receivers request them again.
	maxReliableSends = 16
	leaveTimeout     = 500 * time.Millisecond
	// nameConflictTime is the time after which a name conflict has ended if no other process with
	// the director's name has been seen.
	nameConflictTime = 30 * time.Second
)

// Driver connects one director to the group of directors. Its methods may be called from any
// goroutine. Methods that document it accept a nil Driver, which represents a director without
// peers.
type Driver struct {
	// Set by Start before the loops begin, and constant afterwards.
	settings membership.Settings
	now      func() policy.Micros
	seeds    []string
	handlers Handlers
	// Sent with memberlist's own gossip; has its own lock.
	broadcasts memberlist.TransmitLimitedQueue
	outbox     chan envelope // read by sendLoop
	logWriter  *logWriter
	memberlist *memberlist.Memberlist
	advertised string // address at which others reach this director

	reliableSends    chan struct{}            // one slot for each message being sent
	quotas           [2]atomic.Pointer[quota] // in force, by membership.Scope
	memberCount      atomic.Int64             // number of directors, including this one
	snapshotReceived atomic.Bool              // a sufficient snapshot was received

	cancel  context.CancelFunc // ends the loops
	running sync.WaitGroup     // the loops and the goroutines that they start

	// mu guards the fields below. It is never held during a call of memberlist.
	mu   sync.Mutex
	view *membership.View
	// live holds copies of the members that have not failed, since memberlist changes its own.
	live        map[string]memberlist.Node
	channelAges map[string]reportedAge // of live members
	// suspects holds the time until which a member that did not answer a probe may refute the
	// suspicion. Its size is limited by MaxEntries.
	suspects map[string]policy.Micros
	// addresses holds the addresses of members that did not leave, live or not. Its size is limited
	// by the view.
	addresses map[string]string
	// loggedStates holds at most twice MaxEntries.
	loggedStates map[string]loggedState
	loggedView   loggedView
	// divergentPeer is the address of a live member whose last digest differed; empty for none.
	divergentPeer string
	// conflictAt is the time when another process of this name was last seen; zero for none.
	conflictAt time.Time
	leaving    bool
	// broadcastRounds, snapshotRounds and rejoinAttempts rotate the selected peers.
	broadcastRounds int
	snapshotRounds  int
	rejoinAttempts  int
}

// Start opens the sockets and begins to look for other directors. It returns an error for an
// address that can't be used, but not if no other director is present yet. clock must be the clock
// of the router that reads Quota.
func Start(peers config.Peers, s membership.Settings, clock func() policy.Micros, handlers Handlers) (*Driver, error) {
	d := newDriver(s, clock, handlers)
	d.seeds = peers.Seeds
	c, err := d.memberlistConfig(peers)
	if err != nil {
		return nil, err
	}
	list, err := memberlist.Create(c)
	if err != nil {
		_ = c.Transport.Shutdown() // report the first error
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	advertised := net.JoinHostPort(c.AdvertiseAddr, strconv.Itoa(c.AdvertisePort))
	d.memberlist, d.advertised = list, advertised
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.running.Go(func() { d.tickLoop(ctx) })
	d.running.Go(func() { d.sendLoop(ctx) })
	d.running.Go(func() { d.joinLoop(ctx) })
	slog.Info(logevent.GossipStarted, "listen", peers.Listen, "advertise", advertised, "seeds", len(peers.Seeds), "incarnation", s.Incarnation)
	return d, nil
}

// newDriver returns a driver without sockets, with the fixed quotas in force.
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
	_ = d.memberlist.Shutdown() // the sockets are closed even if it fails
}

// Leave announces to the others that this director leaves, and ends the driver. It does nothing on
// a nil Driver.
func (d *Driver) Leave() {
	if d == nil {
		return
	}
	d.stopLoops()
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	// memberlist does not distinguish a member that leaves from one that has failed; the metadata
	// does. Members that receive neither message in time detect a failure instead.
	_ = d.memberlist.UpdateNode(leaveTimeout)
	_ = d.memberlist.Leave(leaveTimeout)
	_ = d.memberlist.Shutdown() // the sockets are closed even if it fails
}

// stopLoops ends the loops and waits for them.
func (d *Driver) stopLoops() {
	d.cancel()
	d.running.Wait()
}

// update calls a function with the view, sends the messages that it returns, which are keyed by
// receiver, and publishes the resulting quotas. The messages go through the outbox, because many
// calls come from memberlist's callbacks, which must not call memberlist.
func (d *Driver) update(call func(now policy.Micros, view *membership.View) map[string]message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for to, m := range call(now, d.view) {
		d.enqueue(envelope{to: to, message: m})
	}
	d.publishQuotas(now)
}

// tickLoop renews leases, updates the states of members, and requests the state of other directors
// if this director needs it.
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
