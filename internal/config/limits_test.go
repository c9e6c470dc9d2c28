package config

import "testing"

// All descriptors that a director may have open fit under its limit, with a connection to each of 200 nodes and as many clients as are
// let in: those of clients and of nodes, a quarter more for first connections, and its own. Usual clients have the third of the
// descriptors that the platform promises.
func TestDescriptorsFit(t *testing.T) {
	const own = 12 // three standard files, four of the runtime, the listener, one accepted beyond, two of the channel, a file
	for sockets := 64; sockets <= 4096; sockets++ {
		l := Limits{Sockets: sockets}
		firsts := max(1, l.MaxNodeConnections()/4)
		if sum := l.MaxClientConnections() + l.MaxNodeConnections() + firsts + own; sum > sockets {
			t.Fatalf("%d: %d clients, %d to nodes, %d first ones and %d of its own are %d", sockets, l.MaxClientConnections(), l.MaxNodeConnections(), firsts, own, sum)
		}
		if l.MaxClientConnections() < sockets/3 || l.MaxNodeConnections() < sockets/4 {
			t.Fatalf("%d: %d clients, %d to nodes", sockets, l.MaxClientConnections(), l.MaxNodeConnections())
		}
	}
}
