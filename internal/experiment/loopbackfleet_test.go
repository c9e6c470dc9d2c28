package experiment

import (
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestDirectorRestart checks that an agent restarts a director that crashed, with the script in
// force, and does not restart one that was stopped by SIGTERM.
func TestDirectorRestart(t *testing.T) {
	cases := []struct {
		name     string
		signal   syscall.Signal
		restarts bool
	}{{"killed", syscall.SIGKILL, true}, {"told to stop", syscall.SIGTERM, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inParallel(t)
			f, op := newFleet(t, 1, 1)
			if r, err := op.Run(t.Context(), addLine(t, op.Snapshot(t.Context()), `log(level = "warn")`, 0), nil, nil); err != nil || !r.AllOrNone() {
				t.Fatalf("%+v, %v", r, err)
			}
			before := op.Snapshot(t.Context()).Directors[0].Report.PID
			if err := f.Director("n000").Signal(c.signal); err != nil {
				t.Fatal(err)
			}
			down := false
			isRestarted := func() bool {
				x := op.Snapshot(t.Context()).Directors[0]
				down = down || !x.Up
				return x.Up && x.Report.PID != before && !x.Drifted && strings.Contains(x.Script, "warn")
			}
			wait := 20 * time.Second
			if !c.restarts { // three times as long as the first start takes
				wait = 4 * time.Second
			}
			restarted := false
			for end := time.Now().Add(wait); !restarted && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				restarted = isRestarted()
			}
			if restarted != c.restarts || !down {
				t.Errorf("restarted: %v, was down: %v", restarted, down)
			}
		})
	}
}

// TestAgentMembership checks that agents detect each other, and that an agent which stops is seen
// as having left, by the failure detector that directors use too.
func TestAgentMembership(t *testing.T) {
	inParallel(t)
	f, op := newFleet(t, 3, 1)
	sees := func(want map[string]string) func() bool {
		return func() bool {
			for _, a := range op.Snapshot(t.Context()).Agents {
				for name, state := range want {
					if a.Reachable && a.Name != name && a.Members[name] != state {
						return false
					}
				}
			}
			return true
		}
	}
	until := func(what string, holds func() bool) {
		for end := time.Now().Add(30 * time.Second); !holds(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s: %+v", what, op.Snapshot(t.Context()).Agents)
			}
		}
	}
	until("not all agents see each other", sees(map[string]string{"a00": "up", "a01": "up", "a02": "up"}))
	f.StopAgent("a02")
	until("an agent that stopped is not reported as having left", sees(map[string]string{"a02": "left"}))
}
