package ctl

import (
	"context"
	"fmt"
	"sync"
	"time"

	"tallyproxy/rollout"
)

const (
	// maxRecoveryRetries limits the retries of Run while an agent's recovery holds the lease, or
	// while another holder has decided the change and waves are left.
	maxRecoveryRetries = 4

	ballotTimeout  = 2 * time.Second       // for one agent to report its promised ballot
	messageTimeout = 5 * time.Second       // for one call to an agent
	releaseTimeout = time.Second           // for the last calls, which release the lease
	tickInterval   = 50 * time.Millisecond // between calls of Coordinator.Tick
)

// Run rolls out a change. If change is nil, Run instead completes the changes that other holders
// left open. The progress function, if not nil, is called at each new step and wave. The health
// check, if not nil, is called between waves. It returns the reason to stop the rollout, or an
// empty string to continue, and may be slow.
//
// Run returns within a bounded time no matter which agents answer (see docs/fleet.md). If the
// context ends during an attempt, Run releases the lease and returns an error without waiting for
// the change; the agents then complete what was started.
func (f *Fleet) Run(ctx context.Context, change *rollout.Change, healthCheck func() string, progress func(rollout.Step, int)) (rollout.Result, error) {
	for retries := 0; ; retries++ {
		result, err := f.run(ctx, change, healthCheck, progress)
		mayRetry := rollout.IsRecoveryHolder(result.Holder) || result.NeedsResume
		if err != nil || !mayRetry || retries == maxRecoveryRetries {
			return result, err
		}
		// An agent's recovery does not compete with the operator and ends soon: wait for it.
		select {
		case <-ctx.Done():
			return result, nil
		case <-time.After(f.timeouts.Resend.Duration() + result.LeaseLeft.Duration()):
		}
	}
}

// run performs one attempt of Run.
func (f *Fleet) run(ctx context.Context, change *rollout.Change, healthCheck func() string, progress func(rollout.Step, int)) (rollout.Result, error) {
	number, err := f.nextBallotNumber(ctx)
	if err != nil {
		return rollout.Result{}, err
	}
	agents := f.Inventory.AgentNames()
	coordinator := rollout.NewCoordinator(f.HolderID, number, agents, change, f.timeouts, asyncHealthCheck(healthCheck))
	// The calls do not end with ctx, so that the lease can still be released after an interrupt.
	callContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
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
				fmt.Errorf("left at %v: %w; the agents complete what was started, `resume` continues with further waves", at, ctx.Err())
		}
	}
	m.wait(releaseTimeout)
	return coordinator.Result(), nil
}

// asyncHealthCheck turns a function that may be slow into a rollout.HealthCheck, which must not
// block. The function runs in its own goroutine. It runs again only after its previous result was
// returned.
func asyncHealthCheck(healthCheck func() string) rollout.HealthCheck {
	if healthCheck == nil {
		return nil
	}
	var pending chan string // nil while the function is not running
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

// messenger sends the messages of one run of a coordinator to the agents and collects their
// replies.
type messenger struct {
	ctx     context.Context // parent context of all calls
	fleet   *Fleet
	calls   sync.WaitGroup
	slots   chan struct{} // semaphore: one element for each call in progress
	replies chan receivedReply
}

// receivedReply is a reply and the name of the agent that sent it.
type receivedReply struct {
	from  string
	reply rollout.Reply
}

// newMessenger returns a messenger that runs at most maxCalls calls at the same time.
func newMessenger(ctx context.Context, fleet *Fleet, maxCalls int) *messenger {
	return &messenger{ctx: ctx, fleet: fleet, slots: make(chan struct{}, maxCalls), replies: make(chan receivedReply, maxCalls)}
}

// send starts a call for each envelope and does not block. It drops a message if too many calls are
// in progress; the coordinator resends it.
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

// call sends one message and delivers the reply. A failed call is treated like a lost message.
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

// wait waits until all calls have ended or the timeout has passed.
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

// nextBallotNumber returns a number higher than that of every ballot that a reachable agent has
// promised. It returns an error only if no agent is reachable.
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
