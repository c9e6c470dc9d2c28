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

// receivedAfter is how long the connection must stay established after the last byte of a request
// was written for the request to count as received by the director. In that time the director had
// the request and can have read it.
const receivedAfter = time.Millisecond

// tcpEstablished is the kernel state of a TCP connection that neither side has closed.
const tcpEstablished = 1

// session is one connection of a PipelinedClient. The goroutine of the client sends and another one
// reads. mu guards the fields below it.
type session struct {
	client   *PipelinedClient
	target   *Target
	conn     net.Conn
	openedAt time.Duration // since the start of the cluster
	ended    chan struct{} // closed when read returns
	writeMu  sync.Mutex    // held while a message is written

	mu       sync.Mutex
	lastTag  int
	requests map[int]*openRequest // unanswered requests by tag
	closed   bool                 // either side has closed the connection
	answered bool                 // an answer was received on the connection
}

// openRequest is a request without an answer.
type openRequest struct {
	object    Object
	id        string // transaction ID
	key       string
	isRepeat  bool
	timeout   time.Duration // how long the client waits for an answer
	sentAt    time.Duration // when the last byte was written; 0 before
	received  bool          // see receivedAfter
	cancelled bool          // cancelled by the client; no answer is owed
	overdue   bool          // already counted as lost
}

func newSession(c *PipelinedClient, conn net.Conn) *session {
	return &session{client: c, target: c.Targets[c.Current], conn: conn, openedAt: c.Cluster.Now(), ended: make(chan struct{}), requests: map[int]*openRequest{}}
}

// openCount returns the number of open requests that were not cancelled.
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

// send writes the message of a request in the given number of pieces, with a pause between them,
// and returns its tag.
func (s *session) send(r *openRequest, pieces int, pause time.Duration) (tag int, err error) {
	s.mu.Lock()
	s.lastTag++
	tag = s.lastTag
	s.requests[tag] = r
	s.mu.Unlock()
	message := requestMessage(r.object, requestParameters{tag, r.id, r.timeout, r.isRepeat, r.key})
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
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
	s.client.Cluster.recordClientDeadline(r.id, r.sentAt+r.timeout)
	s.client.Cluster.recordClientKeyEvent(r.key, "request %s sent to %s, repeat %v, timeout %v", r.id, s.target.Addr, r.isRepeat, r.timeout)
	time.AfterFunc(receivedAfter, func() {
		if isEstablished(s.conn) {
			s.mu.Lock()
			r.received = true
			s.mu.Unlock()
		}
	})
	return tag, nil
}

// isEstablished reports whether neither side has closed the connection, as far as the kernel knows.
func isEstablished(conn net.Conn) (established bool) {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(descriptor uintptr) { // fails if this side has closed the connection
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == tcpEstablished
	})
	return established
}

// cancel cancels the request with the given tag, if it is open.
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
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	if _, err := s.conn.Write(cancelMessage(tag)); err == nil {
		s.client.Cluster.recordAbandoned(r.id)
	}
}

// close closes the connection. The director owes no answers to requests that are open on it.
func (s *session) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	closeQuietly(s.conn)
	for _, r := range s.requests {
		s.client.Cluster.recordAbandoned(r.id)
	}
}

// read handles answers until the connection ends.
func (s *session) read() {
	defer close(s.ended)
	answers := answerReader{conn: s.conn}
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(sweepInterval)); err != nil {
			return // the client has closed the connection
		}
		tag, answer, err := answers.next()
		switch {
		case err == nil:
			s.handleAnswer(tag, answer)
			s.client.Moments.Publish(AnswerReceived)
		case errors.Is(err, errNoAnswer):
			s.sweep()
		default:
			s.handleDisconnect(err)
			return
		}
	}
}

// handleAnswer checks and counts an answer.
func (s *session) handleAnswer(tag int, answer clientAnswer) {
	now := s.client.Cluster.Now()
	s.mu.Lock()
	r := s.requests[tag]
	delete(s.requests, tag)
	s.answered = true
	sentAt := now
	if r != nil && r.sentAt > 0 { // otherwise the answer arrived before send stored the time
		sentAt = r.sentAt
	}
	s.mu.Unlock()
	switch {
	case r == nil:
		s.client.Cluster.Clients.WithLock(func(s *ClientStats) { s.Duplicates++ })
	case r.cancelled: // the answer and the cancellation crossed on the wire
	default:
		s.client.Cluster.recordClientKeyEvent(r.key, "request %s answered: %s", r.id, answer.status)
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

// sweep counts requests that were not answered in time as lost.
func (s *session) sweep() {
	now := s.client.Cluster.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for tag, r := range s.requests {
		if r.sentAt > 0 && !r.cancelled && !r.overdue && now > r.sentAt+r.timeout+lateAnswerLimit {
			r.overdue = true
			s.recordLost(tag, r, "no answer in time")
		}
	}
}

// handleDisconnect counts the requests that are open when the director ends the connection. While
// idle clients use up the descriptors of a director, it may close new connections without reading
// from them, so requests on an unanswered connection do not count as lost then.
func (s *session) handleDisconnect(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	closeQuietly(s.conn)
	if s.closed {
		return
	}
	s.closed = true
	s.client.Moments.Publish(ConnectionEnded)
	killed := s.target.killedSince(s.openedAt)
	for tag, r := range s.requests {
		switch {
		case r.cancelled || r.overdue || r.sentAt == 0:
		case killed:
			s.client.Cluster.Clients.WithLock(func(s *ClientStats) { s.LostToKills++ })
		case !r.received || !s.answered && s.target.hasFullDescriptors():
			s.client.Cluster.Clients.WithLock(func(s *ClientStats) { s.CrossedEnds++ })
		default:
			s.recordLostAtEnd(tag, r, cause.Error())
		}
	}
}

// recordLost counts a request that was owed an answer and was not answered in time. The caller
// holds the lock.
func (s *session) recordLost(tag int, r *openRequest, cause string) {
	reason := s.lossReason(tag, r, cause)
	s.client.Cluster.Clients.WithLock(func(s *ClientStats) {
		s.Lost++
		s.LostReasons[reason]++
	})
}

// recordLostAtEnd records a request that was open when the director ended the connection. The
// caller holds the lock.
func (s *session) recordLostAtEnd(tag int, r *openRequest, cause string) {
	// Computed with the current clock of the machine, which may have been set since the start of
	// the cluster.
	sentAt := time.Now().Add(r.sentAt - s.client.Cluster.Now())
	lost := LostAtEnd{s.conn.LocalAddr().String(), sentAt, s.lossReason(tag, r, cause)}
	s.client.Cluster.Clients.WithLock(func(s *ClientStats) { s.LostAtEnds = append(s.LostAtEnds, lost) })
}

// lossReason describes a lost request and its connection. The caller holds the lock.
func (s *session) lossReason(tag int, r *openRequest, cause string) string {
	now := s.client.Cluster.Now()
	ago := func(at time.Duration) time.Duration { return (now - at).Round(time.Microsecond) }
	return fmt.Sprintf("%s tag %d (%s, id %s, repeat %v) sent %v before %v: %s; connection opened %v ago, answers received on it %v, SIGTERM %v ago",
		s.target.Addr, tag, r.object.Type.Name, r.id, r.isRepeat, ago(r.sentAt), s.client.Cluster.clockTime(), cause, ago(s.openedAt), s.answered,
		ago(s.target.terminationTime()))
}
