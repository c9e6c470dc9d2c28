package fakes

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	maxOutgoingAnswers = 4096            // queued answers per connection; more are dropped
	writeDeadline      = 5 * time.Second // for writing one answer
)

// connection is a director's connection to a node. One goroutine reads from it and another writes
// to it. The lock of the cluster guards inFlight.
type connection struct {
	node     *Node
	conn     net.Conn
	outgoing chan []byte
	inFlight map[string]*request // by request ID; removed when answered or cancelled
}

// serve handles a connection until it ends.
func (n *Node) serve(conn net.Conn) {
	if n.cluster.Instant {
		n.serveInstantly(conn)
		n.cluster.mu.Lock()
		delete(n.conns, conn)
		n.cluster.mu.Unlock()
		return
	}
	c := &connection{node: n, conn: conn, outgoing: make(chan []byte, maxOutgoingAnswers), inFlight: map[string]*request{}}
	n.cluster.mu.Lock()
	if _, listed := n.conns[conn]; listed {
		n.conns[conn] = c
	}
	n.cluster.mu.Unlock()
	defer c.close()
	go c.write()
	// newArrivalReader fails if the director has reset the connection.
	if reader, err := newArrivalReader(conn); err == nil {
		c.read(reader)
	}
}

// close closes the connection and ends its requests.
func (c *connection) close() {
	closeQuietly(c.conn)
	c.node.cluster.mu.Lock()
	delete(c.node.conns, c.conn)
	for _, r := range c.inFlight {
		r.end()
	}
	c.node.cluster.mu.Unlock()
	close(c.outgoing)
}

func (c *connection) write() {
	for text := range c.outgoing {
		err := c.conn.SetWriteDeadline(time.Now().Add(writeDeadline))
		if err == nil {
			_, err = c.conn.Write(text)
		}
		if err != nil {
			closeQuietly(c.conn) // this also ends the reader
		}
	}
}

// read handles messages until the connection ends or fails.
func (c *connection) read(reader *arrivalReader) {
	for in := bufio.NewReader(reader); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.Fields(line)
		if len(parts) == 4 && parts[0] == "want" {
			size, _ := strconv.Atoi(parts[3]) // an invalid size means no body
			if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
				return
			}
		}
		c.handle(parts, c.node.cluster.now()-reader.bufferedFor)
	}
}

// handle processes one message, split into parts. arrivedAt is its arrival time since the start of
// the cluster. Unknown messages are ignored.
func (c *connection) handle(parts []string, arrivedAt time.Duration) {
	c.node.cluster.mu.Lock()
	defer c.node.cluster.mu.Unlock()
	switch {
	case len(parts) == 2 && parts[0] == "never_mind":
		if r := c.inFlight[parts[1]]; r != nil {
			delete(c.inFlight, parts[1])
			r.end()
		}
	case len(parts) == 2 && (parts[0] == "there" || parts[0] == "busy") && c.node.fault != FaultNoAnswer:
		c.send(fmt.Sprintf("%s well - 0\r\n\r\n", parts[1]))
	case len(parts) == 4 && parts[0] == "want":
		r := &request{node: c.node, connection: c, id: parts[1], fields: parseFields(parts[2]), arrivedAt: arrivedAt}
		c.inFlight[r.id] = r
		r.handle()
	}
}

// parseFields parses "name=value,name=value".
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields
}

// send queues an answer without blocking. The answer is dropped if the director does not read and
// the queue is full.
func (c *connection) send(text string) {
	select {
	case c.outgoing <- []byte(text):
	default:
	}
}

// reset closes a connection with a TCP reset instead of an orderly close.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails if the connection has already ended
	}
	closeQuietly(conn)
}

// closeQuietly closes c and ignores the error: fakes hold no data that a failed close could lose.
func closeQuietly(c io.Closer) { _ = c.Close() }
