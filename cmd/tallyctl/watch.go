package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"tallyproxy/internal/ctl"
)

// watchedChanges is the number of changes shown; the latest ones are shown.
const watchedChanges = 5

type watchCommand struct {
	Every time.Duration `default:"1s" help:"Interval between status requests to all agents."`
}

// Run shows the status of the fleet in the terminal until the operator quits.
func (w *watchCommand) Run(ctx context.Context, c *command) error {
	fleet, err := c.openFleet()
	if err != nil {
		return err
	}
	defer fleet.Close()
	model := watchModel{ctx: ctx, fleet: fleet, interval: w.Every}
	_, err = tea.NewProgram(model, tea.WithContext(ctx), tea.WithAltScreen()).Run()
	return err
}

// watchModel is the bubbletea model of the terminal display.
type watchModel struct {
	ctx       context.Context // context of the requests to agents
	fleet     *ctl.Fleet
	interval  time.Duration
	snapshot  ctl.Snapshot
	takenAt   time.Time // time of snapshot; zero before the first one
	showNodes bool      // show cache nodes instead of directors
}

// snapshotMessage delivers a new snapshot to the model.
type snapshotMessage struct {
	snapshot ctl.Snapshot
	takenAt  time.Time
}

// takeSnapshot is the bubbletea command that queries all agents.
func (w watchModel) takeSnapshot() tea.Msg {
	return snapshotMessage{w.fleet.Snapshot(w.ctx), time.Now()}
}

// Init returns the command that takes the first snapshot.
func (w watchModel) Init() tea.Cmd { return w.takeSnapshot }

// Update handles key presses and snapshots. After each snapshot it schedules the next one for when
// the interval has passed.
func (w watchModel) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyMsg:
		switch msg.String() {
		case "q", "ctrl+c", "esc":
			return w, tea.Quit
		case "b":
			w.showNodes = !w.showNodes
		}
	case snapshotMessage:
		w.snapshot, w.takenAt = msg.snapshot, msg.takenAt
		return w, tea.Tick(w.interval, func(time.Time) tea.Msg { return w.takeSnapshot() })
	}
	return w, nil
}

// View renders the display.
func (w watchModel) View() string {
	if w.takenAt.IsZero() {
		return "querying the agents...\n"
	}
	var b strings.Builder
	if w.showNodes {
		b.WriteString(nodeTable(w.snapshot))
	} else {
		b.WriteString(directorTable(w.snapshot))
	}
	changes := w.snapshot.Changes
	for _, change := range changes[max(0, len(changes)-watchedChanges):] {
		fmt.Fprintf(&b, "%s  %-5s %-24s %s\n", change.ID, change.Outcome, change.Note, phaseCounts(change))
	}
	fmt.Fprintf(&b, "\n%s   b: directors or boxes   q: quit\n", w.takenAt.Format(time.TimeOnly))
	return b.String()
}

// phaseCounts formats the number of directors in each phase of a change.
func phaseCounts(change ctl.ChangeStatus) string {
	counts := map[string]int{}
	for _, phase := range change.Directors {
		counts[phase]++
	}
	var parts []string
	for phase, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, phase))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

// nodeTable formats the state of each cache node as reported by the directors of each depot.
func nodeTable(s ctl.Snapshot) string {
	type key struct{ depot, node string }
	states := map[key][]string{}
	for _, d := range s.Directors {
		for _, n := range d.Report.NodeViews {
			if n.Kind == "other" {
				continue
			}
			state := n.State
			switch {
			case n.State == "ready" && n.EjectedFor > 0:
				state = "skipped"
			case n.State == "ready" && n.SlowStartShare < 1:
				state = fmt.Sprintf("warming %.0f%%", 100*n.SlowStartShare)
			}
			k := key{d.Depot, n.ID}
			states[k] = append(states[k], d.Name+" "+state)
		}
	}
	keys := make([]key, 0, len(states))
	for k := range states {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int { return cmp.Or(cmp.Compare(a.depot, b.depot), cmp.Compare(a.node, b.node)) })
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %-20s %s\n", "DEPOT", "BOX", "AS DIRECTORS SEE IT")
	for _, k := range keys {
		fmt.Fprintf(&b, "%-12s %-20s %s\n", k.depot, k.node, strings.Join(states[k], "; "))
	}
	return b.String()
}
