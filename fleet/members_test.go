package fleet

import (
	"fmt"
	"testing"

	d "tallyproxy/director"
)

func TestMembers(t *testing.T) {
	cases := []struct {
		name    string
		reaches func(from, to string, at d.Micros) bool // whether one gets through to another
		want    map[string]Presence                     // as a0 sees it in the end
		most    int                                     // probes that a0 sends
	}{
		{"all well", func(string, string, d.Micros) bool { return true }, map[string]Presence{"a1": Up, "a2": Up, "a3": Up}, 130},
		{"one is dead", func(_, to string, _ d.Micros) bool { return to != "a2" },
			map[string]Presence{"a1": Up, "a2": Gone, "a3": Up}, 260},
		{"one bad link is not taken for a death", func(from, to string, _ d.Micros) bool { return from != "a0" || to != "a2" },
			map[string]Presence{"a1": Up, "a2": Up, "a3": Up}, 260},
		{"this one is cut off", func(from, _ string, _ d.Micros) bool { return from != "a0" },
			map[string]Presence{"a1": Gone, "a2": Gone, "a3": Gone}, 260},
		{"one dies and comes back", func(_, to string, at d.Micros) bool { return to != "a1" || at < 10*d.Second || at > 40*d.Second },
			map[string]Presence{"a1": Up, "a2": Up, "a3": Up}, 260},
		{"one has just fallen silent", func(_, to string, at d.Micros) bool { return to != "a3" || at < 54*d.Second },
			map[string]Presence{"a1": Up, "a2": Up, "a3": Suspected}, 260},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := NewMembers(0, []string{"a3", "a1", "a2"}, DefaultProbes())
			sent := 0
			for now := d.Micros(0); now < 60*d.Second; now += d.Second / 20 {
				for _, p := range m.Tick(now) {
					sent++
					if p.Of == "a0" || p.Via == p.Of {
						t.Fatalf("a probe %+v", p)
					}
					switch {
					case p.Via == "" && c.reaches("a0", p.Of, now):
						m.Answered(now, p.Number, true)
					case p.Via != "" && c.reaches("a0", p.Via, now):
						m.Answered(now, p.Number, c.reaches(p.Via, p.Of, now))
					}
				}
			}
			if got := m.Presence(); fmt.Sprint(got) != fmt.Sprint(c.want) || sent > c.most || len(m.pending) > 8 {
				t.Errorf("%v with %d probes, %d pending; want %v", got, sent, len(m.pending), c.want)
			}
		})
	}
}
