package config

import "math"

// Limits are the machine's resources that the platform grants to one director.
type Limits struct {
	Cores    float64 `json:"cores"`     // processor time, in cores; fractions are possible
	MemoryMB int     `json:"memory_mb"` // in MiB, everything counted
	Sockets  int     `json:"sockets"`   // file descriptors that may be open together
}

const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024

	minMemoryMB = 32
	minSockets  = 64

	// minReservedDescriptors is the number of descriptors that a director needs for itself: standard input, output and
	// error, two of the runtime's poller and two of its control group's limits, the listener, a connection that was accepted
	// beyond the limit, two of the command channel's, and a file that is read again.
	minReservedDescriptors = 12
)

// MaxProcs is the number of processors that the program may use at a time.
func (l Limits) MaxProcs() int { return int(math.Ceil(l.Cores)) }

// reservedDescriptors is how many descriptors are kept for the director itself. With large limits that is more than the least:
// closed ones that the system has not given back yet, the status socket and gossip need some too.
func (l Limits) reservedDescriptors() int { return max(minReservedDescriptors, l.Sockets/8) }

// MaxClientConnections is the most connections from clients that are held together. Usual clients fill a third of the
// descriptors.
func (l Limits) MaxClientConnections() int {
	return min(l.Sockets/2, (l.Sockets-l.reservedDescriptors())*4/7)
}

// MaxNodeConnections is the most connections to cache nodes that are held together, beside a quarter more for first
// connections to nodes that have none. Together with clients' and the director's own they stay within the limit, however many
// nodes there are.
func (l Limits) MaxNodeConnections() int {
	return (l.Sockets - l.reservedDescriptors() - l.MaxClientConnections()) * 4 / 5
}

// MemoryLimit is what Go's runtime may use, in bytes. A quarter is left for memory that the runtime does not count.
func (l Limits) MemoryLimit() int64 { return int64(l.MemoryMB) << 20 * 3 / 4 }

// MaxBuffers is the most buffers of size bytes that may be in use together: half of the runtime's memory.
func (l Limits) MaxBuffers(size int) int { return int(l.MemoryLimit() / 2 / int64(size)) }

// check names the first limit that a director can't run with.
func (l Limits) check() error {
	switch {
	case l.Cores <= 0:
		return keyErrorf("limits.cores", "%v is not above 0", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return keyErrorf("limits.memory_mb", "%d is under %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return keyErrorf("limits.sockets", "%d is under %d", l.Sockets, minSockets)
	}
	return nil
}
