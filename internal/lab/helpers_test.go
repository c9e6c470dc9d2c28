package lab

import (
	"crypto/x509"
	"encoding/json"
	"math/rand/v2"
	"os"
	"testing"

	"tallyproxy/internal/fleetpb"
)

type (
	x509Certificate = x509.Certificate
	auditRecord     = fleetpb.AuditRecord
)

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 5)) }

// listenOf is where a director's configuration has it listen.
func listenOf(t *testing.T, path string) string {
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
