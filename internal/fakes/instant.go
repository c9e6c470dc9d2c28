package fakes

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strconv"
)

const instantBuffer = 64 << 10 // bytes of the read buffer and of the write buffer

// instantConnection is a connection to a node that answers every request at once, for benchmarks of
// directors.
type instantConnection struct {
	node   *Node
	in     *bufio.Reader
	out    *bufio.Writer
	bodies map[string][]byte // by content type
}

// serveInstantly handles a connection until it ends. Answers to messages that arrived together are
// sent together.
func (n *Node) serveInstantly(conn net.Conn) {
	defer closeQuietly(conn)
	c := &instantConnection{
		node:   n,
		in:     bufio.NewReaderSize(conn, instantBuffer),
		out:    bufio.NewWriterSize(conn, instantBuffer),
		bodies: map[string][]byte{},
	}
	for i := range n.cluster.ContentTypes {
		t := &n.cluster.ContentTypes[i]
		// In units of 16 bytes: one byte per µs of transfer.
		size := max(1, int(t.MeanTransfer.Microseconds())/16)
		c.bodies[t.Name] = bytes.Repeat([]byte("0123456789abcdef"), size)
	}
	for {
		if err := c.serveOne(); err != nil {
			return
		}
	}
}

// serveOne handles one message and ignores unknown ones. A write error is reported by the next
// Flush only: messages that arrived together are all read and take effect, as at a node that
// continues to work after the connection of its director has ended.
func (c *instantConnection) serveOne() error {
	if c.in.Buffered() == 0 {
		if err := c.out.Flush(); err != nil {
			return err
		}
	}
	line, err := c.in.ReadSlice('\n')
	if err != nil {
		return err
	}
	verb, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(" "))
	switch string(verb) {
	case "there":
		c.write(rest, []byte(" well - 0\r\n\r\n"))
	case "want":
		return c.answer(rest)
	}
	return nil
}

// answer handles the request "ID FIELDS SIZE" and reads its body of SIZE bytes.
func (c *instantConnection) answer(parts []byte) error {
	id, rest, _ := bytes.Cut(parts, []byte(" "))
	fields, sizeText, _ := bytes.Cut(rest, []byte(" "))
	var contentType, object, key []byte
	for field := range bytes.SplitSeq(fields, []byte(",")) {
		name, value, _ := bytes.Cut(field, []byte("="))
		switch string(name) {
		case "sort":
			contentType = value
		case "asset":
			object = value
		case "op":
			key = value
		}
	}
	body := c.bodies[string(contentType)]
	size := strconv.AppendInt(nil, int64(len(object)+len(body)), 10)
	c.write(id, []byte(" data n=local,ver=0000000000000001,born=1 "), size, []byte("\r\n"), object, body, []byte("\r\n"))
	if len(key) > 0 {
		c.node.cluster.instantEffects.add(string(key))
	}
	requestSize, _ := strconv.Atoi(string(sizeText)) // an invalid size means no body
	_, err := io.CopyN(io.Discard, c.in, int64(requestSize)+2)
	return err
}

// write writes the parts of an answer. The writer keeps its first error, which Flush returns.
func (c *instantConnection) write(parts ...[]byte) {
	for _, part := range parts {
		_, _ = c.out.Write(part)
	}
}
