package experiment

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tallyproxy/internal/agent"
	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
	"tallyproxy/internal/fakes"
	d "tallyproxy/policy"
	"tallyproxy/rollout"
)

func newFleet(t *testing.T, agents, each int) (*LoopbackFleet, *ctl.Fleet) {
	spec := fakes.DefaultSpec(4, agents*each)
	spec.ColdEdges = false
	w, err := fakes.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	dir, err := os.MkdirTemp("", "fleet") // sockets need short paths
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	f, err := NewLoopbackFleet(w, dir, agents, each, argv(t), "", false)
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

// adding makes a change that adds a line to every director's script.
func adding(t *testing.T, v ctl.Snapshot, line string, limit int) *rollout.Change {
	t.Helper()
	places, err := v.Candidates()
	if err != nil {
		t.Fatal(err)
	}
	return rollout.Plan(ctl.NewChangeID(), "op", line, places, limit, func(s string) string { return config.Digest([]byte(s)) },
		func(p rollout.Candidate) string { return p.Script + line + "\n" })
}

// settled waits until every director tells by itself that it runs a line, or none does, and gives how many do.
func settled(t *testing.T, op *ctl.Fleet, line string) (with int) {
	t.Helper()
	for end := time.Now().Add(40 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		v, whole := op.Snapshot(t.Context()), true
		with = 0
		for _, d := range v.Directors {
			whole = whole && d.Up && !d.Drifted
			if strings.Contains(d.Script, line) {
				with++
			}
		}
		if whole && (with == 0 || with == len(v.Directors)) {
			return with
		}
		if time.Now().After(end) {
			t.Fatalf("%d of %d run %q: %+v", with, len(v.Directors), line, v.Changes)
		}
	}
}

// Twenty instances, one killed during a change: it comes back changed, as all others are, and the tool says which.
func TestTwentyWithOneKilled(t *testing.T) {
	beside(t)
	f, op := newFleet(t, 10, 2)
	change := adding(t, op.Snapshot(t.Context()), `log(level = "warn")`, 5)
	killed := false
	r, err := op.Run(t.Context(), change, nil, func(s rollout.Step, wave int) {
		if s == rollout.StepApply && wave == 2 && !killed {
			killed = true
			f.Director("n070").Signal(syscall.SIGKILL)
		}
	})
	if err != nil || !r.AllOrNone() || r.Outcome != rollout.Commit || !killed || len(r.Targets) != 20 {
		t.Fatalf("%+v, %v", r, err)
	}
	if n := settled(t, op, "warn"); n != 20 {
		t.Errorf("%d have it", n)
	}
	// taken back, as a change of its own
	v := op.Snapshot(t.Context())
	of, before := v.Change(change.ID)
	undo := rollout.Undo(ctl.NewChangeID(), "op", of, before, func(s string) string { return config.Digest([]byte(s)) })
	if r, err := op.Run(t.Context(), undo, nil, nil); err != nil || !r.AllOrNone() {
		t.Fatalf("undo: %+v, %v", r, err)
	}
	if n := settled(t, op, "warn"); n != 0 {
		t.Errorf("%d have it after the undo", n)
	}
	seen := 0
	if err := op.Audit(t.Context(), func(string, *auditRecord) { seen++ }); err != nil || seen < 20 {
		t.Errorf("%d records, %v", seen, err)
	}
}

// An agent that is cut off in the middle of a change learns from the others what became of it.
func TestAgentCutOff(t *testing.T) {
	cases := []struct {
		name string
		at   rollout.Step
		want int
	}{{"before it has prepared", rollout.StepPrepare, 0}, {"after it was decided", rollout.StepApply, 5}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			beside(t)
			f, op := newFleet(t, 5, 1)
			change := adding(t, op.Snapshot(t.Context()), `log(level = "warn")`, 0)
			if c.at == rollout.StepPrepare {
				f.StopAgent("a02")
			}
			ctx, leave := context.WithTimeout(t.Context(), 40*time.Second)
			defer leave()
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
			if n := settled(t, op, "warn"); n != c.want {
				t.Errorf("%d have it, want %d", n, c.want)
			}
		})
	}
}

// A tool that is gone leaves nothing open: the agents settle what it began, with no other tool, and no wave that it had not begun.
func TestAgentsSettle(t *testing.T) {
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
			beside(t)
			f, op := newFleet(t, 5, 1)
			change := adding(t, op.Snapshot(t.Context()), `log(level = "warn")`, c.limit)
			begun := time.Now()
			if c.interrupt {
				ctx, leave := context.WithCancel(t.Context())
				_, err := op.Run(ctx, change, nil, func(s rollout.Step, _ int) {
					if s == c.at {
						leave()
					}
				})
				if err == nil || !strings.Contains(err.Error(), "left at putting in force") {
					t.Fatalf("%v", err)
				}
			} else {
				killed(t, f, change, c.at)
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
					t.Log("settled after", time.Since(begun))
					break
				} else if time.Now().After(end) {
					t.Fatalf("%+v", x)
				}
			}
			if c.limit > 0 { // whether the others follow is the operator's to say
				if _, err := op.Run(t.Context(), nil, nil, nil); err != nil {
					t.Fatal(err)
				}
				if n := settled(t, op, "warn"); n != 5 {
					t.Errorf("%d have it after it was resumed", n)
				}
			}
		})
	}
}

// killed takes a change so far as a step, whose first messages are not sent any more.
func killed(t *testing.T, f *LoopbackFleet, change *rollout.Change, at rollout.Step) {
	t.Helper()
	id, err := f.identity("op")
	if err != nil {
		t.Fatal(err)
	}
	peers := agent.NewClients(f.Inventory, id)
	defer peers.Close()
	c, begun := rollout.NewCoordinator("op/killed", 100, f.Inventory.AgentNames(), change, rollout.DefaultTimeouts(), nil), time.Now()
	now := func() d.Micros { return d.Micros(time.Since(begun) / time.Microsecond) }
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

// A director that ends by itself is started again with what is in force; one that was told to stop stays down.
func TestDirectorStartedAgain(t *testing.T) {
	cases := []struct {
		name   string
		signal syscall.Signal
		back   bool
	}{{"killed", syscall.SIGKILL, true}, {"told to stop", syscall.SIGTERM, false}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			beside(t)
			f, op := newFleet(t, 1, 1)
			if r, err := op.Run(t.Context(), adding(t, op.Snapshot(t.Context()), `log(level = "warn")`, 0), nil, nil); err != nil || !r.AllOrNone() {
				t.Fatalf("%+v, %v", r, err)
			}
			before := op.Snapshot(t.Context()).Directors[0].Report.PID
			if err := f.Director("n000").Signal(c.signal); err != nil {
				t.Fatal(err)
			}
			down := false
			back := func() bool {
				x := op.Snapshot(t.Context()).Directors[0]
				down = down || !x.Up
				return x.Up && x.Report.PID != before && !x.Drifted && strings.Contains(x.Script, "warn")
			}
			wait := 20 * time.Second
			if !c.back { // three times as long as the first start would take
				wait = 4 * time.Second
			}
			came := false
			for end := time.Now().Add(wait); !came && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				came = back()
			}
			if came != c.back || !down {
				t.Errorf("back: %v, was down: %v", came, down)
			}
		})
	}
}

// Agents whose disks are full refuse what they could not remember, and nothing has changed; with room again the same change goes through.
func TestDiskFull(t *testing.T) {
	beside(t)
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
	r, err := op.Run(t.Context(), adding(t, view, `log(level = "warn")`, 0), nil, nil)
	if rerr := syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit); rerr != nil {
		t.Fatal(rerr)
	}
	if err != nil || r.RefusalReason == "" || r.Outcome == rollout.Commit {
		t.Fatalf("%+v, %v", r, err)
	}
	if n := settled(t, op, "warn"); n != 0 {
		t.Fatalf("%d have it", n)
	}
	r, err = op.Run(t.Context(), adding(t, op.Snapshot(t.Context()), `log(level = "warn")`, 0), nil, nil)
	if err != nil || !r.AllOrNone() || r.Outcome != rollout.Commit {
		t.Fatalf("with room again: %+v, %v", r, err)
	}
	if n := settled(t, op, "warn"); n != 3 {
		t.Errorf("%d have it", n)
	}
}

// A tool always has an answer: also where most agents take calls and never answer them.
func TestToolReturns(t *testing.T) {
	beside(t)
	f, op := newFleet(t, 3, 1)
	change := adding(t, op.Snapshot(t.Context()), `log(level = "warn")`, 0)
	for _, name := range []string{"a01", "a02"} {
		f.StopAgent(name)
		l, err := net.Listen("tcp", f.Inventory.Agent(name).Address) // a machine that hangs: the kernel takes the connection
		if err != nil {
			t.Fatal(err)
		}
		defer l.Close()
	}
	begun := time.Now()
	r, err := op.Run(t.Context(), change, nil, nil)
	if took := time.Since(begun); err != nil || r.RefusalReason != "no majority of the agents answers" || !r.AllOrNone() || took > 30*time.Second {
		t.Errorf("after %v: %+v, %v", took, r, err)
	}
}

// Two operators at once: one change is taken through, the other is told who holds the right; nothing is mixed.
func TestTwoOperatorsAtOnce(t *testing.T) {
	beside(t)
	f, op := newFleet(t, 3, 1)
	other, err := f.Operator("op")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	v := op.Snapshot(t.Context())
	results := make([]rollout.Result, 2)
	var all sync.WaitGroup
	for i, o := range []*ctl.Fleet{op, other} {
		change := adding(t, v, fmt.Sprintf(`log(level = %q)`, []string{"warn", "error"}[i]), 0)
		all.Go(func() { results[i], _ = o.Run(t.Context(), change, nil, nil) })
	}
	all.Wait()
	went := 0
	for _, r := range results {
		if r.Outcome == rollout.Commit && r.AllOrNone() {
			went++
		} else if r.RefusalReason == "" {
			t.Errorf("neither whole nor refused: %+v", r)
		}
	}
	warn, errs := settled(t, op, "warn"), settled(t, op, "error")
	if went > 1 || warn > 0 && errs > 0 || went == 1 && warn+errs != 3 {
		t.Errorf("%d went; %d and %d have it: %+v", went, warn, errs, results)
	}
}

func TestRefusals(t *testing.T) {
	beside(t)
	f, op := newFleet(t, 3, 1)
	t.Run("a faulty script: nobody has it", func(t *testing.T) {
		r, err := op.Run(t.Context(), adding(t, op.Snapshot(t.Context()), "storm(rise = 0)", 0), nil, nil)
		if err != nil || r.Outcome != rollout.Abort || !strings.Contains(r.RefusalReason, "storm.rise") || !r.AllOrNone() {
			t.Errorf("%+v, %v", r, err)
		}
	})
	t.Run("what the agent had checked and the director would not have", func(t *testing.T) {
		r, err := op.Run(t.Context(), adding(t, op.Snapshot(t.Context()), "machine(cores = 4)", 0), nil, nil)
		// cores are one by the platform's limit: the script is fine and the director takes it
		if err != nil || r.Outcome != rollout.Commit || !r.AllOrNone() {
			t.Errorf("%+v, %v", r, err)
		}
		v := op.Snapshot(t.Context())
		places, _ := v.Candidates()
		change := rollout.Plan(ctl.NewChangeID(), "op", "x", places, 1, func(s string) string { return config.Digest([]byte(s)) },
			func(p rollout.Candidate) string { return strings.Replace(p.Script, ".sock", ".elsewhere", 1) })
		r, err = op.Run(t.Context(), change, nil, nil)
		if err != nil || r.StopReason == "" || !strings.Contains(r.StopReason, "needs a restart") {
			t.Errorf("%+v, %v", r, err)
		}
		for _, e := range r.Targets {
			if e.State != "untouched" {
				t.Errorf("%+v", e)
			}
		}
		if n := settled(t, op, "elsewhere"); n != 0 {
			t.Errorf("%d have it", n)
		}
	})
	t.Run("an operator who may only look", func(t *testing.T) {
		if err := authority.Issue(f.AuthorityDir, f.Dir, "looker", []authority.Role{authority.RoleViewer}, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		looker, err := f.Operator("looker")
		if err != nil {
			t.Fatal(err)
		}
		defer looker.Close()
		v := looker.Snapshot(t.Context())
		if len(v.Directors) != 3 || !v.Directors[0].Up {
			t.Errorf("can't look: %+v", v)
		}
		r, err := looker.Run(t.Context(), adding(t, v, `log(level = "warn")`, 0), nil, nil)
		if err != nil || r.RefusalReason == "" || r.Outcome != rollout.Undecided {
			t.Errorf("%+v, %v", r, err)
		}
	})
	t.Run("a revoked and an expired certificate", func(t *testing.T) {
		if err := authority.Issue(f.AuthorityDir, f.Dir, "left", []authority.Role{authority.RoleEditor}, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		left, err := f.Operator("left")
		if err != nil {
			t.Fatal(err)
		}
		defer left.Close()
		if v := left.Snapshot(t.Context()); !v.Agents[0].Reachable {
			t.Fatalf("%+v", v.Agents)
		}
		cert, err := authority.LoadCertificate(filepath.Join(f.Dir, "left.pem"))
		if err != nil {
			t.Fatal(err)
		}
		if err := authority.Revoke(f.AuthorityDir, []*x509Certificate{cert}, time.Now()); err != nil {
			t.Fatal(err)
		}
		for _, a := range left.Snapshot(t.Context()).Agents { // at once, also on the connection that is there
			if a.Reachable || !strings.Contains(a.Reason, "revoked") {
				t.Errorf("%+v", a)
			}
		}
		if err := authority.Issue(f.AuthorityDir, f.Dir, "late", []authority.Role{authority.RoleEditor}, time.Minute, time.Now().Add(-2*time.Hour)); err != nil {
			t.Fatal(err)
		}
		late, err := f.Operator("late")
		if err != nil {
			t.Fatal(err)
		}
		defer late.Close()
		for _, a := range late.Snapshot(t.Context()).Agents {
			if a.Reachable {
				t.Errorf("%+v", a)
			}
		}
	})
}

// A box kept out at every director while clients ask: nothing new reaches it a second after the directors have it, and no
// download is lost over the rolling change.
func TestDrainOverAll(t *testing.T) {
	beside(t)
	f, op := newFleet(t, 3, 1)
	v := op.Snapshot(t.Context())
	places, err := v.Candidates()
	if err != nil {
		t.Fatal(err)
	}
	ctx, leave := context.WithCancel(t.Context())
	var all sync.WaitGroup
	zipf := fakes.NewZipf(200, 1)
	for i, d := range f.Inventory.Directors {
		c := &fakes.Client{
			Cluster: f.Cluster, Targets: []*fakes.Target{{Addr: listenOf(t, d.PlatformFile)}}, MaxRetries: 5, RetryPause: 50 * time.Millisecond,
			Rand: newRand(uint64(i)), Zipf: zipf,
		}
		all.Go(func() { c.Run(ctx, 0, 20*time.Millisecond) })
	}
	box := f.Cluster.Node("box-0")
	for end := time.Now().Add(20 * time.Second); box.RequestCount() < 20; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the box has no share")
		}
	}
	change := rollout.Plan(ctl.NewChangeID(), "op", "drain", places, 1, func(s string) string { return config.Digest([]byte(s)) },
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
	before := box.RequestCount()
	time.Sleep(time.Second)
	if n := box.RequestCount(); n != before {
		t.Errorf("%d more reached the box", n-before)
	}
	leave()
	all.Wait()
	f.Cluster.Clients.WithLock(func(b *fakes.ClientStats) {
		if b.Lost+b.Duplicates+b.WrongBodies > 0 || len(b.Requests) == 0 {
			t.Errorf("%d lost %v, %d twice, of %d", b.Lost, b.LostReasons, b.Duplicates, len(b.Requests))
		}
	})
}

// Agents find out who of them is there, by the same detector as directors.
func TestAgentsMeet(t *testing.T) {
	beside(t)
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
	until("they don't all see each other", sees(map[string]string{"a00": "up", "a01": "up", "a02": "up"}))
	f.StopAgent("a02")
	until("one that stopped has not left", sees(map[string]string{"a02": "left"}))
}
