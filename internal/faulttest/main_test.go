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

// TestMain runs the tests, or a director where a test started the program as one.
func TestMain(m *testing.M) {
	if os.Getenv("TALLYPROXY_TEST_DIRECTOR") != "" {
		os.Exit(server.Main(os.Args[1:]))
	}
	if err := os.Setenv("TALLYPROXY_TEST_DIRECTOR", "1"); err != nil {
		panic(err)
	}
	slog.SetDefault(slog.New(slog.DiscardHandler)) // the logs of faulty members in this process are not of interest
	os.Exit(m.Run())
}

// harnessSlots bound the harnesses at a time. A director that gets no processor answers late, and a late answer counts as lost: more of
// them at once, or a compiler beside them, would test the machine.
var harnessSlots = make(chan bool, max(1, runtime.NumCPU()/2))

// parallel lets a case run in parallel with others, once there is a slot.
func parallel(t *testing.T) {
	t.Parallel()
	harnessSlots <- true
	t.Cleanup(func() { <-harnessSlots })
}

// testSpec is a harness of which the directors are the test program.
func testSpec(t *testing.T) Spec {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Spec{Argv: []string{self}, CacheNodes: 6, Clients: 120, LoadFactor: 0.3, WarmCaches: true, LoadBefore: time.Second, LoadAfter: 2 * time.Second}
}

// longRun has faults last for as long as they are meant to, as `make long` asks.
var longRun = os.Getenv("TALLYPROXY_LONG") != ""

// durationMS returns the duration of a fault in short runs or in long ones, in ms.
func durationMS(short, long int) int {
	if longRun {
		return long
	}
	return short
}

// buildProgram returns the command line of a director as it is built for use: forty of them under the race detector, several times slower,
// would test the machine. The cases of TestFaults run it under the detector.
func buildProgram(t *testing.T) []string {
	path := filepath.Join(t.TempDir(), "tallyproxy")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "tallyproxy/cmd/tallyproxy").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return []string{path}
}

// testSchedule plays faults on so many directors until half a second after the last.
func testSchedule(seed uint64, directors int, faults []Fault) Schedule {
	s := Schedule{Seed: seed, Directors: directors, Faults: faults}
	for _, f := range faults {
		s.LengthMS = max(s.LengthMS, f.AtMS+f.ForMS+500)
	}
	return s
}

// checkOutcome fails the test for an error, a violation, or too little load to show any.
func checkOutcome(t *testing.T, o Outcome, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if violations := o.Violations(); len(violations) > 0 {
		history := o.History.String()
		t.Errorf("the end of the history:\n%s\n%s\nlost: %s\nbroken: %v", history[max(0, len(history)-3000):], o.CrashDetail, o.LostReasons, violations)
	}
	if o.Requests < 50 || o.SuccessRate < 0.5 {
		t.Errorf("%d requests, %v succeeded", o.Requests, o.SuccessRate)
	}
}
