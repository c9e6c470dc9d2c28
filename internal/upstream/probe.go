package upstream

import (
	"net"
	"time"
)

const probeID = "1" // a probe is alone on its connection: any id serves

// Probe asks the node at an address whether it is there, over a connection of its own, and waits for the answer within the connect
// timeout. It returns ErrConnectionLimit when the pool's limit is reached, and an *Error when the node did not answer.
func (p *Pool) Probe(address string) error {
	defer p.connections.Add(-1)
	if p.connections.Add(1) > p.limit.Load() {
		return ErrConnectionLimit
	}
	timeout := p.timeouts.Connect.Duration()
	netConn, err := net.DialTimeout("tcp4", address, timeout)
	if err != nil {
		return &Error{Stage: NotConnected, Err: err}
	}
	defer func() { _ = netConn.Close() }()           // nothing is lost: the answer was read, or is given up
	_ = netConn.SetDeadline(time.Now().Add(timeout)) // it fails on a closed connection only, as the write then does
	if _, err := netConn.Write(appendProbe(nil, probeID)); err != nil {
		return &Error{Stage: NothingWritten, Err: err}
	}
	if err := p.readProbeAnswer(netConn); err != nil {
		return &Error{Stage: FullyWritten, Err: err}
	}
	return nil
}

// readProbeAnswer reads until the answer to a probe has come; responses to requests are skipped.
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
