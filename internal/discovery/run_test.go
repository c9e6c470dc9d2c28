package discovery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/policy"
	"tallyproxy/stall"
)

// TestRun guards against events that are lost, duplicated or out of order when polls fail: the
// channel returns an error status, a truncated answer, a malformed answer and events that it has
// sent before.
func TestRun(t *testing.T) {
	polls, calls := make(chan string, 9), 0 // one poll at a time
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls <- r.URL.RequestURI()
		switch calls++; calls {
		case 1:
			respond(w, `{"cursor":1,"cmds":[`+listEvent+`]}`)
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			w.Header().Set("Content-Length", "999")
			respond(w, `{"cursor":2,"cmds":[`+removalEvent)
		case 4:
			respond(w, `{"cursor":2,"cmds":[{"cursor":2,"nodes":[]}]}`)
		case 5:
			respond(w, `{"cursor":1,"cmds":[]}`) // nothing new
		case 6:
			respond(w, `{"cursor":3,"cmds":[`+listEvent+","+removalEvent+","+objectPurge+`]}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	events, ended := make(chan Event, 9), make(chan struct{})
	client := New(testSite)
	client.SetAddress(strings.TrimPrefix(server.URL, "http://"))
	timeouts := policy.Timeouts{LongPoll: 1200_000, Connect: policy.Second, PollRetry: 1000}
	go func() {
		client.Run(ctx, timeouts, func(batch []Event) {
			for _, e := range batch {
				events <- e
			}
		})
		close(ended)
	}()
	for want := range int64(3) {
		select {
		case e := <-events:
			if e.Cursor != want+1 {
				t.Errorf("received event %d, want %d", e.Cursor, want+1)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("no event was received")
		}
	}
	stop()
	<-ended
	for i, want := range []int{0, 1, 1, 1, 1, 1} {
		var resume, block int
		got := <-polls
		if _, err := fmt.Sscanf(got, "/cmd/next?resume=%d&block=%d", &resume, &block); err != nil || resume != want || block < 600 || block > 1200 {
			t.Errorf("poll %d requested %s", i, got)
		}
	}
	if len(events) != 0 {
		t.Error("an event was received twice")
	}
}

// TestSilentChannel guards against a poll that waits forever for an answer: it must time out and be
// followed by another.
func TestSilentChannel(t *testing.T) {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
			<-r.Context().Done()
		default:
			respond(w, `{"cursor":1,"cmds":[`+listEvent+`]}`)
		}
	}))
	defer server.Close()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	events := make(chan []Event, 1)
	timeouts := policy.Timeouts{LongPoll: policy.Second / 20, Connect: policy.Second / 20, PollRetry: 1000}
	client := New(testSite)
	client.SetAddress(strings.TrimPrefix(server.URL, "http://"))
	go client.Run(ctx, timeouts, func(batch []Event) {
		events <- batch
		stop()
	})
	select {
	case batch := <-events:
		if len(batch) != 1 || batch[0].Cursor != 1 {
			t.Errorf("got %+v", batch)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no event was received")
	}
}

// TestRecoveryFromSilence guards against a long delay after an outage in which even dials were not
// answered: the channel must be polled soon after it is reachable again, however many polls timed
// out before.
func TestRecoveryFromSilence(t *testing.T) {
	listener, err := fakes.ListenUnresponsive()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }() // nothing is written to it
	timeouts := policy.Timeouts{Connect: policy.Second / 20, PollRetry: policy.Second / 100, LongPoll: policy.Second / 20}
	client := New(testSite)
	client.SetAddress(listener.Addr().String())
	events := make(chan []Event, 16)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go client.Run(ctx, timeouts, func(e []Event) { events <- e })
	for until := time.Now().Add(10 * time.Second); !client.Failing(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no poll failed")
		}
	}
	time.Sleep(10 * timeouts.Connect.Duration()) // several more polls time out
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		respond(w, `{"cursor":1,"cmds":[`+listEvent+`]}`)
	})}
	go func() { _ = server.Serve(listener) }() // runs until Close
	defer func() { _ = server.Close() }()      // its connections end with the test
	recovered := time.Now()
	select {
	case <-events:
		if took := time.Since(recovered); took > 5*time.Second {
			t.Errorf("polled only after %v", took)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the channel was not polled again")
	}
}

// TestAddressChange guards against a change of address that takes effect only when the current poll
// is answered, or that loses the position in the channel.
func TestAddressChange(t *testing.T) {
	polls := make(chan string, 9)
	channel := func(name, answer string) *httptest.Server {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			polls <- name + " " + r.URL.Query().Get("resume")
			if r.URL.Query().Get("resume") != "0" && name == "old" {
				<-r.Context().Done()
			}
			respond(w, answer)
		}))
		t.Cleanup(server.Close)
		return server
	}
	older := channel("old", `{"cursor":1,"cmds":[`+listEvent+`]}`)
	newer := channel("new", `{"cursor":2,"cmds":[`+listEvent+","+removalEvent+`]}`)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	client, ended := New(testSite), make(chan struct{})
	client.SetAddress(strings.TrimPrefix(older.URL, "http://"))
	var cursors []int64
	go func() {
		client.Run(ctx, policy.Timeouts{LongPoll: 60 * policy.Second, Connect: policy.Second}, func(batch []Event) {
			for _, e := range batch {
				cursors = append(cursors, e.Cursor)
			}
			if len(cursors) == 2 {
				stop()
			}
		})
		close(ended)
	}()
	for i, want := range []string{"old 0", "old 1", "new 1"} {
		select {
		case got := <-polls:
			if got != want {
				t.Errorf("polled %s, want %s", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("%s was not polled", want)
		}
		if i == 1 {
			client.SetAddress(strings.TrimPrefix(newer.URL, "http://"))
		}
	}
	<-ended
	if !reflect.DeepEqual(cursors, []int64{1, 2}) {
		t.Errorf("events %v", cursors)
	}
}

// TestAddressChangeClosesIdleConnection guards against an idle connection to the old address that
// stays open: no limit counts its file descriptor.
func TestAddressChangeClosesIdleConnection(t *testing.T) {
	closed := make(chan struct{}, 16)
	older := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		respond(w, `{"cursor":1,"cmds":[`+listEvent+`]}`)
	}))
	older.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			closed <- struct{}{}
		}
	}
	older.Start()
	defer older.Close()
	newer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer newer.Close()
	defer newer.CloseClientConnections()
	client := New(testSite)
	client.SetAddress(older.Listener.Addr().String())
	applied := make(chan struct{}, 16)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	timeouts := policy.Timeouts{Connect: 10 * policy.Second, PollRetry: policy.Second / 100, LongPoll: 3600 * policy.Second}
	go client.Run(ctx, timeouts, func([]Event) {
		// The address changes while the answer is applied; its connection is idle from here on.
		client.SetAddress(newer.Listener.Addr().String())
		applied <- struct{}{}
	})
	<-applied
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the connection is still open")
	}
}

// fakeMonitor is a StallMonitor whose suspect state the test sets.
type fakeMonitor struct {
	now     policy.Micros
	suspect bool // reset when a poll succeeds
	polls   chan donePoll
}

// donePoll is a poll that was reported to a fakeMonitor.
type donePoll struct {
	began policy.Micros
	ok    bool
}

// Now advances the clocks by a microsecond and returns their reading.
func (m *fakeMonitor) Now() stall.Reading {
	m.now++
	return stall.Reading{Monotonic: m.now, Wall: m.now}
}
func (m *fakeMonitor) Polled(stall.Reading) {}
func (m *fakeMonitor) Suspect() bool        { return m.suspect }
func (m *fakeMonitor) PollDone(began, _ stall.Reading, ok bool) {
	m.suspect = m.suspect && !ok
	m.polls <- donePoll{began.Monotonic, ok}
}

// TestPollNow guards against a PollNow in the suspect state that does not cancel the current poll
// or does not ask for an immediate answer, and against events that are applied after their poll was
// reported as done. A poll that is not answered must time out after the connect timeout.
func TestPollNow(t *testing.T) {
	blocks, held := make(chan string, 9), make(chan struct{}, 9)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		blocks <- r.FormValue("block")
		switch len(held) {
		case 0, 1: // the first poll waits for events, the second one is never answered
			held <- struct{}{}
			<-r.Context().Done()
		default:
			respond(w, `{"cursor":1,"cmds":[`+listEvent+`]}`)
		}
	}))
	defer server.Close()
	client, monitor := New(testSite), &fakeMonitor{polls: make(chan donePoll, 99)}
	client.SetStallMonitor(monitor)
	client.SetAddress(strings.TrimPrefix(server.URL, "http://"))
	ctx, cancel := context.WithCancel(t.Context())
	// For each call of apply, whether only the previous poll was reported as done.
	applied := make(chan bool, 99)
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(ctx, policy.Timeouts{LongPoll: 9 * policy.Second, Connect: policy.Second / 10, PollRetry: 1}, func([]Event) {
			applied <- len(monitor.polls) == 1
		})
	}()
	defer func() { cancel(); <-done }()
	if block := <-blocks; block != "9000" {
		t.Errorf("first poll may wait %s ms", block)
	}
	monitor.suspect = true
	client.PollNow()
	if block := <-blocks; block != "0" {
		t.Errorf("poll in the suspect state may wait %s ms", block)
	}
	if !<-applied {
		t.Error("events applied after their poll was reported as done, or unanswered poll not reported")
	}
	if unanswered := <-monitor.polls; unanswered.ok {
		t.Errorf("unanswered poll was reported as %+v", unanswered)
	}
	if next := <-monitor.polls; !next.ok {
		t.Errorf("next poll was reported as %+v", next)
	}
}
