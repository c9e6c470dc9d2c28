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

// Times of a planned restart, after SIGTERM.
const (
	maxCountedTimeout  = 3 * time.Second                 // the protocol counts longer ones as 3 s
	killSlack          = 700 * time.Millisecond          // and SIGKILL comes at least so much later
	earliestKill       = maxCountedTimeout + killSlack   // of a cluster with a content type of 3 s or more
	lastReloadMargin   = 200 * time.Millisecond          // before the kill, within which no signal is drawn
	signalSpan         = earliestKill - lastReloadMargin // in which further signals come
	simultaneousSpan   = time.Millisecond                // within which a signal meets what is being carried out
	momentTimeout      = 300 * time.Millisecond          // for a request or an answer that a signal is to meet
	reloadPause        = 40 * time.Millisecond           // between two reloads of a series, at the most
	earlyKillShare     = 0.15                            // of planned restarts in which the process is killed before its time
	truncatedFileShare = 0.2                             // of reloads that find a file cut off
	momentShare        = 0.7                             // share of signals that wait for a request or an answer
)

// plannedRestart ends directors by signals in series and starts them again, one after another.
type plannedRestart struct{ faultRun }

func (f plannedRestart) apply(ctx context.Context) {
	f.forTargetsWithRandom(func(p *Process, random *rand.Rand) { f.harness.restartPlanned(ctx, p, random) })
}

// forTargetsWithRandom is forTargets with random numbers for each target alone.
func (r faultRun) forTargetsWithRandom(do func(*Process, *rand.Rand)) {
	streams := map[*Process]*rand.Rand{}
	for _, i := range r.Targets {
		streams[r.processes[i]] = newStream(r.rand)
	}
	r.forTargets(func(p *Process) { do(p, streams[p]) })
}

// newStream returns random numbers of their own, drawn from others; goroutines may then draw side by side.
func newStream(random *rand.Rand) *rand.Rand {
	return rand.New(rand.NewPCG(random.Uint64(), random.Uint64()))
}

// lateSignal is a signal after the first SIGTERM.
type lateSignal struct {
	after  time.Duration // the first SIGTERM
	signal syscall.Signal
}

// drawSignals draws the signals that follow the first SIGTERM, some at once, by time.
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

// planned ends a process that is up as the platform plans it, and starts it again. The caller does not share random.
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
	default: // what it has not answered by now is lost
		h.History.Record(p.number, "killed at the earliest", nil)
		p.Signal(syscall.SIGKILL)
		_ = p.Wait() // "signal: killed"
	}
	if err := p.writeConfig(h.Cluster, p.Name, h.limits()); err != nil {
		h.recordError("configuration", err)
	}
	if err := h.StartProcess(context.WithoutCancel(ctx), p); err != nil {
		h.recordExitError(p, err)
	}
}

// signalLate sends a signal to a process that was asked to end. SIGHUP follows a new file.
func (h *Harness) sendLateSignal(p *Process, signal syscall.Signal, random *rand.Rand) {
	if signal == syscall.SIGHUP {
		h.recordError("configuration", h.replaceFiles(p, random))
	}
	p.Signal(signal)
	h.Moments.Publish(fakes.SignalSent)
}

// meetMoment waits, mostly, until a client has sent a request or has an answer, and then for less than a millisecond.
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

// reloads replaces files of directors and sends them SIGHUP, several times.
type reloads struct{ faultRun }

func (f reloads) apply(ctx context.Context) {
	if f.Rate > 0 {
		if err := f.harness.Cluster.MoveChannel(); err != nil {
			f.harness.recordError("move of the channel", err)
			return
		}
		f.Targets = nil // all have to be told
		for i := range f.processes {
			f.Targets = append(f.Targets, i)
		}
	}
	f.forTargetsWithRandom(func(p *Process, random *rand.Rand) { f.harness.reloadSeries(ctx, p, random) })
}

// reloadSeries reloads a director several times. One that is being restarted is signalled at once, unless it is just starting, and once
// more when it is back.
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

// reload replaces a director's files and sends it SIGHUP; some find a file that is cut off, and are followed by one that is whole.
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

// replaceFiles puts new files in the place of a director's: the channel's address as it is now, and other limits.
func (h *Harness) replaceFiles(p *Process, random *rand.Rand) error {
	limits := h.limits()
	limits.Sockets -= random.IntN(limits.Sockets / 8)
	return replaceFile(p.configPath, h.Cluster.Config(p.Name, p.Addr, limits.Sockets, limits.MemoryMB, limits.Cores))
}

// cutFile replaces a file by its first half.
func truncateFile(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return replaceFile(path, text[:len(text)/2])
}

// replaceFile puts a new file in the place of another, so that a reader finds the one or the other.
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
