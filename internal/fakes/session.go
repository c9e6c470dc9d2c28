package fakes

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// receivedAfter is how long after its last byte was written a request counts as received by the director, if the connection still stood
// then: the director had it for that long before it ended the connection, and can have read it.
const receivedAfter = time.Millisecond

// tcpEstablished is the state of a connection that neither side has ended, as the system tells it.
const tcpEstablished = 1

// session is one connection of a PipelinedClient. The client's goroutine sends, another reads; the lock guards the requests.
type session struct {
	client  *PipelinedClient
	target  *Target
	conn    net.Conn
	opened  time.Duration // since the cluster's start
	ended   chan struct{} // closed by read
	writing sync.Mutex    // held while a message is written

	mu       sync.Mutex
	lastTag  int
	requests map[int]*openRequest // by tag; those that were answered are taken out
	left     bool                 // the client has closed the connection
	answered bool                 // an answer has come on it
}

// openRequest is a request without an answer.
type openRequest struct {
	object    Object
	id        string // the transaction
	key       string
	isRepeat  bool
	timeout   time.Duration // the client waits no longer
	sentAt    time.Duration // when its last byte was written; 0 before
	received  bool          // see receivedAfter
	cancelled bool          // no answer is owed
	overdue   bool          // it has been counted as lost
}

func newSession(c *PipelinedClient, conn net.Conn) *session {
	return &session{client: c, target: c.Targets[c.Current], conn: conn, opened: c.Cluster.Now(), ended: make(chan struct{}), requests: map[int]*openRequest{}}
}

// openCount is how many requests are open.
func (s *session) openCount() (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.requests {
		if !r.cancelled {
			open++
		}
	}
	return open
}

// send writes a request's message, in so many pieces with a pause between them, and returns its tag.
func (s *session) send(r *openRequest, pieces int, pause time.Duration) (tag int, err error) {
	s.mu.Lock()
	s.lastTag++
	tag = s.lastTag
	s.requests[tag] = r
	s.mu.Unlock()
	message := requestMessage(r.object, requestParameters{tag, r.id, r.timeout, r.isRepeat, r.key})
	s.writing.Lock()
	defer s.writing.Unlock()
	for ; pieces > 1; pieces-- {
		size := len(message) / pieces
		if _, err := s.conn.Write(message[:size]); err != nil {
			return tag, err
		}
		message = message[size:]
		time.Sleep(pause)
	}
	if _, err := s.conn.Write(message); err != nil {
		return tag, err
	}
	s.mu.Lock()
	r.sentAt = s.client.Cluster.Now()
	s.mu.Unlock()
	s.client.Cluster.noteKey(r.key, "request %s sent to %s, repeat %v, timeout %v", r.id, s.target.Addr, r.isRepeat, r.timeout)
	time.AfterFunc(receivedAfter, func() {
		if connectionStands(s.conn) {
			s.mu.Lock()
			r.received = true
			s.mu.Unlock()
		}
	})
	return tag, nil
}

// connectionStands says whether neither side has ended a connection, as far as the system knows.
func connectionStands(conn net.Conn) (stands bool) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(descriptor uintptr) { // fails where this side has closed the connection
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		stands = err == nil && info.State == tcpEstablished
	})
	return stands
}

// cancel says that the client no longer waits for a request, where that is open.
func (s *session) cancel(tag int) {
	s.mu.Lock()
	r := s.requests[tag]
	if r != nil {
		r.cancelled = true
	}
	s.mu.Unlock()
	if r == nil {
		return
	}
	s.writing.Lock()
	defer s.writing.Unlock()
	if _, err := s.conn.Write(cancelMessage(tag)); err == nil {
		s.client.Cluster.recordAbandoned(r.id)
	}
}

// leave closes the connection. Nothing that is open on it is owed any more.
func (s *session) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left {
		return
	}
	s.left = true
	closeQuietly(s.conn)
	for _, r := range s.requests {
		s.client.Cluster.recordAbandoned(r.id)
	}
}

// read takes answers until the connection ends.
func (s *session) read() {
	defer close(s.ended)
	answers := answerReader{conn: s.conn}
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(sweepInterval)); err != nil {
			return // the client has left
		}
		tag, answer, err := answers.next()
		switch {
		case err == nil:
			s.take(tag, answer)
			s.client.Moments.Publish(AnswerReceived)
		case errors.Is(err, errAnswerOwed):
			s.sweep()
		default:
			s.end(err)
			return
		}
	}
}

// take checks an answer.
func (s *session) take(tag int, answer clientAnswer) {
	now := s.client.Cluster.Now()
	s.mu.Lock()
	r := s.requests[tag]
	delete(s.requests, tag)
	s.answered = true
	sentAt := now
	if r != nil && r.sentAt > 0 { // else the answer has come before the sender could note the time
		sentAt = r.sentAt
	}
	s.mu.Unlock()
	switch {
	case r == nil:
		s.client.Cluster.Clients.WithLock(func(s *ClientStats) { s.Duplicates++ })
	case r.cancelled: // it crossed the cancelling
	default:
		s.client.Cluster.noteKey(r.key, "request %s answered: %s", r.id, answer.status)
		s.client.Cluster.recordAnswer(r.object, sentAt, answer)
		s.client.Cluster.Clients.WithLock(func(s *ClientStats) {
			s.Requests = append(s.Requests, ClientRequest{ContentType: r.object.Type, StartedAt: sentAt, Duration: now - sentAt,
				Attempts: 1, Succeeded: answer.status == statusOK, LastStatus: answer.status})
			if now > sentAt+r.timeout+lateAnswerLimit {
				s.LateAnswers++
			}
		})
	}
}

// sweep counts requests without an answer in time as lost.
func (s *session) sweep() {
	now := s.client.Cluster.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for tag, r := range s.requests {
		if r.sentAt > 0 && !r.cancelled && !r.overdue && now > r.sentAt+r.timeout+lateAnswerLimit {
			r.overdue = true
			s.lose(tag, r, "no answer in time")
		}
	}
}

// end counts what was open on a connection that the director has ended. In a crowd, new connections may be shut unread.
func (s *session) end(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	closeQuietly(s.conn)
	if s.left {
		return
	}
	s.left = true
	s.client.Moments.Publish(ConnectionEnded)
	killed := s.target.isKilled()
	for tag, r := range s.requests {
		switch {
		case r.cancelled || r.overdue || r.sentAt == 0:
		case killed:
			s.client.Cluster.Clients.WithLock(func(s *ClientStats) { s.LostToKills++ })
		case !r.received || !s.answered && s.target.isCrowded():
			s.client.Cluster.Clients.WithLock(func(s *ClientStats) { s.CrossedEnds++ })
		default:
			s.loseAtEnd(tag, r, cause.Error())
		}
	}
}

// lose counts a request that was owed an answer and had none in time. The caller holds the lock.
func (s *session) lose(tag int, r *openRequest, cause string) {
	reason := s.lossReason(tag, r, cause)
	s.client.Cluster.Clients.WithLock(func(s *ClientStats) {
		s.Lost++
		s.LostReasons[reason]++
	})
}

// loseAtEnd records a request that was open as the director ended the connection. The caller holds the lock.
func (s *session) loseAtEnd(tag int, r *openRequest, cause string) {
	sentAt := time.Now().Add(r.sentAt - s.client.Cluster.Now()) // by the machine's clock of now: it may have been set since the cluster's start
	lost := LostAtEnd{s.conn.LocalAddr().String(), sentAt, s.lossReason(tag, r, cause)}
	s.client.Cluster.Clients.WithLock(func(s *ClientStats) { s.LostAtEnds = append(s.LostAtEnds, lost) })
}

// lossReason tells what is known of a request that was lost. The caller holds the lock.
func (s *session) lossReason(tag int, r *openRequest, cause string) string {
	now := s.client.Cluster.Now()
	ago := func(at time.Duration) time.Duration { return (now - at).Round(time.Microsecond) }
	return fmt.Sprintf("%s tag %d (%s, id %s, repeat %v) sent %v before %v: %s; connection opened %v ago, answered on %v, SIGTERM %v ago",
		s.target.Addr, tag, r.object.Type.Name, r.id, r.isRepeat, ago(r.sentAt), s.client.Cluster.clockTime(), cause, ago(s.opened), s.answered,
		ago(s.target.terminated()))
}
