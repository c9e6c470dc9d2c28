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

// TestSIGTERM guards against requests that are lost at shutdown: those that are open at the signal
// and those that arrive shortly after it must be answered before the director stops.
func TestSIGTERM(t *testing.T) {
	started, proceed := make(chan struct{}, 1), make(chan struct{})
	d := startDirector(t, newFakeNode(t, func(conn net.Conn, id string) {
		if id == requestID("1slow") {
			started <- struct{}{}
			<-proceed
		}
		respondHello(conn, id)
	}))
	c := d.dial(t)
	c.request("1", "slow", 5*time.Second)
	<-started
	d.stop <- syscall.SIGTERM
	later := d.dial(t) // a new connection
	code := ""
	for tag := 1; code != "not_serving"; tag++ {
		later.send("STATUS", fmt.Sprint(tag))
		_, code, _ = later.readAnswer(t)
	}
	later.request("9999", "o", time.Second)
	if _, code, body := later.readAnswer(t); code != "200" || body != "hello" {
		t.Errorf("request after the signal: answered %s %q", code, body)
	}
	c.request("2", "o", time.Second) // on a connection that was open before the signal
	if tag, code, _ := c.readAnswer(t); tag != "2" || code != "200" {
		t.Errorf("request on an open connection: answered %s %s", tag, code)
	}
	select {
	case err := <-d.ended:
		t.Errorf("director stopped while a request was open: %v", err)
	default:
	}
	close(proceed)
	if tag, code, _ := c.readAnswer(t); tag != "1" || code != "200" {
		t.Errorf("request open at the signal: answered %s %s", tag, code)
	}
	c.close(t)
	later.close(t)
	d.waitStopped(t)
}

// TestSIGTERMWhileANodeHangs guards against a process that is killed with unanswered requests:
// requests at an unresponsive node must be answered before the process ends, even if their own
// deadline is later.
func TestSIGTERMWhileANodeHangs(t *testing.T) {
	// Not retried, so the director waits for the node until the end.
	once := strings.Replace(platformSettings, `"repeat":"free"`, `"repeat":"single_shot"`, 1)
	d := startDirectorWith(t, once, "", newFakeNode(t, respondNothing))
	c := d.dial(t)
	for tag := 1; tag <= 3; tag++ {
		c.request(fmt.Sprint(tag), fmt.Sprint("o", tag), 5*time.Second)
	}
	c.send("STATUS", "9")
	if tag, _, _ := c.readAnswer(t); tag != "9" { // the director has read all requests before it
		t.Fatalf("answered %s", tag)
	}
	started := time.Now()
	d.stop <- syscall.SIGTERM
	for range 3 {
		if _, code, _ := c.readAnswer(t); code != "500" {
			t.Errorf("answered %s", code)
		}
	}
	if _, err := c.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the answers: %v, want EOF", err)
	}
	c.close(t)
	d.waitStopped(t)
	if took := time.Since(started); took > stopDeadline {
		t.Errorf("ended after %v", took)
	}
}

// TestSIGTERMWhileClientsKeepSending guards against clients that keep the director from stopping by
// always having a request open: each request must be answered and the clients disconnected in time.
func TestSIGTERMWhileClientsKeepSending(t *testing.T) {
	d := startDirector(t, newFakeNode(t, respondHello))
	started := time.Now()
	results := make(chan error, 4)
	for n := range 4 {
		c := d.dial(t)
		go func() {
			results <- func() error {
				c.request("1", fmt.Sprint(n, "-1"), time.Second)
				for tag := 2; ; tag++ {
					c.request(fmt.Sprint(tag), fmt.Sprint(n, "-", tag), time.Second)
					// At most two requests are sent while the connection ends and stay unanswered.
					if _, err := c.in.ReadByte(); err != nil {
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
			_ = c.Close() // the director has closed it already
		}()
	}
	d.stop <- syscall.SIGTERM
	d.stop <- syscall.SIGTERM // this signal and the reload come too late to have an effect
	d.reload <- syscall.SIGHUP
	for range 4 {
		if err := <-results; !errors.Is(err, io.EOF) {
			t.Errorf("ended with %v", err)
		}
	}
	d.waitStopped(t)
	if took := time.Since(started); took > stopDeadline {
		t.Errorf("ended after %v", took)
	}
}

// TestSIGTERMWithIdleClients guards against a reset at shutdown: an idle client must see the end of
// its connection, even if it sends a request at that moment.
func TestSIGTERMWithIdleClients(t *testing.T) {
	d := startDirector(t, newFakeNode(t, respondHello))
	idle, sending := d.dial(t), d.dial(t)
	for _, c := range []testClient{idle, sending} {
		c.send("STATUS", "1")
		c.readAnswer(t)
	}
	d.stop <- syscall.SIGTERM
	if _, err := idle.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want EOF", err)
	}
	if _, err := sending.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v, want EOF", err)
	}
	sending.request("2", "o", time.Second)
	if _, err := sending.in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after a request sent after the connection ended: %v, want EOF", err)
	}
	idle.close(t)
	sending.close(t)
	d.waitStopped(t)
}

// TestSIGTERMBeforeStartIsOver guards against a lost stop signal: one that arrives during the start
// must stop the director after the start.
func TestSIGTERMBeforeStartIsOver(t *testing.T) {
	d := startDirector(t, newFakeNode(t, respondHello)) // only its configuration file is used
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
		t.Fatal("director still running after the stop deadline")
	}
}

// countDescriptors returns the number of file descriptors that this process has open. It skips the
// test on systems that don't list them.
func countDescriptors(t *testing.T) int {
	t.Helper()
	names, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("the system does not list file descriptors")
	}
	return len(names)
}

// TestNothingIsLeftBehind guards against leaks of goroutines and file descriptors after requests of
// all kinds.
func TestNothingIsLeftBehind(t *testing.T) {
	nodes := []*fakeNode{newFakeNode(t, respondLarge), newFakeNode(t, respondPartly), newFakeNode(t, respondNothing)}
	goroutines, files := runtime.NumGoroutine(), countDescriptors(t)
	d := startDirector(t, nodes...)
	for i := range 100 { // more connections than the director's descriptors allow at once
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
		if g <= goroutines+4 && f <= files+4 { // 4: the fake channel and its connection
			return
		}
		if time.Now().After(until) {
			t.Fatalf("%d goroutines and %d descriptors at the end, %d and %d at the start", g, f, goroutines, files)
		}
	}
}
