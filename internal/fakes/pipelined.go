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
	maxOpenRequests = 32                     // on one connection, by the protocol
	lateAnswerLimit = 550 * time.Millisecond // after a request's time: 0.5 s, and the protocol's slack
	sweepInterval   = 50 * time.Millisecond  // at which overdue requests are looked for
	momentSpan      = time.Millisecond       // within which an aimed client acts upon a moment
	slowWritePieces = 3                      // that a slow writer cuts a message into
	slowWritePause  = 20 * time.Millisecond  // between two pieces of a message, at the most
	cancelSpan      = 60 * time.Millisecond  // in which a client that cancels does so
	redialPauses    = 2                      // of redialPause at the most, before the next connection
)

// Times of repeats of requests with a key.
const (
	repeatSoonAfter = 100 * time.Millisecond // of a repeat within the dedup window, after the first attempt
	repeatLateAfter = 50 * time.Millisecond  // of a repeat beyond the dedup window, after its end
	repeatLateSpan  = 500 * time.Millisecond // in which late repeats are sent
	maxRepeats      = 64                     // that wait to be sent
)

// Behavior says how a PipelinedClient uses its connections. Shares are from 0 to 1.
type Behavior struct {
	MaxOpen     int           // requests open at a time; maxOpenRequests at the most
	MaxBurst    int           // requests that are sent together
	MeanPause   time.Duration // between two bursts
	SlowShare   float64       // of requests whose message is written in pieces
	CancelShare float64       // of requests that are cancelled
	LeaveShare  float64       // of bursts after which the client closes its connection, and leaves what is open
	RepeatShare float64       // of requests with a key that are sent once more, within the dedup window or soon after it
	Aimed       bool          // it also sends within a millisecond of a signal, or of the end of another client's connection
}

// PipelinedClient has several requests open on a connection, and checks each answer by itself. Run uses it in a goroutine of its own.
type PipelinedClient struct {
	Cluster      *Cluster   // whose statistics it adds to
	Targets      []*Target  // the directors that it knows
	Current      int        // index of the director that it uses
	LocalAddress string     // its own address, on loopback
	Behavior     Behavior   // how it uses its connections
	Moments      *Moments   // that it acts upon, and tells
	Rand         *rand.Rand // of its own
	Zipf         *Zipf      // popularity of the objects that it requests

	repeats []repeat
}

// repeat is a request with a key that is to be sent once more. Clients do so within the dedup window. A repeat that comes later is only
// sent on the first attempt's connection, to the director that knows of it: others and later processes can't tell.
type repeat struct {
	object  Object
	key     string
	firstAt time.Duration // when the first attempt was sent
	due     time.Duration
	session *session // of the first attempt
	late    bool     // it is due after the dedup window
}

// timeout is how long the client waits for a repeat's answer: what is left of the request's time, where that has not passed.
func (r *repeat) timeout(now time.Duration) time.Duration {
	if r.late {
		return r.object.Type.Timeout
	}
	return r.firstAt + r.object.Type.Timeout - now
}

// Run sends requests until the context ends, over one connection after another.
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
		c.use(ctx, s, notify)
		s.leave()
		<-s.ended
	}
}

// connect opens a connection to the present director; nil where it does not accept one, and then the next director is tried.
func (c *PipelinedClient) connect(ctx context.Context) net.Conn {
	if target := c.Targets[c.Current]; target.takesClients(c.Cluster.Now()) {
		dialer := net.Dialer{Timeout: clientDialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.LocalAddress)}}
		conn, err := dialer.DialContext(ctx, "tcp", target.Addr)
		if err == nil {
			return conn
		}
		if errors.Is(err, syscall.ECONNREFUSED) && target.owesAccept(c.Cluster.Now()) {
			c.Cluster.Clients.WithLock(func(s *ClientStats) { s.EarlyRefusals++ })
		}
	}
	c.Current = (c.Current + 1) % len(c.Targets)
	Sleep(ctx, time.Duration(c.Rand.Float64()*redialPauses*float64(redialPause)))
	return nil
}

// use sends requests over a session until it ends, the client leaves, or the context ends.
func (c *PipelinedClient) use(ctx context.Context, s *session, notify <-chan struct{}) {
	for {
		pause := time.Duration(c.Rand.ExpFloat64() * float64(c.Behavior.MeanPause))
		select {
		case <-ctx.Done():
			return
		case <-s.ended:
			return
		case <-notify:
			time.Sleep(time.Duration(c.Rand.Int64N(int64(momentSpan))))
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

// sendNext sends the next request: a repeat that is due, or a new one. False where the connection has ended.
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
		time.AfterFunc(time.Duration(c.Rand.Int64N(int64(cancelSpan))), func() { s.cancel(tag) })
	}
	return true
}

// nextRequest returns a repeat that is due, or a new request.
func (c *PipelinedClient) nextRequest(s *session) *openRequest {
	r := &openRequest{id: fmt.Sprintf("%016x", c.Rand.Uint64())}
	for now := c.Cluster.Now(); len(c.repeats) > 0 && now >= c.repeats[0].due; {
		next := c.repeats[0]
		c.repeats = c.repeats[1:]
		if r.timeout = next.timeout(now); r.timeout > minimumAttempt && (next.session == s || !next.late) {
			r.object, r.key, r.isRepeat = next.object, next.key, true
			return r
		}
	}
	r.object = c.Cluster.DrawObject(c.Rand, c.Zipf)
	r.timeout = r.object.Type.Timeout
	if r.object.Type.IdempotentWithKey {
		r.key = fmt.Sprintf("%016x%016x", c.Rand.Uint64(), c.Rand.Uint64())
		c.planRepeat(s, r)
	}
	return r
}

// planRepeat has a request with a key sent once more, for RepeatShare of them.
func (c *PipelinedClient) planRepeat(s *session, r *openRequest) {
	if c.Rand.Float64() >= c.Behavior.RepeatShare || len(c.repeats) >= maxRepeats {
		return
	}
	now := c.Cluster.Now()
	next := repeat{r.object, r.key, now, now + repeatSoonAfter, s, c.Rand.IntN(2) == 0}
	if next.late {
		next.due = now + r.object.Type.DedupWindow + repeatLateAfter + time.Duration(c.Rand.Int64N(int64(repeatLateSpan)))
	}
	c.repeats = append(c.repeats, next)
	slices.SortFunc(c.repeats, func(a, b repeat) int { return cmp.Compare(a.due, b.due) })
}
