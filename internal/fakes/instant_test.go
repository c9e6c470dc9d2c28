package fakes

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
)

// endedConn is a connection whose other end has sent all its data and has closed.
type endedConn struct {
	net.Conn
	sent *strings.Reader
}

func (c endedConn) Read(b []byte) (int, error) { return c.sent.Read(b) }

func (c endedConn) Write([]byte) (int, error) { return 0, errors.New("gone") }

func (c endedConn) Close() error { return nil }

// TestInstantEffectsOfEndedConnections guards against lost effects: requests that arrived together
// must take effect even if the connection ends before they are answered.
func TestInstantEffectsOfEndedConnections(t *testing.T) {
	c := newTestCluster(t, func(s *Spec) { s.Instant = true })
	const requests = 200
	var batch strings.Builder
	for i := range requests {
		fmt.Fprintf(&batch, "want %d sort=preview-clip,asset=1,op=k%d 0\r\n\r\n", i, i)
	}
	for range 2 {
		c.Node("box-0").serveInstantly(endedConn{sent: strings.NewReader(batch.String())})
	}
	if got := c.RepeatedInstantEffects(); got != requests {
		t.Errorf("%d keys had their effect more than once, want %d", got, requests)
	}
}
