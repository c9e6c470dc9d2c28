package config

import "testing"

// TestDescriptorsFit guards against a director that runs out of file descriptors. The connections
// of clients and nodes, a quarter more for the first connections to each of 200 nodes, and the
// director's own descriptors must fit the limit. Clients must get the third of the descriptors that
// the platform promises.
func TestDescriptorsFit(t *testing.T) {
	const own = 12 // 3 standard files, 4 runtime, 1 listener, 1 over the limit, 2 channel, 1 file
	for sockets := 64; sockets <= 4096; sockets++ {
		l := Limits{Sockets: sockets}
		firstConnections := max(1, l.MaxNodeConnections()/4)
		if sum := l.MaxClientConnections() + l.MaxNodeConnections() + firstConnections + own; sum > sockets {
			t.Fatalf("limit %d: %d for clients, %d for nodes, %d for first connections and %d for the director add up to %d", sockets, l.MaxClientConnections(), l.MaxNodeConnections(), firstConnections, own, sum)
		}
		if l.MaxClientConnections() < sockets/3 || l.MaxNodeConnections() < sockets/4 {
			t.Fatalf("limit %d: only %d for clients, %d for nodes", sockets, l.MaxClientConnections(), l.MaxNodeConnections())
		}
	}
}
