package experiment

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/agent"
	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
	"tallyproxy/internal/fakes"
	"tallyproxy/policy"
	"tallyproxy/rollout"
)

// listenAddress returns the listen address in a director's configuration file.
func listenAddress(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var c struct{ Listen string }
	if err := json.Unmarshal(raw, &c); err != nil {
		t.Fatal(err)
	}
	return c.Listen
}

// newFleet starts a fleet and connects an operator. Both end with the test.
func newFleet(t *testing.T, agents, directorsPerAgent int) (*LoopbackFleet, *ctl.Fleet) {
	t.Helper()
	spec := fakes.DefaultSpec(4, agents*directorsPerAgent)
	spec.ColdEdges = false
	cluster, err := fakes.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	// Not t.TempDir, since paths of Unix sockets must be short.
	dir, err := os.MkdirTemp("", "fleet")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
	})
	f, err := NewLoopbackFleet(cluster, dir, agents, directorsPerAgent, selfAsDirector(t), "", false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	op, err := f.Operator("op")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(op.Close)
	return f, op
}

// addLine returns a change that adds a line to every director's script, in waves of limit
// directors, or all at once if limit is 0.
func addLine(t *testing.T, v ctl.Snapshot, line string, limit int) *rollout.Change {
	t.Helper()
	candidates, err := v.Candidates()
	if err != nil {
		t.Fatal(err)
	}
	return rollout.Plan(ctl.NewChangeID(), "op", line, candidates, limit, func(s string) string { return config.Digest([]byte(s)) },
		func(p rollout.Candidate) string { return p.Script + line + "\n" })
}

// awaitScripts waits until either all directors or none report a script that contains a line, and
// returns how many do.
func awaitScripts(t *testing.T, op *ctl.Fleet, line string) (with int) {
	t.Helper()
	for end := time.Now().Add(40 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		v, complete := op.Snapshot(t.Context()), true
		with = 0
		for _, d := range v.Directors {
			complete = complete && d.Up && !d.Drifted
			if strings.Contains(d.Script, line) {
				with++
			}
		}
		if complete && (with == 0 || with == len(v.Directors)) {
			return with
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d run %q: %+v", with, len(v.Directors), line, v.Changes)
		}
	}
}

// driveUntil runs a change up to a step, whose first messages are not sent.
func driveUntil(t *testing.T, f *LoopbackFleet, change *rollout.Change, at rollout.Step) {
	t.Helper()
	id, err := f.identity("op")
	if err != nil {
		t.Fatal(err)
	}
	peers := agent.NewClients(f.Inventory, id)
	defer peers.Close()
	c, startedAt := rollout.NewCoordinator("op/killed", 100, f.Inventory.AgentNames(), change, rollout.DefaultTimeouts(), nil), time.Now()
	now := func() policy.Micros { return policy.MicrosOf(time.Since(startedAt)) }
	for sends := c.Start(now()); c.Step() < at; sends = append(sends, c.Tick(now())...) {
		if len(sends) == 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		r, err := peers.Send(t.Context(), sends[0].To, sends[0].Message)
		if err != nil {
			t.Fatal(err)
		}
		sends = append(sends[1:], c.HandleReply(now(), sends[0].To, r)...)
	}
}
