package rollout

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

// TestAnyHistory guards against histories of lost, repeated and delayed messages, crashes and
// several tools after which a change does not end. Once the network works, every target must be
// changed or unchanged in a bounded time, with one outcome for each change, regardless of who
// completes it.
func TestAnyHistory(t *testing.T) {
	cases := []struct {
		name  string
		waves int
		end   func(f *fleet)
	}{
		{"another tool", 3, func(f *fleet) {
			// The tools crash, but the messages that they sent still arrive.
			f.tools = map[int]*Coordinator{}
			f.now += 30 * policy.Second
			f.startTool(nil)
		}},
		{"the tools that live", 3, func(*fleet) {}},
		{"the agents alone", 1, func(f *fleet) { f.tools = map[int]*Coordinator{} }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkHistory(t, c.waves, c.end) }) })
	}
}

// hasUnstartedWave reports whether a wave is left that only an operator may start.
func (f *fleet) hasUnstartedWave() bool {
	for _, name := range f.names {
		for _, e := range f.machines[name].State.Entries {
			if e.Outcome == Commit && !e.Final && e.AllowedWaves < e.Change.WaveCount() {
				return true
			}
		}
	}
	return false
}

// checkHistory simulates a random history, ends it with the given function and checks the final
// state of the fleet.
func checkHistory(t *rapid.T, waves int, end func(*fleet)) {
	f := newFleet(rapid.IntRange(1, 4).Draw(t, "agents"))
	changes := 0
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		name := rapid.SampledFrom(f.names).Draw(t, "agent")
		m := f.machines[name]
		switch action := rapid.IntRange(0, 14).Draw(t, "what"); {
		case action == 0 && changes < 4:
			changes++
			script := rapid.SampledFrom([]string{"x", "y", "faulty"}).Draw(t, "script")
			f.startTool(f.newChange(fmt.Sprint("c", changes), fmt.Sprint(script, changes), rapid.IntRange(1, waves).Draw(t, "waves")))
		case action == 1:
			m.down = true
			m.commands = nil
		case action == 2 && m.down:
			f.boot(name)
		case action == 3 && len(f.tools) > 0:
			tools := slices.Sorted(maps.Keys(f.tools))
			delete(f.tools, rapid.SampledFrom(tools).Draw(t, "tool"))
		case action == 4 && len(f.tools) < 3:
			f.startTool(nil)
		case action == 5:
			f.now += policy.Micros(rapid.IntRange(1, 20_000_000).Draw(t, "time"))
			for _, n := range slices.Sorted(maps.Keys(f.tools)) {
				f.enqueue(fmt.Sprint(n), f.tools[n].Tick(f.now))
			}
		case action == 6:
			f.carryOutNext(m)
		case action == 7:
			f.tickRecovery(m)
		case action == 8:
			f.rejects[fmt.Sprint("n", name[1:], "0")] = rapid.Bool().Draw(t, "refuses")
		case len(f.inFlight) > 0:
			i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
			d := f.inFlight[i]
			if action == 9 { // the message is lost
				f.inFlight = slices.Delete(f.inFlight, i, i+1)
				continue
			}
			if action != 10 { // otherwise the message arrives again later
				f.inFlight = slices.Delete(f.inFlight, i, i+1)
			}
			f.deliver(d)
		}
		if f.err != nil {
			t.Fatal(f.err)
		}
	}
	f.rejects = map[string]bool{}
	for _, name := range f.names {
		if f.machines[name].down {
			f.boot(name)
		}
	}
	end(f)
	f.runRounds(600)
	for n, c := range f.tools {
		if c.Step() != StepDone {
			t.Fatalf("tool %d does not finish: %s", n, c.DebugString())
		}
	}
	for range 3 { // each change with an unstarted wave waits for an operator to resume it
		if f.hasUnstartedWave() {
			f.startTool(nil)
			f.runRounds(200)
		}
	}
	f.checkConsistent(t.Fatalf, "at the end")
}
