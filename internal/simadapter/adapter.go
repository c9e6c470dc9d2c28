// Package simadapter implements the simulator's line protocol. It reads batches of messages, one
// per line, calls the policy of each simulated director and writes the policy's decisions. It keeps
// track of requests and wake-ups but makes no decisions itself.
//
// Serve reads, decides and writes in a single goroutine, so this package needs no locks.
package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"

	"tallyproxy/internal/config"
	"tallyproxy/policy"
)

const (
	bufferSize = 1 << 16 // bytes, for the reader and for the writer
	pageCount  = 16      // number of endpoint pages that the protocol can address
)

// NewPolicy creates the policy of one simulated director from its settings.
type NewPolicy func(policy.Settings) policy.Policy

// Serve answers batches until the input ends. It stops with an error that names the input line if
// the input is malformed or the output can't be written.
func Serve(in io.Reader, out io.Writer, newPolicy NewPolicy) error {
	s := &simulation{
		in:        lineReader{in: bufio.NewReaderSize(in, bufferSize)},
		out:       bufio.NewWriterSize(out, bufferSize),
		newPolicy: newPolicy,
		instances: map[string]*instance{},
	}
	for {
		msg, err := s.in.next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = s.handle(msg)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", s.in.line, err)
		}
	}
}

// simulation is the state that all simulated directors share.
type simulation struct {
	in             lineReader
	out            *bufio.Writer
	newPolicy      NewPolicy
	instances      map[string]*instance // by director-id; "retire" removes an instance
	pages          [pageCount]page
	now            policy.Micros // time of the current batch
	inputDirector  string        // director-id that the messages read now refer to
	outputDirector string        // director-id last written in this batch; empty if none
}

// instance is one simulated director and its requests.
type instance struct {
	policy       policy.Policy
	contentTypes []*policy.ContentType
	requests     map[uint64]*request // by xid; deleted when done with no attempt in flight
}

// handle processes one message. It ignores messages with an unknown name and messages about an
// instance that does not exist.
func (s *simulation) handle(msg message) error {
	switch msg.name {
	case "sync":
		return s.beginBatch(msg)
	case "go":
		return s.endBatch()
	case "about":
		s.inputDirector = msg.fields["director-id"]
		return nil
	case "inventory":
		return s.readPage(msg)
	case "spawn":
		return s.spawn(msg)
	case "retire":
		delete(s.instances, s.inputDirector)
		return nil
	}
	inst := s.instances[s.inputDirector]
	if inst == nil {
		return nil
	}
	switch msg.name {
	case "directory_update":
		return s.updateEndpoints(inst, msg)
	case "voided":
		return s.purge(inst, msg)
	case "ingress":
		return s.route(inst, msg)
	case "report_back":
		return s.attemptDone(inst, msg)
	case "alarm":
		return s.recheck(inst, msg)
	case "gone":
		return s.clientLeft(inst, msg)
	}
	return nil
}

// beginBatch sets the time of a new batch.
func (s *simulation) beginBatch(msg message) error {
	if msg.fields["t"] == "" {
		return errors.New("sync has no t")
	}
	s.outputDirector = ""
	return msg.micros("t", &s.now)
}

// endBatch signals to the simulator that the batch is fully answered, and flushes the output.
func (s *simulation) endBatch() error {
	if _, err := s.out.WriteString("next\n"); err != nil {
		return err
	}
	return s.out.Flush()
}

// spawn creates an instance, and replaces an existing one with the same director-id.
func (s *simulation) spawn(msg message) error {
	seed, err := msg.seed("salt")
	if err != nil {
		return err
	}
	site, err := config.ParseSite([]byte(msg.fields["params"]))
	if err != nil {
		return fmt.Errorf("spawn: params: %w", err)
	}
	site.Seed = seed
	s.instances[s.inputDirector] = &instance{
		policy:       s.newPolicy(site.Settings),
		contentTypes: site.ContentTypes,
		requests:     map[uint64]*request{},
	}
	return nil
}

// purge forwards a purge to the instance's policy.
func (s *simulation) purge(inst *instance, msg message) error {
	group, age := policy.AllGroups, policy.Micros(0)
	if err := firstError(msg.integer("group", &group), msg.micros("oldness", &age)); err != nil {
		return err
	}
	inst.policy.Purge(s.now, msg.fields["object"], group, s.now-age)
	return nil
}
