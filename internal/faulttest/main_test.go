package faulttest

import (
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"tallyproxy/internal/server"
)

// TestMain runs the tests, or a director if a test started the program as one.
func TestMain(m *testing.M) {
	if os.Getenv("TALLYPROXY_TEST_DIRECTOR") != "" {
		os.Exit(server.Main(os.Args[1:]))
	}
	if err := os.Setenv("TALLYPROXY_TEST_DIRECTOR", "1"); err != nil {
		panic(err)
	}
	// Tests don't evaluate the logs of faulty members in this process.
	slog.SetDefault(slog.New(slog.DiscardHandler))
	os.Exit(m.Run())
}

// harnessSlots limits the number of concurrent harnesses. A director without processor time answers
// late, and a late answer counts as lost. More harnesses at once, or a compiler running beside
// them, would test the machine instead of the directors.
var harnessSlots = make(chan bool, max(1, runtime.NumCPU()/2))

// parallel lets a test run in parallel with others once a harness slot is free.
func parallel(t *testing.T) {
	t.Parallel()
	harnessSlots <- true
	t.Cleanup(func() { <-harnessSlots })
}

// testSpec returns the spec of a harness whose directors run the test program.
func testSpec(t *testing.T) Spec {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Spec{Argv: []string{self}, CacheNodes: 6, Clients: 120, LoadFactor: 0.3, WarmCaches: true, LoadBefore: time.Second, LoadAfter: 2 * time.Second}
}

// longRun selects the full duration of faults, as `make long` requests.
var longRun = os.Getenv("TALLYPROXY_LONG") != ""

// durationMS returns a fault's duration in ms: short by default, long in long runs.
func durationMS(short, long int) int {
	if longRun {
		return long
	}
	return short
}

// buildProgram builds the production program and returns the command line of a director. Forty
// directors under the race detector, which makes them several times slower, would test the machine.
// The cases of TestFaults run directors under the race detector.
func buildProgram(t *testing.T) []string {
	path := filepath.Join(t.TempDir(), "tallyproxy")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "tallyproxy/cmd/tallyproxy").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return []string{path}
}

// testSchedule returns a schedule of the given faults that ends half a second after the last fault.
func testSchedule(seed uint64, directors int, faults []Fault) Schedule {
	s := Schedule{Seed: seed, Directors: directors, Faults: faults}
	for _, f := range faults {
		s.LengthMS = max(s.LengthMS, f.AtMS+f.ForMS+500)
	}
	return s
}

// checkOutcome fails the test on an error, on a violation, or if there was too little load to show
// any violation.
func checkOutcome(t *testing.T, o Outcome, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if violations := o.Violations(); len(violations) > 0 {
		history := o.History.String()
		t.Errorf("end of the history:\n%s\n%s\nlost: %s\nviolations: %v", history[max(0, len(history)-3000):], o.CrashDetail, o.LostReasons, violations)
	}
	if o.Requests < 50 || o.SuccessRate < 0.5 {
		t.Errorf("%d requests, success rate %v", o.Requests, o.SuccessRate)
	}
}
