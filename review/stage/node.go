package stage

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Want is an attempt that a director has sent to a node.
type Want struct {
	ID        string
	Fields    map[string]string
	Body      []byte
	FirstByte time.Time // when its first byte was read
	Conn      *NodeConn
}

// Answer writes an answer without a body.
func (w Want) Answer(word, fields string) { w.AnswerBody(word, fields, nil) }

// AnswerBody writes an answer, unless the attempt was given up.
func (w Want) AnswerBody(word, fields string, body []byte) {
	if !w.Conn.finish(w.ID) {
		return
	}
	if fields == "" {
		fields = "-"
	}
	text := fmt.Appendf(nil, "%s %s %s %d\r\n", w.ID, word, fields, len(body))
	w.Conn.write(append(append(text, body...), "\r\n"...))
}

// Node is a cache node, a parent or the origin.
type Node struct {
	Name    string
	Address string
	Zone    string
	Type    string
	Group   int   // the cell
	Since   int64 // Unix milliseconds of a late start, or 0

	handle   func(Want)
	mu       sync.Mutex
	listener net.Listener
	conns    map[*NodeConn]bool
}

// NodeConn is a connection of a director to a node.
type NodeConn struct {
	Node *Node
	conn net.Conn

	mu   sync.Mutex
	open map[string]bool
}

// NewNode starts a node at a free port of the host. handle is called for each attempt, in a
// goroutine of its own.
func NewNode(name, host, zone, kind string, handle func(Want)) (*Node, error) {
	n := &Node{Name: name, Zone: zone, Type: kind, handle: handle, Address: host + ":0"}
	return n, n.Listen()
}

// Listen starts the node, at the address that it had before if it was up.
func (n *Node) Listen() error {
	listener, err := net.Listen("tcp4", n.Address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.listener, n.Address, n.conns = listener, listener.Addr().String(), map[*NodeConn]bool{}
	n.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			c := &NodeConn{Node: n, conn: conn, open: map[string]bool{}}
			n.mu.Lock()
			n.conns[c] = true
			n.mu.Unlock()
			go c.serve()
		}
	}()
	return nil
}

// Crash ends the node as the death of its process does: all connections are reset.
func (n *Node) Crash() {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.listener.Close()
	for c := range n.conns {
		c.reset()
	}
	n.conns = map[*NodeConn]bool{}
}

func (c *NodeConn) reset() {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.conn.Close()
}

func (c *NodeConn) write(text []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.conn.Write(text)
}

// finish ends an attempt; it returns false if the attempt had ended.
func (c *NodeConn) finish(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	open := c.open[id]
	delete(c.open, id)
	return open
}

func (c *NodeConn) serve() {
	defer func() {
		_ = c.conn.Close()
		c.mu.Lock()
		c.open = map[string]bool{}
		c.mu.Unlock()
		c.Node.mu.Lock()
		delete(c.Node.conns, c)
		c.Node.mu.Unlock()
	}()
	r := bufio.NewReader(c.conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Split(strings.TrimRight(line, "\r\n"), " ")
		switch {
		case words[0] == "want" && len(words) == 4:
			length, err := strconv.Atoi(words[3])
			if err != nil || length < 0 {
				return
			}
			body := make([]byte, length+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			w := Want{ID: words[1], Fields: map[string]string{}, Body: body[:length], FirstByte: first, Conn: c}
			for field := range strings.SplitSeq(words[2], ",") {
				name, value, _ := strings.Cut(field, "=")
				w.Fields[name] = value
			}
			c.mu.Lock()
			c.open[w.ID] = true
			c.mu.Unlock()
			go c.Node.handle(w)
		case words[0] == "never_mind" && len(words) == 2:
			c.finish(words[1])
		case (words[0] == "there" || words[0] == "busy") && len(words) == 2:
			c.write(fmt.Appendf(nil, "%s well\r\n", words[1]))
		default:
			return
		}
	}
}
