package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strings"

	"tallyproxy/internal/config"
	"tallyproxy/internal/logevent"
	"tallyproxy/policy"
)

// Event is an event of the command channel: an endpoint list, whole or as changes, or a purge of an object or of a group. One of
// an unknown kind is none of these.
type Event struct {
	Cursor       int64         // position in the channel, ascending
	HasEndpoints bool          // the event is an endpoint list
	Snapshot     bool          // the list is whole: endpoints that it does not name are gone
	Endpoints    []Endpoint    // of the list
	Object       string        // the purged object; empty where none is
	Group        int           // the purged group of objects; policy.AllGroups where none is
	PurgedAt     policy.Micros // time of the purge, in microseconds since 1970
}

// Endpoint is an entry of the endpoint list, with its address.
type Endpoint struct {
	policy.Endpoint
	Address string // host and port; empty where the channel gave none
}

var errEventTooLong = errors.New("an event is longer than what is read of an answer")

// response is the channel's answer to a poll, and the form of the configuration's known events.
type response struct {
	Cursor   *int64    `json:"cursor"` // of the last event that the channel has
	Commands []command `json:"cmds"`   // in ascending order
}

// command is an event as the channel encodes it, with one of Nodes and Drop.
type command struct {
	Cursor int64         `json:"cursor"` // position in the channel
	Nodes  *endpointList `json:"nodes"`
	Drop   *purge        `json:"drop"`
}

// endpointList is a whole list, or the entries of one that changed.
type endpointList struct {
	Snapshot  bool            `json:"snapshot"` // it is whole
	Endpoints []endpointEntry `json:"endpoints"`
}

// endpointEntry is one endpoint of a list; a removed one may have its name and status alone.
type endpointEntry struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`     // one of the settings' names
	Type        string   `json:"type"`     // one of the settings' names of machine kinds
	Group       int      `json:"group"`    // the cell
	Status      string   `json:"status"`   // a key of statusStates
	Weight      *float64 `json:"weight"`   // 1 where missing
	SinceMillis float64  `json:"since_ms"` // latest start, in milliseconds since 1970; 0 for long ago
}

// purge is a purge of an object or of a group of objects.
type purge struct {
	ID         string  `json:"id"`     // of the object
	Family     *int    `json:"family"` // the group
	WhenMillis float64 `json:"when"`   // in milliseconds since 1970
}

// statusStates maps the channel's status of an endpoint.
var statusStates = map[string]policy.EndpointState{
	"up": policy.Ready, "draining": policy.Draining, "removed": policy.Removed,
}

// forbiddenInName are the characters that names of endpoints must not hold, since the text protocols separate by them.
const forbiddenInName = " ,=\r\n"

const microsPerMilli = 1000

// DecodeKnown reads the events that the configuration holds, in the form of an answer; before Run.
func (c *Client) DecodeKnown(raw []byte) ([]Event, error) {
	events, err := c.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return events, nil
}

// Decode reads an answer of the channel, returns the events after the client's position and advances the position past them. On an
// error nothing changes.
//
// Where other directors poll for this one, a channel whose position is behind the client's has restarted with fewer events than it
// had sent: the position goes back to the beginning, so that the next poll reads them all. That undoes nothing, because whole
// lists are made of them before they come into force.
func (c *Client) Decode(raw []byte) ([]Event, error) {
	var answer response
	if err := json.Unmarshal(raw, &answer); err != nil {
		return nil, err
	}
	if answer.Cursor == nil {
		return nil, errors.New("cursor: missing")
	}
	events, err := c.newEvents(answer.Commands)
	if err != nil {
		return nil, err
	}
	if c.shouldPoll != nil && *answer.Cursor < c.cursor {
		slog.Warn(logevent.DiscoveryRestarted, "cursor", c.cursor, "last", *answer.Cursor)
		c.cursor = 0
		return nil, nil
	}
	if len(events) > 0 {
		c.cursor = events[len(events)-1].Cursor
	}
	if len(answer.Commands) == 0 {
		c.cursor = max(c.cursor, *answer.Cursor)
	}
	return events, nil
}

// decodeCutOff reads the beginning of an answer that is too long, and returns the events after the client's position that came whole. An
// answer that has none is an error, since the next poll would bring it again.
func (c *Client) decodeCutOff(raw []byte) ([]Event, error) {
	commands, err := wholeCommands(raw)
	if err != nil {
		return nil, err
	}
	events, err := c.newEvents(commands)
	switch {
	case err != nil:
		return nil, err
	case len(events) == 0:
		return nil, errEventTooLong
	}
	c.cursor = events[len(events)-1].Cursor
	return events, nil
}

// wholeCommands returns the commands that stand whole in the beginning of an answer.
func wholeCommands(raw []byte) (commands []command, err error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	for inList := false; !inList; {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		if token == "cmds" {
			token, err = decoder.Token()
			inList = err == nil && token == json.Delim('[')
		}
	}
	for decoder.More() {
		var next command
		if err := decoder.Decode(&next); errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			break // it is cut off here
		} else if err != nil {
			return nil, err
		}
		commands = append(commands, next)
	}
	return commands, nil
}

// newEvents decodes the commands after the client's position; it passes over those that were had before.
func (c *Client) newEvents(commands []command) (events []Event, err error) {
	last := c.cursor
	for i, command := range commands {
		if command.Cursor <= last {
			continue
		}
		event, err := command.event(c.site)
		if err != nil {
			return nil, fmt.Errorf("cmds[%d].%w", i, err)
		}
		last = command.Cursor
		events = append(events, event)
	}
	return events, nil
}

// event decodes one command. An error begins with the command's key that is at fault.
func (c command) event(site config.Site) (Event, error) {
	event := Event{Cursor: c.Cursor, Group: policy.AllGroups}
	switch {
	case c.Nodes != nil:
		event.HasEndpoints = true
		event.Snapshot = c.Nodes.Snapshot || c.Cursor == 1
		for _, entry := range c.Nodes.Endpoints {
			endpoint, err := entry.endpoint(site)
			if err != nil {
				return Event{}, fmt.Errorf("nodes: %w", err)
			}
			event.Endpoints = append(event.Endpoints, endpoint)
		}
	case c.Drop != nil:
		event.Object = c.Drop.ID
		event.PurgedAt = policy.Micros(c.Drop.WhenMillis * microsPerMilli)
		if c.Drop.Family != nil {
			event.Group = *c.Drop.Family
		}
		if event.Object == "" && event.Group < 0 {
			return Event{}, errors.New("drop: neither id nor family")
		}
	default:
		slog.Warn(logevent.DiscoveryUnknownCommand, "cursor", c.Cursor)
	}
	return event, nil
}

// endpoint decodes one entry of a list. Zone and Kind are the indexes of the settings' names; only a removed endpoint may lack them,
// and has -1 there.
func (e endpointEntry) endpoint(site config.Site) (Endpoint, error) {
	state, known := statusStates[e.Status]
	if !known || e.Name == "" || strings.ContainsAny(e.Name, forbiddenInName) {
		return Endpoint{}, fmt.Errorf("status %q of name %q can't be used", e.Status, e.Name)
	}
	zone, kind := slices.Index(site.ZoneNames, e.Zone), slices.Index(site.KindNames, e.Type)
	if state != policy.Removed && (zone < 0 || kind < 0) {
		return Endpoint{}, fmt.Errorf("zone %q or type %q is not in the settings", e.Zone, e.Type)
	}
	weight := 1.0
	if e.Weight != nil {
		weight = *e.Weight
	}
	return Endpoint{Address: e.Address, Endpoint: policy.Endpoint{
		ID:      e.Name,
		Zone:    zone,
		Kind:    kind,
		Cell:    e.Group,
		State:   state,
		Weight:  weight,
		Started: policy.Micros(e.SinceMillis * microsPerMilli),
	}}, nil
}
