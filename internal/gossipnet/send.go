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
	updatesPerMessage = 12 // as many as fit into a packet
	broadcastFanout   = 4  // members that each director sends a new update to at once; in five steps it reaches a thousand
)

// envelope is a message in the outbox.
type envelope struct {
	to       string // name of the receiver
	message  message
	reliable bool // over a connection: the message may not fit into a packet
}

// enqueue hands a message to sendLoop. Where the outbox is full it is dropped: all messages are repeated, or asked for again.
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

// send sends a message to a live member. What can't be sent is dropped.
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

// sendReliable sends a message over a connection, without waiting for it. Where too many are on their way it is dropped.
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

// SendRelay sends a relay's message to one director; a list of endpoints goes over a connection. It may be dropped.
func (d *Driver) SendRelay(to string, m relays.Message) {
	d.enqueue(envelope{to: to, message: message{Relay: &m}, reliable: m.List != nil})
}

// SendUpdates sends updates of the command channel to one director. They may be dropped.
func (d *Driver) SendUpdates(to string, updates []gossip.Update) {
	for chunk := range slices.Chunk(updates, updatesPerMessage) {
		d.enqueue(envelope{to: to, message: message{Updates: chunk}})
	}
}

// BroadcastUpdates sends updates of the command channel to all directors: to some of them at once, others each time, and to all with
// memberlist's own gossip. The driver may be nil.
func (d *Driver) BroadcastUpdates(updates []gossip.Update) {
	if d == nil {
		return
	}
	for chunk := range slices.Chunk(updates, updatesPerMessage) {
		d.broadcastChunk(chunk)
	}
}

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
		_ = d.memberlist.SendBestEffort(&receivers[k], raw) // it goes with the gossip as well
	}
	d.broadcasts.QueueBroadcast(updateBroadcast{raw})
}

// BroadcastHint sends a hint to all directors, with memberlist's own gossip, unless too many were sent lately. The driver may be nil.
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

// updateBroadcast is a message with updates that goes with memberlist's gossip.
type updateBroadcast struct{ raw []byte }

// Invalidates is false: each update counts.
func (b updateBroadcast) Invalidates(memberlist.Broadcast) bool { return false }

// Message is the encoded message.
func (b updateBroadcast) Message() []byte { return b.raw }

// Finished does nothing: nobody waits for a broadcast.
func (b updateBroadcast) Finished() {}

// hintBroadcast is a message with a hint that goes with memberlist's gossip.
type hintBroadcast struct {
	node string
	raw  []byte
}

// Invalidates is true for earlier hints about the same node, whatever their condition.
func (b hintBroadcast) Invalidates(other memberlist.Broadcast) bool {
	earlier, ok := other.(hintBroadcast)
	return ok && earlier.node == b.node
}

// Message is the encoded message.
func (b hintBroadcast) Message() []byte { return b.raw }

// Finished does nothing: nobody waits for a broadcast.
func (b hintBroadcast) Finished() {}
