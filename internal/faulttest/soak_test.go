package faulttest

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// Seeds that CI plays, from one to the other.
const (
	firstSoakSeed = 1
	lastSoakSeed  = 12
)

const (
	idleWait            = 4 * time.Second // after which a director without clients holds no connection to nodes any more: they rest for 1.9 s
	maxExtraDescriptors = 8               // more than at its start, at rest: the channel, other directors
)

// soakSeeds are the first and the last seed to play: CI's, or those that TALLYPROXY_SOAK_SEEDS names, as 17-17.
func soakSeeds(t *testing.T) (first, last uint64) {
	text := os.Getenv("TALLYPROXY_SOAK_SEEDS")
	if text == "" {
		return firstSoakSeed, lastSoakSeed
	}
	if _, err := fmt.Sscanf(text, "%d-%d", &first, &last); err != nil {
		t.Fatalf("TALLYPROXY_SOAK_SEEDS: %q: %v", text, err)
	}
	return first, last
}

// Guards against what only long service shows: requests lost around signals and restarts, rules broken while everything else goes wrong
// too, and descriptors or memory that grow.
func TestSoak(t *testing.T) {
	program := buildProgram(t)
	first, last := soakSeeds(t)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			parallel(t)
			playSoak(t, program, seed)
		})
	}
}

// playSoak plays one seed. Odd seeds play the test program, under the race detector where the test is.
func playSoak(t *testing.T, program []string, seed uint64) {
	schedule := soakSchedule(seed)
	argv := program
	if seed%2 == 1 {
		argv = testSpec(t).Argv
	}
	spec := soakSpec(argv, schedule)
	var leaks []string
	spec.AfterLoad = func(h *Harness) { leaks = h.descriptorLeaks() }
	o, err := Run(t.Context(), spec, schedule, func(h *Harness) { h.startSoakClients() })
	if err != nil {
		t.Fatal(err)
	}
	violations := o.Violations()
	if len(leaks) > 0 {
		violations = append(violations, leaks...)
	}
	if seed%2 == 0 && o.MemoryMB > minMemoryMB {
		violations = append(violations, fmt.Sprintf("memory %v MB", o.MemoryMB))
	}
	t.Logf("%d requests, %v succeeded, %d crossed an end, starts %v, %v MB; ends held up: %v", o.Requests, o.SuccessRate, o.CrossedEnds, o.StartTimes, o.MemoryMB,
		o.DelayedEnds)
	if len(violations) > 0 || o.Requests < 500 {
		history := o.History.String()
		t.Errorf("broken: %v\nlost: %s\n%s\n%s\nthe end of the history:\n%s\nschedule: %v", violations, o.LostReasons,
			strings.Join(o.ViolationEvents, "\n"), o.CrashDetail,
			history[max(0, len(history)-6000):], schedule)
	}
}

// descriptorLeaks waits until directors without clients are at rest, and says which then hold more descriptors than at their start.
func (h *Harness) descriptorLeaks() (leaks []string) {
	time.Sleep(idleWait)
	for _, p := range h.Processes() {
		if now := p.DescriptorCount(); h.isUp(p) && now > p.startFDs+maxExtraDescriptors {
			leaks = append(leaks, fmt.Sprintf("%s holds %d descriptors at rest, %d at its start", p.Name, now, p.startFDs))
		}
	}
	return leaks
}
