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

// channelState is how the command channel behaves, and who has called it. The cluster's lock guards it.
type channelState struct {
	mode       ChannelMode
	retryAfter int // Retry-After, in seconds; 0 for none
	calls      []ChannelCall
	capacity   ChannelCapacity
	busyUntil  time.Duration // when the answers that were accepted so far are done
	outages    []outage
}

// outage is a time in which the channel did not serve; one that goes on has no end yet.
type outage struct{ from, until time.Duration }

const noEnd = time.Duration(math.MaxInt64)

// knownFrom is when something that was published at a time counts as known to directors: during an outage nobody can know, and for
// repollWithin after it they may not have polled, whether it was published before the outage's end or then.
func (s *channelState) knownFrom(at time.Duration) time.Duration {
	for _, o := range s.outages {
		if polled := min(o.until, noEnd-2*repollWithin) + repollWithin; at >= o.from && at < polled {
			return polled
		}
	}
	return at
}

// ChannelCapacity is what a command channel can do; the zero value has no limit.
type ChannelCapacity struct {
	PerCall  time.Duration // service time of a call
	PerEvent time.Duration // and of each event in its answer
	MaxWait  time.Duration // a call whose answer would take longer is refused
}

// SetChannelCapacity says what the command channel can do from now on.
func (c *Cluster) SetChannelCapacity(capacity ChannelCapacity) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.channelState.capacity = capacity
}

// refusalCost is the part of a call's service time that refusing it takes.
const refusalCost = 8

// schedule accepts an answer with a number of events, and returns how long it takes; false where that is too long. The caller holds the
// lock.
func (s *channelState) schedule(now time.Duration, events int) (time.Duration, bool) {
	takes := s.capacity.PerCall + time.Duration(events)*s.capacity.PerEvent
	if from := max(now, s.busyUntil); takes > 0 {
		if from+takes-now > s.capacity.MaxWait {
			s.busyUntil = from + s.capacity.PerCall/refusalCost
			return 0, false
		}
		s.busyUntil = from + takes
	}
	return max(0, s.busyUntil-now), true
}

// RollBackChannel loses the last events of the command channel, as a service does that is restored from a backup.
func (c *Cluster) RollBackChannel(events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = c.events[:max(1, len(c.events)-events)]
	c.wakePolls()
}

// wakePolls has polls that wait look again. The caller holds the lock.
func (c *Cluster) wakePolls() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ChannelMode is how the command channel behaves.
type ChannelMode int

// The modes of the command channel.
const (
	ChannelServing     ChannelMode = iota // it answers
	ChannelUnavailable                    // it answers 503
	ChannelHanging                        // it accepts calls and does not answer
	ChannelTruncating                     // it breaks its answers off
)

// ChannelCall is a call of the command channel.
type ChannelCall struct {
	At       time.Duration // since the cluster's start
	Answered bool          // with events, or with none at the end of its wait
	Refused  bool          // it was answered with an error, or not at all
	Events   int           // in its answer
}

// SetChannelMode changes how the command channel behaves. retryAfter is the Retry-After of a channel that is unavailable, in seconds, 0
// for none. Calls that wait are answered at once, as by a service that restarts.
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

// ChannelCalls returns every call so far, in the order of their beginnings.
func (c *Cluster) ChannelCalls() []ChannelCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.channelState.calls)
}

// CutSecondPath closes or opens the way by which directors with odd numbers reach the channel. Calls that wait there are cut off.
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

// MoveChannel has the command channel listen at another address, which new configurations name; the old one closes a while later.
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

// channelMoveOverlap is how long the old address of a channel that has moved still answers.
const channelMoveOverlap = 1500 * time.Millisecond

// serveHTTP serves until the server is closed.
func serveHTTP(server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("command channel ended", "err", err)
	}
}

// publish puts an event on the command channel. The caller holds the lock.
func (c *Cluster) publish(event map[string]any) {
	event["cursor"] = len(c.events) + 1
	c.events = append(c.events, event)
	c.wakePolls()
}

// servePoll answers a poll once there are events after the caller's cursor ("resume"), or after "block" milliseconds.
func (c *Cluster) servePoll(out http.ResponseWriter, r *http.Request) {
	cursor, _ := strconv.Atoi(r.FormValue("resume")) // what is no number reads as 0: all events, at once
	block, _ := strconv.Atoi(r.FormValue("block"))
	c.mu.Lock()
	number := len(c.channelState.calls)
	c.channelState.calls = append(c.channelState.calls, ChannelCall{At: c.now()})
	if !c.awaitEvents(r.Context(), cursor, time.Duration(block)*time.Millisecond) {
		c.mu.Unlock()
		return
	}
	answer, takes := c.pollAnswer(cursor)
	call := &c.channelState.calls[number]
	call.Answered, call.Refused = answer.mode == ChannelServing, answer.mode != ChannelServing
	call.Events = len(answer.events)
	c.mu.Unlock()
	if Sleep(r.Context(), takes) {
		answer.write(out, r)
	}
}

// awaitEvents waits, for a time at the most, until there are events after a cursor or the channel does not serve; false where the caller
// has left. The caller holds the lock, which is given up while waiting.
func (c *Cluster) awaitEvents(ctx context.Context, cursor int, atMost time.Duration) bool {
	timer := time.NewTimer(atMost)
	defer timer.Stop()
	for len(c.events) == cursor && c.channelState.mode == ChannelServing {
		changed, expired, left := c.changed, false, false
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			left = true
		}
		c.mu.Lock()
		if left {
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
	last       int // the last event's cursor
	events     []map[string]any
	retryAfter int
}

// pollAnswer makes the answer to a poll, and says how long it takes. The caller holds the lock.
func (c *Cluster) pollAnswer(cursor int) (answer pollAnswer, takes time.Duration) {
	state := &c.channelState
	answer = pollAnswer{
		mode:       state.mode,
		last:       len(c.events),
		events:     slices.Clone(c.events[min(max(0, cursor), len(c.events)):]),
		retryAfter: state.retryAfter,
	}
	if answer.mode == ChannelServing {
		var accepted bool
		if takes, accepted = state.schedule(c.now(), len(answer.events)); !accepted {
			answer.mode = ChannelUnavailable
		}
	}
	return answer, takes
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
		slog.Debug("poll not answered", "err", err) // the director has left
	}
}

// channelAddress is the address at which a director of a name reaches the channel. The caller holds the lock.
func (c *Cluster) channelAddress(name string) string {
	if trailingNumber(name)%2 == 1 && c.SecondPath {
		return c.secondListener.Addr().String()
	}
	return c.channel.Addr().String()
}
