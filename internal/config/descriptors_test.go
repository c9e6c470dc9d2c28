package config

import "testing"

// What a director holds at the most fits under its limit, with a connection to each of 200 nodes wanted and clients that fill
// all they may: the parts for clients and nodes, a quarter more for first ones, and what it needs for itself. Usual clients have
// the third that the platform gives them.
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
