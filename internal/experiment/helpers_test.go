package experiment

import (
	"crypto/x509"
	"encoding/json"
	"math/rand/v2"
	"os"
	"runtime"
	"testing"

	"tallyproxy/internal/fleetpb"
)

type (
	x509Certificate = x509.Certificate
	auditRecord     = fleetpb.AuditRecord
)

// parallelTests are the tests that go on beside each other: fleets of agents mostly wait for each other's clocks.
var parallelTests = make(chan bool, max(1, runtime.NumCPU()/2))

// inParallel lets a test go on beside others, where there is a place, once those that need the processors to themselves are over.
func inParallel(t *testing.T) {
	t.Parallel()
	parallelTests <- true
	t.Cleanup(func() { <-parallelTests })
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 5)) }

// listenAddress is where a director's configuration has it listen.
func listenAddress(t *testing.T, path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var c struct{ Listen string }
	if err := json.Unmarshal(raw, &c); err != nil {
		t.Fatal(err)
	}
	return c.Listen
}
