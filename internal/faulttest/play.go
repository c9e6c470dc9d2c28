package faulttest

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tallyproxy/internal/fakes"
)

// faultStream is the second seed of the first fault's random numbers; each further fault has the next.
const faultStream = 900

// fault is a fault of a schedule as it is played. Apply and undo, where there is one, run in goroutines of their own: undo at the end
// of the fault's time, or once apply has returned where that is later.
type fault interface {
	// apply does what goes wrong. It may take its time, and does not wait for undo; the schedule is over only when it has returned.
	apply(ctx context.Context)
}

// revertible is a fault that has to be undone at its end.
type revertible interface {
	fault
	// undo ends what apply began.
	undo(ctx context.Context)
}

// faultRun is what the types of faults share: the fault, and what it is played on.
type faultRun struct {
	Fault
	harness   *Harness
	processes []*Process    // those that were there when play began; numbers of directors index them
	rand      *rand.Rand    // of this fault alone
	duration  time.Duration // from its begin to its end
}

// faultType is a kind of fault with what makes one to be played. The constructors are called before any fault begins.
type faultType struct {
	kind Kind
	new  func(faultRun) fault
}

// faultTypes are all kinds of faults.
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

// kinds are those of faultTypes, in their order.
var kinds = kindsOf(faultTypes)

func kindsOf(types []faultType) (all []Kind) {
	for _, t := range types {
		all = append(all, t.kind)
	}
	return all
}

// step is a thing to do at a time of a schedule.
type step struct {
	atMS int
	do   func(context.Context)
}

// Play plays the faults of a schedule, each at its time, and undoes them. When it returns all links are sound, and no director is paused
// or down unless it could not be started. It takes no longer than the schedule's length and what it takes to start a process. The
// schedule must be valid.
func (h *Harness) Play(ctx context.Context, s Schedule) {
	runSteps(ctx, h.steps(s))
	h.Network.Heal()
	for _, p := range h.Processes() { // two faults of one process may have left it down
		if !h.isUp(p) && !p.duplicate {
			h.restart(ctx, p)
		}
	}
}

// runSteps takes each step at its time, and waits until all have returned.
func runSteps(ctx context.Context, steps []step) {
	startedAt := time.Now()
	var running sync.WaitGroup
	for _, step := range steps {
		running.Go(func() { // each by itself: a start takes its time
			fakes.Sleep(ctx, time.Until(startedAt.Add(millis(step.atMS))))
			step.do(ctx)
		})
	}
	running.Wait()
}

// steps returns the begins and ends of a schedule's faults, by time.
func (h *Harness) steps(s Schedule) (steps []step) {
	for i, f := range s.Faults {
		end := s.endMS(f)
		played := h.newFault(f, rand.New(rand.NewPCG(s.Seed, uint64(i)+faultStream)), millis(end-f.AtMS))
		steps = append(steps, faultSteps(played, f.AtMS, end)...)
	}
	slices.SortStableFunc(steps, func(a, b step) int { return a.atMS - b.atMS })
	return steps
}

// faultSteps returns a fault's begin and, where it is to be undone, its end, which waits until the begin has returned.
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

// newFault makes a fault to be played; its kind must be known.
func (h *Harness) newFault(f Fault, random *rand.Rand, duration time.Duration) fault {
	run := faultRun{Fault: f, harness: h, processes: h.Processes(), rand: random, duration: duration}
	i := slices.Index(kinds, f.Kind)
	return faultTypes[i].new(run)
}

// forTargets does something to all target directors at once, and waits until it is done.
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

// recordDisruption records that from now on, or no longer, checkers can't expect directors to see one another.
func (r faultRun) recordDisruption(state string) {
	r.harness.History.Record(noDirector, string(r.Kind), map[string]string{disruptionAttribute: state})
}
