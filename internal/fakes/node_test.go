package fakes

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// testDirector is a client of a node that uses the protocol of directors.
type testDirector struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, n *Node) testDirector {
	t.Helper()
	conn, err := net.Dial("tcp", n.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return testDirector{conn, bufio.NewReader(conn)}
}

func (d testDirector) request(t *testing.T, id, fields string) {
	t.Helper()
	if _, err := fmt.Fprintf(d, "want %s %s 0\r\n\r\n", id, fields); err != nil {
		t.Fatal(err)
	}
}

// answer reads the status, fields and body of an answer.
func (d testDirector) answer(t *testing.T) (status, fields, body string) {
	t.Helper()
	line, err := d.in.ReadString('\n')
	parts := strings.Fields(line)
	if err != nil || len(parts) != 4 {
		return "", line, fmt.Sprint(err)
	}
	var size int
	if _, err := fmt.Sscan(parts[3], &size); err != nil {
		t.Fatal(err)
	}
	text := make([]byte, size+2)
	for n := 0; n < len(text); {
		m, err := d.in.Read(text[n:])
		if err != nil {
			t.Fatal(err)
		}
		n += m
	}
	return parts[1], parts[2], string(text[:size])
}

func newTestCluster(t *testing.T, change func(*Spec)) *Cluster {
	t.Helper()
	s := DefaultSpec(2, 1)
	s.ColdEdges, s.Parents = false, 1
	change(&s)
	c, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// TestNodes guards against nodes that answer with a wrong status or note: for copies they hold,
// fills, uncacheable requests, dead sources and faults.
func TestNodes(t *testing.T) {
	cluster := newTestCluster(t, func(*Spec) {})
	cache, parent := cluster.Node("box-0"), cluster.Node("parent-0")
	director := dial(t, cache)
	thumb := "sort=thumbnail,asset=0000000000000001,slice=0,patience=3000"
	cases := []struct{ name, fields, status, note string }{
		{"nothing held and no source", thumb, "absent", "n=not_there"},
		{"held elsewhere only", thumb + ",from=parent-0,mode=held", "absent", "n=not_there"},
		{"filled through the parent", thumb + ",from=parent-0", "data", "n=pulled_far"},
		{"held now", thumb, "data", "n=local"},
		{"too old", thumb + ",oldest=1", "absent", "n=not_there"},
		{"the parent has it", thumb + ",oldest=1,from=parent-0", "data", "n=pulled_far"},
		{"not to be kept, with the origin", "sort=cover-pick,asset=0000000000000002,slice=0,op=k,from=origin", "data", "n=pulled_far"},
		{"not to be kept, without", "sort=cover-pick,asset=0000000000000002,slice=0,op=k", "absent", "n=not_there"},
		{"an unknown type", "sort=x,asset=0000000000000002,slice=0", "failed", "-"},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			director.request(t, fmt.Sprint("id", i), c.fields)
			status, fields, body := director.answer(t)
			if status != c.status || !strings.HasPrefix(fields, c.note) || status == "data" && !strings.Contains(body, "/0 born ") {
				t.Errorf("%s %s %q", status, fields, body)
			}
		})
	}
	parent.Kill()
	director.request(t, "dead", "sort=thumbnail,asset=0000000000000009,slice=0,from=parent-0")
	if status, fields, _ := director.answer(t); status != "failed" || fields != "n=cut_off" {
		t.Errorf("with its source down: %s %s", status, fields)
	}
	for fault, want := range map[Fault]string{FaultError: "failed", FaultMalformed: "", FaultReset: ""} {
		cache.SetFault(fault, 1)
		other := dial(t, cache)
		other.request(t, "x", thumb)
		if status, _, _ := other.answer(t); status != want {
			t.Errorf("fault %d: %q, want %q", fault, status, want)
		}
	}
}
