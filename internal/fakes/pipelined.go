package fakes

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"syscall"
	"time"
)

const (
	maxOpenRequests = 32 // protocol limit per connection
	// 0.5 s after the timeout of a request, plus the slack of the protocol.
	lateAnswerLimit = 550 * time.Millisecond
	sweepInterval   = 50 * time.Millisecond // interval of the search for overdue requests
	maxAimedDelay   = time.Millisecond      // maximum delay of an aimed client after an event
	slowWritePieces = 3                     // pieces of a message written slowly
	slowWritePause  = 20 * time.Millisecond // maximum pause between two pieces
	maxCancelDelay  = 60 * time.Millisecond // longest delay of a cancellation
	maxRedialPauses = 2                     // longest pause, in redialPause
)

// Delays of repeated requests with an idempotency key.
const (
	repeatInWindowDelay = 100 * time.Millisecond // after the first attempt
	lateRepeatDelay     = 50 * time.Millisecond  // after the dedup window, for a late repeat
	lateRepeatSpread    = 500 * time.Millisecond // maximum random delay added to late repeats
	maxRepeats          = 64                     // scheduled repeats, at most
)

// Behavior configures how a PipelinedClient uses its connections. Shares range from 0 to 1. A
// leaving client drops its open requests, repeats are sent within the dedup window or soon after
// it, and an aimed client acts within a millisecond of an event.
type Behavior struct {
	MaxOpen     int           // requests open at a time; at most maxOpenRequests
	MaxBurst    int           // maximum requests per burst
	MeanPause   time.Duration // mean pause between bursts
	SlowShare   float64       // share of requests written in pieces
	CancelShare float64       // share of requests that are cancelled
	LeaveShare  float64       // share of bursts after which the client disconnects
	RepeatShare float64       // share of requests with a key that are sent again
	Aimed       bool          // also send within 1 ms of a signal or a closed connection
}

// PipelinedClient keeps several requests open on a connection and checks each answer separately.
// Run must be called in a goroutine of its own.
type PipelinedClient struct {
	Cluster      *Cluster   // its Clients statistics are updated
	Targets      []*Target  // directors it may connect to
	Current      int        // index of the current director in Targets
	LocalAddress string     // local address on loopback
	Behavior     Behavior   // use of its connections
	Moments      *Moments   // events it publishes and, if aimed, subscribes to
	Rand         *rand.Rand // not shared with other goroutines
	Zipf         *Zipf      // popularity of the requested objects

	repeats []repeat
}

// repeat is a request with an idempotency key that will be sent again. Clients repeat requests
// within the dedup window. A late repeat, after the window, is sent only on the connection of the
// first attempt, to the director that knows of that attempt: other directors, and the same one
// after a restart, cannot tell that it is a repeat.
type repeat struct {
	object  Object
	key     string
	firstAt time.Duration // when the first attempt was sent
	due     time.Duration
	session *session // session of the first attempt
	late    bool     // due after the dedup window
}

// timeout returns how long the client waits for the answer to a repeat. A late repeat has the full
// timeout of its content type, other repeats have what remains of the timeout of the first attempt.
func (r *repeat) timeout(now time.Duration) time.Duration {
	if r.late {
		return r.object.Type.Timeout
	}
	return r.firstAt + r.object.Type.Timeout - now
}

// Run sends requests over one connection after another until the context ends.
func (c *PipelinedClient) Run(ctx context.Context) {
	notify, cancel := c.Moments.Subscribe(SignalSent, ConnectionEnded)
	defer cancel()
	if !c.Behavior.Aimed {
		notify = nil
	}
	for ctx.Err() == nil {
		conn := c.connect(ctx)
		if conn == nil {
			continue
		}
		s := newSession(c, conn)
		go s.read()
		c.sendBursts(ctx, s, notify)
		s.close()
		<-s.ended
	}
}

// connect connects to the current director. If the director does not accept, connect selects the
// next one, pauses and returns nil.
func (c *PipelinedClient) connect(ctx context.Context) net.Conn {
	if target := c.Targets[c.Current]; target.clientsMayConnect(c.Cluster.Now()) {
		dialedAt := c.Cluster.Now()
		obliged := target.mustAccept(dialedAt)
		dialer := net.Dialer{Timeout: clientDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.LocalAddress)}}
		conn, err := dialer.DialContext(ctx, "tcp", target.Addr)
		if err == nil {
			return conn
		}
		if errors.Is(err, syscall.ECONNREFUSED) && obliged && target.mustStillAccept(dialedAt, c.Cluster.Now()) {
			c.Cluster.Clients.WithLock(func(s *ClientStats) { s.EarlyRefusals++ })
		}
	}
	c.Current = (c.Current + 1) % len(c.Targets)
	Sleep(ctx, time.Duration(c.Rand.Float64()*maxRedialPauses*float64(redialPause)))
	return nil
}

// sendBursts sends bursts of requests over a session until the session ends, the client leaves, or
// the context ends.
func (c *PipelinedClient) sendBursts(ctx context.Context, s *session, notify <-chan struct{}) {
	for {
		pause := time.Duration(c.Rand.ExpFloat64() * float64(c.Behavior.MeanPause))
		select {
		case <-ctx.Done():
			return
		case <-s.ended:
			return
		case <-notify:
			time.Sleep(time.Duration(c.Rand.Int64N(int64(maxAimedDelay))))
		case <-time.After(pause):
		}
		for range 1 + c.Rand.IntN(c.Behavior.MaxBurst) {
			if s.openCount() < min(c.Behavior.MaxOpen, maxOpenRequests) && !c.sendNext(s) {
				return
			}
		}
		if c.Rand.Float64() < c.Behavior.LeaveShare {
			return
		}
	}
}

// sendNext sends the next request: a repeat that is due, or a new request. It returns false if the
// connection has ended.
func (c *PipelinedClient) sendNext(s *session) bool {
	r := c.nextRequest(s)
	pieces := 1
	if c.Rand.Float64() < c.Behavior.SlowShare {
		pieces = slowWritePieces
	}
	tag, err := s.send(r, pieces, time.Duration(c.Rand.Float64()*float64(slowWritePause)))
	if err != nil {
		return false
	}
	c.Moments.Publish(RequestSent)
	if c.Rand.Float64() < c.Behavior.CancelShare {
		time.AfterFunc(time.Duration(c.Rand.Int64N(int64(maxCancelDelay))), func() { s.cancel(tag) })
	}
	return true
}

// nextRequest returns a repeat that is due, or a new request.
func (c *PipelinedClient) nextRequest(s *session) *openRequest {
	r := &openRequest{id: fmt.Sprintf("%016x", c.Rand.Uint64())}
	for now := c.Cluster.Now(); len(c.repeats) > 0 && now >= c.repeats[0].due; {
		next := c.repeats[0]
		c.repeats = c.repeats[1:]
		if r.timeout = next.timeout(now); r.timeout > minAttemptTime && (next.session == s || !next.late) {
			r.object, r.key, r.isRepeat = next.object, next.key, true
			return r
		}
	}
	r.object = c.Cluster.DrawObject(c.Rand, c.Zipf)
	r.timeout = r.object.Type.Timeout
	if r.object.Type.IdempotentWithKey {
		r.key = fmt.Sprintf("%016x%016x", c.Rand.Uint64(), c.Rand.Uint64())
		c.scheduleRepeat(s, r)
	}
	return r
}

// scheduleRepeat schedules a repeat for a RepeatShare of the requests with an idempotency key.
func (c *PipelinedClient) scheduleRepeat(s *session, r *openRequest) {
	if c.Rand.Float64() >= c.Behavior.RepeatShare || len(c.repeats) >= maxRepeats {
		return
	}
	now := c.Cluster.Now()
	next := repeat{r.object, r.key, now, now + repeatInWindowDelay, s, c.Rand.IntN(2) == 0}
	if next.late {
		next.due = now + r.object.Type.DedupWindow + lateRepeatDelay + time.Duration(c.Rand.Int64N(int64(lateRepeatSpread)))
	}
	c.repeats = append(c.repeats, next)
	slices.SortFunc(c.repeats, func(a, b repeat) int { return cmp.Compare(a.due, b.due) })
}
