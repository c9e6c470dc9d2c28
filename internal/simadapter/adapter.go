// Package simadapter speaks the simulator's wire: it reads batches of messages, a line each, calls the decision module of each
// simulated director and writes what the module decides. It keeps requests and timers in hand and decides nothing.
//
// A simulation is one goroutine: Serve reads, decides and writes in turn, so nothing here is locked.
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
	bufferSize = 1 << 16 // bytes, of the reader and of the writer
	pageCount  = 16      // pages of endpoints that the wire can refer to
)

// NewPolicy makes the decision module of one simulated director from its settings.
type NewPolicy func(policy.Settings) policy.Policy

// Serve answers batches until the input ends. Malformed input ends it with an error that names the line; so does an output that
// can't be written.
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

// simulation is what all simulated directors share.
type simulation struct {
	in        lineReader
	out       *bufio.Writer
	newPolicy NewPolicy
	instances map[string]*instance // by director-id; "retire" takes one out
	pages     [pageCount]page
	now       policy.Micros // time of the batch
	subject   string        // director-id of the instance that messages are about
	actor     string        // director-id that was last written in this batch, before actions
}

// instance is one simulated director with what it has in hand.
type instance struct {
	policy       policy.Policy
	contentTypes []*policy.ContentType
	requests     map[uint64]*request // by xid; a request leaves once it is done and its attempts have ended
}

// handle takes one message. A message about an instance that is not there is passed over, and so is one of an unknown name.
func (s *simulation) handle(msg message) error {
	switch msg.name {
	case "sync":
		return s.beginBatch(msg)
	case "go":
		return s.endBatch()
	case "about":
		s.subject = msg.fields["director-id"]
		return nil
	case "inventory":
		return s.readPage(msg)
	case "spawn":
		return s.spawn(msg)
	case "retire":
		delete(s.instances, s.subject)
		return nil
	}
	inst := s.instances[s.subject]
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

func (s *simulation) beginBatch(msg message) error {
	if msg.fields["t"] == "" {
		return errors.New("sync has no t")
	}
	s.actor = ""
	return msg.micros("t", &s.now)
}

// endBatch tells the simulator that all of a batch was answered.
func (s *simulation) endBatch() error {
	if _, err := s.out.WriteString("next\n"); err != nil {
		return err
	}
	return s.out.Flush()
}

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
	s.instances[s.subject] = &instance{
		policy:       s.newPolicy(site.Settings),
		contentTypes: site.ContentTypes,
		requests:     map[uint64]*request{},
	}
	return nil
}

func (s *simulation) purge(inst *instance, msg message) error {
	group, age := policy.AllGroups, policy.Micros(0)
	if err := firstError(msg.integer("group", &group), msg.micros("oldness", &age)); err != nil {
		return err
	}
	inst.policy.Purge(s.now, msg.fields["object"], group, s.now-age)
	return nil
}
