package gossipnet

import "tallyproxy/policy"

// snapshotRequests is the number of directors that are asked for their state at a time.
const snapshotRequests = 2

func (d *Driver) needsSnapshot() bool {
	return d.handlers.NeedsSnapshot != nil && d.handlers.NeedsSnapshot()
}

// requestSnapshots asks some directors for their state, others each time, while this director needs it. The state that a director sends as
// it joins is not enough: a connection may hold it back for as long as the two are cut off from each other.
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

func (d *Driver) requestSnapshot(name string) {
	d.enqueue(envelope{to: name, message: message{SnapshotRequest: d.now()}})
}

// replySnapshot sends this director's state to one that has asked for it, unless it is too old to be of use: while no director has a newer
// one, many ask.
func (d *Driver) replySnapshot(to string, requestedAt policy.Micros) {
	snapshot, confirmed := d.handlers.Snapshot()
	if !confirmed {
		return
	}
	snapshot.From = d.settings.Name
	reply := &snapshotReply{RequestedAt: requestedAt, Snapshot: snapshot}
	d.enqueue(envelope{to: to, message: message{SnapshotReply: reply}, reliable: true})
}
