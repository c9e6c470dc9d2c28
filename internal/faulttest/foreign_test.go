package faulttest

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"tallyproxy/internal/logevent"
)

// TestForeignDirectors guards against members that accept a director with another key, one of
// another fleet, or one whose seeds are all dead. Such directors must serve as if alone, without
// other effects.
func TestForeignDirectors(t *testing.T) {
	parallel(t)
	s := Schedule{Seed: 2, Directors: 3, LengthMS: 2500}
	o, err := Run(t.Context(), testSpec(t), s, func(h *Harness) {
		key := h.keyPath + "2"
		if err := os.WriteFile(key, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
			t.Error(err)
		}
		for _, foreign := range []struct{ name, key, fleet, seeds string }{
			{"x0", key, fleetName, ""}, {"x1", h.keyPath, "other", ""}, {"x2", h.keyPath, fleetName, `seeds = ["127.0.0.1:9", "127.0.0.1:10"]`},
		} {
			p, err := h.AddDirector(foreign.name, foreign.key, foreign.fleet)
			if err == nil && foreign.seeds != "" {
				path := h.scriptPath(p.number)
				text := regexp.MustCompile(`seeds = \[[^]]*\]`).ReplaceAllString(h.script(p, foreign.key, foreign.fleet), foreign.seeds)
				err = os.WriteFile(path, []byte(text), 0o600)
			}
			if err == nil {
				p.duplicate = true // converged does not wait for this director
				err = h.StartProcess(t.Context(), p)
			}
			if err != nil {
				t.Error(err)
			} else if !p.serving() {
				t.Errorf("%s does not serve", foreign.name)
			}
		}
	})
	checkOutcome(t, o, err)
	for _, e := range o.History.Entries() {
		if e.Event == logevent.PeerState && (strings.HasPrefix(e.Attributes["name"], "x") || e.Director > 2) {
			t.Errorf("n%d accepted a foreign director: %v", e.Director, e.Attributes)
		}
	}
}
