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
	suspicionMaxMultiplier = 2    // the longest time in which a suspect may refute, as a multiple of the least: where nobody else suspects it
	awarenessMaxMultiplier = 2    // by which a member that misses answers slows its own probes
	packetBytes            = 1400 // that memberlist puts into one packet
)

// memberlistConfig is memberlist's configuration, with a transport that is open. Its intervals are multiples of the failure detector's.
func (d *Driver) memberlistConfig(o config.Peers) (*memberlist.Config, error) {
	host, port, err := splitAddress(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers.listen: %w", err)
	}
	advertiseHost, advertisePort := host, port
	if o.Advertise != "" {
		if advertiseHost, advertisePort, err = splitAddress(o.Advertise); err != nil {
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
	c.Label = o.Fleet
	c.SecretKey = o.SharedKey
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
	c.DeadNodeReclaimTime = probeInterval // a restarted director may come from another address
	c.EnableCompression = false           // messages are short, and each would cost a compressor of 100 kB
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

func splitAddress(text string) (host string, port int, err error) {
	host, digits, err := net.SplitHostPort(text)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(digits)
	return host, port, err
}
