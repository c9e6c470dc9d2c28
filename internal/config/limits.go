package config

import "math"

// Limits are the resources of the machine that the platform grants to one director.
type Limits struct {
	Cores    float64 `json:"cores"`     // processor time, in cores; may be fractional
	MemoryMB int     `json:"memory_mb"` // total memory, in MiB
	Sockets  int     `json:"sockets"`   // maximum number of open file descriptors
}

const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024

	// executableBytes is the memory of the pages of the executable that are in use at the same time.
	executableBytes = 15 << 20
	// fixedBytes is the memory that is needed apart from buffers: executableBytes, the Go runtime's
	// own, and that of as many client connections as connectionsPerMB allows with little memory.
	fixedBytes       = 28 << 20
	connectionsPerMB = 12 // client connections for each MiB of memory

	minMemoryMB = 32
	minSockets  = 64

	// minReservedDescriptors is the number of file descriptors that a director needs for itself:
	// three for standard input, output and error, two for the runtime's poller, two for the limits
	// of its control group, one for the listener, one for a connection that was accepted beyond the
	// limit, two for the command channel, and one for a file that is read during a reload.
	minReservedDescriptors = 12
)

// MaxProcs returns the number of processors that the process may use at the same time.
func (l Limits) MaxProcs() int { return int(math.Ceil(l.Cores)) }

// reservedDescriptors returns the number of file descriptors that are kept for the director itself.
// With high limits it exceeds the minimum, because closed descriptors that the system has not yet
// released, the status socket and gossip need some too.
func (l Limits) reservedDescriptors() int { return max(minReservedDescriptors, l.Sockets/8) }

// MaxClientConnections returns the maximum number of open client connections, by descriptors and by
// memory. The platform's clients may use a third of the descriptors.
func (l Limits) MaxClientConnections() int {
	return min(l.clientDescriptors(), max(l.Sockets/3, l.MemoryMB*connectionsPerMB))
}

// clientDescriptors returns the number of file descriptors for client connections.
func (l Limits) clientDescriptors() int {
	return min(l.Sockets/2, (l.Sockets-l.reservedDescriptors())*4/7)
}

// MaxNodeConnections returns the maximum number of open connections to cache nodes. A quarter more
// is allowed for first connections to nodes that have none. Together with the descriptors of
// clients and of the director itself they stay within the limit, regardless of the number of nodes.
func (l Limits) MaxNodeConnections() int {
	return (l.Sockets - l.reservedDescriptors() - l.clientDescriptors()) * 4 / 5
}

// MemoryLimit returns the memory in bytes that buffers and records are a share of. A quarter of the
// memory is left for allocations that the Go runtime does not count.
func (l Limits) MemoryLimit() int64 { return l.memoryBytes() * 3 / 4 }

// RuntimeLimit returns the memory limit of the Go runtime in bytes: MemoryLimit, or less if the
// executable needs more than the rest.
func (l Limits) RuntimeLimit() int64 { return min(l.MemoryLimit(), l.memoryBytes()-executableBytes) }

func (l Limits) memoryBytes() int64 { return int64(l.MemoryMB) << 20 }

// MaxBuffers returns the maximum number of buffers of the given size in bytes that may be in use
// together: half of MemoryLimit, or what is left beside fixedBytes.
func (l Limits) MaxBuffers(size int) int {
	bytes := min(l.MemoryLimit()/2, l.memoryBytes()-fixedBytes)
	return int(bytes / int64(size))
}

// check returns an error for the first limit that is too low for a director.
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
