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

// Bucket is the span of the books' time series.
const Bucket = 100 * time.Millisecond

// Download is what one client had of one download, over its tries.
type Download struct {
	Type      *Type
	Began     time.Duration
	Took      time.Duration
	Tries     int
	Work      float64 // its sending time at full pace, µs
	Fulfilled bool
	Ignores   bool   // its client ignores what it is told
	Last      string // the last answer's word; empty where there was none
}

// Book is what clients had. Its lock guards it.
type Book struct {
	mu        sync.Mutex
	Downloads []Download
	Answers   map[string]int // by word
	Answered  int            // downloads whose first try had an answer
	Lost      int            // tries that were owed an answer and had none
	Twice     int            // answers beyond the one
	Wrong     int            // answers with another object's bytes
	Old       int            // copies older than a purge that was told of
	Killed    int            // tries that ended with a director that was killed
	Paused    int            // and whose time ended while theirs was stopped
	Early     int            // tries before the time that was told
	LostHow   map[string]int
	Asked     []int // tries by bucket,
	Advised   []int // times that were told,
	Served    []int // and fulfilled
	Throttled []int
}

func count(series *[]int, at time.Duration) {
	i := int(max(0, at) / Bucket)
	for len(*series) <= i {
		*series = append(*series, 0)
	}
	(*series)[i]++
}

// Do reads or changes the book under its lock.
func (b *Book) Do(with func(*Book)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.Answers == nil {
		b.Answers, b.LostHow = map[string]int{}, map[string]int{}
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

// Kill says that it was killed: what it held is no longer owed.
func (t *Target) Kill(killed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.killed = killed
}

// Pause says that it was stopped, or goes on, at a time of the world.
func (t *Target) Pause(stopped bool, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n := len(t.pauses); stopped {
		t.pauses = append(t.pauses, [2]time.Duration{at, math.MaxInt64})
	} else if n > 0 && t.pauses[n-1][1] == math.MaxInt64 {
		t.pauses[n-1][1] = at
	}
}

// wakes is how long one that goes on may take to answer what waited: it asks the command channel first.
const wakes = 100 * time.Millisecond

// paused says whether it was stopped at a time, or had only just gone on.
func (t *Target) paused(at time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(t.pauses, func(p [2]time.Duration) bool { return at >= p[0] && at-wakes <= p[1] })
}

func (t *Target) gone() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.killed
}

// Client asks one director for downloads, and goes to the next when it is gone.
type Client struct {
	W        *World
	Targets  []*Target
	Target   int
	From     string        // its own address, on loopback; empty for any
	Ignores  bool          // comes back at once or after Wait, whatever it was told
	Unmarked bool          // does not mark its repeats
	Retries  int           // at most, for a download
	Wait     time.Duration // between tries where it has no other time
	Fresh    bool          // a new connection for every try
	Rand     *rand.Rand
	Zipf     *Zipf

	nc     net.Conn
	in     []byte
	tag    int
	buf    [4096]byte
	used   bool
	expect time.Time // told not to come before
}

var errOwed = errors.New("an answer was owed")

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
		if c.From != "" {
			d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(c.From)}
		}
		t := c.Targets[c.Target]
		nc, err := d.DialContext(ctx, "tcp", t.Addr)
		if err != nil {
			if ctx.Err() != nil {
				return err
			}
			// Any other: the next one in order would have the clients of seven that were killed all come to the eighth.
			c.Target = (c.Target + 1 + c.Rand.IntN(max(1, len(c.Targets)-1))) % len(c.Targets)
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

// Ask makes one try and gives the answer's word, the time it tells to stay away, and the body.
func (c *Client) Ask(ctx context.Context, o Object, limit time.Duration, again bool, key string) (word string,
	later time.Duration, body string, err error) {
	for crossed := false; ; crossed = true {
		if err := c.Connect(ctx); err != nil {
			return "", 0, "", err
		}
		c.tag++
		fields := fmt.Sprintf("txn=%016x,limit=%d,item=%s,n=0,shard=%d", c.Rand.Uint64(), max(1, limit.Milliseconds()), o.ID, o.Group)
		if again && !c.Unmarked {
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
		asked := c.W.Now()
		c.W.Clients.Do(func(b *Book) { count(&b.Asked, asked) })
		if _, err = c.nc.Write(out); err == nil {
			word, later, body, err = c.answer(c.tag, limit+100*time.Millisecond)
		}
		if err == nil {
			c.check(o, asked, word, body)
			return word, later, body, nil
		}
		killed, paused := c.Targets[c.Target].gone(), c.Targets[c.Target].paused(asked+limit)
		c.Close()
		if reused && !crossed && !killed && !errors.Is(err, errOwed) {
			continue // it crossed the end of a connection at rest, and is sent once more
		}
		c.W.Clients.Do(func(b *Book) {
			if killed {
				b.Killed++
			} else if paused && errors.Is(err, errOwed) {
				b.Paused++
			} else if ctx.Err() == nil {
				b.Lost++
				b.LostHow[fmt.Sprintf("%v reused=%v", err, reused)]++
			}
		})
		return "", 0, "", err
	}
}

// check looks at an answer's bytes.
func (c *Client) check(o Object, asked time.Duration, word, body string) {
	c.W.Clients.Do(func(b *Book) {
		b.Answers[word]++
		if word == "503" {
			count(&b.Throttled, c.W.Now())
		}
		if word != "200" {
			return
		}
		count(&b.Served, c.W.Now())
		var born int64
		id, rest, _ := strings.Cut(body, "/0 born ")
		if _, err := fmt.Sscan(rest, &born); err != nil || id != o.ID {
			b.Wrong++
			return
		}
		if at := c.W.void(o.ID, o.Group, asked); at > 0 && born < c.W.start.Add(at).UnixMilli() {
			b.Old++
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
					err = errOwed
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
			c.W.Clients.Do(func(b *Book) { b.Twice++ })
			continue
		}
		if ms, ok := strings.CutPrefix(fields, "later="); ok {
			n, _ := strconv.Atoi(ms)
			later = time.Duration(n) * time.Millisecond
		}
		return word, later, text, nil
	}
}

// Fetch asks for an object, and again where it is turned away or failed, until its time is up.
func (c *Client) Fetch(ctx context.Context, o Object) Download {
	dl := Download{Type: o.Type, Began: c.W.Now(), Ignores: c.Ignores, Work: c.W.work(o.Type, o.ID)}
	key := ""
	if o.Type.Deduped {
		key = fmt.Sprintf("%016x%016x", c.Rand.Uint64(), c.Rand.Uint64())
	}
	for {
		left := o.Type.Limit - (c.W.Now() - dl.Began)
		if left <= 10*time.Millisecond || dl.Tries > c.Retries || ctx.Err() != nil {
			break
		}
		dl.Tries++
		if dl.Tries > 1 && time.Until(c.expect) > 5*time.Millisecond {
			c.W.Clients.Do(func(b *Book) { b.Early++ })
		}
		word, later, _, err := c.Ask(ctx, o, left, dl.Tries > 1, key)
		if dl.Last = word; err != nil {
			word = "gone"
		} else if dl.Tries == 1 {
			c.W.Clients.Do(func(b *Book) { b.Answered++ })
		}
		if c.Fresh {
			c.Close()
		}
		if word == "200" {
			dl.Fulfilled = true
			break
		}
		wait := c.Wait
		c.expect = time.Time{}
		if later > 0 {
			c.expect = time.Now().Add(later)
			at := c.W.Now() + later
			c.W.Clients.Do(func(b *Book) { count(&b.Advised, at) })
			if !c.Ignores {
				wait = later
			}
		}
		if wait > 0 && !Sleep(ctx, wait) {
			break
		}
	}
	if dl.Took = c.W.Now() - dl.Began; ctx.Err() == nil {
		c.W.Clients.Do(func(b *Book) { b.Downloads = append(b.Downloads, dl) })
	}
	return dl
}

// Live asks for one object after another until the context ends, with a pause between of so long on average. A client that
// connects at a time asks at once then.
func (c *Client) Live(ctx context.Context, at, think time.Duration) {
	defer c.Close()
	if !Sleep(ctx, at-c.W.Now()) {
		return
	}
	for ctx.Err() == nil {
		c.Fetch(ctx, c.W.Draw(c.Rand, c.Zipf))
		if !Sleep(ctx, time.Duration(c.Rand.ExpFloat64()*float64(think))) {
			return
		}
	}
}

// Sit connects and says nothing, again and again.
func (c *Client) Sit(ctx context.Context) {
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
