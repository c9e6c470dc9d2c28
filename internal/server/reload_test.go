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

// withChannel gives a platform's file with another address of the command channel.
func withChannel(text string, channel *httptest.Server) string {
	address := strings.TrimPrefix(channel.URL, "http://")
	return regexp.MustCompile(`"channel":"[^"]*"`).ReplaceAllString(text, fmt.Sprintf(`"channel":%q`, address))
}

// waitTaken waits until a signal has been taken by run.
func waitTaken(signals chan os.Signal) {
	for len(signals) > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A valid new configuration replaces the old one while a request is open; a faulty one changes nothing.
func TestReload(t *testing.T) {
	begun, proceed := make(chan struct{}, 1), make(chan struct{})
	d := startDirector(t, newFakeNode(t, func(conn net.Conn, id string) {
		if id == requestID("1slow") {
			begun <- struct{}{}
			<-proceed
		}
		respondHello(conn, id)
	}))
	defer d.stopAndWait(t)
	polls := make(chan string, 100)
	newer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		polls <- r.URL.Query().Get("resume")
		<-r.Context().Done()
	}))
	defer newer.Close()
	defer newer.CloseClientConnections()
	old, err := os.ReadFile(d.platformFile)
	if err != nil {
		t.Fatal(err)
	}
	moved := withChannel(string(old), newer)
	c := d.dial(t)
	c.request("1", "slow", 5*time.Second)
	<-begun
	for _, text := range []string{moved[:len(moved)/2], strings.Replace(moved, `"sockets":64`, `"sockets":1`, 1),
		strings.Replace(moved, `"status":"up"`, `"status":"odd"`, 1), strings.Replace(moved, `"aim":200`, `"aim":100`, 1), moved} {
		writeFile(t, d.platformFile, text)
		waitTaken(d.reload) // the one before
		d.reload <- syscall.SIGHUP
		waitTaken(d.reload)
		if text != moved {
			c.send("STATUS", "2")
			if _, code, _ := c.readAnswer(t); code != "serving" || len(polls) > 0 {
				t.Errorf("%s, polled %d times, after %s", code, len(polls), text)
			}
		}
	}
	select {
	case got := <-polls:
		if got != "1" {
			t.Errorf("the new channel was polled for what follows %s", got)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the new channel was not polled")
	}
	close(proceed)
	if tag, code, _ := c.readAnswer(t); tag != "1" || code != "200" {
		t.Errorf("the open one: %s %s", tag, code)
	}
}

// The channel moves while a poll of the old address is open: an answer of the old one does not delay the director, and what the new one
// tells is in force in time.
func TestMoveWhileAPollIsOpen(t *testing.T) {
	var requests [2]atomic.Int64
	d := startDirector(t, newCountingNode(t, &requests[0]), newCountingNode(t, &requests[1]))
	defer d.stopAndWait(t)
	out, answer := make(chan struct{}, 16), make(chan struct{})
	old := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out <- struct{}{}
		select {
		case <-answer:
		case <-r.Context().Done():
		}
		reply(w, `{"cursor":1,"cmds":[]}`)
	}))
	defer old.Close()
	newer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("resume") == "2" {
			<-r.Context().Done()
			return
		}
		reply(w, `{"cursor":2,"cmds":[{"cursor":2,"nodes":{"endpoints":[{"name":"e0","address":"127.0.0.1:1","zone":"a","type":"edge","status":"draining"}]}}]}`)
	}))
	defer newer.Close()
	defer newer.CloseClientConnections()
	text, err := os.ReadFile(d.platformFile)
	if err != nil {
		t.Fatal(err)
	}
	moveTo := func(s *httptest.Server) {
		writeFile(t, d.platformFile, withChannel(string(text), s))
		d.reload <- syscall.SIGHUP
	}
	moveTo(old)
	<-out // a poll is open there
	moveTo(newer)
	c := d.dial(t)
	defer c.close(t)
	for until := time.Now().Add(4 * time.Second); ; { // what it tells counts as told then
		before := requests[0].Load()
		for i := range 30 {
			c.request("1", fmt.Sprint("o", i, time.Now().UnixNano()), time.Second)
			c.readAnswer(t)
		}
		if requests[0].Load() == before {
			break
		}
		if time.Now().After(until) {
			t.Fatal("the node that drains is still asked")
		}
	}
	close(answer)
	before := requests[0].Load()
	for i := range 30 {
		c.request("1", fmt.Sprint("p", i), time.Second)
		c.readAnswer(t)
	}
	if requests[0].Load() != before {
		t.Error("the node that drains is asked again")
	}
}

// A faulty script of the operator's ends the start; a valid one is read with the limits of the platform's file.
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
		t.Error("started with a faulty script")
	}
	writeFile(t, script, "storm(mode = \"guard\")\nmachine(cores = 4)")
	c, err := load(f, os.Getenv)
	if err != nil || c.operator.Overload.Mode != overload.ModeReserve || c.operator.ShardCount(c.platform.Limits) != 1 {
		t.Errorf("%+v, %v", c.operator, err)
	}
}
