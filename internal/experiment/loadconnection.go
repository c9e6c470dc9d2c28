package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/redcon"

	"tallyproxy/internal/fakes"
)

const (
	// maxPending limits the unanswered requests per connection when requests are sent on a
	// schedule.
	maxPending = 32
	// answerTimeout is the time without any answer after which all unanswered requests of a
	// connection count as lost.
	answerTimeout = 10 * time.Second
	readBuffer    = 256 << 10
)

// loadConnection is a client connection that keeps many requests in flight and checks the answers.
// Its counts may be read once run has returned.
type loadConnection struct {
	cluster    *fakes.Cluster
	addr       string
	pipelining int           // requests in flight if interval is 0
	interval   time.Duration // between requests; 0: the next request is sent as soon as one ends
	random     *rand.Rand
	zipf       *fakes.Zipf
	conn       net.Conn
	tag        int // tag of the request sent last
	pending    map[int]pendingRequest
	unsent     []byte
	unread     []byte    // received part of an incomplete answer
	nextDue    time.Time // scheduled time of the next request if interval is above 0
	measuring  bool      // the warm-up is over

	latencies *hdrhistogram.Histogram // of requests that succeeded, in µs
	succeeded, rejected, failed, lost,
	duplicates, wrongBodies int
}

// pendingRequest is a request that has no answer yet.
type pendingRequest struct {
	object string
	due    time.Time // scheduled time of sending; the latency counts from it
}

func newLoadConnection(cluster *fakes.Cluster, addr string, pipelining int, interval time.Duration, seed uint64) *loadConnection {
	return &loadConnection{
		cluster: cluster, addr: addr, pipelining: pipelining, interval: interval, random: rand.New(rand.NewPCG(seed, 3)),
		zipf: fakes.NewZipf(cluster.Objects, cluster.ZipfExponent), pending: map[int]pendingRequest{}, latencies: newLatencyHistogram(),
	}
}

// run sends requests until the context ends and then waits for their answers. Answers before
// measureFrom are not counted.
func (c *loadConnection) run(ctx context.Context, measureFrom time.Time) error {
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // everything needed was read before
	c.conn = conn
	buffer := make([]byte, readBuffer)
	c.nextDue = time.Now()
	for {
		now := time.Now()
		c.measuring = now.After(measureFrom)
		ending := ctx.Err() != nil
		if ending && len(c.pending) == 0 {
			return nil
		}
		if !ending {
			c.appendDue(now)
		}
		if err := c.flush(); err != nil {
			return err
		}
		if err := c.read(buffer, now, ending); err != nil {
			return err
		}
	}
}

// appendDue appends the requests that are due to the unsent data. With an interval, a request that
// is sent late keeps its scheduled time, and its latency counts from then.
func (c *loadConnection) appendDue(now time.Time) {
	if c.interval == 0 {
		for len(c.pending) < c.pipelining {
			c.appendRequest(now)
		}
		return
	}
	for len(c.pending) < maxPending && !c.nextDue.After(now) {
		c.appendRequest(c.nextDue)
		c.nextDue = c.nextDue.Add(c.interval)
	}
}

// appendRequest appends a request for a random object to the unsent data.
func (c *loadConnection) appendRequest(due time.Time) {
	object := c.cluster.DrawObject(c.random, c.zipf)
	c.tag++
	fields := fmt.Sprintf("txn=%016x,limit=%d,item=%s,n=0,shard=%d", c.random.Uint64(), object.Type.Timeout.Milliseconds(), object.ID, object.Group)
	if object.Type.IdempotentWithKey {
		fields += fmt.Sprintf(",unique=%016x%016x", c.random.Uint64(), c.random.Uint64())
	}
	c.unsent = redcon.AppendArray(c.unsent, 4)
	for _, word := range []string{"ASK", strconv.Itoa(c.tag), object.Type.Name, fields} {
		c.unsent = redcon.AppendBulkString(c.unsent, word)
	}
	c.pending[c.tag] = pendingRequest{object.ID, due}
}

// flush writes the unsent data.
func (c *loadConnection) flush() error {
	if len(c.unsent) == 0 {
		return nil
	}
	if _, err := c.conn.Write(c.unsent); err != nil {
		c.lost += len(c.pending)
		return err
	}
	c.unsent = c.unsent[:0]
	return nil
}

// read waits for answers, but not past the time at which the next request is due, and handles them.
func (c *loadConnection) read(buffer []byte, now time.Time, ending bool) error {
	deadline := now.Add(answerTimeout)
	if c.interval > 0 && !ending && len(c.pending) < maxPending {
		deadline = c.nextDue
	}
	if err := c.conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	n, err := c.conn.Read(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(now.Add(answerTimeout-time.Second)) {
		return nil // no answer arrived before the next request is due
	}
	if err != nil {
		c.lost += len(c.pending)
		return err
	}
	return c.handleAnswers(buffer[:n], time.Now())
}

// handleAnswers handles all complete answers and keeps the incomplete rest.
func (c *loadConnection) handleAnswers(data []byte, received time.Time) error {
	c.unread = append(c.unread, data...)
	rest := c.unread
	for {
		complete, fields, _, left, err := redcon.ReadNextCommand(rest, nil)
		if err != nil {
			return err
		}
		if !complete {
			break
		}
		c.handleAnswer(fields, received)
		rest = left
	}
	c.unread = append(c.unread[:0], rest...)
	return nil
}

// handleAnswer counts an answer. Its fields are the tag, the status, a field that is not used here
// and the body.
func (c *loadConnection) handleAnswer(fields [][]byte, received time.Time) {
	tag, _ := strconv.Atoi(string(fields[0])) // an invalid tag becomes 0, which no request has
	request, ok := c.pending[tag]
	if !ok {
		c.duplicates++
		return
	}
	delete(c.pending, tag)
	if !c.measuring {
		return
	}
	switch string(fields[1]) {
	case "200":
		c.succeeded++
		if !bytes.HasPrefix(fields[3], []byte(request.object)) {
			c.wrongBodies++
		}
		// a latency above the histogram's range is not counted
		_ = c.latencies.RecordValue(max(1, received.Sub(request.due).Microseconds()))
	case "503":
		c.rejected++
	default:
		c.failed++
	}
}
