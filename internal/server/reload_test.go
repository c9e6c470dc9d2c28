package server

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tallyproxy/overload"
)

// withChannel replaces the address of the command channel in the text of a platform's file.
func withChannel(text string, channel *httptest.Server) string {
	address := strings.TrimPrefix(channel.URL, "http://")
	return regexp.MustCompile(`"channel":"[^"]*"`).ReplaceAllString(text, fmt.Sprintf(`"channel":%q`, address))
}

// waitReceived waits until run has received the pending signal.
func waitReceived(signals chan os.Signal) {
	for len(signals) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestReload guards against a reload that disturbs an open request, and against an invalid file
// that changes part of the configuration.
func TestReload(t *testing.T) {
	started, proceed := make(chan struct{}, 1), make(chan struct{})
	d := startDirector(t, newFakeNode(t, func(conn net.Conn, id string) {
		if id == requestID("1slow") {
			started <- struct{}{}
			<-proceed
		}
		respondHello(conn, id)
	}))
	defer d.stopAndWait(t)
	polls := make(chan string, 100)
	newChannel := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls <- r.URL.Query().Get("resume")
		<-r.Context().Done()
	}))
	defer newChannel.Close()
	defer newChannel.CloseClientConnections()
	old, err := os.ReadFile(d.platformFile)
	if err != nil {
		t.Fatal(err)
	}
	moved := withChannel(string(old), newChannel)
	c := d.dial(t)
	c.request("1", "slow", 5*time.Second)
	<-started
	for _, text := range []string{moved[:len(moved)/2], strings.Replace(moved, `"sockets":64`, `"sockets":1`, 1),
		strings.Replace(moved, `"status":"up"`, `"status":"odd"`, 1), strings.Replace(moved, `"aim":200`, `"aim":100`, 1), moved} {
		writeFile(t, d.platformFile, text)
		waitReceived(d.reload) // the previous signal
		d.reload <- syscall.SIGHUP
		waitReceived(d.reload)
		if text != moved {
			c.send("STATUS", "2")
			if _, code, _ := c.readAnswer(t); code != "serving" || len(polls) > 0 {
				t.Errorf("STATUS answered %s and the new channel was polled %d times after a reload of %s", code, len(polls), text)
			}
		}
	}
	select {
	case got := <-polls:
		if got != "1" {
			t.Errorf("the new channel was polled with cursor %s, want 1", got)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the new channel was not polled")
	}
	close(proceed)
	if tag, code, _ := c.readAnswer(t); tag != "1" || code != "200" {
		t.Errorf("request open during the reload: answered %s %s", tag, code)
	}
}

// TestMoveWhileAPollIsOpen guards against a director that waits for a pending poll of the old
// address after the channel has moved, and so applies the events of the new one too late.
func TestMoveWhileAPollIsOpen(t *testing.T) {
	var requests [2]atomic.Int64
	d := startDirector(t, newCountingNode(t, &requests[0]), newCountingNode(t, &requests[1]))
	defer d.stopAndWait(t)
	polled, answer := make(chan struct{}, 16), make(chan struct{})
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polled <- struct{}{}
		select {
		case <-answer:
		case <-r.Context().Done():
		}
		reply(w, `{"cursor":1,"cmds":[]}`)
	}))
	defer old.Close()
	newChannel := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("resume") == "2" {
			<-r.Context().Done()
			return
		}
		reply(w, `{"cursor":2,"cmds":[{"cursor":2,"nodes":{"endpoints":[{"name":"e0","address":"127.0.0.1:1","zone":"a","type":"edge","status":"draining"}]}}]}`)
	}))
	defer newChannel.Close()
	defer newChannel.CloseClientConnections()
	text, err := os.ReadFile(d.platformFile)
	if err != nil {
		t.Fatal(err)
	}
	moveTo := func(s *httptest.Server) {
		writeFile(t, d.platformFile, withChannel(string(text), s))
		d.reload <- syscall.SIGHUP
	}
	moveTo(old)
	<-polled // a poll of the old address is pending
	moveTo(newChannel)
	c := d.dial(t)
	defer c.close(t)
	// Events of the new channel must be in force within 4 s.
	for until := time.Now().Add(4 * time.Second); ; {
		before := requests[0].Load()
		for i := range 30 {
			c.request("1", fmt.Sprint("o", i, time.Now().UnixNano()), time.Second)
			c.readAnswer(t)
		}
		if requests[0].Load() == before {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the draining node still receives requests after 4 s")
		}
	}
	close(answer)
	before := requests[0].Load()
	for i := range 30 {
		c.request("1", fmt.Sprint("p", i), time.Second)
		c.readAnswer(t)
	}
	if requests[0].Load() != before {
		t.Error("the draining node receives requests again after the old channel's answer")
	}
}

// TestOperatorsScript guards against a director that starts with an invalid operator's script, and
// against a script whose settings exceed the limits of the platform's file.
func TestOperatorsScript(t *testing.T) {
	d := startDirector(t, newFakeNode(t, respondHello))
	defer d.stopAndWait(t)
	script := filepath.Join(t.TempDir(), "director.star")
	writeFile(t, script, "storm(mode = \"guard\", rise = 0)")
	f := flags{Config: d.platformFile, Settings: script}
	if _, err := load(f, os.Getenv); err == nil || !strings.Contains(err.Error(), "director.star:1: storm.rise: 0 is not from") {
		t.Errorf("got %v", err)
	}
	if err := run(f, os.Getenv, new(slog.LevelVar), nil, nil); err == nil {
		t.Error("started with an invalid script")
	}
	writeFile(t, script, "storm(mode = \"guard\")\nmachine(cores = 4)")
	c, err := load(f, os.Getenv)
	if err != nil || c.operator.Overload.Mode != overload.ModeReserve || c.operator.ShardCount(c.platform.Limits) != 1 {
		t.Errorf("%+v, %v", c.operator, err)
	}
}
