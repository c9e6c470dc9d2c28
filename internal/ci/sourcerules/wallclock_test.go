package sourcerules

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// wallClockReads matches the methods that read the wall clock out of a time.Time. Methods such as
// Sub and Before use the monotonic clock.
var wallClockReads = regexp.MustCompile(`\.Unix(Nano|Micro|Milli)?\(\)`)

// mayReadWallClock names the files that may read the wall clock, and why. docs/architecture.md has
// the same list.
var mayReadWallClock = map[string]string{
	"internal/dispatch/dispatch.go":    "start of the policy's clock",
	"internal/dispatch/events.go":      "a wallclock.Reading at the arrival of an event",
	"internal/server/stallmonitor.go":  "a pause in which the monotonic clock stood still",
	"internal/server/gossip.go":        "incarnation, which must grow over restarts",
	"internal/agent/serve.go":          "incarnation, as above",
	"internal/agent/audit.go":          "shown to people",
	"internal/authority/revocation.go": "X.509 times and numbers",
}

// simulation names the folders of fakes, tests' processes and experiments, which stand for other
// machines.
var simulation = []string{"internal/fakes/", "internal/faulttest/", "internal/experiment/", "example/"}

// TestWallClockUses guards against spans that are measured on the wall clock, which may be stepped:
// a step back made a connection look unread and a listener look busy.
func TestWallClockUses(t *testing.T) {
	root := filepath.Join("..", "..", "..")
	used := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		name, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		for _, folder := range simulation {
			if strings.HasPrefix(name, folder) {
				return nil
			}
		}
		text, err := os.ReadFile(path)
		if err == nil && wallClockReads.Match(text) {
			used[name] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	for name := range used {
		if mayReadWallClock[name] == "" {
			t.Errorf("%s reads the wall clock: measure spans on the monotonic clock", name)
		}
	}
	for name := range mayReadWallClock {
		if !used[name] {
			t.Errorf("%s does not read the wall clock any longer", name)
		}
	}
}
