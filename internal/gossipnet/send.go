package gossipnet

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"

	"github.com/hashicorp/memberlist"

	"tallyproxy/gossip"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/relays"
)

const (
	updatesPerMessage = 12 // maximum that fits into a packet
	// broadcastFanout is the number of members to which each director sends a new update directly;
	// in five steps the update reaches a thousand directors.
	broadcastFanout = 4
)

// envelope is a message in the outbox.
type envelope struct {
	to       string // name of the receiver
	message  message
	reliable bool // sent over a connection, since it may not fit into a packet
}

// enqueue passes a message to sendLoop. If the outbox is full the message is dropped; all messages
// are repeated or requested again.
func (d *Driver) enqueue(e envelope) {
	e.message.From = d.settings.Name
	select {
	case d.outbox <- e:
	default:
	}
}

// sendLoop sends the messages of the outbox.
func (d *Driver) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-d.outbox:
			d.send(e)
		}
	}
}

// send sends a message to a live member. It drops a message that can't be sent.
func (d *Driver) send(e envelope) {
	raw, err := json.Marshal(e.message)
	if err != nil {
		return
	}
	d.mu.Lock()
	to, live := d.live[e.to]
	d.mu.Unlock()
	switch {
	case !live:
	case e.reliable:
		d.sendReliable(to, raw)
	default:
		_ = d.memberlist.SendBestEffort(&to, raw) // packets may be lost anyway
	}
}

// sendReliable sends a message over a connection in the background. It drops the message if too
// many are being sent.
func (d *Driver) sendReliable(to memberlist.Node, raw []byte) {
	select {
	case d.reliableSends <- struct{}{}:
	default:
		return
	}
	d.running.Go(func() {
		defer func() { <-d.reliableSends }()
		if err := d.memberlist.SendReliable(&to, raw); err != nil {
			slog.Debug(logevent.PeerListFailed, "to", to.Name, "err", err)
		}
	})
}

// SendRelay sends a relay message to one director; a list of endpoints is sent over a connection.
// The message may be dropped.
func (d *Driver) SendRelay(to string, m relays.Message) {
	d.enqueue(envelope{to: to, message: message{Relay: &m}, reliable: m.List != nil})
}

// SendUpdates sends updates of the command channel to one director. They may be dropped.
func (d *Driver) SendUpdates(to string, updates []gossip.Update) {
	for chunk := range slices.Chunk(updates, updatesPerMessage) {
		d.enqueue(envelope{to: to, message: message{Updates: chunk}})
	}
}

// BroadcastUpdates sends updates of the command channel to all directors: directly to a few,
// different ones each time, and to all with memberlist's own gossip. It does nothing on a nil
// Driver.
func (d *Driver) BroadcastUpdates(updates []gossip.Update) {
	if d == nil {
		return
	}
	for chunk := range slices.Chunk(updates, updatesPerMessage) {
		d.broadcastChunk(chunk)
	}
}

// broadcastChunk broadcasts updates that fit into one message.
func (d *Driver) broadcastChunk(updates []gossip.Update) {
	raw, err := json.Marshal(message{From: d.settings.Name, Updates: updates})
	if err != nil {
		return
	}
	d.mu.Lock()
	names := d.liveNames()
	d.broadcastRounds++
	var receivers []memberlist.Node
	for k := range min(broadcastFanout, len(names)) {
		receivers = append(receivers, d.live[names[(d.broadcastRounds*broadcastFanout+k)%len(names)]])
	}
	d.mu.Unlock()
	for k := range receivers {
		_ = d.memberlist.SendBestEffort(&receivers[k], raw) // it is also sent by gossip
	}
	d.broadcasts.QueueBroadcast(updateBroadcast{raw})
}

// BroadcastHint sends a hint to all directors with memberlist's own gossip, unless too many hints
// were sent recently. It does nothing on a nil Driver.
func (d *Driver) BroadcastHint(hint membership.Hint) {
	if d == nil {
		return
	}
	d.mu.Lock()
	allowed := d.view.ShouldSendHint(d.now(), hint)
	d.mu.Unlock()
	if !allowed {
		return
	}
	if raw, err := json.Marshal(message{From: d.settings.Name, Hint: &hint}); err == nil {
		d.broadcasts.QueueBroadcast(hintBroadcast{hint.Node, raw})
	}
}

// updateBroadcast is a message with updates that is sent with memberlist's gossip.
type updateBroadcast struct{ raw []byte }

// Invalidates returns false, since no update replaces another.
func (b updateBroadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Message returns the encoded message.
func (b updateBroadcast) Message() []byte { return b.raw }

// Finished does nothing, since no goroutine waits for a broadcast.
func (b updateBroadcast) Finished() {}

// hintBroadcast is a message with a hint that is sent with memberlist's gossip.
type hintBroadcast struct {
	node string
	raw  []byte
}

// Invalidates returns true for earlier hints about the same node, regardless of their condition.
func (b hintBroadcast) Invalidates(other memberlist.Broadcast) bool {
	earlier, ok := other.(hintBroadcast)
	return ok && earlier.node == b.node
}

// Message returns the encoded message.
func (b hintBroadcast) Message() []byte { return b.raw }

// Finished does nothing, since no goroutine waits for a broadcast.
func (b hintBroadcast) Finished() {}
