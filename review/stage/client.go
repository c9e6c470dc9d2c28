package stage

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Hex returns the given number of random hexadecimal digits.
func Hex(digits int) string {
	b := make([]byte, (digits+1)/2)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)[:digits]
}

// Encode returns a RESP array of bulk strings.
func Encode(words ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, word := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(word), word)
	}
	return b.Bytes()
}

// Answer is an answer of a director.
type Answer struct {
	Tag    int
	Word   string
	Fields string
	Body   []byte
	At     time.Time
}

// ReadAnswer reads one answer.
func ReadAnswer(r *bufio.Reader) (a Answer, err error) {
	count, err := readLength(r, '*')
	if err != nil {
		return a, err
	}
	var words [][]byte
	for range count {
		length, err := readLength(r, '$')
		if err != nil {
			return a, err
		}
		word := make([]byte, length+2)
		if _, err := io.ReadFull(r, word); err != nil {
			return a, err
		}
		if !bytes.HasSuffix(word, []byte("\r\n")) {
			return a, errors.New("an element does not end after its length")
		}
		words = append(words, word[:length])
	}
	if len(words) < 2 || len(words) > 4 {
		return a, fmt.Errorf("an answer of %d elements", len(words))
	}
	if a.Tag, err = strconv.Atoi(string(words[0])); err != nil {
		return a, err
	}
	a.Word, a.At = string(words[1]), time.Now()
	if len(words) > 2 {
		a.Fields = string(words[2])
	}
	if len(words) > 3 {
		a.Body = words[3]
	}
	return a, nil
}

func readLength(r *bufio.Reader, kind byte) (int, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if len(line) < 4 || line[0] != kind || !strings.HasSuffix(line, "\r\n") {
		return 0, fmt.Errorf("can't read %q", line)
	}
	n, err := strconv.Atoi(line[1 : len(line)-2])
	if err != nil || n < 0 || n > 1<<20 {
		return 0, fmt.Errorf("can't read %q", line)
	}
	return n, nil
}

// Serving reports whether a director answers STATUS with serving.
func Serving(address string) bool {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(Encode("STATUS", "1", "")); err != nil {
		return false
	}
	a, err := ReadAnswer(bufio.NewReader(conn))
	return err == nil && a.Word == "serving"
}

// Ask is a request of a client.
type Ask struct {
	Class string
	Txn   string
	Limit time.Duration
	Item  string
	Part  int
	Shard int
	Key   string // idempotency key; empty for none
	Retry bool
	Body  string
}

// Encode returns the request as a message with the given tag.
func (a Ask) Encode(tag int) []byte {
	fields := fmt.Sprintf("txn=%s,limit=%d", a.Txn, max(1, a.Limit.Milliseconds()))
	if a.Retry {
		fields += ",second=1"
	}
	if a.Key != "" {
		fields += ",unique=" + a.Key
	}
	fields += fmt.Sprintf(",item=%s,n=%d,shard=%d", a.Item, a.Part, a.Shard)
	words := []string{"ASK", strconv.Itoa(tag), a.Class, fields}
	if a.Body != "" {
		words = append(words, a.Body)
	}
	return Encode(words...)
}

// Client is a connection of a client with any number of open requests.
type Client struct {
	conn net.Conn

	mu      sync.Mutex
	tag     int
	waiting map[int]chan Answer
	ended   error
}

// DialTablet connects to a director with a receive buffer as small as that of a tablet, so that the
// pace of the client, and not the size of this machine's buffers, is what the director sees.
func DialTablet(address string) (net.Conn, error) {
	const receiveBuffer = 64 << 10 // bytes
	dialer := net.Dialer{Timeout: 2 * time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var failure error
		err := raw.Control(func(descriptor uintptr) {
			failure = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.Join(err, failure)
	}}
	return dialer.Dial("tcp4", address)
}

// Dial connects to a director.
func Dial(address string) (*Client, error) {
	conn, err := net.DialTimeout("tcp4", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Client{conn: conn, waiting: map[int]chan Answer{}}
	go c.read()
	return c, nil
}

func (c *Client) read() {
	r := bufio.NewReader(c.conn)
	for {
		a, err := ReadAnswer(r)
		c.mu.Lock()
		if err != nil {
			c.ended = err
			for tag, waiter := range c.waiting {
				close(waiter)
				delete(c.waiting, tag)
			}
			c.mu.Unlock()
			return
		}
		if waiter := c.waiting[a.Tag]; waiter != nil {
			delete(c.waiting, a.Tag)
			waiter <- a
		}
		c.mu.Unlock()
	}
}

// Send writes a request. The channel gives its answer; it is closed if the connection ends first.
func (c *Client) Send(a Ask) (tag int, answer <-chan Answer, err error) {
	waiter := make(chan Answer, 1)
	c.mu.Lock()
	if c.ended != nil {
		c.mu.Unlock()
		return 0, nil, c.ended
	}
	c.tag++
	tag = c.tag
	c.waiting[tag] = waiter
	c.mu.Unlock()
	_, err = c.conn.Write(a.Encode(tag))
	return tag, waiter, err
}

// Cancel tells the director that the client no longer waits for a request.
func (c *Client) Cancel(tag int) {
	c.mu.Lock()
	delete(c.waiting, tag)
	c.mu.Unlock()
	_, _ = c.conn.Write(Encode("NEVERMIND", strconv.Itoa(tag)))
}

// Close closes the connection.
func (c *Client) Close() { _ = c.conn.Close() }
