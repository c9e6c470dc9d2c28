package socket

import (
	"net"
	"testing"
	"time"
)

// connectedPair returns both ends of a loopback connection.
func connectedPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing was written
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() }) // the test may have closed them
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// TestPeerClosed guards against a close or a reset by the other side that is not noticed because
// received bytes before it have not been read.
func TestPeerClosed(t *testing.T) {
	input := func(client *net.TCPConn) error { _, err := client.Write(make([]byte, 1000)); return err }
	reset := func(client *net.TCPConn) error {
		if err := client.SetLinger(0); err != nil {
			return err
		}
		return client.Close()
	}
	for _, c := range []struct {
		name         string
		steps        []func(client *net.TCPConn) error
		data, closed bool
	}{
		{"open", nil, false, false},
		{"open with input", []func(*net.TCPConn) error{input}, true, false},
		{"closed", []func(*net.TCPConn) error{(*net.TCPConn).Close}, false, true},
		{"closed behind input", []func(*net.TCPConn) error{input, (*net.TCPConn).Close}, true, true},
		{"half-closed behind input", []func(*net.TCPConn) error{input, (*net.TCPConn).CloseWrite}, true, true},
		{"reset", []func(*net.TCPConn) error{reset}, false, true},
		{"reset behind input", []func(*net.TCPConn) error{input, reset}, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, server := connectedPair(t)
			for _, step := range c.steps {
				if err := step(client); err != nil {
					t.Fatal(err)
				}
			}
			var data, closed bool
			for deadline := time.Now().Add(time.Second); time.Now().Before(deadline) && (data != c.data || closed != c.closed); time.Sleep(time.Millisecond) {
				closed = PeerClosed(server)
				data, _ = PendingInput(server)
			}
			if data != c.data || closed != c.closed {
				t.Errorf("data %v, closed %v", data, closed)
			}
		})
	}
}
