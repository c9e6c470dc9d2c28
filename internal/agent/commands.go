package agent

import (
	"context"
	"log/slog"
	"time"

	"tallyproxy/internal/logevent"
	"tallyproxy/rollout"
)

const (
	outgoingCallTimeout = time.Second // of a call to another agent
	saveRetryInterval   = time.Second
)

// resumeCommands carries out the commands that an earlier run of the agent left unfinished.
func (a *Agent) resumeCommands() {
	a.mu.Lock()
	unfinished := a.state.UnfinishedCommands()
	err := a.save()
	a.mu.Unlock()
	if err == nil {
		a.carryOut(unfinished)
	}
}

// carryOut carries out each command in its own goroutine.
func (a *Agent) carryOut(commands []rollout.Command) {
	for _, c := range commands {
		a.tasks.Go(func() {
			failure := a.apply(c)
			if a.runContext.Err() != nil {
				return // the next run finds the command unfinished
			}
			slog.Info(logevent.ChangeApplied, "agent", a.entry.Name, "director", c.Instance, "change", c.ChangeID, "failed", failure)
			a.recordDone(c, failure)
		})
	}
}

// apply applies a command's script. It returns the reason for a failure, or an empty string on
// success.
func (a *Agent) apply(c rollout.Command) (failure string) {
	director := a.directors[c.Instance]
	if director == nil {
		return "it is not in the inventory any more"
	}
	if err := director.Apply(a.runContext, c.Script, c.PreviousScript); err != nil {
		return err.Error()
	}
	return ""
}

// recordDone stores the result of a command and retries until that succeeds. The result is not
// reported to anyone before it is stored.
func (a *Agent) recordDone(c rollout.Command, failure string) {
	for a.runContext.Err() == nil {
		a.mu.Lock()
		a.state.CommandDone(c, failure)
		err := a.save()
		a.mu.Unlock()
		if err == nil {
			return
		}
		time.Sleep(saveRetryInterval)
	}
}

// runRecovery runs a step of the recovery. The messages and commands of the step are sent and
// carried out only after the state that they depend on is stored.
func (a *Agent) runRecovery(step func() ([]rollout.Envelope, []rollout.Command)) {
	a.mu.Lock()
	envelopes, commands := step()
	err := a.save()
	a.mu.Unlock()
	if err != nil {
		return
	}
	for _, c := range commands {
		a.audit(a.entry.Name, "settled, put in force "+c.ChangeID+" "+c.Instance)
	}
	a.carryOut(commands)
	for _, envelope := range envelopes {
		a.send(envelope)
	}
}

// send sends a message to another agent and passes the reply to the recovery. If too many calls are
// in progress, the message is dropped; the recovery sends it again.
func (a *Agent) send(envelope rollout.Envelope) {
	select {
	case a.outgoingCalls <- struct{}{}:
	default:
		return
	}
	a.tasks.Go(func() {
		defer func() { <-a.outgoingCalls }()
		ctx, cancel := context.WithTimeout(a.runContext, outgoingCallTimeout)
		defer cancel()
		reply, err := a.clients.Send(ctx, envelope.To, envelope.Message)
		if err != nil {
			return
		}
		a.runRecovery(func() ([]rollout.Envelope, []rollout.Command) {
			return a.recovery.HandleReply(a.now(), envelope.To, reply)
		})
	})
}
