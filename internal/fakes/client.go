package fakes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/redcon"
)

// SeriesInterval is the span of the books' time series.
const SeriesInterval = 100 * time.Millisecond

// ClientRequest is what one client had of one download, over its tries.
type ClientRequest struct {
	ContentType       *ContentType
	StartedAt         time.Duration
	Duration          time.Duration
	Attempts          int
	TransferMicros    float64 // its sending time at full pace, µs
	Succeeded         bool
	IgnoresRetryAfter bool   // its client ignores what it is told
	LastStatus        string // the last answer's word; empty where there was none
}

// ClientStats is what clients had. Its lock guards it.
type ClientStats struct {
	mu               sync.Mutex
	Requests         []ClientRequest
	AnswersByStatus  map[string]int // by word
	FirstAnswered    int            // downloads whose first try had an answer
	Lost             int            // tries that were owed an answer and had none
	Duplicates       int            // answers beyond the one
	WrongBodies      int            // answers with another object's bytes
	StaleCopies      int            // copies older than a purge that was told of
	LostToKills      int            // tries that ended with a director that was killed
	LostToPauses     int            // and whose time ended while theirs was stopped
	EarlyRetries     int            // tries before the time that was told
	LostReasons      map[string]int
	AttemptSeries    []int // tries by bucket,
	RetryAfterSeries []int // times that were told,
	SuccessSeries    []int // and fulfilled
	RejectSeries     []int
}

func count(series *[]int, at time.Duration) {
	i := int(max(0, at) / SeriesInterval)
	for len(*series) <= i {
		*series = append(*series, 0)
	}
	(*series)[i]++
}

// WithLock reads or changes the book under its lock.
func (b *ClientStats) WithLock(with func(*ClientStats)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.AnswersByStatus == nil {
		b.AnswersByStatus, b.LostReasons = map[string]int{}, map[string]int{}
	}
	with(b)
}

// Target is a director as clients see it.
type Target struct {
	Addr   string
	mu     sync.Mutex
	killed bool
	pauses [][2]time.Duration // when it was stopped, and went on; the last may not have ended
}

// SetKilled says that it was killed: what it held is no longer owed.
func (t *Target) SetKilled(killed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.killed = killed
}

// SetPaused says that it was stopped, or goes on, at a time of the world.
func (t *Target) SetPaused(stopped bool, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.pauses); stopped {
		t.pauses = append(t.pauses, [2]time.Duration{at, math.MaxInt64})
	} else if n > 0 && t.pauses[n-1][1] == math.MaxInt64 {
		t.pauses[n-1][1] = at
	}
}

// wakeDelay is how long one that goes on may take to answer what waited: it asks the command channel first.
const wakeDelay = 100 * time.Millisecond

// paused says whether it was stopped at a time, or had only just gone on.
func (t *Target) paused(at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.pauses, func(p [2]time.Duration) bool { return at >= p[0] && at-wakeDelay <= p[1] })
}

func (t *Target) isKilled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.killed
}

// Client asks one director for downloads, and goes to the next when it is gone.
type Client struct {
	Cluster          *Cluster
	Targets          []*Target
	Current          int
	LocalAddress     string        // its own address, on loopback; empty for any
	IgnoreRetryAfter bool          // comes back at once or after Wait, whatever it was told
	UnmarkedRetries  bool          // does not mark its repeats
	MaxRetries       int           // at most, for a download
	RetryPause       time.Duration // between tries where it has no other time
	FreshConnections bool          // a new connection for every try
	Rand             *rand.Rand
	Zipf             *Zipf

	nc        net.Conn
	in        []byte
	tag       int
	buf       [4096]byte
	used      bool
	notBefore time.Time // told not to come before
}

var errAnswerOwed = errors.New("an answer was owed")

// Close ends its connection.
func (c *Client) Close() {
	if c.nc != nil {
		c.nc.Close()
		c.nc = nil
	}
}

// Connect opens a connection where there is none.
func (c *Client) Connect(ctx context.Context) error {
	for c.nc == nil {
		d := net.Dialer{Timeout: 3 * time.Second}
		if c.LocalAddress != "" {
			d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.LocalAddress)}
		}
		t := c.Targets[c.Current]
		nc, err := d.DialContext(ctx, "tcp", t.Addr)
		if err != nil {
			if ctx.Err() != nil {
				return err
			}
			// Any other: the next one in order would have the clients of seven that were killed all come to the eighth.
			c.Current = (c.Current + 1 + c.Rand.IntN(max(1, len(c.Targets)-1))) % len(c.Targets)
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		c.nc, c.in, c.used = nc, nil, false
		context.AfterFunc(ctx, func() { nc.Close() })
	}
	return nil
}

// Attempt makes one try and gives the answer's word, the time it tells to stay away, and the body.
func (c *Client) Attempt(ctx context.Context, o Object, limit time.Duration, again bool, key string) (word string,
	later time.Duration, body string, err error) {
	for crossed := false; ; crossed = true {
		if err := c.Connect(ctx); err != nil {
			return "", 0, "", err
		}
		c.tag++
		fields := fmt.Sprintf("txn=%016x,limit=%d,item=%s,n=0,shard=%d", c.Rand.Uint64(), max(1, limit.Milliseconds()), o.ID, o.Group)
		if again && !c.UnmarkedRetries {
			fields += ",second=1"
		}
		if key != "" {
			fields += ",unique=" + key
		}
		out := redcon.AppendArray(nil, 4)
		for _, w := range []string{"ASK", strconv.Itoa(c.tag), o.Type.Name, fields} {
			out = redcon.AppendBulkString(out, w)
		}
		reused := c.used
		c.used = true
		asked := c.Cluster.Now()
		c.Cluster.Clients.WithLock(func(b *ClientStats) { count(&b.AttemptSeries, asked) })
		if _, err = c.nc.Write(out); err == nil {
			word, later, body, err = c.answer(c.tag, limit+100*time.Millisecond)
		}
		if err == nil {
			c.recordAnswer(o, asked, word, body)
			return word, later, body, nil
		}
		killed, paused := c.Targets[c.Current].isKilled(), c.Targets[c.Current].paused(asked+limit)
		c.Close()
		if reused && !crossed && !killed && !errors.Is(err, errAnswerOwed) {
			continue // it crossed the end of a connection at rest, and is sent once more
		}
		c.Cluster.Clients.WithLock(func(b *ClientStats) {
			if killed {
				b.LostToKills++
			} else if paused && errors.Is(err, errAnswerOwed) {
				b.LostToPauses++
			} else if ctx.Err() == nil {
				b.Lost++
				b.LostReasons[fmt.Sprintf("%v reused=%v", err, reused)]++
			}
		})
		return "", 0, "", err
	}
}

// recordAnswer looks at an answer's bytes.
func (c *Client) recordAnswer(o Object, asked time.Duration, word, body string) {
	c.Cluster.Clients.WithLock(func(b *ClientStats) {
		b.AnswersByStatus[word]++
		if word == "503" {
			count(&b.RejectSeries, c.Cluster.Now())
		}
		if word != "200" {
			return
		}
		count(&b.SuccessSeries, c.Cluster.Now())
		var born int64
		id, rest, _ := strings.Cut(body, "/0 born ")
		if _, err := fmt.Sscan(rest, &born); err != nil || id != o.ID {
			b.WrongBodies++
			return
		}
		if at := c.Cluster.bindingPurge(o.ID, o.Group, asked); at > 0 && born < c.Cluster.startedAt.Add(at).UnixMilli() {
			b.StaleCopies++
		}
	})
}

// answer waits for the answer to a tag.
func (c *Client) answer(tag int, within time.Duration) (word string, later time.Duration, body string, err error) {
	c.nc.SetReadDeadline(time.Now().Add(within))
	for {
		whole, words, _, rest, err := redcon.ReadNextCommand(c.in, nil)
		if err != nil {
			return "", 0, "", err
		}
		if !whole {
			n, err := c.nc.Read(c.buf[:])
			if n == 0 {
				if timed, ok := err.(net.Error); ok && timed.Timeout() {
					err = errAnswerOwed
				} else if err == io.EOF {
					err = errors.New("closed")
				} else if err != nil {
					err = errors.New("reset")
				}
				return "", 0, "", err
			}
			c.in = append(c.in, c.buf[:n]...)
			continue
		}
		got, _ := strconv.Atoi(string(words[0]))
		word, fields, text := string(words[1]), string(words[2]), string(words[3])
		c.in = append([]byte(nil), rest...)
		if got != tag {
			c.Cluster.Clients.WithLock(func(b *ClientStats) { b.Duplicates++ })
			continue
		}
		if ms, ok := strings.CutPrefix(fields, "later="); ok {
			n, _ := strconv.Atoi(ms)
			later = time.Duration(n) * time.Millisecond
		}
		return word, later, text, nil
	}
}

// Request asks for an object, and again where it is turned away or failed, until its time is up.
func (c *Client) Request(ctx context.Context, o Object) ClientRequest {
	dl := ClientRequest{ContentType: o.Type, StartedAt: c.Cluster.Now(), IgnoresRetryAfter: c.IgnoreRetryAfter, TransferMicros: c.Cluster.transferMicros(o.Type, o.ID)}
	key := ""
	if o.Type.IdempotentWithKey {
		key = fmt.Sprintf("%016x%016x", c.Rand.Uint64(), c.Rand.Uint64())
	}
	for {
		left := o.Type.Timeout - (c.Cluster.Now() - dl.StartedAt)
		if left <= 10*time.Millisecond || dl.Attempts > c.MaxRetries || ctx.Err() != nil {
			break
		}
		dl.Attempts++
		if dl.Attempts > 1 && time.Until(c.notBefore) > 5*time.Millisecond {
			c.Cluster.Clients.WithLock(func(b *ClientStats) { b.EarlyRetries++ })
		}
		word, later, _, err := c.Attempt(ctx, o, left, dl.Attempts > 1, key)
		if dl.LastStatus = word; err != nil {
			word = "gone"
		} else if dl.Attempts == 1 {
			c.Cluster.Clients.WithLock(func(b *ClientStats) { b.FirstAnswered++ })
		}
		if c.FreshConnections {
			c.Close()
		}
		if word == "200" {
			dl.Succeeded = true
			break
		}
		wait := c.RetryPause
		c.notBefore = time.Time{}
		if later > 0 {
			c.notBefore = time.Now().Add(later)
			at := c.Cluster.Now() + later
			c.Cluster.Clients.WithLock(func(b *ClientStats) { count(&b.RetryAfterSeries, at) })
			if !c.IgnoreRetryAfter {
				wait = later
			}
		}
		if wait > 0 && !Sleep(ctx, wait) {
			break
		}
	}
	if dl.Duration = c.Cluster.Now() - dl.StartedAt; ctx.Err() == nil {
		c.Cluster.Clients.WithLock(func(b *ClientStats) { b.Requests = append(b.Requests, dl) })
	}
	return dl
}

// Run asks for one object after another until the context ends, with a pause between of so long on average. A client that
// connects at a time asks at once then.
func (c *Client) Run(ctx context.Context, at, think time.Duration) {
	defer c.Close()
	if !Sleep(ctx, at-c.Cluster.Now()) {
		return
	}
	for ctx.Err() == nil {
		c.Request(ctx, c.Cluster.DrawObject(c.Rand, c.Zipf))
		if !Sleep(ctx, time.Duration(c.Rand.ExpFloat64()*float64(think))) {
			return
		}
	}
}

// Idle connects and says nothing, again and again.
func (c *Client) Idle(ctx context.Context) {
	defer c.Close()
	for ctx.Err() == nil {
		if c.Connect(ctx) != nil {
			return
		}
		c.nc.SetReadDeadline(time.Now().Add(2 * time.Second))
		c.nc.Read(c.buf[:])
		c.Close()
	}
}

// Sleep waits; false when the context ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
