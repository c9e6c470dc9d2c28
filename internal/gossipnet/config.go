package gossipnet

import (
	"fmt"
	"log"
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"

	"tallyproxy/internal/config"
)

const (
	// suspicionMaxMultiplier is the longest time in which a suspect may refute the suspicion, if
	// no other member suspects it, as a multiple of the shortest time.
	suspicionMaxMultiplier = 2
	// awarenessMaxMultiplier is the maximum factor by which a member that misses answers slows down
	// its own probes.
	awarenessMaxMultiplier = 2
	// packetBytes is the maximum size of memberlist's packets.
	packetBytes = 1400
)

// memberlistConfig opens the transport and returns memberlist's configuration. Its intervals are
// multiples of the failure detector's.
func (d *Driver) memberlistConfig(peers config.Peers) (*memberlist.Config, error) {
	host, port, err := splitAddress(peers.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	advertiseHost, advertisePort := host, port
	if peers.Advertise != "" {
		if advertiseHost, advertisePort, err = splitAddress(peers.Advertise); err != nil {
			return nil, fmt.Errorf("peers.advertise: %w", err)
		}
	}
	logger := log.New(d.logWriter, "", 0)
	transport, err := newTransport(host, port, logger)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	probeInterval, probeTimeout := d.settings.ProbeInterval.Duration(), d.settings.ProbeTimeout.Duration()

	c := memberlist.DefaultLANConfig()
	c.Name = d.settings.Name
	c.Label = peers.Fleet
	c.SecretKey = peers.SharedKey
	c.Transport = transport
	c.BindAddr, c.BindPort = host, port
	c.AdvertiseAddr, c.AdvertisePort = advertiseHost, advertisePort
	c.ProbeInterval = probeInterval
	c.ProbeTimeout = probeTimeout
	c.GossipInterval = probeTimeout
	c.SuspicionMult = d.settings.SuspicionMultiplier
	c.SuspicionMaxTimeoutMult = suspicionMaxMultiplier
	c.AwarenessMaxMultiplier = awarenessMaxMultiplier
	c.PushPullInterval = 60 * probeInterval
	c.GossipToTheDeadTime = 60 * probeInterval
	c.TCPTimeout = 4 * probeInterval
	c.DeadNodeReclaimTime = probeInterval // a restarted director may have another address
	// Messages are short, and each would need a compressor of 100 kB.
	c.EnableCompression = false
	c.DNSConfigPath = ""
	c.UDPBufferSize = packetBytes
	c.Logger = logger
	events := delegate{d}
	c.Delegate, c.Events, c.Conflict, c.Ping = events, events, events, events
	d.broadcasts = memberlist.TransmitLimitedQueue{
		NumNodes:       func() int { return max(1, int(d.memberCount.Load())) },
		RetransmitMult: c.RetransmitMult,
	}
	return c, nil
}

// splitAddress splits an address into host and port number.
func splitAddress(text string) (host string, port int, err error) {
	host, digits, err := net.SplitHostPort(text)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(digits)
	return host, port, err
}
