package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// channelState is the behavior of the command channel and a record of its calls. The lock of the
// cluster guards it.
type channelState struct {
	mode       ChannelMode
	retryAfter int // Retry-After in seconds; 0 for none
	calls      []ChannelCall
	capacity   ChannelCapacity
	busyUntil  time.Duration // when all accepted answers are complete
	outages    []outage
}

// outage is a period in which the channel did not serve; until is noEnd while it lasts.
type outage struct{ from, until time.Duration }

const noEnd = time.Duration(math.MaxInt64)

// knownFrom returns when directors count as knowing something published at a given time. During an
// outage no director can learn it, and after the outage directors have repollWithin to poll again.
// The same delay applies to what is published within repollWithin after the outage.
func (s *channelState) knownFrom(at time.Duration) time.Duration {
	for _, o := range s.outages {
		if polled := min(o.until, noEnd-2*repollWithin) + repollWithin; at >= o.from && at < polled {
			return polled
		}
	}
	return at
}

// ChannelCapacity is the capacity of the command channel. The zero value has no limit.
type ChannelCapacity struct {
	PerCall  time.Duration // service time of a call
	PerEvent time.Duration // service time of each event in the answer
	MaxWait  time.Duration // a call whose answer would take longer is refused
}

// SetChannelCapacity sets the capacity of the command channel for later calls.
func (c *Cluster) SetChannelCapacity(capacity ChannelCapacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.channelState.capacity = capacity
}

// refusalCost is the divisor of PerCall that gives the service time of a refusal.
const refusalCost = 8

// schedule reserves channel capacity for an answer with the given number of events and returns the
// delay until the answer is complete. It returns false if the delay exceeds MaxWait. The caller
// holds the lock.
func (s *channelState) schedule(now time.Duration, events int) (time.Duration, bool) {
	serviceTime := s.capacity.PerCall + time.Duration(events)*s.capacity.PerEvent
	if from := max(now, s.busyUntil); serviceTime > 0 {
		if from+serviceTime-now > s.capacity.MaxWait {
			s.busyUntil = from + s.capacity.PerCall/refusalCost
			return 0, false
		}
		s.busyUntil = from + serviceTime
	}
	return max(0, s.busyUntil-now), true
}

// RollBackChannel drops the last events of the command channel, like a service restored from a
// backup.
func (c *Cluster) RollBackChannel(events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = c.events[:max(1, len(c.events)-events)]
	c.wakePolls()
}

// wakePolls makes waiting polls check the channel again. The caller holds the lock.
func (c *Cluster) wakePolls() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ChannelMode is a behavior of the command channel.
type ChannelMode int

// The modes of the command channel.
const (
	ChannelServing     ChannelMode = iota // answers normally
	ChannelUnavailable                    // answers 503
	ChannelHanging                        // accepts calls and never answers
	ChannelTruncating                     // truncates its answers
)

// ChannelCall describes one call of the command channel.
type ChannelCall struct {
	At       time.Duration // since the start of the cluster
	Answered bool          // with events, or with none when its wait expired
	Refused  bool          // answered with an error or not at all
	Events   int           // number of events in the answer
}

// SetChannelMode changes the behavior of the command channel. retryAfter is the Retry-After value
// in seconds that ChannelUnavailable sends, 0 for none. If the channel stops serving, the new mode
// applies to waiting calls at once, as at a service that restarts.
func (c *Cluster) SetChannelMode(mode ChannelMode, retryAfter int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := &c.channelState
	switch wasServing, serves := state.mode == ChannelServing, mode == ChannelServing; {
	case wasServing && !serves:
		state.outages = append(state.outages, outage{c.now(), noEnd})
	case !wasServing && serves:
		state.outages[len(state.outages)-1].until = c.now()
	}
	state.mode, state.retryAfter = mode, retryAfter
	c.wakePolls()
}

// ChannelCalls returns all calls so far, in order of arrival.
func (c *Cluster) ChannelCalls() []ChannelCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.channelState.calls)
}

// CutSecondPath closes or reopens the second address of the channel, which directors with odd
// numbers use. Closing it disconnects the calls that wait there.
func (c *Cluster) CutSecondPath(cut bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cut {
		return c.secondServer.Close()
	}
	addr := "127.0.0.1:0"
	if c.secondListener != nil {
		addr = c.secondListener.Addr().String()
	}
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	c.secondListener, c.secondServer = l, &http.Server{Handler: &c.ChannelMux}
	go serveHTTP(c.secondServer, l)
	return nil
}

// MoveChannel makes the command channel listen at a new address, which new configurations name. The
// old address closes after channelMoveOverlap.
func (c *Cluster) MoveChannel() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.server
	c.channel, c.server = l, &http.Server{Handler: &c.ChannelMux}
	go serveHTTP(c.server, l)
	time.AfterFunc(channelMoveOverlap, func() { closeQuietly(old) })
	return nil
}

// channelMoveOverlap is how long the old address of a moved channel still answers.
const channelMoveOverlap = 1500 * time.Millisecond

// serveHTTP serves until the server is closed.
func serveHTTP(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("command channel server failed", "err", err)
	}
}

// publish appends an event to the command channel. The caller holds the lock.
func (c *Cluster) publish(event map[string]any) {
	event["cursor"] = len(c.events) + 1
	c.events = append(c.events, event)
	c.wakePolls()
}

// servePoll answers a poll as soon as there are events after the cursor of the caller ("resume"),
// or after "block" milliseconds.
func (c *Cluster) servePoll(out http.ResponseWriter, r *http.Request) {
	// An invalid number reads as 0: all events at once.
	cursor, _ := strconv.Atoi(r.FormValue("resume"))
	block, _ := strconv.Atoi(r.FormValue("block"))
	c.mu.Lock()
	index := len(c.channelState.calls)
	c.channelState.calls = append(c.channelState.calls, ChannelCall{At: c.now()})
	if !c.awaitEvents(r.Context(), cursor, time.Duration(block)*time.Millisecond) {
		c.mu.Unlock()
		return
	}
	answer, serviceTime := c.pollAnswer(cursor)
	call := &c.channelState.calls[index]
	call.Answered, call.Refused = answer.mode == ChannelServing, answer.mode != ChannelServing
	call.Events = len(answer.events)
	c.mu.Unlock()
	if Sleep(r.Context(), serviceTime) {
		answer.write(out, r)
	}
}

// awaitEvents waits until there are events after the cursor, the channel stops serving, or the
// timeout expires. It does not wait if the cursor is beyond the last event, as after
// RollBackChannel. It returns false if the caller has disconnected. The caller holds the lock,
// which is released while waiting.
func (c *Cluster) awaitEvents(ctx context.Context, cursor int, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for len(c.events) == cursor && c.channelState.mode == ChannelServing {
		changed, expired, disconnected := c.changed, false, false
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			disconnected = true
		}
		c.mu.Lock()
		if disconnected {
			return false
		}
		if expired {
			break
		}
	}
	return true
}

// pollAnswer is the answer to a poll.
type pollAnswer struct {
	mode       ChannelMode
	last       int // cursor of the last event
	events     []map[string]any
	retryAfter int
}

// pollAnswer returns the answer to a poll and the time that serving it takes. The caller holds the
// lock.
func (c *Cluster) pollAnswer(cursor int) (answer pollAnswer, serviceTime time.Duration) {
	state := &c.channelState
	answer = pollAnswer{
		mode:       state.mode,
		last:       len(c.events),
		events:     slices.Clone(c.events[min(max(0, cursor), len(c.events)):]),
		retryAfter: state.retryAfter,
	}
	if answer.mode == ChannelServing {
		var accepted bool
		if serviceTime, accepted = state.schedule(c.now(), len(answer.events)); !accepted {
			answer.mode = ChannelUnavailable
		}
	}
	return answer, serviceTime
}

func (a *pollAnswer) write(out http.ResponseWriter, r *http.Request) {
	var err error
	switch a.mode {
	case ChannelServing:
		err = json.NewEncoder(out).Encode(map[string]any{"cursor": a.last, "cmds": a.events})
	case ChannelUnavailable:
		if a.retryAfter > 0 {
			out.Header().Set("Retry-After", strconv.Itoa(a.retryAfter))
		}
		out.WriteHeader(http.StatusServiceUnavailable)
	case ChannelHanging:
		<-r.Context().Done()
	case ChannelTruncating:
		out.Header().Set("Content-Length", "4096")
		_, err = fmt.Fprintf(out, `{"cursor":%d,"cmds":[{"cur`, a.last)
	}
	if err != nil {
		slog.Debug("writing the answer to a poll failed", "err", err) // the director disconnected
	}
}

// channelAddress returns the address at which the named director reaches the channel. The caller
// holds the lock.
func (c *Cluster) channelAddress(name string) string {
	if trailingNumber(name)%2 == 1 && c.SecondPath {
		return c.secondListener.Addr().String()
	}
	return c.channel.Addr().String()
}
