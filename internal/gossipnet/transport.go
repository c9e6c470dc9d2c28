package gossipnet

import (
	"bytes"
	"log"
	"log/slog"
	"net"
	"regexp"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"tallyproxy/internal/logevent"
)

// transport is memberlist's own, but connections come from the address at which the director listens: on a machine with several
// addresses, others know it by that one. IPv4 alone.
type transport struct {
	*memberlist.NetTransport
	from net.IP
}

func newTransport(host string, port int, logger *log.Logger) (*transport, error) {
	t, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: port, Logger: logger})
	if err != nil {
		return nil, err
	}
	return &transport{t, net.ParseIP(host)}, nil
}

// DialTimeout and DialAddressTimeout open a connection.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if t.from != nil && !t.from.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.from}
	}
	return d.Dial("tcp4", addr)
}

// DialAddressTimeout is the same for an address with a name.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}

// noise takes memberlist's log: one line a while of what it can't use, the rest for those who debug.
type noise struct {
	suspect func(name string)
	mu      sync.Mutex
	bad     int
	sample  string
	at      time.Time
}

var suspects = regexp.MustCompile(`Suspect (\S+) has failed`)

func (n *noise) Write(line []byte) (int, error) {
	text := string(bytes.TrimSpace(line))
	slog.Debug(logevent.Memberlist, "text", text)
	if m := suspects.FindStringSubmatch(text); m != nil {
		n.suspect(m[1])
	}
	if bytes.Contains(line, []byte("[ERR]")) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.bad++
		n.sample = text
	}
	return len(line), nil
}

const noiseEvery = 10 * time.Second

func (n *noise) flush() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.bad > 0 && time.Since(n.at) >= noiseEvery {
		slog.Warn(logevent.MemberlistErrors, "lines", n.bad, "last", n.sample)
		n.bad, n.at = 0, time.Now()
	}
}
