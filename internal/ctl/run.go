package ctl

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tallyproxy/rollout"
)

const (
	maxRecoveryRetries = 4                     // while an agent's recovery holds the right to change
	ballotTimeout      = 2 * time.Second       // for one agent to tell the ballot that it has promised
	messageTimeout     = 5 * time.Second       // of one call
	releaseTimeout     = time.Second           // for the last calls, which give the right to change back
	tickInterval       = 50 * time.Millisecond // of the coordinator
)

// Run takes a change through; with a nil change it completes what others left open. The progress function, if not nil, is called with
// each new step and wave. The health check, if not nil, is called between waves and returns why to stop, empty to go on; it may be slow.
//
// Run returns in a bounded time whoever answers (docs/fleet.md), and at once with an error where the context ends: the right to change is
// given back then, and the agents complete what was begun.
func (f *Fleet) Run(ctx context.Context, change *rollout.Change, healthCheck func() string, progress func(rollout.Step, int)) (rollout.Result, error) {
	for retries := 0; ; retries++ {
		result, err := f.run(ctx, change, healthCheck, progress)
		mayRetry := rollout.IsRecoveryHolder(result.Holder) || result.NeedsResume
		if err != nil || !mayRetry || retries == maxRecoveryRetries {
			return result, err
		}
		select { // an agent's recovery is no other operator, and soon over
		case <-ctx.Done():
			return result, nil
		case <-time.After(f.timeouts.Resend.Duration() + result.LeaseLeft.Duration()):
		}
	}
}

// run is one attempt of Run.
func (f *Fleet) run(ctx context.Context, change *rollout.Change, healthCheck func() string, progress func(rollout.Step, int)) (rollout.Result, error) {
	number, err := f.nextBallotNumber(ctx)
	if err != nil {
		return rollout.Result{}, err
	}
	agents := f.Inventory.AgentNames()
	coordinator := rollout.NewCoordinator(f.HolderID, number, agents, change, f.timeouts, asyncHealthCheck(healthCheck))
	callContext, cancel := context.WithCancel(context.WithoutCancel(ctx)) // the last calls outlive an interrupt
	defer cancel()
	m := newMessenger(callContext, f, 4*len(agents)+16)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	m.send(coordinator.Start(f.now()))
	for step, wave := rollout.Step(-1), 0; coordinator.Step() != rollout.StepDone; {
		if progress != nil && (coordinator.Step() != step || coordinator.Wave() != wave) {
			step, wave = coordinator.Step(), coordinator.Wave()
			progress(step, wave)
		}
		select {
		case r := <-m.replies:
			m.send(coordinator.HandleReply(f.now(), r.from, r.reply))
		case <-ticker.C:
			m.send(coordinator.Tick(f.now()))
		case <-ctx.Done():
			at := coordinator.Step()
			m.send(coordinator.Release())
			m.wait(releaseTimeout)
			return coordinator.Result(),
				fmt.Errorf("left at %v: %w; the agents settle what was begun, `resume` goes on with further waves", at, ctx.Err())
		}
	}
	m.wait(releaseTimeout)
	return coordinator.Result(), nil
}

// asyncHealthCheck makes a rollout.HealthCheck of a function that may be slow: it runs in a goroutine of its own, once for each answer that is
// taken.
func asyncHealthCheck(healthCheck func() string) rollout.HealthCheck {
	if healthCheck == nil {
		return nil
	}
	var pending chan string // nil while the function does not run
	return func() (stopReason string, answered bool) {
		if pending == nil {
			answer := make(chan string, 1)
			pending = answer
			go func() { answer <- healthCheck() }()
		}
		select {
		case reason := <-pending:
			pending = nil
			return reason, true
		default:
			return "", false
		}
	}
}

// messenger calls the agents for one run of a coordinator and collects their replies.
type messenger struct {
	ctx     context.Context // of the calls
	fleet   *Fleet
	calls   sync.WaitGroup
	slots   chan struct{} // holds a token for each call under way
	replies chan receivedReply
}

// receivedReply is a reply with the agent that sent it.
type receivedReply struct {
	from  string
	reply rollout.Reply
}

func newMessenger(ctx context.Context, fleet *Fleet, maxCalls int) *messenger {
	return &messenger{ctx: ctx, fleet: fleet, slots: make(chan struct{}, maxCalls), replies: make(chan receivedReply, maxCalls)}
}

// send calls the receivers at once. Where too many calls are under way a message is dropped; the coordinator sends it again.
func (m *messenger) send(envelopes []rollout.Envelope) {
	for _, envelope := range envelopes {
		select {
		case m.slots <- struct{}{}:
		default:
			continue
		}
		m.calls.Go(func() {
			defer func() { <-m.slots }()
			m.call(envelope)
		})
	}
}

// call sends one message and passes the reply on. A call that fails is as a message that is lost.
func (m *messenger) call(envelope rollout.Envelope) {
	ctx, cancel := context.WithTimeout(m.ctx, messageTimeout)
	defer cancel()
	reply, err := m.fleet.clients.Send(ctx, envelope.To, envelope.Message)
	if err != nil {
		return
	}
	select {
	case m.replies <- receivedReply{envelope.To, reply}:
	case <-ctx.Done():
	}
}

// wait waits for the calls under way, no longer than the timeout.
func (m *messenger) wait(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		m.calls.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
}

// nextBallotNumber returns a number higher than that of any ballot which the reachable agents have promised. It fails only where no
// agent is reachable.
func (f *Fleet) nextBallotNumber(ctx context.Context) (int64, error) {
	var mu sync.Mutex // guards the following three
	var highest int64
	var reached int
	var lastErr error
	var calls sync.WaitGroup
	for _, a := range f.Inventory.Agents {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, ballotTimeout)
			defer cancel()
			reply, err := f.clients.Send(ctx, a.Name, rollout.Message{Type: rollout.Query})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lastErr = fmt.Errorf("%s: %w", a.Name, err)
				return
			}
			reached++
			highest = max(highest, reply.Promised.Number)
		})
	}
	calls.Wait()
	if reached == 0 {
		return 0, lastErr
	}
	return highest + 1, nil
}
