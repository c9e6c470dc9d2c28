package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	tea "github.com/charmbracelet/bubbletea"

	"tallyproxy/internal/ctl"
)

type watchCommand struct {
	Every time.Duration `default:"1s" help:"How often all agents are asked."`
}

// Run shows the fleet until q.
func (w *watchCommand) Run(ctx context.Context, c *command) error {
	f, err := c.open()
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = tea.NewProgram(watching{ctx: ctx, f: f, every: w.Every}, tea.WithContext(ctx), tea.WithAltScreen()).Run()
	return err
}

// watching is what the terminal shows.
type watching struct {
	ctx   context.Context
	f     *ctl.Fleet
	every time.Duration
	view  ctl.Snapshot
	at    time.Time
	boxes bool // instead of directors
}

type looked struct {
	view ctl.Snapshot
	at   time.Time
}

func (w watching) look() tea.Msg { return looked{w.f.Snapshot(w.ctx), time.Now()} }

// Init looks for the first time.
func (w watching) Init() tea.Cmd { return w.look }

// Update takes keys and news.
func (w watching) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.KeyMsg:
		switch msg.String() {
		case "q", "ctrl+c", "esc":
			return w, tea.Quit
		case "b":
			w.boxes = !w.boxes
		}
	case looked:
		w.view, w.at = msg.view, msg.at
		return w, tea.Tick(w.every, func(time.Time) tea.Msg { return w.look() })
	}
	return w, nil
}

// View draws.
func (w watching) View() string {
	if w.at.IsZero() {
		return "asking the agents...\n"
	}
	var b strings.Builder
	if w.boxes {
		b.WriteString(boxes(w.view))
	} else {
		b.WriteString(table(w.view))
	}
	for _, x := range w.view.Changes[max(0, len(w.view.Changes)-5):] {
		counts := map[string]int{}
		for _, phase := range x.Directors {
			counts[phase]++
		}
		var parts []string
		for phase, n := range counts {
			parts = append(parts, fmt.Sprintf("%d %s", n, phase))
		}
		slices.Sort(parts)
		fmt.Fprintf(&b, "%s  %-5s %-24s %s\n", x.ID, x.Outcome, x.Note, strings.Join(parts, ", "))
	}
	fmt.Fprintf(&b, "\n%s   b: directors or boxes   q: leave\n", w.at.Format(time.TimeOnly))
	return b.String()
}

// boxes shows each box as the directors of its depot believe it to be.
func boxes(v ctl.Snapshot) string {
	type row struct{ depot, id string }
	seen := map[row][]string{}
	for _, d := range v.Directors {
		for _, n := range d.Report.NodeViews {
			if n.Kind == "other" {
				continue
			}
			word := n.State
			switch {
			case n.State == "ready" && n.EjectedFor > 0:
				word = "skipped"
			case n.State == "ready" && n.SlowStartShare < 1:
				word = fmt.Sprintf("warming %.0f%%", 100*n.SlowStartShare)
			}
			r := row{d.Depot, n.ID}
			seen[r] = append(seen[r], d.Name+" "+word)
		}
	}
	rows := make([]row, 0, len(seen))
	for r := range seen {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.depot+"\x00"+a.id, b.depot+"\x00"+b.id) })
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %-20s %s\n", "DEPOT", "BOX", "AS DIRECTORS SEE IT")
	for _, r := range rows {
		fmt.Fprintf(&b, "%-12s %-20s %s\n", r.depot, r.id, strings.Join(seen[r], "; "))
	}
	return b.String()
}
