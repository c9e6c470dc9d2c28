package fakes

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strconv"
)

const instantBuffer = 64 << 10 // bytes, of the reader and of the writer

// instantConnection is a connection to a node that answers at once, whatever is asked, so that directors can be measured.
type instantConnection struct {
	node   *Node
	in     *bufio.Reader
	out    *bufio.Writer
	bodies map[string][]byte // by content type
}

// serveInstantly answers a connection until it ends. Answers to what has come together go out together.
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
		size := max(1, int(t.MeanTransfer.Microseconds())/16) // in lines of 16 bytes: a byte a µs
		c.bodies[t.Name] = bytes.Repeat([]byte("0123456789abcdef"), size)
	}
	for {
		if err := c.serveOne(); err != nil {
			return
		}
	}
}

// serveOne answers one message. What is not known is passed over. An error of writing shows at the next Flush alone: what came together
// is read whole and its effects count, as at a node that works on while its director's connection has ended.
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

// answer answers "ID FIELDS SIZE", and reads the request's body of that size.
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
	requestSize, _ := strconv.Atoi(string(sizeText)) // no number: no body
	_, err := io.CopyN(io.Discard, c.in, int64(requestSize)+2)
	return err
}

// write writes an answer in parts. The writer keeps its first error, and Flush returns it.
func (c *instantConnection) write(parts ...[]byte) {
	for _, part := range parts {
		_, _ = c.out.Write(part)
	}
}
