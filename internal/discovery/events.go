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

// Event is an event of the command channel: a full or partial endpoint list, or a purge of an
// object or of a group of objects. An event of an unknown kind is neither.
type Event struct {
	Cursor       int64         // position in the channel, in ascending order
	HasEndpoints bool          // the event is an endpoint list
	Snapshot     bool          // the list is full: endpoints that it does not name are removed
	Endpoints    []Endpoint    // entries of the list
	Object       string        // the purged object; empty if none is purged
	Group        int           // the purged group of objects, or policy.AllGroups
	PurgedAt     policy.Micros // time of the purge, in microseconds since 1970
	// AnnouncedWithin is a time before its arrival at which the event had not been announced yet;
	// 0 if unknown.
	AnnouncedWithin policy.Micros
}

// Endpoint is an entry of the endpoint list with its address.
type Endpoint struct {
	policy.Endpoint
	Address string // host and port; empty if missing
}

var errEventTooLong = errors.New("event exceeds the maximum answer size")

// response is the channel's answer to a poll. The configuration's known events have the same form.
type response struct {
	Cursor   *int64    `json:"cursor"` // position of the last event in the channel
	Commands []command `json:"cmds"`   // in ascending order
}

// command is an event as the channel encodes it, with either Nodes or Drop.
type command struct {
	Cursor int64         `json:"cursor"` // position in the channel
	Nodes  *endpointList `json:"nodes"`
	Drop   *purge        `json:"drop"`
}

// endpointList is a full endpoint list, or the entries that changed.
type endpointList struct {
	Snapshot  bool            `json:"snapshot"` // the list is full
	Endpoints []endpointEntry `json:"endpoints"`
}

// endpointEntry is an entry of an endpoint list. The entry of a removed endpoint may have a name
// and a status only.
type endpointEntry struct {
	Name        string   `json:"name"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`     // one of the zone names of the settings
	Type        string   `json:"type"`     // one of the kind names of the settings
	Group       int      `json:"group"`    // the cell
	Status      string   `json:"status"`   // a key of statusStates
	Weight      *float64 `json:"weight"`   // 1 if missing
	SinceMillis float64  `json:"since_ms"` // last start in ms since 1970; 0 for long ago
}

// purge is a purge of an object or of a group of objects.
type purge struct {
	ID         string  `json:"id"`     // name of the object
	Family     *int    `json:"family"` // number of the group
	WhenMillis float64 `json:"when"`   // in milliseconds since 1970
}

// statusStates maps the status of an endpoint on the channel to its state.
var statusStates = map[string]policy.EndpointState{
	"up": policy.Ready, "draining": policy.Draining, "removed": policy.Removed,
}

// forbiddenInName lists the characters that endpoint names must not contain, since they are
// separators of the text protocols.
const forbiddenInName = " ,=\r\n"

const microsPerMilli = 1000

// DecodeKnown decodes the known events of the configuration, which have the form of an answer. It
// must be called before Run.
func (c *Client) DecodeKnown(raw []byte) ([]Event, error) {
	events, err := c.Decode(raw)
	if err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return events, nil
}

// Decode decodes an answer of the channel. It returns the events after the client's position and
// advances the position past them. On an error, the position does not change.
//
// If other directors poll for this one and the channel's position is behind the client's, the
// channel has restarted with fewer events than it had sent before. Decode then returns no events
// and resets the position to the beginning, so that the next poll reads all events again. This
// reverts nothing, because the events are combined into full lists before those take effect.
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

// decodeTruncated decodes an answer of which only the first maxAnswerBytes were read. It returns
// the events after the client's position that are complete. If there are none, it returns an error,
// since the next poll would return the same answer.
func (c *Client) decodeTruncated(raw []byte) ([]Event, error) {
	commands, err := completeCommands(raw)
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

// completeCommands returns the commands that are complete in a truncated answer.
func completeCommands(raw []byte) (commands []command, err error) {
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
			break // the last command is truncated
		} else if err != nil {
			return nil, err
		}
		commands = append(commands, next)
	}
	return commands, nil
}

// newEvents decodes the commands after the client's position. It skips those that were decoded
// before.
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

// event decodes a command. The error text begins with the key of the invalid value.
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
			return Event{}, errors.New("drop: neither an id nor a valid family is set")
		}
	default:
		slog.Warn(logevent.DiscoveryUnknownCommand, "cursor", c.Cursor)
	}
	return event, nil
}

// endpoint decodes an entry of a list. Zone and Kind are indexes into the names of the settings.
// They may be -1, for a missing or unknown name, only if the endpoint is removed.
func (e endpointEntry) endpoint(site config.Site) (Endpoint, error) {
	state, known := statusStates[e.Status]
	if !known || e.Name == "" || strings.ContainsAny(e.Name, forbiddenInName) {
		return Endpoint{}, fmt.Errorf("status %q is unknown or name %q is invalid", e.Status, e.Name)
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
