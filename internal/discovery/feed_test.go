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

	"tallyproxy/backoff"
	"tallyproxy/internal/config"
	"tallyproxy/internal/fakes"
	"tallyproxy/policy"
	"tallyproxy/stall"
)

var site = config.Site{ZoneNames: []string{"east", "west"}, KindNames: []string{"std", "parent"}}

const (
	list = `{"cursor":1,"nodes":{"index":7,"snapshot":true,"endpoints":[` +
		`{"name":"s1","address":"10.1.0.9:1","zone":"west","type":"std","group":2,"status":"up","weight":4,"since_ms":0},` +
		`{"name":"p1","address":"10.1.0.9:2","zone":"east","type":"parent","status":"draining","since_ms":1764576000123}]}}`
	gone   = `{"cursor":2,"nodes":{"index":8,"endpoints":[{"name":"s1","status":"removed"}]}}`
	object = `{"cursor":3,"drop":{"id":"7f3a9c21e0b4d655","when":1764576000123}}`
	group  = `{"cursor":4,"drop":{"family":0,"when":1764576000480}}`
)

func TestRead(t *testing.T) {
	f := New(site)
	events, err := f.Decode([]byte(`{"cursor":3,"cmds":[` + list + "," + gone + "," + object + `]}`))
	if err != nil || len(events) != 3 {
		t.Fatalf("%+v, %v", events, err)
	}
	want := Event{Cursor: 1, HasEndpoints: true, Snapshot: true, Group: -1, Endpoints: []Endpoint{
		{policy.Endpoint{ID: "s1", Zone: 1, Cell: 2, Weight: 4}, "10.1.0.9:1"},
		{policy.Endpoint{ID: "p1", Kind: 1, State: policy.Draining, Weight: 1, Started: 1764576000123000}, "10.1.0.9:2"},
	}}
	if !reflect.DeepEqual(events[0], want) {
		t.Errorf("got %+v, want %+v", events[0], want)
	}
	if e := events[1]; e.Snapshot || e.Endpoints[0].State != policy.Removed {
		t.Errorf("a change read as %+v", e)
	}
	if e := events[2]; e.HasEndpoints || e.Object != "7f3a9c21e0b4d655" || e.Group != -1 || e.PurgedAt != 1764576000123000 {
		t.Errorf("a purge read as %+v", e)
	}
	events, err = f.Decode([]byte(`{"cursor":9,"cmds":[` + object + "," + group + `]}`)) // one of them was had before
	if err != nil || len(events) != 1 || events[0].Group != 0 || events[0].Object != "" || f.cursor != 4 {
		t.Errorf("%+v, %v, cursor %d", events, err, f.cursor)
	}
}

func TestUnreadableChangesNothing(t *testing.T) {
	cases := []struct{ name, in string }{
		{"cut off", `{"cursor":2,"cmds":[` + list},
		{"no cursor", `{"cmds":[` + list + `]}`},
		{"a state", `{"cursor":2,"cmds":[` + list + "," + strings.Replace(gone, "removed", "odd", 1) + `]}`},
		{"a zone", `{"cursor":2,"cmds":[` + strings.Replace(list, "west", "odd", 1) + `]}`},
		{"a kind", `{"cursor":2,"cmds":[` + strings.Replace(list, `"std"`, `"odd"`, 1) + `]}`},
		{"a name", `{"cursor":2,"cmds":[` + strings.Replace(list, `"s1"`, `"s 1"`, 1) + `]}`},
		{"a purge of nothing", `{"cursor":2,"cmds":[` + list + `,{"cursor":2,"drop":{"when":1}}]}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := New(site)
			if events, err := f.Decode([]byte(c.in)); err == nil || events != nil || f.cursor != 0 {
				t.Errorf("%+v, %v, cursor %d", events, err, f.cursor)
			}
		})
	}
}

// The channel answers, fails, breaks off, answers rubbish, then too much: each event comes once, in order.
func TestFollow(t *testing.T) {
	asked, calls := make(chan string, 9), 0 // the channel is asked by one at a time
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RequestURI()
		switch calls++; calls {
		case 1:
			fmt.Fprint(w, `{"cursor":1,"cmds":[`+list+`]}`)
		case 2:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 3:
			w.Header().Set("Content-Length", "999")
			fmt.Fprint(w, `{"cursor":2,"cmds":[`+gone)
		case 4:
			fmt.Fprint(w, `{"cursor":2,"cmds":[{"cursor":2,"nodes":[]}]}`)
		case 5:
			fmt.Fprint(w, `{"cursor":1,"cmds":[]}`) // nothing new for so long
		case 6:
			fmt.Fprint(w, `{"cursor":3,"cmds":[`+list+","+gone+","+object+`]}`)
		default:
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	events, ended := make(chan Event, 9), make(chan struct{})
	f := New(site)
	f.SetAddress(strings.TrimPrefix(server.URL, "http://"))
	m := policy.Timeouts{LongPoll: 1200_000, Connect: policy.Second, PollRetry: 1000}
	go func() {
		f.Run(ctx, m, func(batch []Event) {
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
				t.Errorf("event %d came, want %d", e.Cursor, want+1)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("no event came")
		}
	}
	stop()
	<-ended
	for i, want := range []int{0, 1, 1, 1, 1, 1} {
		var resume, block int
		got := <-asked
		if _, err := fmt.Sscanf(got, "/cmd/next?resume=%d&block=%d", &resume, &block); err != nil || resume != want || block < 600 || block > 1200 {
			t.Errorf("call %d was for %s", i, got)
		}
	}
	if len(events) != 0 {
		t.Error("an event came twice")
	}
}

// A channel that takes the call and says nothing is left after a while, and asked again.
func TestSilentChannel(t *testing.T) {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
			<-r.Context().Done()
		default:
			fmt.Fprint(w, `{"cursor":1,"cmds":[`+list+`]}`)
		}
	}))
	defer server.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	events := make(chan []Event, 1)
	m := policy.Timeouts{LongPoll: policy.Second / 20, Connect: policy.Second / 20, PollRetry: 1000}
	f := New(site)
	f.SetAddress(strings.TrimPrefix(server.URL, "http://"))
	go f.Run(ctx, m, func(batch []Event) {
		events <- batch
		stop()
	})
	select {
	case batch := <-events:
		if len(batch) != 1 || batch[0].Cursor != 1 {
			t.Errorf("got %+v", batch)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("no event came")
	}
}

// A channel at another address is asked at once, from the last event on, though the old one holds its answer back.
func TestMove(t *testing.T) {
	asked := make(chan string, 9)
	channel := func(name, answer string) *httptest.Server {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- name + " " + r.URL.Query().Get("resume")
			if r.URL.Query().Get("resume") != "0" && name == "old" {
				<-r.Context().Done()
			}
			fmt.Fprint(w, answer)
		}))
		t.Cleanup(server.Close)
		return server
	}
	older := channel("old", `{"cursor":1,"cmds":[`+list+`]}`)
	newer := channel("new", `{"cursor":2,"cmds":[`+list+","+gone+`]}`)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	f, ended := New(site), make(chan struct{})
	f.SetAddress(strings.TrimPrefix(older.URL, "http://"))
	var cursors []int64
	go func() {
		f.Run(ctx, policy.Timeouts{LongPoll: 60 * policy.Second, Connect: policy.Second}, func(batch []Event) {
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
		case got := <-asked:
			if got != want {
				t.Errorf("asked %s, want %s", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("not asked: %s", want)
		}
		if i == 1 {
			f.SetAddress(strings.TrimPrefix(newer.URL, "http://"))
		}
	}
	<-ended
	if !reflect.DeepEqual(cursors, []int64{1, 2}) {
		t.Errorf("events %v", cursors)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"cursor":4,"cmds":[` + list + "," + gone + "," + object + "," + group + `]}`))
	f.Add([]byte(`{"cursor":1e3,"cmds":[{"cursor":1,"nodes":{"endpoints":[{}]}}]}`))
	f.Add([]byte(`{"cursor":1,"cmds":[{"cursor":1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		feed := New(site)
		events, err := feed.Decode(raw)
		if err != nil && (events != nil || feed.cursor != 0) {
			t.Errorf("half applied: %+v, cursor %d, %v", events, feed.cursor, err)
		}
		for i, e := range events {
			if e.Cursor > feed.cursor || i > 0 && e.Cursor <= events[i-1].Cursor {
				t.Errorf("out of order: %+v, cursor %d", events, feed.cursor)
			}
		}
	})
}

// Each way in which a call fails is told apart.
func TestEndings(t *testing.T) {
	cases := []struct {
		name  string
		serve http.HandlerFunc // nil: nobody listens
		want  backoff.PollResult
		back  time.Duration
	}{
		{"nobody listens", nil, backoff.ConnectFailed, 0},
		{"closed before an answer", func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }, backoff.ConnectFailed, 0},
		{"short", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, backoff.Unavailable, 0},
		{"short, with a time", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "5")
			w.WriteHeader(http.StatusTooManyRequests)
		}, backoff.Unavailable, 5 * time.Second},
		{"short, with a time that is none", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", "-5")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, backoff.Unavailable, 0},
		{"not found", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, backoff.Malformed, 0},
		{"broken off", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "999")
			fmt.Fprint(w, `{"cursor":2,`)
		}, backoff.Truncated, 0},
		{"half, and said to be whole", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"cursor":2,"cmds":[`) }, backoff.Truncated, 0},
		{"rubbish", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"cursor":"x"}`) }, backoff.Malformed, 0},
		{"silent", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, backoff.TimedOut, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.serve)
			if c.serve == nil {
				server.Close()
			}
			defer server.Close()
			ctx, leave := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer leave()
			client := &http.Client{}
			defer client.CloseIdleConnections()
			_, err := New(site).ask(ctx, client, server.URL+"/cmd/next")
			if end, back := ending(err); end != c.want || back != c.back {
				t.Errorf("%v: %v, back after %v; want %v, %v", err, end, back, c.want, c.back)
			}
		})
	}
}

// own is a director whose time has jumped while a call was under way.
type own struct {
	now     policy.Micros
	doubted bool
	ended   chan [2]policy.Micros // of calls: begun, and whether it answered
}

func (o *own) Now() stall.Reading   { o.now++; return stall.Reading{Monotonic: o.now, Wall: o.now} }
func (o *own) Polled(stall.Reading) {}
func (o *own) Suspect() bool        { return o.doubted }
func (o *own) PollDone(began, _ stall.Reading, ok bool) {
	o.doubted = o.doubted && !ok
	o.ended <- [2]policy.Micros{began.Monotonic, map[bool]policy.Micros{true: 1}[ok]}
}

// In doubt the call under way is given up, and the next one is answered at once; its events are in force before it is said to
// have answered. One that hangs is given up after the time of a connection.
func TestHurry(t *testing.T) {
	calls, held := make(chan string, 9), make(chan struct{}, 9)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.FormValue("block")
		switch len(held) {
		case 0, 1: // the first waits for news, the second hangs
			held <- struct{}{}
			<-r.Context().Done()
		default:
			fmt.Fprint(w, `{"cursor":1,"cmds":[`+list+`]}`)
		}
	}))
	defer server.Close()
	f, o := New(site), &own{ended: make(chan [2]policy.Micros, 99)}
	f.SetStallMonitor(o)
	f.SetAddress(strings.TrimPrefix(server.URL, "http://"))
	ctx, leave := context.WithCancel(t.Context())
	got := make(chan bool, 99)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx, policy.Timeouts{LongPoll: 9 * policy.Second, Connect: policy.Second / 10, PollRetry: 1}, func([]Event) {
			got <- len(o.ended) == 1
		})
	}()
	defer func() { leave(); <-done }()
	if block := <-calls; block != "9000" {
		t.Errorf("a call that waits %s ms", block)
	}
	o.doubted = true
	f.PollNow()
	if block := <-calls; block != "0" {
		t.Errorf("in doubt, a call that waits %s ms", block)
	}
	if !<-got {
		t.Error("its events came after it was said to have answered, or the hanging call was not told of")
	}
	if hung := <-o.ended; hung[1] != 0 {
		t.Errorf("the call that hung: %v", hung)
	}
	if next := <-o.ended; next[1] != 1 {
		t.Errorf("the next: %v", next)
	}
}

// A dial that nobody answers ends with its time, though the call that began it was given up before: two may be under way, and
// would keep back all calls after them.
func TestDialThatNobodyAnswers(t *testing.T) {
	l, err := fakes.Unheard()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		_, err := dialIPv4(50*time.Millisecond)(context.WithoutCancel(t.Context()), "tcp", l.Addr().String())
		ended <- err
	}()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("it came up")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("it goes on")
	}
}

// A channel that was away without a word is asked as soon as it is there again, however many calls hung meanwhile.
func TestChannelBackFromSilence(t *testing.T) {
	l, err := fakes.Unheard()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	m := policy.Timeouts{Connect: policy.Second / 20, PollRetry: policy.Second / 100, LongPoll: policy.Second / 20}
	f := New(site)
	f.SetAddress(l.Addr().String())
	events := make(chan []Event, 16)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go f.Run(ctx, m, func(e []Event) { events <- e })
	for until := time.Now().Add(10 * time.Second); !f.Failing(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("no call failed")
		}
	}
	time.Sleep(10 * span(m.Connect)) // several calls more hang
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"cursor":1,"cmds":[`+list+`]}`)
	})}
	go server.Serve(l)
	defer server.Close()
	back := time.Now()
	select {
	case <-events:
		if took := time.Since(back); took > 5*time.Second {
			t.Errorf("after %v", took)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("never asked again")
	}
}

// Events that were had, in an answer whose number is the same or an older one, change nothing; what is new in it counts.
func TestOlderAnswers(t *testing.T) {
	cases := []struct {
		name, text string
		want       int
		cursor     int64
	}{
		{"the same", `{"cursor":4,"cmds":[` + object + "," + group + `]}`, 0, 4},
		{"older", `{"cursor":2,"cmds":[` + list + "," + gone + `]}`, 0, 4},
		{"older, with no events", `{"cursor":1,"cmds":[]}`, 0, 4},
		{"half of it older", `{"cursor":5,"cmds":[` + group + "," + strings.Replace(gone, `"cursor":2`, `"cursor":5`, 1) + `]}`, 1, 5},
		{"a number behind its events", `{"cursor":3,"cmds":[` + strings.Replace(gone, `"cursor":2`, `"cursor":6`, 1) + `]}`, 1, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := New(site)
			if _, err := f.Decode([]byte(`{"cursor":4,"cmds":[` + list + "," + gone + "," + object + "," + group + `]}`)); err != nil {
				t.Fatal(err)
			}
			events, err := f.Decode([]byte(c.text))
			if err != nil || len(events) != c.want || f.cursor != c.cursor {
				t.Errorf("%d events, cursor %d, %v", len(events), f.cursor, err)
			}
		})
	}
}

// A connection that rests to an address that is no longer asked is closed: its descriptor is counted nowhere.
func TestMoveLeavesNoConnection(t *testing.T) {
	closed := make(chan struct{}, 16)
	older := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"cursor":1,"cmds":[`+list+`]}`)
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
	f := New(site)
	f.SetAddress(older.Listener.Addr().String())
	had := make(chan struct{}, 16)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	m := policy.Timeouts{Connect: 10 * policy.Second, PollRetry: policy.Second / 100, LongPoll: 3600 * policy.Second}
	go f.Run(ctx, m, func([]Event) {
		f.SetAddress(newer.Listener.Addr().String()) // as the answer is taken: its connection rests from here on
		had <- struct{}{}
	})
	<-had
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("it is still open")
	}
}
