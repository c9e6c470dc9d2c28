package config

import "testing"

// TestDescriptorsFit guards against running out of file descriptors: with a connection to each of
// 200 nodes and the maximum number of clients, the descriptors of clients, nodes, first connections
// (a quarter more) and the director itself must fit the limit. Clients must get the third of the
// descriptors that the platform promises.
func TestDescriptorsFit(t *testing.T) {
	const own = 12 // 3 standard files, 4 runtime, 1 listener, 1 over the limit, 2 channel, 1 file
	for sockets := 64; sockets <= 4096; sockets++ {
		l := Limits{Sockets: sockets}
		firstConnections := max(1, l.MaxNodeConnections()/4)
		if sum := l.MaxClientConnections() + l.MaxNodeConnections() + firstConnections + own; sum > sockets {
			t.Fatalf("limit %d: %d to clients, %d to nodes, %d first ones and %d of the director add up to %d", sockets, l.MaxClientConnections(), l.MaxNodeConnections(), firstConnections, own, sum)
		}
		if l.MaxClientConnections() < sockets/3 || l.MaxNodeConnections() < sockets/4 {
			t.Fatalf("limit %d: only %d to clients, %d to nodes", sockets, l.MaxClientConnections(), l.MaxNodeConnections())
		}
	}
}
