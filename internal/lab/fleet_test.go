package lab

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tallyproxy/fleet"
	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
	"tallyproxy/internal/standin"
)

func newFleet(t *testing.T, agents, each int) (*Fleet, *ctl.Fleet) {
	spec := standin.Depot(4, agents*each)
	spec.Cold = false
	w, err := standin.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	dir, err := os.MkdirTemp("", "fleet") // sockets need short paths
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	f, err := NewFleet(w, dir, agents, each, argv(t), "")
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
func adding(t *testing.T, v ctl.View, line string, limit int) *fleet.Change {
	t.Helper()
	places, err := v.Places()
	if err != nil {
		t.Fatal(err)
	}
	return fleet.Plan(ctl.NewID(), "op", line, places, limit, func(s string) string { return config.Sum([]byte(s)) },
		func(p fleet.Place) string { return p.Script + line + "\n" })
}

// settled waits until every director tells by itself that it runs a line, or none does, and gives how many do.
func settled(t *testing.T, op *ctl.Fleet, line string) (with int) {
	t.Helper()
	for end := time.Now().Add(40 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		v, whole := op.Look(t.Context()), true
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
	f, op := newFleet(t, 10, 2)
	change := adding(t, op.Look(t.Context()), `log(level = "warn")`, 5)
	killed := false
	r, err := op.Run(t.Context(), change, nil, func(s fleet.Step, wave int) {
		if s == fleet.Waving && wave == 2 && !killed {
			killed = true
			f.Director("n070").Signal(syscall.SIGKILL)
		}
	})
	if err != nil || !r.Whole() || r.Outcome != fleet.Go || !killed || len(r.Ends) != 20 {
		t.Fatalf("%+v, %v", r, err)
	}
	if n := settled(t, op, "warn"); n != 20 {
		t.Errorf("%d have it", n)
	}
	// taken back, as a change of its own
	v := op.Look(t.Context())
	of, before := v.Change(change.ID)
	undo := fleet.Undo(ctl.NewID(), "op", of, before, func(s string) string { return config.Sum([]byte(s)) })
	if r, err := op.Run(t.Context(), undo, nil, nil); err != nil || !r.Whole() {
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
		at   fleet.Step
		want int
	}{{"before it has prepared", fleet.Preparing, 0}, {"after it was decided", fleet.Waving, 5}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, op := newFleet(t, 5, 1)
			change := adding(t, op.Look(t.Context()), `log(level = "warn")`, 0)
			if c.at == fleet.Preparing {
				f.Stop("a02")
			}
			ctx, leave := context.WithTimeout(t.Context(), 40*time.Second)
			defer leave()
			r, err := op.Run(ctx, change, nil, func(s fleet.Step, _ int) {
				if s == c.at && s == fleet.Waving {
					f.Stop("a02")
				}
			})
			if err != nil {
				t.Fatalf("%+v, %v", r, err)
			}
			for _, e := range r.Ends { // the tool says of each where it is, or will be
				if want := map[int]string{0: "untouched", 5: "changed"}[c.want]; e.State != want && (e.Agent != "a02" || e.State != "will be "+want) {
					t.Errorf("%+v", e)
				}
			}
			if err := f.Boot("a02"); err != nil {
				t.Fatal(err)
			}
			if n := settled(t, op, "warn"); n != c.want {
				t.Errorf("%d have it, want %d", n, c.want)
			}
		})
	}
}

// Two operators at once: one change is taken through, the other is told who holds the right; nothing is mixed.
func TestTwoOperatorsAtOnce(t *testing.T) {
	f, op := newFleet(t, 3, 1)
	other, err := f.Operator("op")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	v := op.Look(t.Context())
	results := make([]fleet.Result, 2)
	var all sync.WaitGroup
	for i, o := range []*ctl.Fleet{op, other} {
		change := adding(t, v, fmt.Sprintf(`log(level = %q)`, []string{"warn", "error"}[i]), 0)
		all.Go(func() { results[i], _ = o.Run(t.Context(), change, nil, nil) })
	}
	all.Wait()
	went := 0
	for _, r := range results {
		if r.Outcome == fleet.Go && r.Whole() {
			went++
		} else if r.Refused == "" {
			t.Errorf("neither whole nor refused: %+v", r)
		}
	}
	warn, errs := settled(t, op, "warn"), settled(t, op, "error")
	if went > 1 || warn > 0 && errs > 0 || went == 1 && warn+errs != 3 {
		t.Errorf("%d went; %d and %d have it: %+v", went, warn, errs, results)
	}
}

func TestRefusals(t *testing.T) {
	f, op := newFleet(t, 3, 1)
	t.Run("a faulty script: nobody has it", func(t *testing.T) {
		r, err := op.Run(t.Context(), adding(t, op.Look(t.Context()), "storm(rise = 0)", 0), nil, nil)
		if err != nil || r.Outcome != fleet.Drop || !strings.Contains(r.Refused, "storm.rise") || !r.Whole() {
			t.Errorf("%+v, %v", r, err)
		}
	})
	t.Run("what the agent had checked and the director would not have", func(t *testing.T) {
		r, err := op.Run(t.Context(), adding(t, op.Look(t.Context()), "machine(cores = 4)", 0), nil, nil)
		// cores are one by the platform's limit: the script is fine and the director takes it
		if err != nil || r.Outcome != fleet.Go || !r.Whole() {
			t.Errorf("%+v, %v", r, err)
		}
		v := op.Look(t.Context())
		places, _ := v.Places()
		change := fleet.Plan(ctl.NewID(), "op", "x", places, 1, func(s string) string { return config.Sum([]byte(s)) },
			func(p fleet.Place) string { return strings.Replace(p.Script, ".sock", ".elsewhere", 1) })
		r, err = op.Run(t.Context(), change, nil, nil)
		if err != nil || r.Stopped == "" || !strings.Contains(r.Stopped, "needs a restart") {
			t.Errorf("%+v, %v", r, err)
		}
		for _, e := range r.Ends {
			if e.State != "untouched" {
				t.Errorf("%+v", e)
			}
		}
		if n := settled(t, op, "elsewhere"); n != 0 {
			t.Errorf("%d have it", n)
		}
	})
	t.Run("an operator who may only look", func(t *testing.T) {
		if err := authority.Issue(f.Keys, f.Dir, "looker", []authority.Role{authority.See}, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		looker, err := f.Operator("looker")
		if err != nil {
			t.Fatal(err)
		}
		defer looker.Close()
		v := looker.Look(t.Context())
		if len(v.Directors) != 3 || !v.Directors[0].Up {
			t.Errorf("can't look: %+v", v)
		}
		r, err := looker.Run(t.Context(), adding(t, v, `log(level = "warn")`, 0), nil, nil)
		if err != nil || r.Refused == "" || r.Outcome != fleet.Open {
			t.Errorf("%+v, %v", r, err)
		}
	})
	t.Run("a revoked and an expired certificate", func(t *testing.T) {
		if err := authority.Issue(f.Keys, f.Dir, "left", []authority.Role{authority.Change}, time.Hour, time.Now()); err != nil {
			t.Fatal(err)
		}
		left, err := f.Operator("left")
		if err != nil {
			t.Fatal(err)
		}
		defer left.Close()
		if v := left.Look(t.Context()); !v.Agents[0].Answers {
			t.Fatalf("%+v", v.Agents)
		}
		cert, err := authority.ReadCertificate(filepath.Join(f.Dir, "left.pem"))
		if err != nil {
			t.Fatal(err)
		}
		if err := authority.Revoke(f.Keys, []*x509Certificate{cert}, time.Now()); err != nil {
			t.Fatal(err)
		}
		for _, a := range left.Look(t.Context()).Agents { // at once, also on the connection that is there
			if a.Answers || !strings.Contains(a.Why, "revoked") {
				t.Errorf("%+v", a)
			}
		}
		if err := authority.Issue(f.Keys, f.Dir, "late", []authority.Role{authority.Change}, time.Minute, time.Now().Add(-2*time.Hour)); err != nil {
			t.Fatal(err)
		}
		late, err := f.Operator("late")
		if err != nil {
			t.Fatal(err)
		}
		defer late.Close()
		for _, a := range late.Look(t.Context()).Agents {
			if a.Answers {
				t.Errorf("%+v", a)
			}
		}
	})
}

// A box kept out at every director while clients ask: nothing new reaches it a second after the directors have it, and no
// download is lost over the rolling change.
func TestDrainOverAll(t *testing.T) {
	f, op := newFleet(t, 3, 1)
	v := op.Look(t.Context())
	places, err := v.Places()
	if err != nil {
		t.Fatal(err)
	}
	ctx, leave := context.WithCancel(t.Context())
	var all sync.WaitGroup
	zipf := standin.NewZipf(200, 1)
	for i, d := range f.Inventory.Directors {
		c := &standin.Client{
			W: f.World, Targets: []*standin.Target{{Addr: listenOf(t, d.Config)}}, Retries: 5, Wait: 50 * time.Millisecond,
			Rand: newRand(uint64(i)), Zipf: zipf,
		}
		all.Go(func() { c.Live(ctx, 0, 20*time.Millisecond) })
	}
	box := f.World.Node("box-0")
	for end := time.Now().Add(20 * time.Second); box.Asked() < 20; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the box has no share")
		}
	}
	change := fleet.Plan(ctl.NewID(), "op", "drain", places, 1, func(s string) string { return config.Sum([]byte(s)) },
		func(p fleet.Place) string {
			script, err := ctl.Avoiding(p.Script, "box-0", true)
			if err != nil {
				t.Error(err)
			}
			return script
		})
	r, err := op.Run(t.Context(), change, nil, nil)
	if err != nil || !r.Whole() || r.Outcome != fleet.Go {
		t.Fatalf("%+v, %v", r, err)
	}
	time.Sleep(time.Second)
	before := box.Asked()
	time.Sleep(time.Second)
	if n := box.Asked(); n != before {
		t.Errorf("%d more reached the box", n-before)
	}
	leave()
	all.Wait()
	f.World.Clients.Do(func(b *standin.Book) {
		if b.Lost+b.Twice+b.Wrong > 0 || len(b.Downloads) == 0 {
			t.Errorf("%d lost %v, %d twice, of %d", b.Lost, b.LostHow, b.Twice, len(b.Downloads))
		}
	})
}
