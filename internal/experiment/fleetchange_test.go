package experiment

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/fleetpb"
	"tallyproxy/rollout"
)

// TestChangeWithDirectorKilled changes twenty directors and kills one of them during the change. It
// guards against a restart with the old script and against a director that is missing from the
// report. It then undoes the change.
func TestChangeWithDirectorKilled(t *testing.T) {
	inParallel(t)
	f, op := newFleet(t, 10, 2)
	change := addLine(t, op.Snapshot(t.Context()), `log(level = "warn")`, 5)
	killed := false
	r, err := op.Run(t.Context(), change, nil, func(s rollout.Step, wave int) {
		if s == rollout.StepApply && wave == 2 && !killed {
			killed = true
			if err := f.Director("n070").Signal(syscall.SIGKILL); err != nil {
				t.Error(err)
			}
		}
	})
	if err != nil || !r.AllOrNone() || r.Outcome != rollout.Commit || !killed || len(r.Targets) != 20 {
		t.Fatalf("%+v, %v", r, err)
	}
	if n := awaitScripts(t, op, "warn"); n != 20 {
		t.Errorf("%d directors run the new script", n)
	}
	// Undo the change; the undo is a separate change.
	v := op.Snapshot(t.Context())
	original, before := v.Change(change.ID)
	undo := rollout.Undo(ctl.NewChangeID(), "op", original, before, func(s string) string { return config.Digest([]byte(s)) })
	if r, err := op.Run(t.Context(), undo, nil, nil); err != nil || !r.AllOrNone() {
		t.Fatalf("undo: %+v, %v", r, err)
	}
	if n := awaitScripts(t, op, "warn"); n != 0 {
		t.Errorf("%d directors run the new script after the undo", n)
	}
	seen := 0
	if err := op.Audit(t.Context(), func(string, *fleetpb.AuditRecord) { seen++ }); err != nil || seen < 20 {
		t.Errorf("%d audit records, %v", seen, err)
	}
}

// TestAgentCutOff checks that an agent that is unreachable during a change learns the outcome from
// the other agents once it is back.
func TestAgentCutOff(t *testing.T) {
	cases := []struct {
		name string
		at   rollout.Step
		want int
	}{{"before it has prepared", rollout.StepPrepare, 0}, {"after it was decided", rollout.StepApply, 5}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inParallel(t)
			f, op := newFleet(t, 5, 1)
			change := addLine(t, op.Snapshot(t.Context()), `log(level = "warn")`, 0)
			if c.at == rollout.StepPrepare {
				f.StopAgent("a02")
			}
			ctx, cancel := context.WithTimeout(t.Context(), 40*time.Second)
			defer cancel()
			r, err := op.Run(ctx, change, nil, func(s rollout.Step, _ int) {
				if s == c.at && s == rollout.StepApply {
					f.StopAgent("a02")
				}
			})
			if err != nil {
				t.Fatalf("%+v, %v", r, err)
			}
			// The tool reports the current or the future state of each target.
			for _, e := range r.Targets {
				if want := map[int]string{0: "untouched", 5: "changed"}[c.want]; e.State != want && (e.Agent != "a02" || e.State != "will be "+want) {
					t.Errorf("%+v", e)
				}
			}
			if err := f.StartAgent("a02"); err != nil {
				t.Fatal(err)
			}
			if n := awaitScripts(t, op, "warn"); n != c.want {
				t.Errorf("%d directors run the new script, want %d", n, c.want)
			}
		})
	}
}

// TestAgentsRecover checks that agents complete a change whose tool has ended, without another
// tool. They must not begin a wave that the tool had not begun.
func TestAgentsRecover(t *testing.T) {
	cases := []struct {
		name      string
		at        rollout.Step
		interrupt bool // the tool is interrupted and can report it; else it is killed
		limit     int
		outcome   string
		changed   int
	}{
		{"killed once all have prepared", rollout.StepDecide, false, 0, "drop", 0},
		{"killed once it was decided and nobody was told", rollout.StepApply, false, 0, "go", 5},
		{"killed before the first of five waves", rollout.StepApply, false, 1, "go", 1},
		{"interrupted while it is put in force", rollout.StepApply, true, 0, "go", 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inParallel(t)
			f, op := newFleet(t, 5, 1)
			change := addLine(t, op.Snapshot(t.Context()), `log(level = "warn")`, c.limit)
			startedAt := time.Now()
			if c.interrupt {
				ctx, cancel := context.WithCancel(t.Context())
				_, err := op.Run(ctx, change, nil, func(s rollout.Step, _ int) {
					if s == c.at {
						cancel()
					}
				})
				if err == nil || !strings.Contains(err.Error(), "left at putting in force") {
					t.Fatalf("%v", err)
				}
			} else {
				driveUntil(t, f, change, c.at)
			}
			for end := time.Now().Add(40 * time.Second); ; time.Sleep(100 * time.Millisecond) {
				v := op.Snapshot(t.Context())
				i := slices.IndexFunc(v.Changes, func(x ctl.ChangeStatus) bool { return x.ID == change.ID })
				applying, changed := 0, 0
				for _, phase := range v.Changes[i].Directors {
					switch phase {
					case "in force":
						changed++
					case "going":
						applying++
					}
				}
				if x := v.Changes[i]; x.Outcome == c.outcome && x.InProgress == (c.limit > 0) && applying == 0 && changed == c.changed {
					t.Log("recovered after", time.Since(startedAt))
					break
				} else if time.Now().After(end) {
					t.Fatalf("%+v", x)
				}
			}
			if c.limit > 0 { // further waves need an operator to resume the change
				if _, err := op.Run(t.Context(), nil, nil, nil); err != nil {
					t.Fatal(err)
				}
				if n := awaitScripts(t, op, "warn"); n != 5 {
					t.Errorf("%d directors run the new script after the change was resumed", n)
				}
			}
		})
	}
}

// TestDiskFull checks that agents with full disks refuse a change that they can't store, so that no
// director changes, and that the change succeeds once there is space.
func TestDiskFull(t *testing.T) {
	inParallel(t)
	// The test runs in a separate process, since the file size limit applies to all files of a
	// process.
	if os.Getenv("TALLY_DISK_FULL") == "" {
		cmd := exec.Command(os.Args[0], "-test.run=^TestDiskFull$")
		// The empty variable keeps the process from running as a director.
		cmd.Env = append(os.Environ(), "TALLY_DISK_FULL=1", "TALLYPROXY_TEST_DIRECTOR=")
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out[max(0, len(out)-2000):])
		}
		return
	}
	_, op := newFleet(t, 3, 1)
	view := op.Snapshot(t.Context())
	// With the signal ignored, a write past the limit returns an error, as on a full disk.
	signal.Ignore(syscall.SIGXFSZ)
	defer signal.Reset(syscall.SIGXFSZ)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_FSIZE, &limit); err != nil {
		t.Fatal(err)
	}
	full := syscall.Rlimit{Cur: 1, Max: limit.Max}
	if err := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &full); err != nil {
		t.Fatal(err)
	}
	r, err := op.Run(t.Context(), addLine(t, view, `log(level = "warn")`, 0), nil, nil)
	if rerr := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); rerr != nil {
		t.Fatal(rerr)
	}
	if err != nil || r.RefusalReason == "" || r.Outcome == rollout.Commit {
		t.Fatalf("%+v, %v", r, err)
	}
	if n := awaitScripts(t, op, "warn"); n != 0 {
		t.Fatalf("%d directors run the new script", n)
	}
	r, err = op.Run(t.Context(), addLine(t, op.Snapshot(t.Context()), `log(level = "warn")`, 0), nil, nil)
	if err != nil || !r.AllOrNone() || r.Outcome != rollout.Commit {
		t.Fatalf("with disk space again: %+v, %v", r, err)
	}
	if n := awaitScripts(t, op, "warn"); n != 3 {
		t.Errorf("%d directors run the new script", n)
	}
}

// TestToolReturnsWithoutMajority checks that a tool ends with a reason even if most agents accept
// connections but never answer.
func TestToolReturnsWithoutMajority(t *testing.T) {
	inParallel(t)
	f, op := newFleet(t, 3, 1)
	change := addLine(t, op.Snapshot(t.Context()), `log(level = "warn")`, 0)
	for _, name := range []string{"a01", "a02"} {
		f.StopAgent(name)
		// The listener acts like a machine that hangs: the kernel accepts connections, but no agent
		// answers.
		l, err := net.Listen("tcp", f.Inventory.Agent(name).Address)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }() // nothing was written, so the error does not matter
	}
	startedAt := time.Now()
	r, err := op.Run(t.Context(), change, nil, nil)
	if took := time.Since(startedAt); err != nil || r.RefusalReason != "no majority of the agents answers" || !r.AllOrNone() || took > 30*time.Second {
		t.Errorf("after %v: %+v, %v", took, r, err)
	}
}

// TestTwoOperatorsAtOnce checks that at most one of two concurrent changes succeeds, that the other
// is refused, and that no director runs both scripts.
func TestTwoOperatorsAtOnce(t *testing.T) {
	inParallel(t)
	f, op := newFleet(t, 3, 1)
	other, err := f.Operator("op")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	v := op.Snapshot(t.Context())
	results := make([]rollout.Result, 2)
	var operators sync.WaitGroup
	for i, o := range []*ctl.Fleet{op, other} {
		change := addLine(t, v, fmt.Sprintf(`log(level = %q)`, []string{"warn", "error"}[i]), 0)
		operators.Go(func() { results[i], _ = o.Run(t.Context(), change, nil, nil) })
	}
	operators.Wait()
	committed := 0
	for _, r := range results {
		if r.Outcome == rollout.Commit && r.AllOrNone() {
			committed++
		} else if r.RefusalReason == "" {
			t.Errorf("neither complete nor refused: %+v", r)
		}
	}
	warn, errs := awaitScripts(t, op, "warn"), awaitScripts(t, op, "error")
	if committed > 1 || warn > 0 && errs > 0 || committed == 1 && warn+errs != 3 {
		t.Errorf("%d changes committed; %d and %d directors run the new scripts: %+v", committed, warn, errs, results)
	}
}

// TestDrainByChange drains a cache node at every director under load. No request may reach the node
// later than a second after the change, and no answer may be lost during the test.
func TestDrainByChange(t *testing.T) {
	inParallel(t)
	f, op := newFleet(t, 3, 1)
	v := op.Snapshot(t.Context())
	candidates, err := v.Candidates()
	if err != nil {
		t.Fatal(err)
	}
	ctx, stopClients := context.WithCancel(t.Context())
	var clients sync.WaitGroup
	zipf := fakes.NewZipf(200, 1)
	for i, d := range f.Inventory.Directors {
		c := &fakes.Client{
			Cluster: f.Cluster, Targets: []*fakes.Target{{Addr: listenAddress(t, d.PlatformFile)}}, MaxRetries: 5, RetryPause: 50 * time.Millisecond,
			Rand: newRand(uint64(i)), Zipf: zipf,
		}
		clients.Go(func() { c.Run(ctx, 0, 20*time.Millisecond) })
	}
	node := f.Cluster.Node("box-0")
	for end := time.Now().Add(20 * time.Second); node.RequestCount() < 20; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the cache node gets no requests")
		}
	}
	change := rollout.Plan(ctl.NewChangeID(), "op", "drain", candidates, 1, func(s string) string { return config.Digest([]byte(s)) },
		func(p rollout.Candidate) string {
			script, err := ctl.EditAvoidedNodes(p.Script, "box-0", true)
			if err != nil {
				t.Error(err)
			}
			return script
		})
	r, err := op.Run(t.Context(), change, nil, nil)
	if err != nil || !r.AllOrNone() || r.Outcome != rollout.Commit {
		t.Fatalf("%+v, %v", r, err)
	}
	time.Sleep(time.Second)
	before := node.RequestCount()
	time.Sleep(time.Second)
	if n := node.RequestCount(); n != before {
		t.Errorf("%d requests reached the drained cache node", n-before)
	}
	stopClients()
	clients.Wait()
	f.Cluster.Clients.WithLock(func(b *fakes.ClientStats) {
		if b.Lost+b.Duplicates+b.WrongBodies > 0 || len(b.Requests) == 0 {
			t.Errorf("%d lost (%v) and %d duplicate answers, of %d requests", b.Lost, b.LostReasons, b.Duplicates, len(b.Requests))
		}
	})
}
