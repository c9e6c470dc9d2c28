package simadapter

import (
	"fmt"
	"strconv"

	"tallyproxy/policy"
)

// Bits of the field "opts" of an attempt.
const (
	optionCoalesce     = 1
	optionOnlyIfCached = 2
	optionRevalidate   = 8
)

// request is a request in hand, with what the wire needs to know of it.
type request struct {
	policy.Request
	xid      uint64
	attempts int           // sent so far; the next one's number
	inFlight int           // attempts that have not ended yet
	wakeAt   policy.Micros // when the simulator was asked to wake the instance; 0 where it was not
}

// results are the wire's words for how an attempt ended.
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

// route takes a request that arrives.
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
	return s.act(inst, r, inst.policy.Route(s.now, &r.Request))
}

// attemptDone takes the end of an attempt. Those of requests that are not in hand are passed over.
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
		outcome.CacheStatus = policy.CacheStatus(remark) // the wire's numbers are those of the constants
	}
	outcome.Result, outcome.Final = result, msg.fields["last"] == "1"
	r.inFlight--
	r.Done = r.Done || outcome.Final
	return s.act(inst, r, inst.policy.AttemptDone(s.now, &r.Request, outcome))
}

// recheck takes a wake-up that act asked for.
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
	return s.act(inst, r, inst.policy.Route(s.now, &r.Request))
}

// clientLeft takes the news that nobody waits for a request any more.
func (s *simulation) clientLeft(inst *instance, msg message) error {
	xid, err := msg.xid("xid")
	if err != nil {
		return err
	}
	if r := inst.requests[xid]; r != nil {
		r.Done = true
		inst.forgetIfEnded(r)
	}
	return nil
}

// act writes a decision to the wire, and asks to be woken where the policy wants to be asked again.
func (s *simulation) act(inst *instance, r *request, decision policy.Decision) error {
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
	inst.forgetIfEnded(r)
	return nil
}

// actionLine is the wire's line for a decision; empty where nothing is to be done.
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

// scheduleRecheck asks the simulator for a wake-up, unless one is due that comes as soon.
func (s *simulation) scheduleRecheck(inst *instance, r *request) error {
	wait := inst.policy.RecheckAfter(s.now, &r.Request)
	if wait <= 0 || r.wakeAt != 0 && r.wakeAt <= s.now+wait {
		return nil
	}
	r.wakeAt = s.now + wait
	return s.write(fmt.Sprintf("wake_at in=%s key-back=%d", milliseconds(wait), r.xid))
}

// forgetIfEnded forgets a request that is done and has no attempt in flight.
func (inst *instance) forgetIfEnded(r *request) {
	if r.Done && r.inFlight == 0 {
		delete(inst.requests, r.xid)
	}
}

// write writes an action, after the name of the instance it is for where that is not the last one's.
func (s *simulation) write(line string) error {
	if s.actor != s.subject {
		s.actor = s.subject
		if _, err := s.out.WriteString("at director-id=" + s.subject + "\n"); err != nil {
			return err
		}
	}
	_, err := s.out.WriteString(line + "\n")
	return err
}

// milliseconds is a duration as the wire writes it.
func milliseconds(t policy.Micros) string {
	return strconv.FormatFloat(float64(t)/1000, 'f', -1, 64)
}
