package upstream

import (
	"net"
	"time"
)

const probeID = "1" // any ID works, since a probe uses a connection of its own

// Probe checks that the node at an address responds, over a separate connection. The dial may take
// the connect timeout, and the write and the answer together the same time again. Probe returns
// ErrConnectionLimit if the pool's limit is reached, and an *Error if the node did not answer.
func (p *Pool) Probe(address string) error {
	defer p.connections.Add(-1)
	if p.connections.Add(1) > p.limit.Load() {
		return ErrConnectionLimit
	}
	timeout := p.timeouts.Connect.Duration()
	netConn, err := p.dial("tcp4", address, timeout)
	if err != nil {
		return &Error{Stage: NotConnected, Err: dialError(err)}
	}
	// An error of Close loses nothing: the answer was read, or the probe has failed.
	defer func() { _ = netConn.Close() }()
	// SetDeadline fails only on a closed connection, on which the write fails, too.
	_ = netConn.SetDeadline(time.Now().Add(timeout))
	if _, err := netConn.Write(appendProbe(nil, probeID)); err != nil {
		return &Error{Stage: NothingWritten, Err: err}
	}
	if err := p.readProbeAnswer(netConn); err != nil {
		return &Error{Stage: FullyWritten, Err: err}
	}
	return nil
}

// readProbeAnswer reads until the answer to a probe arrives. It skips responses to requests.
func (p *Pool) readProbeAnswer(netConn net.Conn) error {
	answered := false
	responses := parser{
		buffers:       p.buffers,
		onStart:       func(string) bool { return false },
		onResponse:    func(string, Response, error) error { return nil },
		onProbeAnswer: func(string) { answered = true },
	}
	defer responses.close()
	buffer := make([]byte, readBufferSize)
	for !answered {
		n, err := netConn.Read(buffer)
		if err != nil {
			return err
		}
		if err := responses.parse(buffer[:n]); err != nil {
			return err
		}
	}
	return nil
}
