package server

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/config"
	"tallyproxy/internal/status"
)

// TestReportAndAvoidedNodes guards against a status report that does not identify the files in
// force by their digests, and against requests to a node that a reload has excluded.
func TestReportAndAvoidedNodes(t *testing.T) {
	var requests [2]atomic.Int64
	socket := filepath.Join(t.TempDir(), "s")
	script := fmt.Sprintf("state(socket = %q)\n", socket)
	d := startDirectorWith(t, platformSettings, script, newCountingNode(t, &requests[0]), newCountingNode(t, &requests[1]))
	c := d.dial(t)
	sendRequests := func(from, to int) {
		for i := from; i < to; i++ {
			c.request(fmt.Sprint(i+1), fmt.Sprint("o", i), time.Second)
			if _, code, _ := c.readAnswer(t); code != "200" {
				t.Fatalf("answered %s", code)
			}
		}
	}
	sendRequests(0, 30)
	r, err := status.Read(t.Context(), socket)
	if err != nil || r.Name != "n1" || r.SettingsDigest != config.Digest([]byte(script)) || r.Counters["fulfilled"] != 30 || r.Counters["pulls"] < 30 ||
		len(r.NodeViews) != 2 || r.NodeViews[0].State != "ready" || r.ClientConnections != 1 || r.EventsReceived != 1 || r.OpenRequests != 0 || requests[0].Load() == 0 {
		t.Fatalf("%+v, %v", r, err)
	}
	reload := func(text string, until func(status.Report) bool) {
		t.Helper()
		writeFile(t, d.script, text)
		d.reload <- syscall.SIGHUP
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
			if r, err = status.Read(t.Context(), socket); err == nil && until(r) {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%+v, %v", r, err)
			}
		}
	}
	reload(script+"avoid(boxes = 5)", func(r status.Report) bool { return strings.Contains(r.ReloadError, "avoid.boxes") })
	if r.SettingsDigest != config.Digest([]byte(script)) || r.Reloads != 0 {
		t.Errorf("after a rejected reload: %+v", r)
	}
	avoid := script + "avoid(boxes = [\"e0\"])"
	reload(avoid, func(r status.Report) bool { return r.SettingsDigest == config.Digest([]byte(avoid)) })
	if r.ReloadError != "" || r.Reloads != 1 || r.NodeViews[0].State != "draining" || len(r.AvoidedNodes) != 1 {
		t.Errorf("after the reload: %+v", r)
	}
	before := requests[0].Load()
	sendRequests(30, 60)
	if n := requests[0].Load(); n != before {
		t.Errorf("%d more requests reached the avoided node", n-before)
	}
	reload(script, func(r status.Report) bool { return r.Reloads == 2 })
	sendRequests(60, 90)
	if requests[0].Load() == before || r.NodeViews[0].State != "ready" {
		t.Errorf("the node is not used again: %+v", r.NodeViews)
	}
	reload("state(socket = \"/elsewhere\")", func(r status.Report) bool { return strings.Contains(r.ReloadError, "needs a restart") })
	c.close(t)
	d.stopAndWait(t)
	if _, err := os.Stat(socket); !os.IsNotExist(err) {
		t.Errorf("the socket still exists: %v", err)
	}
}
