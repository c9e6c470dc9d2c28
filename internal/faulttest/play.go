package faulttest

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tallyproxy/internal/fakes"
)

// faultStream is the second seed of the first fault's random number stream; each further fault has
// the next number.
const faultStream = 900

// fault is a fault of a schedule while it is played. apply, and undo if the type has it, run in
// goroutines of their own. undo runs at the end of the fault's time, or after apply has returned if
// that is later.
type fault interface {
	// apply causes the fault. It may block, but does not wait for undo. The schedule ends only
	// after apply has returned.
	apply(ctx context.Context)
}

// revertible is a fault that must be undone at its end.
type revertible interface {
	fault
	// undo reverts what apply did.
	undo(ctx context.Context)
}

// faultRun contains what all fault types share: the fault and the harness on which it is played.
type faultRun struct {
	Fault
	harness   *Harness
	processes []*Process    // directors present when play began, indexed by number
	rand      *rand.Rand    // stream of this fault alone
	duration  time.Duration // from its start to its end
}

// faultType associates a kind of fault with its constructor. All constructors are called before any
// fault starts.
type faultType struct {
	kind Kind
	new  func(faultRun) fault
}

// faultTypes lists all kinds of faults.
var faultTypes = []faultType{
	{CutLinks, func(r faultRun) fault { return cutLinks{r} }},
	{Partition, func(r faultRun) fault { return cutLinks{r} }},
	{LossyLinks, func(r faultRun) fault { return lossyLinks{r} }},
	{FlappingLinks, func(r faultRun) fault { return flappingLinks{r} }},
	{Kill, func(r faultRun) fault { return killProcesses{r} }},
	{Pause, func(r faultRun) fault { return pauseProcesses{r} }},
	{Terminate, func(r faultRun) fault { return terminateProcesses{r} }},
	{Restart, func(r faultRun) fault { return restartProcesses{r} }},
	{DuplicateInstance, func(r faultRun) fault { return &duplicateInstance{faultRun: r} }},
	{FalseHints, func(r faultRun) fault { return &falseHints{faultRun: r} }},
	{ColdCaches, func(r faultRun) fault { return coldCaches{r} }},
	{Purge, func(r faultRun) fault { return purgeGroups{r} }},
	{Drain, newDrainCache},
	{BusyCores, func(r faultRun) fault { return busyCores{r} }},
	{ZoneLoss, newZoneLoss},
	{ChannelUnreachable, func(r faultRun) fault { return channelUnreachable{r} }},
	{ChannelOutage, func(r faultRun) fault { return channelOutage{r} }},
	{KillDelegates, func(r faultRun) fault { return &killDelegates{faultRun: r} }},
	{ChannelMove, func(r faultRun) fault { return channelMove{r} }},
	{RollingRestart, func(r faultRun) fault { return rollingRestart{r} }},
	{ReplaceCaches, func(r faultRun) fault { return replaceCaches{r} }},
	{MalformedRelay, func(r faultRun) fault { return &malformedRelay{faultRun: r} }},
	{ChannelRollback, func(r faultRun) fault { return channelRollback{r} }},
	{PlannedRestart, func(r faultRun) fault { return plannedRestart{r} }},
	{Reloads, func(r faultRun) fault { return reloads{r} }},
	{IdleClients, func(r faultRun) fault { return idleClients{r} }},
	{HangingNode, func(r faultRun) fault { return faultyNodes{r, fakes.FaultNoAnswer} }},
	{ResettingNode, func(r faultRun) fault { return faultyNodes{r, fakes.FaultReset} }},
	{CrashedNode, func(r faultRun) fault { return crashedNodes{r, false} }},
	{LateNode, func(r faultRun) fault { return crashedNodes{r, true} }},
	{IdleCloses, func(r faultRun) fault { return idleCloses{r} }},
}

// kinds are the kinds of faultTypes, in the same order.
var kinds = kindsOf(faultTypes)

func kindsOf(types []faultType) (all []Kind) {
	for _, t := range types {
		all = append(all, t.kind)
	}
	return all
}

// step is an action at a time of a schedule.
type step struct {
	atMS int
	do   func(context.Context)
}

// Play applies the faults of a schedule, each at its time, and undoes them. When it returns, all
// links are without faults, and no director is paused, or down unless it could not be started. It
// takes at most the schedule's length plus the time to start a process. The schedule must be valid.
func (h *Harness) Play(ctx context.Context, s Schedule) {
	runSteps(ctx, h.steps(s))
	h.Network.Heal()
	for _, p := range h.Processes() { // two faults of the same process may have left it down
		if !h.isUp(p) && !p.duplicate {
			h.restart(ctx, p)
		}
	}
}

// runSteps runs each step at its time and waits until all steps have returned.
func runSteps(ctx context.Context, steps []step) {
	startedAt := time.Now()
	var running sync.WaitGroup
	for _, step := range steps {
		running.Go(func() { // in a goroutine, since starting a process takes time
			fakes.Sleep(ctx, time.Until(startedAt.Add(millis(step.atMS))))
			step.do(ctx)
		})
	}
	running.Wait()
}

// steps returns the starts and ends of a schedule's faults, sorted by time.
func (h *Harness) steps(s Schedule) (steps []step) {
	for i, f := range s.Faults {
		end := s.endMS(f)
		played := h.newFault(f, rand.New(rand.NewPCG(s.Seed, uint64(i)+faultStream)), millis(end-f.AtMS))
		steps = append(steps, faultSteps(played, f.AtMS, end)...)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return a.atMS - b.atMS })
	return steps
}

// faultSteps returns a step for the start of a fault and, if the fault is revertible, one for its
// end, which waits until the first step has returned.
func faultSteps(f fault, atMS, endMS int) []step {
	undoable, ok := f.(revertible)
	if !ok {
		return []step{{atMS, f.apply}}
	}
	applied := make(chan struct{})
	return []step{
		{atMS, func(ctx context.Context) {
			defer close(applied)
			f.apply(ctx)
		}},
		{endMS, func(ctx context.Context) {
			<-applied
			undoable.undo(ctx)
		}},
	}
}

// newFault returns a fault that is ready to be played. Its kind must be known.
func (h *Harness) newFault(f Fault, random *rand.Rand, duration time.Duration) fault {
	run := faultRun{Fault: f, harness: h, processes: h.Processes(), rand: random, duration: duration}
	i := slices.Index(kinds, f.Kind)
	return faultTypes[i].new(run)
}

// forTargets calls do for all target directors concurrently and waits for all calls.
func (r faultRun) forTargets(do func(*Process)) {
	var running sync.WaitGroup
	for _, i := range r.Targets {
		running.Go(func() { do(r.processes[i]) })
	}
	running.Wait()
}

// restartTargets starts all target directors that are down.
func (r faultRun) restartTargets(ctx context.Context) {
	r.forTargets(func(p *Process) { r.harness.restart(ctx, p) })
}

// recordDisruption records the start or the end of a time in which checkers can't expect directors
// to see each other.
func (r faultRun) recordDisruption(state string) {
	r.harness.History.Record(noDirector, string(r.Kind), map[string]string{disruptionAttribute: state})
}
