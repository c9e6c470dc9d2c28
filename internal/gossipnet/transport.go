package gossipnet

import (
	"log"
	"net"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's own, over IPv4 alone, but its connections come from the address at which the director listens: on a machine with
// several addresses, others know the director by that one.
type transport struct {
	*memberlist.NetTransport
	source net.IP
}

// newTransport opens the sockets at an address.
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

// DialAddressTimeout opens a connection to an address with a name, which this transport does not use.
func (t *transport) DialAddressTimeout(address memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(address.Addr, timeout)
}
