package rollout

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

// Any history of losses, repeats, delays, crashes and several tools ends, once the network works, with every target changed or
// unchanged and one outcome for each change, whoever is left to complete it, and in a bounded time.
func TestAnyHistory(t *testing.T) {
	cases := []struct {
		name  string
		waves int
		end   func(f *fleet)
	}{
		{"another tool", 3, func(f *fleet) {
			f.tools = map[int]*Coordinator{} // the tools crash, what they sent still arrives
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

// hasUnstartedWave reports whether a wave is left that only an operator may begin.
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

func checkHistory(t *rapid.T, waves int, end func(*fleet)) {
	f := newFleet(rapid.IntRange(1, 4).Draw(t, "agents"))
	changes := 0
	for range rapid.IntRange(1, 150).Draw(t, "steps") {
		name := rapid.SampledFrom(f.names).Draw(t, "agent")
		m := f.machines[name]
		switch what := rapid.IntRange(0, 14).Draw(t, "what"); {
		case what == 0 && changes < 4:
			changes++
			script := rapid.SampledFrom([]string{"x", "y", "faulty"}).Draw(t, "script")
			f.startTool(f.newChange(fmt.Sprint("c", changes), fmt.Sprint(script, changes), rapid.IntRange(1, waves).Draw(t, "waves")))
		case what == 1:
			m.down = true
			m.commands = nil
		case what == 2 && m.down:
			f.boot(name)
		case what == 3 && len(f.tools) > 0:
			tools := slices.Sorted(maps.Keys(f.tools))
			delete(f.tools, rapid.SampledFrom(tools).Draw(t, "tool"))
		case what == 4 && len(f.tools) < 3:
			f.startTool(nil)
		case what == 5:
			f.now += policy.Micros(rapid.IntRange(1, 20_000_000).Draw(t, "time"))
			for _, n := range slices.Sorted(maps.Keys(f.tools)) {
				f.enqueue(fmt.Sprint(n), f.tools[n].Tick(f.now))
			}
		case what == 6:
			f.carryOutNext(m)
		case what == 7:
			f.tickRecovery(m)
		case what == 8:
			f.rejects[fmt.Sprint("n", name[1:], "0")] = rapid.Bool().Draw(t, "refuses")
		case len(f.inFlight) > 0:
			i := rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
			it := f.inFlight[i]
			if what == 9 { // lost
				f.inFlight = slices.Delete(f.inFlight, i, i+1)
				continue
			}
			if what != 10 { // otherwise it arrives again later
				f.inFlight = slices.Delete(f.inFlight, i, i+1)
			}
			f.deliver(it)
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
			t.Fatalf("tool %d never returns: %s", n, c.DebugString())
		}
	}
	for range 3 { // each change with a wave left waits for an operator who resumes it
		if f.hasUnstartedWave() {
			f.startTool(nil)
			f.runRounds(200)
		}
	}
	f.checkConsistent(t.Fatalf, "at the end")
}
