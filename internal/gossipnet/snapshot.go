package gossipnet

import "tallyproxy/policy"

// snapshotRequests is the number of directors that are asked for their state at the same time.
const snapshotRequests = 2

// needsSnapshot reports whether this director should ask others for their state.
func (d *Driver) needsSnapshot() bool {
	return d.handlers.NeedsSnapshot != nil && d.handlers.NeedsSnapshot()
}

// requestSnapshots asks a few directors for their state, different ones each time, while this
// director needs it. The state that a director sends when it joins is not sufficient, because it
// may be delayed in a connection for as long as the two directors are partitioned.
func (d *Driver) requestSnapshots() {
	if !d.needsSnapshot() {
		return
	}
	d.mu.Lock()
	names := d.liveNames()
	d.snapshotRounds++
	first := d.snapshotRounds * snapshotRequests
	d.mu.Unlock()
	for k := range min(snapshotRequests, len(names)) {
		d.requestSnapshot(names[(first+k)%len(names)])
	}
}

// requestSnapshot asks one director for its state.
func (d *Driver) requestSnapshot(name string) {
	d.enqueue(envelope{to: name, message: message{SnapshotRequest: d.now()}})
}

// replySnapshot sends this director's state to one that requested it, unless the state is too old
// to be useful. As long as no director has a newer state, many directors send requests, and none of
// them could use the reply.
func (d *Driver) replySnapshot(to string, requestedAt policy.Micros) {
	snapshot, confirmed := d.handlers.Snapshot()
	if !confirmed {
		return
	}
	snapshot.From = d.settings.Name
	reply := &snapshotReply{RequestedAt: requestedAt, Snapshot: snapshot}
	d.enqueue(envelope{to: to, message: message{SnapshotReply: reply}, reliable: true})
}
