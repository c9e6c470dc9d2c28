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

// TestChangeWithDirectorKilled changes twenty directors, one of which is killed meanwhile: it restarts with the new script, as all others
// have it, and the tool reports each. The change is then undone.
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
		t.Errorf("%d have it", n)
	}
	// taken back, as a change of its own
	v := op.Snapshot(t.Context())
	of, before := v.Change(change.ID)
	undo := rollout.Undo(ctl.NewChangeID(), "op", of, before, func(s string) string { return config.Digest([]byte(s)) })
	if r, err := op.Run(t.Context(), undo, nil, nil); err != nil || !r.AllOrNone() {
		t.Fatalf("undo: %+v, %v", r, err)
	}
	if n := awaitScripts(t, op, "warn"); n != 0 {
		t.Errorf("%d have it after the undo", n)
	}
	seen := 0
	if err := op.Audit(t.Context(), func(string, *fleetpb.AuditRecord) { seen++ }); err != nil || seen < 20 {
		t.Errorf("%d records, %v", seen, err)
	}
}

// TestAgentCutOff: an agent that is cut off in the middle of a change learns from the others how it ended.
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
			for _, e := range r.Targets { // the tool says of each where it is, or will be
				if want := map[int]string{0: "untouched", 5: "changed"}[c.want]; e.State != want && (e.Agent != "a02" || e.State != "will be "+want) {
					t.Errorf("%+v", e)
				}
			}
			if err := f.StartAgent("a02"); err != nil {
				t.Fatal(err)
			}
			if n := awaitScripts(t, op, "warn"); n != c.want {
				t.Errorf("%d have it, want %d", n, c.want)
			}
		})
	}
}

// TestAgentsRecover: when a tool is gone the agents finish what it began without another tool, but no wave that it had not begun.
func TestAgentsRecover(t *testing.T) {
	cases := []struct {
		name      string
		at        rollout.Step
		interrupt bool // it can say that it leaves; else it is killed
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
			begun := time.Now()
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
				going, changed := 0, 0
				for _, phase := range v.Changes[i].Directors {
					switch phase {
					case "in force":
						changed++
					case "going":
						going++
					}
				}
				if x := v.Changes[i]; x.Outcome == c.outcome && x.InProgress == (c.limit > 0) && going == 0 && changed == c.changed {
					t.Log("recovered after", time.Since(begun))
					break
				} else if time.Now().After(end) {
					t.Fatalf("%+v", x)
				}
			}
			if c.limit > 0 { // the further waves need the operator's word
				if _, err := op.Run(t.Context(), nil, nil, nil); err != nil {
					t.Fatal(err)
				}
				if n := awaitScripts(t, op, "warn"); n != 5 {
					t.Errorf("%d have it after it was resumed", n)
				}
			}
		})
	}
}

// TestDiskFull: agents whose disks are full refuse a change that they can't store, and nothing changes; with room again it succeeds.
func TestDiskFull(t *testing.T) {
	inParallel(t)
	if os.Getenv("TALLY_DISK_FULL") == "" { // in a process of its own: the limit holds for all files of one
		cmd := exec.Command(os.Args[0], "-test.run=^TestDiskFull$")
		cmd.Env = append(os.Environ(), "TALLY_DISK_FULL=1", "TALLYPROXY_TEST_DIRECTOR=") // not as a director
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out[max(0, len(out)-2000):])
		}
		return
	}
	_, op := newFleet(t, 3, 1)
	view := op.Snapshot(t.Context())
	signal.Ignore(syscall.SIGXFSZ) // a write past the limit is an error then, as on a full disk
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
		t.Fatalf("%d have it", n)
	}
	r, err = op.Run(t.Context(), addLine(t, op.Snapshot(t.Context()), `log(level = "warn")`, 0), nil, nil)
	if err != nil || !r.AllOrNone() || r.Outcome != rollout.Commit {
		t.Fatalf("with room again: %+v, %v", r, err)
	}
	if n := awaitScripts(t, op, "warn"); n != 3 {
		t.Errorf("%d have it", n)
	}
}

// TestToolReturnsWithoutMajority: a tool ends with a reason also where most agents accept calls and never answer.
func TestToolReturnsWithoutMajority(t *testing.T) {
	inParallel(t)
	f, op := newFleet(t, 3, 1)
	change := addLine(t, op.Snapshot(t.Context()), `log(level = "warn")`, 0)
	for _, name := range []string{"a01", "a02"} {
		f.StopAgent(name)
		l, err := net.Listen("tcp", f.Inventory.Agent(name).Address) // a machine that hangs: the kernel takes the connection
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = l.Close() }() // nothing was written to it
	}
	begun := time.Now()
	r, err := op.Run(t.Context(), change, nil, nil)
	if took := time.Since(begun); err != nil || r.RefusalReason != "no majority of the agents answers" || !r.AllOrNone() || took > 30*time.Second {
		t.Errorf("after %v: %+v, %v", took, r, err)
	}
}

// TestTwoOperatorsAtOnce: of two changes at once one succeeds at most, the other is refused, and no director has both.
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
			t.Errorf("neither whole nor refused: %+v", r)
		}
	}
	warn, errs := awaitScripts(t, op, "warn"), awaitScripts(t, op, "error")
	if committed > 1 || warn > 0 && errs > 0 || committed == 1 && warn+errs != 3 {
		t.Errorf("%d went; %d and %d have it: %+v", committed, warn, errs, results)
	}
}

// TestDrainByChange drains a cache node at every director under load: no request reaches it from a second after the change on, and no
// answer is lost meanwhile.
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
		t.Errorf("%d more reached the cache node", n-before)
	}
	stopClients()
	clients.Wait()
	f.Cluster.Clients.WithLock(func(b *fakes.ClientStats) {
		if b.Lost+b.Duplicates+b.WrongBodies > 0 || len(b.Requests) == 0 {
			t.Errorf("%d lost %v, %d twice, of %d", b.Lost, b.LostReasons, b.Duplicates, len(b.Requests))
		}
	})
}
