// Package ctl is the operator's side of a fleet: it asks the agents for their status and drives changes through them. Package rollout
// decides; this package is the driver of its Coordinator.
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

// statusTimeout is for one agent to answer with its status or its audit record.
const statusTimeout = 3 * time.Second

// Fleet is a fleet as an operator reaches it. It is safe for concurrent use.
type Fleet struct {
	Inventory *config.Inventory // what the fleet consists of; not changed
	HolderID  string            // this tool as the holder of a ballot: the operator's name and a random number
	clients   *agent.Clients
	started   time.Time // the zero of now
	timeouts  rollout.Timeouts
}

// Open reaches the fleet of an inventory as the owner of a certificate. Nothing is connected yet; Close ends it.
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

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	_, _ = rand.Read(b) // never fails
	return hex.EncodeToString(b)
}

// NewChangeID returns an ID that no other change has: the time in UTC and a random number.
func NewChangeID() string { return time.Now().UTC().Format("20060102-150405-") + randomHex(3) }

// Audit calls each for every audit record of every agent, agent by agent in the inventory's order, oldest first. The error names the
// agents that did not answer or whose record is damaged; the others are read all the same.
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

func (f *Fleet) audit(ctx context.Context, name string) (*fleetpb.AuditReply, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client, err := f.clients.Client(name)
	if err != nil {
		return nil, err
	}
	return client.Audit(ctx, &fleetpb.AuditRequest{})
}
