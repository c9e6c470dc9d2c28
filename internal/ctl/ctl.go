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
	Me        string // this tool: the operator's name and a number of its own
	peers     *agent.Peers
	start     time.Time
	times     rollout.Times
}

// Open reaches the fleet of an inventory as the owner of a certificate.
func Open(inv *config.Inventory, id *authority.Identity) *Fleet {
	t := rollout.DefaultTimes()
	t.Lease = inv.Lease
	return &Fleet{
		Inventory: inv, Me: id.Name() + "/" + random(4), peers: agent.NewPeers(inv, id), start: time.Now(), times: t,
	}
}

// Close ends the connections.
func (f *Fleet) Close() { f.peers.Close() }

func random(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// NewID is one that no other change has.
func NewID() string { return time.Now().UTC().Format("20060102-150405-") + random(3) }

// Director is how one is.
type Director struct {
	Name     string        `json:"name"`
	Agent    string        `json:"agent"`
	Depot    string        `json:"depot"`
	Up       bool          `json:"up"`
	Why      string        `json:"why,omitempty"`
	Script   string        `json:"script"` // that its agent takes to be in force
	Drifted  bool          `json:"drifted"`
	Known    bool          `json:"known"` // its agent answers
	Report   status.Report `json:"report"`
	Settings string        `json:"settings"` // sum of what it runs
}

// View is how a fleet is.
type View struct {
	Agents    []AgentView   `json:"agents"`
	Directors []Director    `json:"directors"`
	Changes   []ChangeView  `json:"changes"`
	Holder    string        `json:"holder,omitempty"` // who holds the right to change,
	Held      time.Duration `json:"held,omitempty"`   // since how long,
	Left      time.Duration `json:"left,omitempty"`   // and for how long yet
	entries   []entryOf
}

type entryOf struct {
	agent string
	rollout.Entry
}

// AgentView is how one agent is.
type AgentView struct {
	Name    string            `json:"name"`
	Depot   string            `json:"depot"`
	Answers bool              `json:"answers"`
	Why     string            `json:"why,omitempty"`
	Members map[string]string `json:"members,omitempty"`
}

// ChangeView is what the agents together know of a change.
type ChangeView struct {
	ID        string            `json:"id"`
	By        string            `json:"by"`
	Note      string            `json:"note"`
	Undoes    string            `json:"undoes,omitempty"`
	Outcome   string            `json:"outcome"`
	Open      bool              `json:"open"`
	Directors map[string]string `json:"directors"` // phase by director; "not known" where its agent does not answer
	Whys      map[string]string `json:"whys,omitempty"`
}

// Look asks all agents.
func (f *Fleet) Look(ctx context.Context) View {
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
	var v View
	known := map[string]*fleetpb.DirectorStatus{}
	var promised rollout.Ballot
	for i, a := range f.Inventory.Agents {
		av := AgentView{Name: a.Name, Depot: a.Depot, Answers: answers[i].err == nil}
		if err := answers[i].err; err != nil {
			av.Why = err.Error()
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
			v.Holder, v.Held, v.Left = b.Holder, micros(r.GetHeldUs()), micros(r.GetLeftUs())
		}
	}
	for _, e := range f.Inventory.Directors {
		x := Director{Name: e.Name, Agent: e.Agent, Depot: f.Inventory.Agent(e.Agent).Depot, Why: "its agent does not answer"}
		if ds := known[e.Name]; ds != nil {
			x.Known, x.Up, x.Why, x.Script, x.Settings = true, ds.GetUp(), ds.GetWhy(), ds.GetScript(), ds.GetSettings()
			if x.Up {
				json.Unmarshal(ds.GetReport(), &x.Report)
				x.Drifted = x.Settings != config.Sum([]byte(x.Script))
			}
		}
		v.Directors = append(v.Directors, x)
	}
	v.changes()
	return v
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// changes puts together what the agents know.
func (v *View) changes() {
	at := map[string]int{}
	for _, e := range v.entries {
		i, seen := at[e.Change.ID]
		if !seen {
			i = len(v.Changes)
			at[e.Change.ID] = i
			c := ChangeView{
				ID: e.Change.ID, By: e.Change.By, Note: e.Change.Note, Undoes: e.Change.Undoes, Outcome: "open",
				Directors: map[string]string{}, Whys: map[string]string{},
			}
			for _, t := range e.Change.Targets {
				c.Directors[t.Instance] = "not known"
			}
			v.Changes = append(v.Changes, c)
		}
		c := &v.Changes[i]
		if e.Outcome != rollout.Open {
			c.Outcome = e.Outcome.String()
		}
		c.Open = c.Open || !e.Settled()
		for name, l := range e.Local {
			c.Directors[name] = l.Phase.String()
			if l.Why != "" {
				c.Whys[name] = l.Why
			}
		}
	}
	slices.SortStableFunc(v.Changes, func(a, b ChangeView) int { return strings.Compare(a.ID, b.ID) })
}

// Change is one, as an agent that knows it tells it, with what was in force before at each director that is known.
func (v *View) Change(id string) (c *rollout.Change, before map[string]string) {
	before = map[string]string{}
	for _, e := range v.entries {
		if e.Change.ID != id {
			continue
		}
		c = e.Change
		for name, l := range e.Local {
			if l.Phase == rollout.InForce {
				before[name] = l.Before
			}
		}
	}
	return c, before
}

// Places are the directors for planning. An error names one whose agent does not answer.
func (v *View) Places() (places []rollout.Place, err error) {
	for _, x := range v.Directors {
		if !x.Known {
			return nil, fmt.Errorf("%s: %s", x.Name, x.Why)
		}
		places = append(places, rollout.Place{Instance: x.Name, Agent: x.Agent, Depot: x.Depot, Script: x.Script})
	}
	return places, nil
}

// Health is the share of the directors' answers that were no success, over those since another look.
func (v *View) Health(since View) (bad float64, answers int64) {
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
			n := x.Report.Counts[name] - b.Counts[name]
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
		if err != nil || !rollout.Settles(r.Holder) && !r.Resume || tries == settlingTries {
			return r, err
		}
		select { // an agent settles what a tool left: that is no other operator, and soon over
		case <-ctx.Done():
			return r, nil
		case <-time.After(micros(int64(f.times.Resend)) + micros(int64(r.Left))):
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
	c := rollout.NewCoordinator(f.Me, n, names, change, f.times, judge(worse))
	type came struct {
		from string
		r    rollout.Reply
	}
	work, leave := context.WithCancel(context.WithoutCancel(ctx)) // what is said last must still be heard
	defer leave()
	replies := make(chan came, 4*len(names)+16)
	var calls sync.WaitGroup
	places := make(chan struct{}, 4*len(names)+16) // calls under way
	say := func(sends []rollout.Send) {
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
				if r, err := f.peers.Say(call, s.To, s.Message); err == nil {
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
	for last, wave := rollout.Step(-1), 0; c.Step() != rollout.Ended; {
		if step != nil && (c.Step() != last || c.Wave() != wave) {
			last, wave = c.Step(), c.Wave()
			step(last, wave)
		}
		select {
		case x := <-replies:
			say(c.Got(now(), x.from, x.r))
		case <-tick.C:
			say(c.Tick(now()))
		case <-ctx.Done():
			at := c.Step()
			say(c.Leave())
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
			r, err := f.peers.Say(ctx, a.Name, rollout.Message{Verb: rollout.Ask})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				last = fmt.Errorf("%s: %w", a.Name, err)
				return
			}
			heard++
			highest = max(highest, r.Ballot.N)
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

// Avoiding gives a script with some boxes kept out, or let in again, by one line of its own; a script whose owner says avoid
// by himself is left to him, with an error.
func Avoiding(script, box string, avoid bool) (string, error) {
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
	if _, err := config.ReadOperator("script", []byte(script)); err != nil {
		return "", err
	}
	return script, nil
}
