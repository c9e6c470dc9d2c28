// Package ctl is the operators' side of a fleet: it asks agents how things are and takes changes through them.
package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"tallyproxy/internal/agent"
	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/fleetpb"
	"tallyproxy/internal/status"
	d "tallyproxy/policy"
	"tallyproxy/rollout"
)

// Fleet is one as an operator reaches it.
type Fleet struct {
	Inventory *config.Inventory
	HolderID  string // this tool: the operator's name and a number of its own
	peers     *agent.Clients
	start     time.Time
	times     rollout.Timeouts
}

// Open reaches the fleet of an inventory as the owner of a certificate.
func Open(inv *config.Inventory, id *authority.Identity) *Fleet {
	t := rollout.DefaultTimeouts()
	t.Lease = inv.LeaseDuration
	return &Fleet{
		Inventory: inv, HolderID: id.Name() + "/" + random(4), peers: agent.NewClients(inv, id), start: time.Now(), times: t,
	}
}

// Close ends the connections.
func (f *Fleet) Close() { f.peers.Close() }

func random(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// NewChangeID is one that no other change has.
func NewChangeID() string { return time.Now().UTC().Format("20060102-150405-") + random(3) }

// DirectorStatus is how one is.
type DirectorStatus struct {
	Name           string        `json:"name"`
	Agent          string        `json:"agent"`
	Depot          string        `json:"depot"`
	Up             bool          `json:"up"`
	Reason         string        `json:"why,omitempty"`
	Script         string        `json:"script"` // that its agent takes to be in force
	Drifted        bool          `json:"drifted"`
	AgentReachable bool          `json:"known"` // its agent answers
	Report         status.Report `json:"report"`
	Settings       string        `json:"settings"` // sum of what it runs
}

// Snapshot is how a fleet is.
type Snapshot struct {
	Agents    []AgentStatus    `json:"agents"`
	Directors []DirectorStatus `json:"directors"`
	Changes   []ChangeStatus   `json:"changes"`
	Holder    string           `json:"holder,omitempty"` // who holds the right to change,
	HeldFor   time.Duration    `json:"held,omitempty"`   // since how long,
	LeaseLeft time.Duration    `json:"left,omitempty"`   // and for how long yet
	entries   []entryOf
}

type entryOf struct {
	agent string
	rollout.Entry
}

// AgentStatus is how one agent is.
type AgentStatus struct {
	Name      string            `json:"name"`
	Depot     string            `json:"depot"`
	Reachable bool              `json:"answers"`
	Reason    string            `json:"why,omitempty"`
	Members   map[string]string `json:"members,omitempty"`
}

// ChangeStatus is what the agents together know of a change.
type ChangeStatus struct {
	ID         string            `json:"id"`
	Author     string            `json:"by"`
	Note       string            `json:"note"`
	Reverts    string            `json:"undoes,omitempty"`
	Outcome    string            `json:"outcome"`
	InProgress bool              `json:"open"`
	Directors  map[string]string `json:"directors"` // phase by director; "not known" where its agent does not answer
	Reasons    map[string]string `json:"whys,omitempty"`
}

// Snapshot asks all agents.
func (f *Fleet) Snapshot(ctx context.Context) Snapshot {
	type answer struct {
		r   *fleetpb.StatusReply
		err error
	}
	answers := make([]answer, len(f.Inventory.Agents))
	var all sync.WaitGroup
	for i, a := range f.Inventory.Agents {
		all.Go(func() {
			ctx, leave := context.WithTimeout(ctx, 3*time.Second)
			defer leave()
			c, err := f.peers.Client(a.Name)
			if err == nil {
				answers[i].r, err = c.Status(ctx, &fleetpb.StatusRequest{})
			}
			answers[i].err = err
		})
	}
	all.Wait()
	var v Snapshot
	known := map[string]*fleetpb.DirectorStatus{}
	var promised rollout.Ballot
	for i, a := range f.Inventory.Agents {
		av := AgentStatus{Name: a.Name, Depot: a.Depot, Reachable: answers[i].err == nil}
		if err := answers[i].err; err != nil {
			av.Reason = err.Error()
			v.Agents = append(v.Agents, av)
			continue
		}
		r := answers[i].r
		av.Members = r.GetMembers()
		v.Agents = append(v.Agents, av)
		for _, ds := range r.GetDirectors() {
			known[ds.GetName()] = ds
		}
		for _, e := range fleetpb.ToEntries(r.GetEntries()) {
			v.entries = append(v.entries, entryOf{a.Name, e})
		}
		if b := fleetpb.ToBallot(r.GetPromised()); promised.Less(b) && r.GetLeftUs() > 0 {
			promised = b
			v.Holder, v.HeldFor, v.LeaseLeft = b.Holder, micros(r.GetHeldUs()), micros(r.GetLeftUs())
		}
	}
	for _, e := range f.Inventory.Directors {
		x := DirectorStatus{Name: e.Name, Agent: e.Agent, Depot: f.Inventory.Agent(e.Agent).Depot, Reason: "its agent does not answer"}
		if ds := known[e.Name]; ds != nil {
			x.AgentReachable, x.Up, x.Reason, x.Script, x.Settings = true, ds.GetUp(), ds.GetWhy(), ds.GetScript(), ds.GetSettings()
			if x.Up {
				json.Unmarshal(ds.GetReport(), &x.Report)
				x.Drifted = x.Settings != config.Digest([]byte(x.Script))
			}
		}
		v.Directors = append(v.Directors, x)
	}
	v.changes()
	return v
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// changes puts together what the agents know.
func (v *Snapshot) changes() {
	at := map[string]int{}
	for _, e := range v.entries {
		i, seen := at[e.Change.ID]
		if !seen {
			i = len(v.Changes)
			at[e.Change.ID] = i
			c := ChangeStatus{
				ID: e.Change.ID, Author: e.Change.Author, Note: e.Change.Note, Reverts: e.Change.Reverts, Outcome: "open",
				Directors: map[string]string{}, Reasons: map[string]string{},
			}
			for _, t := range e.Change.Targets {
				c.Directors[t.Instance] = "not known"
			}
			v.Changes = append(v.Changes, c)
		}
		c := &v.Changes[i]
		if e.Outcome != rollout.Undecided {
			c.Outcome = e.Outcome.String()
		}
		c.InProgress = c.InProgress || !e.IsComplete()
		for name, l := range e.TargetStates {
			c.Directors[name] = l.Phase.String()
			if l.Reason != "" {
				c.Reasons[name] = l.Reason
			}
		}
	}
	slices.SortStableFunc(v.Changes, func(a, b ChangeStatus) int { return strings.Compare(a.ID, b.ID) })
}

// Change is one, as an agent that knows it tells it, with what was in force before at each director that is known.
func (v *Snapshot) Change(id string) (c *rollout.Change, before map[string]string) {
	before = map[string]string{}
	for _, e := range v.entries {
		if e.Change.ID != id {
			continue
		}
		c = e.Change
		for name, l := range e.TargetStates {
			if l.Phase == rollout.PhaseApplied {
				before[name] = l.PreviousScript
			}
		}
	}
	return c, before
}

// Candidates are the directors for planning. An error names one whose agent does not answer.
func (v *Snapshot) Candidates() (places []rollout.Candidate, err error) {
	for _, x := range v.Directors {
		if !x.AgentReachable {
			return nil, fmt.Errorf("%s: %s", x.Name, x.Reason)
		}
		places = append(places, rollout.Candidate{Instance: x.Name, Agent: x.Agent, Depot: x.Depot, Script: x.Script})
	}
	return places, nil
}

// FailureRate is the share of the directors' answers that were no success, over those since another look.
func (v *Snapshot) FailureRate(since Snapshot) (bad float64, answers int64) {
	before := map[string]status.Report{}
	for _, x := range since.Directors {
		before[x.Name] = x.Report
	}
	good, all := int64(0), int64(0)
	for _, x := range v.Directors {
		b := before[x.Name]
		if !x.Up || b.PID != x.Report.PID {
			continue
		}
		for _, name := range []string{"fulfilled", "throttled", "abandoned"} {
			n := x.Report.Counters[name] - b.Counters[name]
			if all += n; name == "fulfilled" {
				good += n
			}
		}
	}
	if all == 0 {
		return 0, 0
	}
	return 1 - float64(good)/float64(all), all
}

// Run takes a change through, or with none settles what others left open. Step, where given, hears how far it is; worse says
// between waves why to stop. It ends in a bounded time whoever answers (docs/fleet.md), and at once where the context does: the
// right to change is given back, and the agents settle what is open.
func (f *Fleet) Run(ctx context.Context, change *rollout.Change, worse func() string, step func(rollout.Step, int)) (rollout.Result, error) {
	for tries := 0; ; tries++ {
		r, err := f.run(ctx, change, worse, step)
		if err != nil || !rollout.IsRecoveryHolder(r.Holder) && !r.NeedsResume || tries == settlingTries {
			return r, err
		}
		select { // an agent settles what a tool left: that is no other operator, and soon over
		case <-ctx.Done():
			return r, nil
		case <-time.After(micros(int64(f.times.Resend)) + micros(int64(r.LeaseLeft))):
		}
	}
}

const (
	settlingTries = 4
	sayTimeout    = 5 * time.Second
	leaveTimeout  = time.Second // for the right to change to be given back
)

// judge asks something slow once each time that its answer was taken, on the side, and says whether it has answered.
func judge(worse func() string) func() (string, bool) {
	if worse == nil {
		return nil
	}
	var asked chan string
	return func() (string, bool) {
		if asked == nil {
			answer := make(chan string, 1)
			asked = answer
			go func() { answer <- worse() }()
		}
		select {
		case why := <-asked:
			asked = nil
			return why, true
		default:
			return "", false
		}
	}
}

func (f *Fleet) run(ctx context.Context, change *rollout.Change, worse func() string, step func(rollout.Step, int)) (rollout.Result, error) {
	n, err := f.ballot(ctx)
	if err != nil {
		return rollout.Result{}, err
	}
	names := f.Inventory.AgentNames()
	c := rollout.NewCoordinator(f.HolderID, n, names, change, f.times, judge(worse))
	type came struct {
		from string
		r    rollout.Reply
	}
	work, leave := context.WithCancel(context.WithoutCancel(ctx)) // what is said last must still be heard
	defer leave()
	replies := make(chan came, 4*len(names)+16)
	var calls sync.WaitGroup
	places := make(chan struct{}, 4*len(names)+16) // calls under way
	say := func(sends []rollout.Envelope) {
		for _, s := range sends {
			select {
			case places <- struct{}{}:
			default:
				continue // it is said again
			}
			calls.Go(func() {
				defer func() { <-places }()
				call, leave := context.WithTimeout(work, sayTimeout)
				defer leave()
				if r, err := f.peers.Send(call, s.To, s.Message); err == nil {
					select {
					case replies <- came{s.To, r}:
					case <-call.Done():
					}
				}
			})
		}
	}
	now := func() d.Micros { return d.Micros(time.Since(f.start) / time.Microsecond) }
	tick := time.NewTicker(50 * time.Millisecond)
	defer tick.Stop()
	say(c.Start(now()))
	for last, wave := rollout.Step(-1), 0; c.Step() != rollout.StepDone; {
		if step != nil && (c.Step() != last || c.Wave() != wave) {
			last, wave = c.Step(), c.Wave()
			step(last, wave)
		}
		select {
		case x := <-replies:
			say(c.HandleReply(now(), x.from, x.r))
		case <-tick.C:
			say(c.Tick(now()))
		case <-ctx.Done():
			at := c.Step()
			say(c.Release())
			heard(&calls)
			return c.Result(), fmt.Errorf("left at %v: %w; the agents settle what was begun, `resume` goes on with further waves", at, ctx.Err())
		}
	}
	heard(&calls)
	return c.Result(), nil
}

// heard waits a moment for the last calls: the right to change is given back, where that is heard.
func heard(calls *sync.WaitGroup) {
	done := make(chan struct{})
	go func() { calls.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(leaveTimeout):
	}
}

// ballot is a number higher than any that the agents know.
func (f *Fleet) ballot(ctx context.Context) (int64, error) {
	highest, heard := int64(0), 0
	var mu sync.Mutex
	var all sync.WaitGroup
	var last error
	for _, a := range f.Inventory.Agents {
		all.Go(func() {
			ctx, leave := context.WithTimeout(ctx, 2*time.Second)
			defer leave()
			r, err := f.peers.Send(ctx, a.Name, rollout.Message{Type: rollout.Query})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				last = fmt.Errorf("%s: %w", a.Name, err)
				return
			}
			heard++
			highest = max(highest, r.Promised.Number)
		})
	}
	all.Wait()
	if heard == 0 {
		return 0, last
	}
	return highest + 1, nil
}

// Audit gives all agents' records.
func (f *Fleet) Audit(ctx context.Context, each func(agent string, r *fleetpb.AuditRecord)) error {
	var errs []error
	for _, a := range f.Inventory.Agents {
		ctx, leave := context.WithTimeout(ctx, 3*time.Second)
		c, err := f.peers.Client(a.Name)
		var r *fleetpb.AuditReply
		if err == nil {
			r, err = c.Audit(ctx, &fleetpb.AuditRequest{})
		}
		leave()
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", a.Name, err))
			continue
		}
		for _, x := range r.GetRecords() {
			each(a.Name, x)
		}
	}
	return errors.Join(errs...)
}

var avoidLine = regexp.MustCompile(`(?m)^avoid\(boxes = \[([^\]]*)\]\) # by tallyctl\n?`)

// EditAvoidedNodes gives a script with some boxes kept out, or let in again, by one line of its own; a script whose owner says avoid
// by himself is left to him, with an error.
func EditAvoidedNodes(script, box string, avoid bool) (string, error) {
	var boxes []string
	if m := avoidLine.FindStringSubmatch(script); m != nil {
		for quoted := range strings.SplitSeq(m[1], ", ") {
			boxes = append(boxes, strings.Trim(quoted, `"`))
		}
		script = avoidLine.ReplaceAllString(script, "")
	}
	boxes = slices.DeleteFunc(boxes, func(b string) bool { return b == box })
	if avoid {
		boxes = append(boxes, box)
	}
	slices.Sort(boxes)
	if script != "" && !strings.HasSuffix(script, "\n") {
		script += "\n"
	}
	if len(boxes) > 0 {
		script += fmt.Sprintf("avoid(boxes = [%s]) # by tallyctl\n", `"`+strings.Join(boxes, `", "`)+`"`)
	}
	if _, err := config.ParseOperator("script", []byte(script)); err != nil {
		return "", err
	}
	return script, nil
}
