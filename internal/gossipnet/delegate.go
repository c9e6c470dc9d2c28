package gossipnet

import (
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"

	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/policy"
)

// delegate implements memberlist's callbacks. Its methods must not block or call memberlist.
type delegate struct{ driver *Driver }

// NodeMeta returns the metadata of this director.
func (c delegate) NodeMeta(int) []byte {
	d := c.driver
	d.mu.Lock()
	defer d.mu.Unlock()
	raw, _ := json.Marshal(nodeMeta{Incarnation: d.settings.Incarnation, Zone: d.settings.Zone, Leaving: d.leaving})
	return raw
}

// GetBroadcasts returns the broadcasts to send in a packet of memberlist's gossip.
func (c delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return c.driver.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState returns the data to send in a push/pull exchange: this director's snapshot if the
// exchange is a join, else nil.
func (c delegate) LocalState(join bool) []byte {
	d := c.driver
	if !join || d.handlers.Snapshot == nil {
		return nil
	}
	snapshot, _ := d.handlers.Snapshot()
	snapshot.From = d.settings.Name
	raw, _ := json.Marshal(snapshot)
	return raw
}

// MergeRemoteState merges the other side's LocalState. If this director still needs a snapshot
// afterwards, it requests one from the sender.
func (c delegate) MergeRemoteState(raw []byte, join bool) {
	d := c.driver
	if !join || d.handlers.MergeSnapshot == nil || len(raw) == 0 {
		return
	}
	var snapshot Snapshot
	if json.Unmarshal(raw, &snapshot) != nil {
		return
	}
	d.handlers.MergeSnapshot(snapshot.From, snapshot)
	if d.needsSnapshot() {
		d.requestSnapshot(snapshot.From)
	}
}

// NotifyMsg handles a message from another director. memberlist reuses raw after NotifyMsg returns.
func (c delegate) NotifyMsg(raw []byte) {
	var m message
	if json.Unmarshal(raw, &m) != nil {
		slog.Debug(logevent.PeerMessageMalformed, "bytes", len(raw))
		return
	}
	d := c.driver
	handlers := d.handlers
	switch {
	case len(m.Updates) > 0 && handlers.Update != nil:
		for _, update := range m.Updates {
			handlers.Update(m.From, update)
		}
	case m.Relay != nil && handlers.Relay != nil:
		handlers.Relay(m.From, *m.Relay)
	case m.SnapshotRequest > 0 && handlers.Snapshot != nil:
		d.replySnapshot(m.From, m.SnapshotRequest)
	case m.SnapshotReply != nil && handlers.SnapshotReply != nil:
		if handlers.SnapshotReply(m.From, m.SnapshotReply.RequestedAt, m.SnapshotReply.Snapshot) {
			d.snapshotReceived.Store(true)
		}
	default:
		d.update(func(now policy.Micros, view *membership.View) map[string]message {
			return d.handleMembership(now, view, m, raw)
		})
	}
}

// handleMembership handles a message for the membership view. The caller holds the lock.
func (d *Driver) handleMembership(now policy.Micros, view *membership.View, m message, raw []byte) map[string]message {
	switch {
	case m.LeaseRequest != nil:
		if grant, ok := view.HandleLeaseRequest(now, m.From, *m.LeaseRequest); ok {
			return map[string]message{m.From: {LeaseGrant: &grant}}
		}
	case m.LeaseGrant != nil:
		view.HandleLeaseGrant(now, m.From, *m.LeaseGrant)
	case m.Hint != nil && d.handlers.ProbeNode != nil:
		d.handleHint(now, view, m, raw)
	}
	return nil
}

// handleHint has the node of a hint probed if the view finds a probe useful, and then forwards the
// hint. The caller holds the lock.
func (d *Driver) handleHint(now policy.Micros, view *membership.View, m message, raw []byte) {
	hint := *m.Hint
	if !view.ShouldProbe(now, m.From, hint, d.handlers.LastAnswer(hint.Node)) {
		return
	}
	d.handlers.ProbeNode(hint)
	if view.ShouldSendHint(now, hint) {
		d.broadcasts.QueueBroadcast(hintBroadcast{hint.Node, slices.Clone(raw)})
	}
}

// NotifyJoin handles a member that is up.
func (c delegate) NotifyJoin(n *memberlist.Node) { c.driver.memberChanged(n, membership.Up) }

// NotifyLeave handles a member that has failed or left.
func (c delegate) NotifyLeave(n *memberlist.Node) { c.driver.memberChanged(n, membership.Failed) }

// NotifyUpdate handles a change of a member's address or metadata.
func (c delegate) NotifyUpdate(n *memberlist.Node) { c.driver.memberChanged(n, membership.Up) }

// NotifyConflict handles two members with the same name. It logs the conflict once if the name is
// this director's.
func (c delegate) NotifyConflict(existing, other *memberlist.Node) {
	d := c.driver
	if existing.Name != d.settings.Name {
		return
	}
	d.update(func(_ policy.Micros, view *membership.View) map[string]message {
		if d.conflictAt.IsZero() {
			slog.Warn(logevent.PeerNameConflict, "name", d.settings.Name, "holder", other.Address())
		}
		d.conflictAt = time.Now()
		view.SetNameConflict(other.Address())
		return nil
	})
}

// AckPayload returns the payload of each answer to a probe: the digest of this director's view, and
// the age in µs of the latest answer from its command channel, both in hexadecimal digits.
func (c delegate) AckPayload() []byte {
	d := c.driver
	d.mu.Lock()
	defer d.mu.Unlock()
	payload := strconv.AppendUint(nil, d.view.Digest(), 16)
	if d.handlers.ChannelAge != nil {
		payload = strconv.AppendInt(append(payload, ' '), int64(max(0, d.handlers.ChannelAge())), 16)
	}
	return payload
}

// NotifyPingComplete handles the payload of a member's answer to a probe.
func (c delegate) NotifyPingComplete(other *memberlist.Node, _ time.Duration, payload []byte) {
	d := c.driver
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.suspects, other.Name)
	digestText, ageText, hasAge := strings.Cut(string(payload), " ")
	member, live := d.live[other.Name]
	if age, err := strconv.ParseInt(ageText, 16, 64); hasAge && live && err == nil && age >= 0 {
		d.channelAges[other.Name] = reportedAge{policy.Micros(age), d.now()}
	}
	digest, err := strconv.ParseUint(digestText, 16, 64)
	if err != nil {
		return
	}
	d.view.DigestReceived(d.now(), other.Name, digest)
	if live && digest != d.view.Digest() {
		d.divergentPeer = member.Address()
	}
}
