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
	outgoingAnswers = 4096            // that may wait for a director to read; more are dropped
	writeDeadline   = 5 * time.Second // for one answer
)

// connection is a director's connection to a node. One goroutine reads it, another writes; the cluster's lock guards inHand.
type connection struct {
	node     *Node
	conn     net.Conn
	outgoing chan []byte
	inHand   map[string]*request // by the request's id; taken out when it is answered or cancelled
}

// serve answers a connection until it ends.
func (n *Node) serve(conn net.Conn) {
	if n.cluster.Instant {
		n.serveInstantly(conn)
		n.cluster.mu.Lock()
		delete(n.conns, conn)
		n.cluster.mu.Unlock()
		return
	}
	c := &connection{node: n, conn: conn, outgoing: make(chan []byte, outgoingAnswers), inHand: map[string]*request{}}
	n.cluster.mu.Lock()
	if _, listed := n.conns[conn]; listed {
		n.conns[conn] = c
	}
	n.cluster.mu.Unlock()
	defer c.close()
	go c.write()
	if reader, err := newArrivalReader(conn); err == nil { // else the director has reset the connection
		c.read(reader)
	}
}

// close ends the connection, and the requests that came on it.
func (c *connection) close() {
	closeQuietly(c.conn)
	c.node.cluster.mu.Lock()
	delete(c.node.conns, c.conn)
	for _, r := range c.inHand {
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
			closeQuietly(c.conn) // the reader ends with it
		}
	}
}

// read takes messages until the connection ends or breaks.
func (c *connection) read(reader *arrivalReader) {
	for in := bufio.NewReader(reader); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.Fields(line)
		if len(parts) == 4 && parts[0] == "want" {
			size, _ := strconv.Atoi(parts[3]) // no number: no body
			if _, err := io.CopyN(io.Discard, in, int64(size)+2); err != nil {
				return
			}
		}
		c.handle(parts, c.node.cluster.now()-reader.waited)
	}
}

// handle takes one message, cut into parts, which arrived at a time since the cluster's start. What is not known is passed over.
func (c *connection) handle(parts []string, arrivedAt time.Duration) {
	c.node.cluster.mu.Lock()
	defer c.node.cluster.mu.Unlock()
	switch {
	case len(parts) == 2 && parts[0] == "never_mind":
		if r := c.inHand[parts[1]]; r != nil {
			delete(c.inHand, parts[1])
			r.end()
		}
	case len(parts) == 2 && (parts[0] == "there" || parts[0] == "busy") && c.node.fault != FaultNoAnswer:
		c.send(fmt.Sprintf("%s well - 0\r\n\r\n", parts[1]))
	case len(parts) == 4 && parts[0] == "want":
		r := &request{node: c.node, connection: c, id: parts[1], fields: parseFields(parts[2]), arrivedAt: arrivedAt}
		c.inHand[r.id] = r
		r.handle()
	}
}

// parseFields reads "name=value,name=value".
func parseFields(text string) map[string]string {
	fields := map[string]string{}
	for field := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(field, "=")
		fields[name] = value
	}
	return fields
}

// send never waits: a director that reads nothing gets nothing.
func (c *connection) send(text string) {
	select {
	case c.outgoing <- []byte(text):
	default:
	}
}

// reset ends a connection with a reset in place of an orderly end.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails where the connection has ended already
	}
	closeQuietly(conn)
}

// closeQuietly closes what has nothing to lose: fakes hold no data that a failed close could drop.
func closeQuietly(c io.Closer) { _ = c.Close() }
