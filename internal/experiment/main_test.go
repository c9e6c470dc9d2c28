package experiment

import (
	"log/slog"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"

	"tallyproxy/internal/server"
)

// parallelTests limits how many tests run in parallel. Several of them can share the CPUs, since
// fleets of agents mostly wait for each other's timers.
var parallelTests = make(chan bool, max(1, runtime.NumCPU()/2))

// inParallel runs the rest of a test in parallel with others, after the tests that need all CPUs
// for themselves.
func inParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	parallelTests <- true
	t.Cleanup(func() { <-parallelTests })
}

// newRand returns the random generator of a client.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 5)) }

// TestMain runs the tests, or the director if a test has started this executable as one.
func TestMain(m *testing.M) {
	if os.Getenv("TALLYPROXY_TEST_DIRECTOR") != "" {
		os.Exit(server.Main(os.Args[1:]))
	}
	if err := os.Setenv("TALLYPROXY_TEST_DIRECTOR", "1"); err != nil {
		panic(err)
	}
	// The agents run in this process; their log is discarded. Directors log separately.
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// selfAsDirector returns the command line that starts this executable as a director.
func selfAsDirector(t *testing.T) []string {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return []string{self}
}

// buildDirector builds the director without the race detector, which makes it several times slower,
// so that a storm of any size would overload it. All other tests run directors with the race
// detector.
func buildDirector(t *testing.T) []string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "tallyproxy")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "tallyproxy/cmd/tallyproxy").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return []string{path}
}
