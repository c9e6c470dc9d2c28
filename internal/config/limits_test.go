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

// TestMemoryFits guards against limits of the runtime and of the buffers that together with the
// executable exceed the memory of a small machine.
func TestMemoryFits(t *testing.T) {
	const mib = 1 << 20
	for memory := minMemoryMB; memory <= 256; memory++ {
		l := Limits{MemoryMB: memory, Sockets: 1024}
		total := int64(memory) * mib
		if l.RuntimeLimit()+executableBytes > total || l.RuntimeLimit() > total*3/4 {
			t.Errorf("%d MiB: the runtime may use %d bytes", memory, l.RuntimeLimit())
		}
		buffers := int64(l.MaxBuffers(mib)) * mib
		if buffers+fixedBytes > total || buffers < 4*mib {
			t.Errorf("%d MiB: %d bytes for buffers", memory, buffers)
		}
		if clients := l.MaxClientConnections(); clients < l.Sockets/3 || clients > 512 || clients > max(l.Sockets/3, 12*memory) {
			t.Errorf("%d MiB: %d clients", memory, clients)
		}
	}
}
