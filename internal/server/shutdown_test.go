package server

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Requests that are open at the signal, and those that come shortly after it, are answered; then the director ends.
func TestSIGTERM(t *testing.T) {
	begun, proceed := make(chan struct{}, 1), make(chan struct{})
	d := startDirector(t, newFakeNode(t, func(conn net.Conn, id string) {
		if id == requestID("1slow") {
			begun <- struct{}{}
			<-proceed
		}
		respondHello(conn, id)
	}))
	c := d.dial(t)
	c.request("1", "slow", 5*time.Second)
	<-begun
	d.stop <- syscall.SIGTERM
	later := d.dial(t) // a new connection
	code := ""
	for tag := 1; code != "not_serving"; tag++ {
		later.send("STATUS", fmt.Sprint(tag))
		_, code, _ = later.readAnswer(t)
	}
	later.request("9999", "o", time.Second)
	if _, code, body := later.readAnswer(t); code != "200" || body != "hello" {
		t.Errorf("after the signal: %s %q", code, body)
	}
	c.request("2", "o", time.Second) // on an open one
	if tag, code, _ := c.readAnswer(t); tag != "2" || code != "200" {
		t.Errorf("on an open connection: %s %s", tag, code)
	}
	select {
	case err := <-d.ended:
		t.Errorf("ended with a request open: %v", err)
	default:
	}
	close(proceed)
	if tag, code, _ := c.readAnswer(t); tag != "1" || code != "200" {
		t.Errorf("the open one: %s %s", tag, code)
	}
	c.close(t)
	later.close(t)
	d.waitStopped(t)
}

// A node hangs as the signal comes: requests that are open at it, and whose time would end after the process, are answered before that.
func TestSIGTERMWhileANodeHangs(t *testing.T) {
	once := strings.Replace(platformSettings, `"repeat":"free"`, `"repeat":"single_shot"`, 1) // waited for to the end
	d := startDirectorWith(t, once, "", newFakeNode(t, respondNothing))
	c := d.dial(t)
	for tag := 1; tag <= 3; tag++ {
		c.request(fmt.Sprint(tag), fmt.Sprint("o", tag), 5*time.Second)
	}
	c.send("STATUS", "9")
	if tag, _, _ := c.readAnswer(t); tag != "9" { // all before it were read
		t.Fatalf("answered %s", tag)
	}
	begun := time.Now()
	d.stop <- syscall.SIGTERM
	for range 3 {
		if _, code, _ := c.readAnswer(t); code != "500" {
			t.Errorf("answered %s", code)
		}
	}
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the answers: %v, want the end", err)
	}
	c.close(t)
	d.waitStopped(t)
	if took := time.Since(begun); took > stopDeadline {
		t.Errorf("ended after %v", took)
	}
}

// Clients that go on sending requests, on connections on which one is always open, are answered to the last and disconnected in time.
func TestSIGTERMWhileClientsGoOn(t *testing.T) {
	d := startDirector(t, newFakeNode(t, respondHello))
	begun := time.Now()
	ends := make(chan error, 4)
	for n := range 4 {
		c := d.dial(t)
		go func() {
			ends <- func() error {
				c.request("1", fmt.Sprint(n, "-1"), time.Second)
				for tag := 2; ; tag++ {
					c.request(fmt.Sprint(tag), fmt.Sprint(n, "-", tag), time.Second)
					if _, err := c.in.ReadByte(); err != nil { // owed: two at most, which crossed the end
						return err
					}
					if err := c.in.UnreadByte(); err != nil {
						return err
					}
					if _, code, _ := c.readAnswer(t); code != "200" && code != "503" {
						return fmt.Errorf("answered %s", code)
					}
				}
			}()
			_ = c.Close() // the director has closed it
		}()
	}
	d.stop <- syscall.SIGTERM
	d.stop <- syscall.SIGTERM // once more, and a new configuration: both come too late to matter
	d.reload <- syscall.SIGHUP
	for range 4 {
		if err := <-ends; !errors.Is(err, io.EOF) {
			t.Errorf("ended with %v", err)
		}
	}
	d.waitStopped(t)
	if took := time.Since(begun); took > stopDeadline {
		t.Errorf("ended after %v", took)
	}
}

// An idle client sees the end of its connection, not a reset, also where it sends a request at that moment.
func TestSIGTERMWithIdleClients(t *testing.T) {
	d := startDirector(t, newFakeNode(t, respondHello))
	idle, crosses := d.dial(t), d.dial(t)
	for _, c := range []testClient{idle, crosses} {
		c.send("STATUS", "1")
		c.readAnswer(t)
	}
	d.stop <- syscall.SIGTERM
	if _, err := idle.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end", err)
	}
	if _, err := crosses.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want the end", err)
	}
	crosses.request("2", "o", time.Second)
	if _, err := crosses.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after a request that crossed it: %v, want the end", err)
	}
	idle.close(t)
	crosses.close(t)
	d.waitStopped(t)
}

// A signal that comes before the start is over ends the director once it is.
func TestSIGTERMBeforeStartIsOver(t *testing.T) {
	d := startDirector(t, newFakeNode(t, respondHello)) // for its configuration
	d.stopAndWait(t)
	stop := make(chan os.Signal, 1)
	stop <- syscall.SIGTERM
	ended := make(chan error, 1)
	go func() {
		ended <- run(flags{Config: d.platformFile}, noEnvironment, new(slog.LevelVar), stop, nil)
	}()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(stopDeadline):
		t.Fatal("still running")
	}
}

// countDescriptors is how many descriptors this process has open. The test is skipped on systems that don't tell.
func countDescriptors(t *testing.T) int {
	t.Helper()
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no list of descriptors here")
	}
	return len(names)
}

// After requests of all kinds, goroutines and descriptors are back where they were.
func TestNothingIsLeftBehind(t *testing.T) {
	nodes := []*fakeNode{newFakeNode(t, respondLarge), newFakeNode(t, respondPartly), newFakeNode(t, respondNothing)}
	goroutines, files := runtime.NumGoroutine(), countDescriptors(t)
	d := startDirector(t, nodes...)
	for i := range 100 { // more connections than there are descriptors to hold them
		c := d.dial(t)
		for tag := range 5 {
			c.request(fmt.Sprint(tag+1), fmt.Sprint("o", i, tag), 500*time.Millisecond)
		}
		if i%2 == 0 {
			c.readAnswer(t)
		}
		c.close(t)
	}
	d.stopAndWait(t)
	http.DefaultClient.CloseIdleConnections()
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		g, f := runtime.NumGoroutine(), countDescriptors(t)
		if g <= goroutines+4 && f <= files+4 { // the fake channel and its connection
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d goroutines and %d descriptors, from %d and %d", g, f, goroutines, files)
		}
	}
}
