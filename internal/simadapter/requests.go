package simadapter

import (
	"fmt"
	"strconv"

	"tallyproxy/policy"
)

// Bits of the field "opts" of a "read_through" message.
const (
	optionCoalesce     = 1
	optionOnlyIfCached = 2
	optionRevalidate   = 8
)

// request is a request in progress, with the state that the protocol needs.
type request struct {
	policy.Request
	xid      uint64
	attempts int           // number of attempts sent, and therefore the number of the next one
	inFlight int           // attempts that have not ended yet
	wakeAt   policy.Micros // time of the wake-up requested from the simulator; 0 if none is pending
}

// results maps the values of the field "state-code" to the results of attempts.
var results = map[string]policy.Result{
	"success":     policy.Succeeded,
	"failure":     policy.Failed,
	"overloaded":  policy.Rejected,
	"timed_out":   policy.TimedOut,
	"unreachable": policy.ConnectFailed,
	"broken":      policy.ConnectionLost,
	"withdrawn":   policy.Cancelled,
	"void":        policy.NotSent,
	"absent":      policy.CacheMiss,
}

// route handles the arrival of a request.
func (s *simulation) route(inst *instance, msg message) error {
	xid, err := msg.xid("xid")
	contentType := 0
	var patience policy.Micros
	r := &request{xid: xid}
	r.Group = policy.AllGroups
	err = firstError(
		err,
		msg.integer("lane", &contentType),
		msg.micros("patience-left", &patience),
		msg.number("size-kb", &r.SizeKB),
		msg.integer("batch-id", &r.Group),
		msg.integer("piece", &r.Part),
	)
	if err != nil {
		return err
	}
	if contentType < 0 || contentType >= len(inst.contentTypes) {
		return fmt.Errorf("ingress: lane %d is not in the settings", contentType)
	}
	r.Type, r.Object = inst.contentTypes[contentType], msg.fields["object"]
	r.IsRetry = msg.fields["resent"] == "1"
	r.ArrivedAt, r.Deadline = s.now, s.now+patience
	inst.requests[xid] = r
	return s.applyDecision(inst, r, inst.policy.Route(s.now, &r.Request))
}

// attemptDone handles the end of an attempt. It ignores attempts that were not sent and attempts of
// requests that are no longer in progress.
func (s *simulation) attemptDone(inst *instance, msg message) error {
	xid, err := msg.xid("xid")
	var outcome policy.Outcome
	remark := 0
	err = firstError(err, msg.integer("go", &outcome.Attempt), msg.integer("remark", &remark))
	if err != nil {
		return err
	}
	result, ok := results[msg.fields["state-code"]]
	if !ok {
		return fmt.Errorf("report_back: state-code %q is not known", msg.fields["state-code"])
	}
	r := inst.requests[xid]
	if r == nil || outcome.Attempt < 0 || outcome.Attempt >= r.attempts {
		return nil
	}
	if remark >= int(policy.Unknown) && remark <= int(policy.OriginFailed) {
		// The protocol uses the values of the policy.CacheStatus constants.
		outcome.CacheStatus = policy.CacheStatus(remark)
	}
	outcome.Result, outcome.Final = result, msg.fields["last"] == "1"
	r.inFlight--
	r.Done = r.Done || outcome.Final
	return s.applyDecision(inst, r, inst.policy.AttemptDone(s.now, &r.Request, outcome))
}

// recheck handles a wake-up. It calls the policy again unless the request is done or the wake-up is
// outdated.
func (s *simulation) recheck(inst *instance, msg message) error {
	xid, err := msg.xid("key-back")
	if err != nil {
		return err
	}
	r := inst.requests[xid]
	if r == nil || r.Done || r.wakeAt == 0 || r.wakeAt > s.now {
		return nil
	}
	r.wakeAt = 0
	return s.applyDecision(inst, r, inst.policy.Route(s.now, &r.Request))
}

// clientLeft handles the message that the client no longer waits for a request.
func (s *simulation) clientLeft(inst *instance, msg message) error {
	xid, err := msg.xid("xid")
	if err != nil {
		return err
	}
	if r := inst.requests[xid]; r != nil {
		r.Done = true
		inst.deleteIfEnded(r)
	}
	return nil
}

// applyDecision writes the action for a decision, updates the request, and schedules a wake-up if
// the policy wants to be called again.
func (s *simulation) applyDecision(inst *instance, r *request, decision policy.Decision) error {
	if line := actionLine(r, decision); line != "" {
		if err := s.write(line); err != nil {
			return err
		}
	}
	switch decision.Action {
	case policy.Send:
		r.attempts++
		r.inFlight++
	case policy.Reject, policy.Fail:
		r.Done = true
	}
	if !r.Done {
		if err := s.scheduleRecheck(inst, r); err != nil {
			return err
		}
	}
	inst.deleteIfEnded(r)
	return nil
}

// actionLine formats the action for a decision. It is empty if the decision requires no action.
func actionLine(r *request, decision policy.Decision) string {
	switch decision.Action {
	case policy.Send:
		line := fmt.Sprintf("read_through xid=%d node=%s within=%s keep=%d from-where=%s opts=%d", r.xid, decision.Endpoint.ID,
			milliseconds(decision.Timeout), decision.CacheRank, decision.Source.ID, options(decision))
		if decision.MaxAge > 0 {
			line += " oldness=" + milliseconds(decision.MaxAge)
		}
		return line
	case policy.CancelAttempt:
		return fmt.Sprintf("abandon xid=%d go=%d", r.xid, decision.Attempt)
	case policy.Reject:
		line := fmt.Sprintf("shed xid=%d", r.xid)
		if decision.RetryAfter > 0 {
			line += " wait=" + milliseconds(decision.RetryAfter)
		}
		return line
	case policy.Fail:
		return fmt.Sprintf("fail xid=%d", r.xid)
	}
	return ""
}

// options returns the bits of the field "opts" for a decision.
func options(decision policy.Decision) (bits int) {
	if decision.Coalesce {
		bits |= optionCoalesce
	}
	if decision.OnlyIfCached {
		bits |= optionOnlyIfCached
	}
	if decision.Revalidate {
		bits |= optionRevalidate
	}
	return bits
}

// scheduleRecheck requests a wake-up from the simulator, unless one that is due no later is
// pending.
func (s *simulation) scheduleRecheck(inst *instance, r *request) error {
	wait := inst.policy.RecheckAfter(s.now, &r.Request)
	if wait <= 0 || r.wakeAt != 0 && r.wakeAt <= s.now+wait {
		return nil
	}
	r.wakeAt = s.now + wait
	return s.write(fmt.Sprintf("wake_at in=%s key-back=%d", milliseconds(wait), r.xid))
}

// deleteIfEnded deletes a request that is done and has no attempt in flight.
func (inst *instance) deleteIfEnded(r *request) {
	if r.Done && r.inFlight == 0 {
		delete(inst.requests, r.xid)
	}
}

// write writes an action. If the action is for another instance than the previous one in this
// batch, write first writes a line with the instance's director-id.
func (s *simulation) write(line string) error {
	if s.outputDirector != s.inputDirector {
		s.outputDirector = s.inputDirector
		if _, err := s.out.WriteString("at director-id=" + s.inputDirector + "\n"); err != nil {
			return err
		}
	}
	_, err := s.out.WriteString(line + "\n")
	return err
}

// milliseconds formats a duration as the protocol does, in milliseconds.
func milliseconds(t policy.Micros) string {
	return strconv.FormatFloat(float64(t)/1000, 'f', -1, 64)
}
