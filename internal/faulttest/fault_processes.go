package faulttest

import (
	"context"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/status"
)

// killProcesses kills directors, and starts them again at its end.
type killProcesses struct{ faultRun }

func (f killProcesses) apply(context.Context)    { f.forTargets(f.harness.kill) }
func (f killProcesses) undo(ctx context.Context) { f.restartTargets(ctx) }

// pauseProcesses suspends directors, and resumes them at its end.
type pauseProcesses struct{ faultRun }

func (f pauseProcesses) apply(context.Context) {
	f.recordDisruption(disruptionOn)
	f.forTargets(func(p *Process) { p.Pause(true) })
}

func (f pauseProcesses) undo(context.Context) {
	f.forTargets(func(p *Process) { p.Pause(false) })
	f.recordDisruption(disruptionOff)
}

// terminateProcesses sends SIGTERM to directors, and starts them again at its end.
type terminateProcesses struct{ faultRun }

func (f terminateProcesses) apply(context.Context)    { f.forTargets(f.harness.terminate) }
func (f terminateProcesses) undo(ctx context.Context) { f.restartTargets(ctx) }

// restartProcesses kills directors and starts them again at once.
type restartProcesses struct{ faultRun }

func (f restartProcesses) apply(ctx context.Context) {
	f.forTargets(func(p *Process) {
		f.harness.kill(p)
		f.harness.restart(ctx, p)
	})
}

// rollingRestart terminates and restarts all directors, a tenth at a time.
type rollingRestart struct{ faultRun }

func (f rollingRestart) apply(ctx context.Context) {
	tenth := (len(f.processes) + 9) / 10
	for batch := range slices.Chunk(f.processes, tenth) {
		var running sync.WaitGroup
		for _, p := range batch {
			running.Go(func() {
				f.harness.terminate(p)
				f.harness.restart(ctx, p)
			})
		}
		running.Wait()
		fakes.Sleep(ctx, f.duration/20)
	}
}

// killDelegates kills all relay delegates while they relay purges, and starts them again at its
// end.
type killDelegates struct{ faultRun }

func (f *killDelegates) apply(ctx context.Context) {
	f.Targets = f.harness.delegates(ctx)
	for i := range 64 {
		f.harness.Cluster.Purge("", 2*i)
	}
	fakes.Sleep(ctx, time.Duration(1+f.rand.IntN(20))*time.Millisecond)
	f.forTargets(f.harness.kill)
}

func (f *killDelegates) undo(ctx context.Context) { f.restartTargets(ctx) }

// delegates returns the numbers of the directors that report that they poll the command channel for
// others.
func (h *Harness) delegates(ctx context.Context) (numbers []int) {
	for i, p := range h.Processes() {
		if report, err := status.Read(ctx, p.Socket); err == nil && report.Relay != nil && report.Relay.Delegate {
			numbers = append(numbers, i)
		}
	}
	return numbers
}

// duplicateInstance runs another process under the name of a director.
type duplicateInstance struct {
	faultRun
	duplicate *Process // nil before apply, or if it could not be prepared
}

func (f *duplicateInstance) apply(ctx context.Context) {
	f.recordDisruption(disruptionOn)
	var err error
	if f.duplicate, err = f.harness.AddDirector(f.processes[f.Targets[0]].Name, f.harness.keyPath, fleetName); err == nil {
		err = f.harness.StartProcess(ctx, f.duplicate)
	}
	f.harness.recordError("start of the duplicate instance", err)
}

func (f *duplicateInstance) undo(context.Context) {
	if f.duplicate != nil && f.harness.markDown(f.duplicate) {
		_ = f.duplicate.Stop() // the exit status does not matter
	}
	f.recordDisruption(disruptionOff)
}

// busyCores keeps the processor cores busy with other processes. Busy loops in this process would
// slow down the relays as well; the fault is meant to show that directors cope with a loss of
// processor time, not of the network.
type busyCores struct{ faultRun }

func (f busyCores) apply(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.duration)
	defer cancel()
	var running sync.WaitGroup
	for range int(f.Rate) {
		// Returns an error when the context kills it.
		running.Go(func() { _ = exec.CommandContext(ctx, "sh", "-c", "while :; do :; done").Run() })
	}
	running.Wait()
}

// kill ends a running process with SIGKILL.
func (h *Harness) kill(p *Process) {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	if h.markDown(p) {
		h.History.Record(p.number, actionKill, nil)
		p.Pause(false) // a suspended process would not be reaped
		p.Kill()
	}
}

// terminate sends SIGTERM to a running process and does not wait for its exit.
func (h *Harness) terminate(p *Process) {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	if h.markDown(p) {
		h.History.Record(p.number, actionTerminate, nil)
		p.Signal(syscall.SIGTERM)
	}
}

// restart starts a process that is down, after its previous run has exited.
func (h *Harness) restart(ctx context.Context, p *Process) {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	if h.isUp(p) || ctx.Err() != nil {
		return
	}
	if p.PID() != 0 {
		_ = p.Wait() // the exit status does not matter
	}
	if err := h.StartProcess(ctx, p); err != nil {
		h.History.Record(p.number, "failed to start: "+err.Error(), nil)
	}
}
