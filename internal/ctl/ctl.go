// Package ctl is the operator's client for a fleet. It queries the agents for their status and
// rolls out changes through them. Package rollout makes the decisions; this package performs the
// I/O for its Coordinator.
package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"tallyproxy/internal/agent"
	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/fleetpb"
	"tallyproxy/policy"
	"tallyproxy/rollout"
)

// statusTimeout limits a request for one agent's status or audit records.
const statusTimeout = 3 * time.Second

// Fleet is an operator's connection to the agents of a fleet. It is safe for concurrent use.
type Fleet struct {
	Inventory *config.Inventory // agents and directors of the fleet; read-only
	HolderID  string            // ballot holder's ID: operator's name, slash, random number
	clients   *agent.Clients
	started   time.Time // time origin of now
	timeouts  rollout.Timeouts
}

// Open returns a client for the fleet of an inventory that authenticates with the given identity.
// It does not connect to any agent yet. The caller must call Close.
func Open(inventory *config.Inventory, identity *authority.Identity) *Fleet {
	timeouts := rollout.DefaultTimeouts()
	timeouts.Lease = inventory.LeaseDuration
	return &Fleet{
		Inventory: inventory, HolderID: identity.Name() + "/" + randomHex(4), clients: agent.NewClients(inventory, identity),
		started: time.Now(), timeouts: timeouts,
	}
}

// Close closes the connections to the agents.
func (f *Fleet) Close() { f.clients.Close() }

// now returns the time since Open on the monotonic clock.
func (f *Fleet) now() policy.Micros { return policy.MicrosOf(time.Since(f.started)) }

// randomHex returns the given number of random bytes in hexadecimal.
func randomHex(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// NewChangeID returns a unique ID for a change: the current UTC time followed by a random number.
func NewChangeID() string { return time.Now().UTC().Format("20060102-150405-") + randomHex(3) }

// Audit calls each for every audit record of every agent. Agents come in the order of the
// inventory, and the records of one agent come oldest first. The error names the agents that did
// not answer or whose audit chain is damaged; the records of the other agents are still reported.
func (f *Fleet) Audit(ctx context.Context, each func(agent string, r *fleetpb.AuditRecord)) error {
	var errs []error
	for _, a := range f.Inventory.Agents {
		reply, err := f.audit(ctx, a.Name)
		if err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", a.Name, err))
			continue
		}
		for _, r := range reply.GetRecords() {
			each(a.Name, r)
		}
	}
	return errors.Join(errs...)
}

// audit fetches the audit records of one agent.
func (f *Fleet) audit(ctx context.Context, name string) (*fleetpb.AuditReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client, err := f.clients.Client(name)
	if err != nil {
		return nil, err
	}
	return client.Audit(ctx, &fleetpb.AuditRequest{})
}
