// Package feed follows the command channel: purges and changes of the list of nodes, as numbered events.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tallyproxy/backoff"
	"tallyproxy/internal/config"
	"tallyproxy/internal/logevent"
	"tallyproxy/policy"
	"tallyproxy/stall"
)

const largest = 8 << 20 // bytes of one answer

// Endpoint is an entry of the list, with its address.
type Endpoint struct {
	policy.Endpoint
	Address string
}

// Event is one of the channel's: a list, whole or of changes, or a purge of an object or a group.
type Event struct {
	Cursor       int64
	HasEndpoints bool
	Snapshot     bool
	Endpoints    []Endpoint
	Object       string
	Group        int
	PurgedAt     policy.Micros
}

type answer struct {
	Cursor *int64 `json:"cursor"`
	Cmds   []struct {
		Cursor int64 `json:"cursor"`
		Nodes  *struct {
			Snapshot  bool `json:"snapshot"`
			Endpoints []struct {
				Name    string   `json:"name"`
				Address string   `json:"address"`
				Zone    string   `json:"zone"`
				Type    string   `json:"type"`
				Group   int      `json:"group"`
				Status  string   `json:"status"`
				Weight  *float64 `json:"weight"`
				Since   float64  `json:"since_ms"`
			} `json:"endpoints"`
		} `json:"nodes"`
		Drop *struct {
			ID     string  `json:"id"`
			Family *int    `json:"family"`
			When   float64 `json:"when"`
		} `json:"drop"`
	} `json:"cmds"`
}

var states = map[string]policy.EndpointState{
	"up": policy.Ready, "draining": policy.Draining, "removed": policy.Removed,
}

// Client holds where it stands in the channel.
type Client struct {
	site   config.Site
	cursor int64
	own    StallMonitor
	seed   uint64
	may    func() bool // whether to ask now; nil for always
	wake   chan struct{}

	mu    sync.Mutex
	fails bool // the last call did
	quick bool // the next one is to wait for nothing
	addr  string
	leave context.CancelFunc // ends the call under way
}

// StallMonitor is how a director looks after its own time: it hears of the calls, and says whether one is needed now.
type StallMonitor interface {
	Now() stall.Reading
	Polled(stall.Reading)
	PollDone(began, now stall.Reading, ok bool)
	Suspect() bool
}

// New makes a feed that has read nothing yet.
func New(site config.Site) *Client {
	return &Client{site: site, leave: func() {}, wake: make(chan struct{}, 1)}
}

// SetStallMonitor has calls told to one that looks after the director's own time; before Follow.
func (f *Client) SetStallMonitor(own StallMonitor) { f.own = own }

// SetSeed says where this director's chance begins, so that a fleet does not call in step; before Follow.
func (f *Client) SetSeed(seed uint64) { f.seed = seed }

// SetShouldPoll has the channel asked only while it is said that it may be: others ask it too, and tell. Before Follow.
func (f *Client) SetShouldPoll(may func() bool) { f.may = may }

// Wake has it seen at once whether the channel may be asked.
func (f *Client) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// PollNow gives up the call under way: what it brings may be old, and the next one is wanted now.
func (f *Client) PollNow() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leave()
	f.Wake()
}

// Refresh has the channel asked at once, for what it has to tell by now: others know more.
func (f *Client) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quick = true
	f.leave()
	f.Wake()
}

// Failing says whether the channel did not answer the last call.
func (f *Client) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fails
}

// SetAddress says at which address to ask from now on; the numbers go on.
func (f *Client) SetAddress(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr != addr {
		f.addr = addr
		f.leave()
	}
}

// DecodeKnown reads the configuration's events.
func (f *Client) DecodeKnown(raw []byte) ([]Event, error) {
	events, err := f.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return events, nil
}

// Decode takes an answer, or the events known at the start, and gives those that are new. An answer that can't be
// read changes nothing.
func (f *Client) Decode(raw []byte) ([]Event, error) {
	var a answer
	if err := json.Unmarshal(raw, &a); err != nil {
		return nil, err
	}
	if a.Cursor == nil {
		return nil, errors.New("cursor: missing")
	}
	var events []Event
	last := f.cursor
	for i, cmd := range a.Cmds {
		if cmd.Cursor <= last {
			continue // had before
		}
		e := Event{Cursor: cmd.Cursor, Group: -1}
		switch {
		case cmd.Nodes != nil:
			e.HasEndpoints, e.Snapshot = true, cmd.Nodes.Snapshot || cmd.Cursor == 1
			for _, row := range cmd.Nodes.Endpoints {
				n := Endpoint{Address: row.Address}
				n.ID, n.Cell, n.Weight, n.Started = row.Name, row.Group, 1, policy.Micros(row.Since*1000)
				if row.Weight != nil {
					n.Weight = *row.Weight
				}
				n.Zone, n.Kind = slices.Index(f.site.ZoneNames, row.Zone), slices.Index(f.site.KindNames, row.Type)
				state, ok := states[row.Status]
				if !ok || row.Name == "" || strings.ContainsAny(row.Name, " ,=\r\n") {
					return nil, fmt.Errorf("cmds[%d].nodes: status %q of name %q can't be used", i, row.Status, row.Name)
				}
				if state != policy.Removed && (n.Zone < 0 || n.Kind < 0) {
					return nil, fmt.Errorf("cmds[%d].nodes: zone %q or type %q is not in the settings", i, row.Zone, row.Type)
				}
				n.State = state
				e.Endpoints = append(e.Endpoints, n)
			}
		case cmd.Drop != nil:
			e.Object, e.PurgedAt = cmd.Drop.ID, policy.Micros(cmd.Drop.When*1000)
			if cmd.Drop.Family != nil {
				e.Group = *cmd.Drop.Family
			}
			if e.Object == "" && e.Group < 0 {
				return nil, fmt.Errorf("cmds[%d].drop: neither id nor family", i)
			}
		default:
			slog.Warn(logevent.DiscoveryUnknownCommand, "cursor", cmd.Cursor)
		}
		last = cmd.Cursor
		events = append(events, e)
	}
	if f.may != nil && *a.Cursor < f.cursor {
		// It has started anew with fewer events than it had told: all that it has is read again. Where whole lists are made of what it
		// tells nothing is undone by that.
		slog.Warn(logevent.DiscoveryRestarted, "cursor", f.cursor, "last", *a.Cursor)
		f.cursor = 0
		return nil, nil
	}
	if f.cursor = last; len(a.Cmds) == 0 {
		f.cursor = max(last, *a.Cursor)
	}
	return events, nil
}

// dialIPv4 keeps the channel's connections on TCP over IPv4: the fleet's bench refuses other sockets, and a
// name that also stands for an IPv6 address must not open one. A call that is given up leaves its dial to go on, and two at most
// may be under way: without an end of their own those that nobody answers would keep all later calls back.
func dialIPv4(within time.Duration) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		d := net.Dialer{Timeout: within}
		return d.DialContext(ctx, "tcp4", addr)
	}
}

// Run asks the channel for what comes next until the context ends, each time at the address that Move named last.
// Each answer's events are handed on together and in order. When it asks is for manners to say, but in doubt, when it is at once.
func (f *Client) Run(ctx context.Context, m policy.Timeouts, apply func([]Event)) {
	client := &http.Client{
		Timeout:   span(m.LongPoll) + 2*span(m.Connect),
		Transport: &http.Transport{MaxConnsPerHost: 2, DisableCompression: true, DialContext: dialIPv4(span(m.Connect))},
	}
	defer client.CloseIdleConnections()
	times := backoff.DeriveIntervals(f.site.Settings, m)
	if f.may != nil {
		times = times.ForDelegates()
	}
	failed, caller, asked := false, backoff.New(times, f.seed), ""
	pause, poll := caller.First()
	f.rest(ctx, pause)
	for ctx.Err() == nil {
		if f.may != nil && !f.may() {
			if f.own != nil {
				f.own.Polled(f.own.Now())
			}
			select { // it is woken; it looks now and then all the same
			case <-f.wake:
			case <-time.After(span(m.StallThreshold)):
			case <-ctx.Done():
			}
			continue
		}
		call, leave := context.WithCancel(ctx)
		f.mu.Lock()
		f.leave = leave
		addr, quick := f.addr, f.quick
		f.quick = false
		f.mu.Unlock()
		if asked != addr { // what rests to the old address keeps a descriptor
			client.CloseIdleConnections()
			asked = addr
		}
		wait, bound := span(poll), span(poll)+2*span(m.Connect)
		if quick {
			wait, bound = 0, span(m.Connect)
		}
		var began stall.Reading
		if f.own != nil {
			began = f.own.Now()
			f.own.Polled(began)
			if f.own.Suspect() { // after leave is set: a doubt that comes later gives this call up
				wait, bound = 0, span(m.Connect)
			}
		}
		begun := time.Now()
		asking, done := context.WithTimeout(call, bound)
		events, err := f.ask(asking, client, fmt.Sprintf("http://%s/cmd/next?resume=%d&block=%d", addr, f.cursor, wait.Milliseconds()))
		done()
		if err == nil && len(events) > 0 {
			apply(events)
		}
		if f.own != nil && (err == nil || call.Err() == nil) {
			f.own.PollDone(began, f.own.Now(), err == nil)
		}
		end, back := backoff.Unchanged, time.Duration(0)
		switch {
		case err == nil && len(events) > 0:
			end = backoff.Changed
		case call.Err() != nil:
			end = backoff.Canceled
		case err != nil:
			end, back = ending(err)
		}
		if err == nil && failed {
			slog.Info(logevent.DiscoveryPollRecovered, "cursor", f.cursor)
		} else if err != nil && !failed && end != backoff.Canceled {
			slog.Warn(logevent.DiscoveryPollFailed, "cursor", f.cursor, "result", end.String(), "err", err)
		}
		failed = err != nil && (failed || end != backoff.Canceled)
		f.mu.Lock()
		f.fails = failed
		f.mu.Unlock()
		late := time.Since(begun) - wait
		if pause, poll = caller.Next(end, policy.Micros(late/time.Microsecond), policy.Micros(back/time.Microsecond)); wait == 0 {
			pause = m.PollRetry * policy.Micros(bit(err != nil)) // in doubt
		}
		f.rest(call, pause)
		leave()
	}
}

// rest waits; it ends early with the context, which another address or a doubt ends too.
func (f *Client) rest(ctx context.Context, pause policy.Micros) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(span(pause))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func span(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }

func bit(on bool) int {
	if on {
		return 1
	}
	return 0
}

// unwell is an answer that is none.
type unwell struct {
	status int
	back   time.Duration // Retry-After
}

func (u unwell) Error() string { return fmt.Sprintf("status %d", u.status) }

var errHalf = errors.New("half an answer")

// ending says how a call failed, and after how long the service has said to come back.
func ending(err error) (backoff.PollResult, time.Duration) {
	var u unwell
	var timed net.Error
	switch {
	case errors.As(err, &u) && (u.status >= 500 || u.status == http.StatusTooManyRequests):
		return backoff.Unavailable, u.back
	case errors.As(err, &u):
		return backoff.Malformed, 0
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &timed) && timed.Timeout():
		return backoff.TimedOut, 0
	case errors.Is(err, errHalf):
		return backoff.Truncated, 0
	case errors.Is(err, errCall):
		return backoff.ConnectFailed, 0
	}
	return backoff.Malformed, 0
}

var errCall = errors.New("no answer")

// retryAfter reads the header of that name, seconds or a date; 0 where there is none.
func retryAfter(text string) time.Duration {
	if n, err := strconv.ParseUint(text, 10, 31); err == nil {
		return time.Duration(n) * time.Second
	}
	if at, err := http.ParseTime(text); err == nil {
		return max(0, time.Until(at))
	}
	return 0
}

// ask makes one call; a panic over what it brings is an error as any other.
func (f *Client) ask(ctx context.Context, client *http.Client, url string) (events []Event, err error) {
	defer func() {
		if bad := recover(); bad != nil {
			events, err = nil, fmt.Errorf("panic: %v", bad)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errCall, err)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, largest))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errHalf, err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, unwell{resp.StatusCode, retryAfter(resp.Header.Get("Retry-After"))}
	}
	events, err = f.Decode(raw)
	if cut := (*json.SyntaxError)(nil); errors.As(err, &cut) && cut.Offset >= int64(len(raw)) {
		err = fmt.Errorf("%w: %w", errHalf, err)
	}
	return events, err
}
