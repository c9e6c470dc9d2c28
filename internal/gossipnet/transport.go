package gossipnet

import (
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's transport, restricted to IPv4. Its connections originate from the
// address on which the director listens, because on a machine with several addresses the other
// directors know the director by that one.
type transport struct {
	*memberlist.NetTransport
	source net.IP
}

// newTransport opens the sockets on an address.
func newTransport(host string, port int, logger *log.Logger) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger})
	if err != nil {
		return nil, err
	}
	return &transport{t, net.ParseIP(host)}, nil
}

// DialTimeout opens a connection.
func (t *transport) DialTimeout(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	if t.source != nil && !t.source.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: t.source}
	}
	return dialer.Dial("tcp4", address)
}

// DialAddressTimeout opens a connection to an address. It ignores the node name.
func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}
