package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testList = `tallyproxy/rollout TestAnyHistory/the_agents_alone | go test ./rollout -rapid.seed=1 | a tie | issue 43
tallyproxy/relays TestDelegates | go test ./relays | a call too many | issue 44
`

// TestRun guards against a failure that is not listed being passed over, and against a listed
// failure making the run red. The outputs in testdata were printed by go test 1.26.
func TestRun(t *testing.T) {
	for _, c := range []struct {
		output string // a file of testdata
		want   string // part of the error; empty for no error
		passed int    // number of entries passed over
	}{
		{"listed_subtest.txt", "", 1},
		{"listed_in_two_packages.txt", "", 2},
		{"same_name_elsewhere.txt", "tallyproxy/gossip TestDelegates failed", 0},
		{"parent_by_itself.txt", "tallyproxy/rollout TestAnyHistory failed", 0},
		{"parent_alone.txt", "tallyproxy/rollout TestAnyHistory failed", 0},
		{"sibling.txt", "TestAnyHistory/another_tool failed", 0},
		{"panic.txt", "ended abnormally", 0},
		{"race.txt", "ended abnormally", 0},
		{"build.txt", "ended abnormally", 0},
		{"timeout.txt", "ended abnormally", 0},
		{"cut_off.txt", "no package result", 0},
		{"passed.txt", errNothingFailed.Error(), 0},
	} {
		t.Run(strings.TrimSuffix(c.output, ".txt"), func(t *testing.T) {
			list := filepath.Join(t.TempDir(), "list")
			if err := os.WriteFile(list, []byte(testList), 0o600); err != nil {
				t.Fatal(err)
			}
			output, err := os.Open(filepath.Join("testdata", c.output))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = output.Close() })
			var report strings.Builder
			err = run(list, output, &report)
			if (err != nil) != (c.want != "") || err != nil && !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
			if passed := strings.Count(report.String(), "known red, passed over: tallyproxy/"); passed != c.passed {
				t.Errorf("reported %q, want %d entries", report.String(), c.passed)
			}
		})
	}
}

// TestOwnList guards against malformed entries in the repository's own list.
func TestOwnList(t *testing.T) {
	text, err := os.ReadFile("../../../KNOWN-RED.txt")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parseList(string(text)); err != nil {
		t.Error(err)
	}
}

// TestMalformedList guards against entries being accepted that lack a part or name no test.
func TestMalformedList(t *testing.T) {
	for _, text := range []string{"TestA | command | seen | issue", "pkg TestA | seen | issue", "pkg TestA and more | command | seen | issue"} {
		if _, err := parseList(text); err == nil {
			t.Errorf("parseList accepted %q", text)
		}
	}
}
