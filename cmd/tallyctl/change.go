package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"tallyproxy/internal/config"
	"tallyproxy/internal/ctl"
	"tallyproxy/internal/fleetpb"
	"tallyproxy/rollout"
)

func (c *command) print(v any, people func()) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(v)
	}
	people()
	return nil
}

// which picks directors of a plan.
type which struct {
	Depot    []string `placeholder:"NAME,..." help:"Only directors of these depots."`
	Director []string `placeholder:"NAME,..." help:"Only these directors."`
}

func (w which) has(p rollout.Candidate) bool {
	return (len(w.Depot) == 0 || slices.Contains(w.Depot, p.Depot)) && (len(w.Director) == 0 || slices.Contains(w.Director, p.Instance))
}

func sum(script string) string { return config.Digest([]byte(script)) }

// plan makes a change of scripts from a file.
func (w which) plan(v *ctl.Snapshot, script, by, note string, limit int) (*rollout.Change, error) {
	raw, err := os.ReadFile(script)
	if err != nil {
		return nil, err
	}
	if _, err := config.ParseOperator(script, raw); err != nil {
		return nil, err
	}
	return w.edit(v, by, note, limit, func(rollout.Candidate) (string, error) { return string(raw), nil })
}

// edit makes a change by editing what is in force.
func (w which) edit(v *ctl.Snapshot, by, note string, limit int, edit func(rollout.Candidate) (string, error)) (*rollout.Change, error) {
	places, err := v.Candidates()
	if err != nil {
		return nil, fmt.Errorf("%w: nothing is changed while one can't be reached", err)
	}
	var failed error
	change := rollout.Plan(ctl.NewChangeID(), by, note, places, limit, sum, func(p rollout.Candidate) string {
		if !w.has(p) {
			return p.Script
		}
		script, err := edit(p)
		if err != nil && failed == nil {
			failed = fmt.Errorf("%s: %w", p.Instance, err)
		}
		return script
	})
	return change, failed
}

type diffCommand struct {
	which
	Script string `arg:"" help:"The operator's script."`
}

// Run tells line by line what a script would change.
func (d *diffCommand) Run(ctx context.Context, c *command) error {
	f, err := c.open()
	if err != nil {
		return err
	}
	defer f.Close()
	v := f.Snapshot(ctx)
	change, err := d.plan(&v, d.Script, f.HolderID, "", 0)
	if err != nil {
		return err
	}
	return c.print(change, func() {
		places, _ := v.Candidates()
		for _, t := range change.Targets {
			i := slices.IndexFunc(places, func(p rollout.Candidate) bool { return p.Instance == t.Instance })
			fmt.Printf("%s\n", t.Instance)
			old, now := strings.Split(places[i].Script, "\n"), strings.Split(t.Script, "\n")
			for _, line := range old {
				if !slices.Contains(now, line) {
					fmt.Println("  -", line)
				}
			}
			for _, line := range now {
				if !slices.Contains(old, line) {
					fmt.Println("  +", line)
				}
			}
		}
		if len(change.Targets) == 0 {
			fmt.Println("nothing would change")
		}
	})
}

type planCommand struct {
	which
	Script string `arg:"" help:"The operator's script."`
	Limit  int    `help:"So many at a time, depot by depot; 0: all at once."`
}

// Run tells who would change when.
func (p *planCommand) Run(ctx context.Context, c *command) error {
	f, err := c.open()
	if err != nil {
		return err
	}
	defer f.Close()
	v := f.Snapshot(ctx)
	change, err := p.plan(&v, p.Script, f.HolderID, "", p.Limit)
	if err != nil {
		return err
	}
	return c.print(change, func() {
		for _, t := range change.Targets {
			fmt.Printf("wave %d  %-16s %s\n", t.Wave, t.Instance, t.Agent)
		}
		fmt.Printf("%d directors in %d waves\n", len(change.Targets), change.WaveCount())
	})
}

// going is how changes are taken through.
type going struct {
	Limit int     `help:"So many at a time, depot by depot; 0: all at once."`
	Worse float64 `default:"0.1" help:"Stop between waves where the share of answers that are no success grew by this."`
}

// run takes a change through and tells what came of it.
func (g going) run(ctx context.Context, c *command, f *ctl.Fleet, change *rollout.Change, v ctl.Snapshot) error {
	if change != nil && len(change.Targets) == 0 {
		return c.print(rollout.Result{}, func() { fmt.Println("nothing to change") })
	}
	base, _ := v.FailureRate(ctl.Snapshot{})
	last := v
	worse := func() string {
		time.Sleep(time.Second) // for something to be seen
		now := f.Snapshot(ctx)
		bad, answers := now.FailureRate(last)
		last = now
		if answers >= 20 && bad > base+g.Worse {
			return fmt.Sprintf("%.0f%% of the answers are no success, after %.0f%%", 100*bad, 100*base)
		}
		return ""
	}
	step := func(s rollout.Step, wave int) {
		if !c.JSON && s != rollout.StepDone {
			if s == rollout.StepApply && change != nil && change.WaveCount() > 1 {
				fmt.Printf("%v, wave %d of %d\n", s, wave, change.WaveCount())
			} else {
				fmt.Println(s)
			}
		}
	}
	r, err := f.Run(ctx, change, worse, step)
	if err != nil {
		return exit{exitPartly, err}
	}
	if err := c.print(r, func() { tell(r) }); err != nil {
		return err
	}
	switch {
	case r.RefusalReason != "":
		return exit{exitRefused, errors.New(r.RefusalReason)}
	case !r.AllOrNone():
		return exit{exitPartly, fmt.Errorf("%s: not every director is where the others are", r.ID)}
	}
	return nil
}

// tell says what came of each director.
func tell(r rollout.Result) {
	if r.Holder != "" {
		fmt.Printf("held by %s for %.0f s, for %.0f s more\n", r.Holder, float64(r.HeldFor)/1e6, float64(r.LeaseLeft)/1e6)
	}
	for _, e := range r.Targets {
		fmt.Printf("%-16s %-16s %s\n", e.Instance, e.State, e.Reason)
	}
	if r.StopReason != "" {
		fmt.Println("stopped:", r.StopReason)
	}
	if r.ID != "" {
		fmt.Printf("%s: %v, %d messages\n", r.ID, r.Outcome, r.MessagesSent)
	}
}

type applyCommand struct {
	which
	going
	Script string `arg:"" help:"The operator's script."`
	Note   string `short:"m" help:"What for."`
}

// Run has directors run a script.
func (a *applyCommand) Run(ctx context.Context, c *command) error {
	f, err := c.open()
	if err != nil {
		return err
	}
	defer f.Close()
	v := f.Snapshot(ctx)
	change, err := a.plan(&v, a.Script, f.HolderID, a.Note, a.Limit)
	if err != nil {
		return err
	}
	return a.run(ctx, c, f, change, v)
}

type drainCommand struct {
	which
	going
	Box  string `arg:"" help:"The box's name in the list."`
	Back bool   `help:"Let it in again."`
}

// Run keeps a box out, or lets it in.
func (d *drainCommand) Run(ctx context.Context, c *command) error {
	f, err := c.open()
	if err != nil {
		return err
	}
	defer f.Close()
	v := f.Snapshot(ctx)
	note := "drain " + d.Box
	if d.Back {
		note = "let " + d.Box + " in again"
	} else if err := v.CheckCacheNode(d.Box); err != nil {
		return err
	}
	change, err := d.edit(&v, f.HolderID, note, d.Limit, func(p rollout.Candidate) (string, error) { return ctl.EditAvoidedNodes(p.Script, d.Box, !d.Back) })
	if err != nil {
		return err
	}
	return d.run(ctx, c, f, change, v)
}

type undoCommand struct {
	going
	ID string `arg:"" help:"The change's id."`
}

// Run takes a change back.
func (u *undoCommand) Run(ctx context.Context, c *command) error {
	f, err := c.open()
	if err != nil {
		return err
	}
	defer f.Close()
	v := f.Snapshot(ctx)
	of, before := v.Change(u.ID)
	if of == nil {
		return fmt.Errorf("%s: no agent that answers knows it", u.ID)
	}
	return u.run(ctx, c, f, rollout.Undo(ctl.NewChangeID(), f.HolderID, of, before, sum), v)
}

type resumeCommand struct {
	going
	ID string `arg:"" optional:"" help:"The change's id, to be told of; all that is open is brought to its end."`
}

// Run settles what is open.
func (r *resumeCommand) Run(ctx context.Context, c *command) error {
	f, err := c.open()
	if err != nil {
		return err
	}
	defer f.Close()
	if err := r.run(ctx, c, f, nil, f.Snapshot(ctx)); err != nil || r.ID == "" {
		return err
	}
	return (&statusCommand{ID: r.ID}).Run(ctx, c)
}

type statusCommand struct {
	ID string `arg:"" help:"The change's id."`
}

// Run tells what became of a change.
func (s *statusCommand) Run(ctx context.Context, c *command) error {
	f, err := c.open()
	if err != nil {
		return err
	}
	defer f.Close()
	v := f.Snapshot(ctx)
	i := slices.IndexFunc(v.Changes, func(x ctl.ChangeStatus) bool { return x.ID == s.ID })
	if i < 0 {
		return fmt.Errorf("%s: no agent that answers knows it", s.ID)
	}
	x := v.Changes[i]
	if err := c.print(x, func() { printChange(x) }); err != nil {
		return err
	}
	if x.InProgress {
		return exit{exitPartly, fmt.Errorf("%s is open; `resume` brings it to its end", s.ID)}
	}
	return nil
}

func printChange(x ctl.ChangeStatus) {
	fmt.Printf("%s  %s  by %s  %s\n", x.ID, x.Outcome, x.Author, x.Note)
	for _, name := range slices.Sorted(keys(x.Directors)) {
		fmt.Printf("  %-16s %-12s %s\n", name, x.Directors[name], x.Reasons[name])
	}
}

func keys(m map[string]string) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// auditLine is what `history --audit --json` prints for each record.
type auditLine struct {
	Agent string    `json:"Agent"`
	Who   string    `json:"Who"`
	What  string    `json:"What"`
	At    time.Time `json:"At"`
}

type historyCommand struct {
	Audit bool `help:"Who had which agent do what, from the agents' records, whose chain of hashes is checked."`
}

// Run tells what was done.
func (h *historyCommand) Run(ctx context.Context, c *command) error {
	f, err := c.open()
	if err != nil {
		return err
	}
	defer f.Close()
	if h.Audit {
		return f.Audit(ctx, func(agent string, r *fleetpb.AuditRecord) {
			c.print(auditLine{agent, r.Who, r.What, time.UnixMilli(r.UnixMs).UTC()}, func() {
				fmt.Printf("%s  %-12s %-12s %s\n", time.UnixMilli(r.UnixMs).UTC().Format(time.DateTime), agent, r.Who, r.What)
			})
		})
	}
	v := f.Snapshot(ctx)
	return c.print(v.Changes, func() {
		for _, x := range v.Changes {
			open := ""
			if x.InProgress {
				open = "  (open)"
			}
			fmt.Printf("%s  %-5s by %s  %s%s\n", x.ID, x.Outcome, x.Author, x.Note, open)
		}
	})
}

type showCommand struct{}

// Run tells how all are.
func (s *showCommand) Run(ctx context.Context, c *command) error {
	f, err := c.open()
	if err != nil {
		return err
	}
	defer f.Close()
	v := f.Snapshot(ctx)
	if err := c.print(v, func() { fmt.Print(table(v)) }); err != nil {
		return err
	}
	for _, a := range v.Agents {
		if !a.Reachable {
			return exit{exitPartly, fmt.Errorf("%s: %s", a.Name, a.Reason)}
		}
	}
	return nil
}

// table is a fleet for people.
func table(v ctl.Snapshot) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %-16s %-12s %-5s %-9s %7s %9s %9s  %s\n", "DEPOT", "DIRECTOR", "AGENT", "UP", "STORM", "OPEN", "FULFILLED", "THROTTLED", "")
	for _, d := range v.Directors {
		up, storm, note := "no", "-", d.Reason
		if d.Up {
			up, storm = "yes", d.Report.Overload.State.String()
		}
		if d.Drifted {
			note = "runs something else than its agent put in force"
		}
		if len(d.Report.AvoidedNodes) > 0 {
			note = strings.TrimSpace("keeps out " + strings.Join(d.Report.AvoidedNodes, ", ") + "  " + note)
		}
		fmt.Fprintf(&b, "%-12s %-16s %-12s %-5s %-9s %7d %9d %9d  %s\n", d.Depot, d.Name, d.Agent, up, storm, d.Report.OpenRequests,
			d.Report.Counters["fulfilled"], d.Report.Counters["throttled"], note)
	}
	for _, line := range v.MembershipLines() {
		fmt.Fprintln(&b, line)
	}
	for _, a := range v.Agents {
		if !a.Reachable {
			fmt.Fprintf(&b, "agent %s does not answer: %s\n", a.Name, a.Reason)
		}
	}
	if v.Holder != "" {
		fmt.Fprintf(&b, "%s holds the right to change for %v, for %v more\n", v.Holder, v.HeldFor.Round(time.Second), v.LeaseLeft.Round(time.Second))
	}
	for _, x := range v.Changes {
		if x.InProgress {
			fmt.Fprintf(&b, "%s is open: %s\n", x.ID, x.Note)
		}
	}
	return b.String()
}
