package simadapter

import (
	"errors"
	"fmt"
	"io"

	"tallyproxy/policy"
)

// maxRowsAhead limits the number of rows for which memory is allocated before they are read.
const maxRowsAhead = 1 << 12

// page is an endpoint list. The simulator sends each list once and then refers to it by page number
// in the updates of all directors that receive it.
type page struct {
	received  bool // the simulator has sent this page
	endpoints []policy.Endpoint
}

// readPage handles an "inventory" message and reads the rows that follow it.
func (s *simulation) readPage(msg message) error {
	number, rows := -1, -1
	if err := firstError(msg.integer("page", &number), msg.integer("rows-in", &rows)); err != nil {
		return err
	}
	if number < 0 || number >= len(s.pages) {
		return fmt.Errorf("inventory: page %d is out of range", number)
	}
	if rows < 0 {
		return errors.New("inventory: rows-in missing or negative")
	}
	endpoints := make([]policy.Endpoint, 0, min(rows, maxRowsAhead))
	for range rows {
		row, err := s.in.next()
		if errors.Is(err, io.EOF) || err == nil && row.name != "row" {
			return fmt.Errorf("inventory: %d rows announced, %d found", rows, len(endpoints))
		}
		if err != nil {
			return err
		}
		endpoint, err := row.endpoint()
		if err != nil {
			return err
		}
		endpoints = append(endpoints, endpoint)
	}
	s.pages[number] = page{received: true, endpoints: endpoints}
	return nil
}

// endpoint converts a "row" message.
func (m message) endpoint() (policy.Endpoint, error) {
	e := policy.Endpoint{ID: m.fields["node"], Weight: 1}
	err := firstError(
		m.integer("az", &e.Zone),
		m.integer("generation-hw", &e.Kind),
		m.integer("pod", &e.Cell),
		m.number("heft", &e.Weight),
		m.micros("launched", &e.Started),
	)
	if err != nil {
		return policy.Endpoint{}, err
	}
	switch health := m.fields["health"]; health {
	case "IN":
		e.State = policy.Ready
	case "LAME":
		e.State = policy.Draining
	case "OUT":
		e.State = policy.Removed
	default:
		return policy.Endpoint{}, fmt.Errorf("row: health %q is not known", health)
	}
	return e, nil
}

// updateEndpoints passes a page to the instance's policy. The kind "lost" stands for a poll that
// failed in the simulation; its page is ignored.
func (s *simulation) updateEndpoints(inst *instance, msg message) error {
	kind := msg.fields["kind"]
	if kind == "lost" {
		return nil
	}
	number := -1
	if err := msg.integer("page", &number); err != nil {
		return err
	}
	if number < 0 || number >= len(s.pages) || !s.pages[number].received {
		return fmt.Errorf("directory_update: page %d was never sent", number)
	}
	switch kind {
	case "incr", "total", "warm_copy":
		complete := kind != "incr"
		inst.policy.UpdateEndpoints(s.now, s.pages[number].endpoints, complete)
	}
	return nil
}
