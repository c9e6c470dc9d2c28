package faulttest

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"tallyproxy/internal/fakes"
)

// Times and probabilities of planned restarts and reloads; times count from the first SIGTERM.
const (
	// maxCountedTimeout is the longest timeout that counts: the protocol treats longer ones as 3 s.
	maxCountedTimeout = 3 * time.Second
	// killSlack is the shortest time between maxCountedTimeout and SIGKILL.
	killSlack = 700 * time.Millisecond
	// earliestKill is the earliest SIGKILL in a cluster with a content type of 3 s or more.
	earliestKill = maxCountedTimeout + killSlack
	// lastReloadMargin is the time before earliestKill in which no further signal is sent.
	lastReloadMargin = 200 * time.Millisecond
	// signalSpan is the time after the first SIGTERM in which further signals are sent.
	signalSpan = earliestKill - lastReloadMargin
	// simultaneousSpan is the longest delay of a signal that must arrive during an operation.
	simultaneousSpan = time.Millisecond
	// momentTimeout is the longest time that a signal waits for a request or an answer.
	momentTimeout = 300 * time.Millisecond
	// reloadPause is the longest pause between two reloads of a series.
	reloadPause = 40 * time.Millisecond
	// earlyKillShare is the share of planned restarts in which SIGKILL comes before earliestKill.
	earlyKillShare = 0.15
	// truncatedFileShare is the share of reloads that find a truncated file.
	truncatedFileShare = 0.2
	// momentShare is the share of SIGTERM and reload signals that wait for a request or an answer.
	momentShare = 0.7
)

// plannedRestart ends directors with series of signals and starts them again, all targets in
// parallel.
type plannedRestart struct{ faultRun }

func (f plannedRestart) apply(ctx context.Context) {
	f.forTargetsWithRandom(func(p *Process, random *rand.Rand) { f.harness.restartPlanned(ctx, p, random) })
}

// forTargetsWithRandom is like forTargets and gives each target its own random number stream.
func (r faultRun) forTargetsWithRandom(do func(*Process, *rand.Rand)) {
	streams := map[*Process]*rand.Rand{}
	for _, i := range r.Targets {
		streams[r.processes[i]] = newStream(r.rand)
	}
	r.forTargets(func(p *Process) { do(p, streams[p]) })
}

// newStream returns an independent random number stream seeded from another one, so that goroutines
// can draw concurrently.
func newStream(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// lateSignal is a signal sent after the first SIGTERM.
type lateSignal struct {
	after  time.Duration // time since the first SIGTERM
	signal syscall.Signal
}

// drawSignals draws the signals that follow the first SIGTERM, sorted by time. Some of them follow
// almost at once.
func drawSignals(random *rand.Rand) (signals []lateSignal) {
	for range random.IntN(4) {
		s := lateSignal{time.Duration(random.Int64N(int64(signalSpan))), syscall.SIGTERM}
		if random.IntN(2) == 0 {
			s.after = time.Duration(random.Int64N(int64(simultaneousSpan)))
		}
		if random.IntN(2) == 0 {
			s.signal = syscall.SIGHUP
		}
		signals = append(signals, s)
	}
	slices.SortFunc(signals, func(a, b lateSignal) int { return cmp.Compare(a.after, b.after) })
	return signals
}

// restartPlanned ends a running process in the way the platform does for a planned restart, and
// starts it again. The caller must not share random with other goroutines.
func (h *Harness) restartPlanned(ctx context.Context, p *Process, random *rand.Rand) {
	p.lifecycle.Lock()
	defer p.lifecycle.Unlock()
	for range random.IntN(3) {
		h.reload(ctx, p, random)
	}
	if !h.markDown(p) {
		return
	}
	h.awaitMoment(ctx, random)
	h.History.Record(p.number, actionTerminate, nil)
	p.SetTerminated(h.Cluster.Now())
	startedAt := time.Now()
	p.Signal(syscall.SIGTERM)
	h.Moments.Publish(fakes.SignalSent)
	killAfter, earlyKill := earliestKill, random.Float64() < earlyKillShare
	if earlyKill {
		killAfter = time.Duration(random.Int64N(int64(earliestKill)))
	}
	for _, s := range drawSignals(random) {
		if s.after < killAfter && !p.endedWithin(time.Until(startedAt.Add(s.after))) {
			h.sendLateSignal(p, s.signal, random)
		}
	}
	switch {
	case p.endedWithin(time.Until(startedAt.Add(killAfter))):
		h.recordExit(p)
	case earlyKill:
		h.History.Record(p.number, actionKill, nil)
		p.Kill()
	default: // requests without an answer by now are lost
		h.History.Record(p.number, "killed at the earliest allowed time", nil)
		p.Signal(syscall.SIGKILL)
		_ = p.Wait() // always "signal: killed"
	}
	if err := p.writeConfig(h.Cluster, p.Name, h.limits()); err != nil {
		h.recordError("configuration", err)
	}
	if err := h.StartProcess(context.WithoutCancel(ctx), p); err != nil {
		h.recordExitError(p, err)
	}
}

// sendLateSignal sends a signal to a process that is already terminating. It replaces the files
// before it sends SIGHUP.
func (h *Harness) sendLateSignal(p *Process, signal syscall.Signal, random *rand.Rand) {
	if signal == syscall.SIGHUP {
		h.recordError("configuration", h.replaceFiles(p, random))
	}
	p.Signal(signal)
	h.Moments.Publish(fakes.SignalSent)
}

// awaitMoment waits, in most cases, until a client sends a request, receives an answer or loses its
// connection, and then for less than a millisecond.
func (h *Harness) awaitMoment(ctx context.Context, random *rand.Rand) {
	if random.Float64() >= momentShare {
		return
	}
	notify, cancel := h.Moments.Subscribe(fakes.RequestSent, fakes.AnswerReceived, fakes.ConnectionEnded)
	defer cancel()
	select {
	case <-notify:
	case <-time.After(momentTimeout):
	case <-ctx.Done():
	}
	time.Sleep(time.Duration(random.Int64N(int64(simultaneousSpan))))
}

// reloads replaces the files of directors and sends them SIGHUP, several times.
type reloads struct{ faultRun }

func (f reloads) apply(ctx context.Context) {
	if f.Rate > 0 {
		if err := f.harness.Cluster.MoveChannel(); err != nil {
			f.harness.recordError("move of the channel", err)
			return
		}
		f.Targets = nil // all directors need the new address
		for i := range f.processes {
			f.Targets = append(f.Targets, i)
		}
	}
	f.forTargetsWithRandom(func(p *Process, random *rand.Rand) { f.harness.reloadSeries(ctx, p, random) })
}

// reloadSeries reloads a director several times. If the director is being restarted, it gets a
// signal at once, unless its process is just starting, and further ones after the restart.
func (h *Harness) reloadSeries(ctx context.Context, p *Process, random *rand.Rand) {
	if !p.lifecycle.TryLock() {
		h.recordError("configuration", h.replaceFiles(p, random))
		if !h.isStarting(p) {
			p.Signal(syscall.SIGHUP)
			h.Moments.Publish(fakes.SignalSent)
		}
		p.lifecycle.Lock()
	}
	defer p.lifecycle.Unlock()
	for range 1 + random.IntN(4) {
		if h.isUp(p) {
			h.reload(ctx, p, random)
		}
	}
}

// reload replaces a director's files and sends it SIGHUP. Some reloads first send a SIGHUP with a
// truncated file and then restore the complete one.
func (h *Harness) reload(ctx context.Context, p *Process, random *rand.Rand) {
	if random.Float64() < truncatedFileShare {
		h.recordError("configuration", truncateFile(p.configPath))
		p.Signal(syscall.SIGHUP)
		time.Sleep(time.Duration(random.Int64N(int64(simultaneousSpan))))
	}
	h.recordError("configuration", h.replaceFiles(p, random))
	h.awaitMoment(ctx, random)
	p.Signal(syscall.SIGHUP)
	h.Moments.Publish(fakes.SignalSent)
	time.Sleep(time.Duration(random.Int64N(int64(reloadPause))))
}

// replaceFiles replaces a director's configuration file with one that has the channel's present
// address and a different limit of sockets.
func (h *Harness) replaceFiles(p *Process, random *rand.Rand) error {
	limits := h.limits()
	limits.Sockets -= random.IntN(limits.Sockets / 8)
	return replaceFile(p.configPath, h.Cluster.Config(p.Name, p.Addr, limits.Sockets, limits.MemoryMB, limits.Cores))
}

// truncateFile replaces a file by its first half.
func truncateFile(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return replaceFile(path, text[:len(text)/2])
}

// replaceFile replaces a file atomically: a reader finds either the old or the new content.
func replaceFile(path string, text []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	return os.Rename(file.Name(), path)
}
