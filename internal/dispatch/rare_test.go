package dispatch

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
)

// barred is a module that stands still over an object until it is let go, and says what it is told then.
type barred struct {
	*script
	stands chan string                         // objects that it stands still over
	let    chan policy.Decision                // what to say
	after  chan policy.Outcome                 // ends that it heard of
	then   func() policy.Decision              // what to say to those
	bound  func(d policy.Micros) policy.Micros // of what is let go, from now
}

func (m *barred) Route(now policy.Micros, dl *policy.Request) policy.Decision {
	m.stands <- dl.Object
	a := <-m.let
	if m.bound != nil {
		a.NotAfter = m.bound(now)
	}
	return a
}

func (m *barred) AttemptDone(_ policy.Micros, dl *policy.Request, out policy.Outcome) policy.Decision {
	m.after <- out
	if out.Final {
		return policy.Decision{}
	}
	return m.then()
}

func newBarred(t *testing.T) (*bed, *barred) {
	b := newBed(t, 0)
	m := &barred{
		script: b.script, stands: make(chan string, 2000), let: make(chan policy.Decision), after: make(chan policy.Outcome, 64),
		then: func() policy.Decision { return policy.Decision{Action: policy.Reject} },
	}
	b.WithPolicy(func() { b.Router.policy = m })
	return b, m
}

// another is a further client.
func (b *bed) another() net.Conn {
	b.t.Helper()
	nc, err := net.Dial("tcp", b.client.RemoteAddr().String())
	if err != nil {
		b.t.Fatal(err)
	}
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	b.t.Cleanup(func() { nc.Close() })
	return nc
}

// handedBack waits until something waits for the shard, which stands still and has taken all else: a request, or a pull's end.
func (b *bed) handedBack() {
	b.t.Helper()
	for until := time.Now().Add(10 * time.Second); len(b.Shards()[0].calls.Ready()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			b.t.Fatal("nothing waits for the shard")
		}
	}
}

// readOn waits until the front has handed on all that the client sent: its reader answers these one after the other.
func (b *bed) readOn() {
	b.t.Helper()
	for _, tag := range []string{"98", "99"} {
		b.send("STATUS", tag)
		b.answered(tag + " serving  ")
	}
}

func askOver(nc net.Conn, tag string) {
	out := redcon.AppendArray(nil, 4)
	for _, w := range []string{"ASK", "1", "clip", "txn=" + id("t", tag) + ",limit=60000,item=" + id("o", tag) + ",n=0,shard=1"} {
		out = redcon.AppendBulkString(out, w)
	}
	nc.Write(out)
}

// waitGone waits until the front has seen that a client left, whatever waits for the shard: its connection has ended.
func (b *bed) waitGone(left int) {
	b.t.Helper()
	for until := time.Now().Add(10 * time.Second); b.server.ConnCount() > left; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			b.t.Fatal("its leaving was not seen")
		}
	}
}

// A client leaves while the word of it waits behind others: nothing that was decided for it is written, no first attempt and no
// further one.
func TestNothingIsWrittenForWhoHasLeft(t *testing.T) {
	leave := []struct {
		name string
		do   func(b *bed, nc net.Conn)
	}{
		{"closed", func(b *bed, nc net.Conn) { nc.Close(); b.waitGone(1) }},
		{"taken back", func(b *bed, nc net.Conn) {
			fmt.Fprint(nc, "*2\r\n$9\r\nNEVERMIND\r\n$1\r\n1\r\n")
			fmt.Fprint(nc, "*2\r\n$6\r\nSTATUS\r\n$1\r\n2\r\n") // answered once that was read
			if _, err := io.ReadFull(nc, make([]byte, 10)); err != nil {
				b.t.Fatal(err)
			}
		}},
	}
	for _, l := range leave {
		t.Run("a first attempt, "+l.name, func(t *testing.T) {
			b, m := newBarred(t)
			c := b.another()
			askOver(c, "1")
			get(t, m.stands)
			b.ask("2", "") // the shard stands over this next, before it hears of the leaving
			b.handedBack()
			l.do(b, c)
			m.let <- pulls
			if got := get(t, m.stands); got != id("o", "2") {
				t.Fatalf("stands over %s", got)
			}
			b.handedBack()
			m.let <- pulls
			b.nodeHears("want " + id("t", "2"))
			io.WriteString(b.nc, id("t", "2")+" data - 0\r\n\r\n")
			b.answered("2 200  ")
		})
		t.Run("a further attempt, "+l.name, func(t *testing.T) {
			b, m := newBarred(t)
			m.then = func() policy.Decision { return pulls }
			c := b.another()
			askOver(c, "1")
			get(t, m.stands)
			m.let <- pulls
			b.nodeHears("want " + id("t", "1"))
			b.ask("2", "")
			get(t, m.stands)
			io.WriteString(b.nc, id("t", "1")+" failed - 0\r\n\r\n") // heard of once the shard goes on
			b.handedBack()
			b.ask("3", "") // and it stands still again behind that
			b.readOn()
			l.do(b, c)
			m.let <- policy.Decision{Action: policy.Fail}
			b.answered("2 500  ")
			if got := get(t, m.stands); got != id("o", "3") {
				t.Fatalf("stands over %s", got)
			}
			if out := get(t, m.after); !out.Final { // before the shard hears of the leaving
				t.Errorf("it is to go on after %+v", out)
			}
			m.let <- pulls
			b.nodeHears("want " + id("t", "3"))
			io.WriteString(b.nc, id("t", "3")+" data - 0\r\n\r\n")
			b.answered("3 200  ")
		})
	}
}

// A pull is not written once its time is over, however that came; it is decided anew.
func TestNothingIsWrittenTooLate(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			b, m := newBarred(t)
			m.bound = func(now policy.Micros) policy.Micros {
				if late {
					return now
				}
				return now + 60*policy.Second
			}
			b.ask("1", "")
			get(t, m.stands)
			m.let <- pulls
			if !late {
				b.nodeHears("want " + id("t", "1"))
				io.WriteString(b.nc, id("t", "1")+" data - 0\r\n\r\n")
				b.answered("1 200  ")
				return
			}
			if out := get(t, m.after); out.Result != policy.Withdrawn {
				t.Errorf("ended as %d", out.Result)
			}
			b.answered("1 503  ")
			b.ask("2", "")
			get(t, m.stands)
			m.bound = nil
			m.let <- pulls
			b.nodeHears("want " + id("t", "2"))
			io.WriteString(b.nc, id("t", "2")+" data - 0\r\n\r\n")
			b.answered("2 200  ")
		})
	}
}

// Where a shard is far behind, requests are turned away at once, and clients are seen to leave all the same.
func TestFullShard(t *testing.T) {
	b, m := newBarred(t)
	c := b.another()
	for until := time.Now().Add(10 * time.Second); b.server.ConnCount() < 2 && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	b.ask("1", "")
	get(t, m.stands)
	for range queueLimit {
		b.Shards()[0].calls.PutUnbounded(func() {})
	}
	b.ask("2", "")
	b.answered("2 503  ")
	askOver(c, "3")
	if _, err := io.ReadFull(c, make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	c.Close()
	b.waitGone(1)
	m.let <- policy.Decision{Action: policy.Fail}
	b.answered("1 500  ")
	if len(m.stands) != 0 {
		t.Errorf("asked about %s", <-m.stands)
	}
}

// At the end what is in hand is ended in time, and so is what still comes, by the module's word.
func TestClose(t *testing.T) {
	b, m := newBarred(t)
	b.ask("1", "")
	get(t, m.stands)
	m.let <- pulls
	b.nodeHears("want " + id("t", "1"))
	b.Router.DrainBy(time.Now())
	if out := get(t, m.after); out.Result != policy.TimedOut {
		t.Errorf("ended as %d", out.Result)
	}
	b.answered("1 503  ")
	b.ask("2", "")
	get(t, m.stands)
	for _, s := range b.Shards() {
		for _, of := range s.requests { // its goroutine stands still
			for _, dl := range of {
				if now := b.Now(); dl.Deadline > now {
					t.Errorf("it may take %d more", dl.Deadline-now)
				}
			}
		}
	}
	m.let <- policy.Decision{Action: policy.Reject}
	b.answered("2 503  ")
}

// That no connection could be had is no word of the node.
func TestNoConnectionIsNoWordOfTheNode(t *testing.T) {
	if got := resultOf(upstream.Response{}, &upstream.Error{Stage: upstream.NotConnected, Err: upstream.ErrConnectionLimit}); got != policy.NotSent {
		t.Errorf("got %d", got)
	}
}

// Hundreds leave in one burst while the shard is behind: the module is asked about none of them, and nothing is written.
func TestBurstOfLeaving(t *testing.T) {
	const clients = 300
	b, m := newBarred(t)
	b.server.SetMaxConns(2 * clients)
	var burst []net.Conn
	for range clients {
		burst = append(burst, b.another())
	}
	for until := time.Now().Add(10 * time.Second); b.server.ConnCount() <= clients; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("not all are held")
		}
	}
	b.ask("1", "")
	get(t, m.stands)
	for i, nc := range burst {
		askOver(nc, fmt.Sprint(1000+i))
	}
	for _, nc := range burst {
		nc.Close()
	}
	b.waitGone(1)
	m.let <- policy.Decision{Action: policy.Fail}
	b.answered("1 500  ")
	b.ask("2", "")
	if got := get(t, m.stands); got != id("o", "2") {
		t.Errorf("asked about %s", got)
	}
	m.let <- pulls
	b.nodeHears("want " + id("t", "2"))
	io.WriteString(b.nc, id("t", "2")+" data - 0\r\n\r\n")
	b.answered("2 200  ")
}

// doubt is a director that does not trust what it knows until it is told to.
type doubt struct{ clear chan struct{} }

func (d doubt) Trusted() bool {
	select {
	case <-d.clear:
		return true
	default:
		return false
	}
}
func (d doubt) Resolved() <-chan struct{}     { return d.clear }
func (doubt) StaleBy(time.Time) time.Duration { return 0 }

// A client leaves, or takes back, while the shard rests in doubt: nothing of it is asked about afterwards.
func TestLeavingBehindADoubt(t *testing.T) {
	for _, closes := range []bool{true, false} {
		t.Run(fmt.Sprint("closes ", closes), func(t *testing.T) {
			b, m := newBarred(t)
			c := b.another()
			own, set := doubt{make(chan struct{})}, make(chan struct{})
			b.Shards()[0].calls.PutUnbounded(func() { b.SetStallMonitor(own); close(set) }) // by the shard itself, which reads it
			<-set
			askOver(c, "1")
			if closes {
				c.Close()
				b.waitGone(1)
			} else {
				fmt.Fprint(c, "*2\r\n$9\r\nNEVERMIND\r\n$1\r\n1\r\n*2\r\n$6\r\nSTATUS\r\n$1\r\n2\r\n")
				if _, err := io.ReadFull(c, make([]byte, 10)); err != nil {
					t.Fatal(err)
				}
			}
			b.ask("2", "")
			b.readOn()
			close(own.clear)
			if got := get(t, m.stands); got != id("o", "2") {
				t.Errorf("asked about %s", got)
			}
			m.let <- pulls
			b.nodeHears("want " + id("t", "2"))
			io.WriteString(b.nc, id("t", "2")+" data - 0\r\n\r\n")
			b.answered("2 200  ")
		})
	}
}
