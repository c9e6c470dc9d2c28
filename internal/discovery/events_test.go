package discovery

import (
	"reflect"
	"strings"
	"testing"

	"tallyproxy/internal/config"
	"tallyproxy/policy"
)

// testSite holds the zone and kind names that the test events use.
var testSite = config.Site{ZoneNames: []string{"east", "west"}, KindNames: []string{"std", "parent"}}

const (
	listEvent = `{"cursor":1,"nodes":{"index":7,"snapshot":true,"endpoints":[` +
		`{"name":"s1","address":"10.1.0.9:1","zone":"west","type":"std","group":2,"status":"up","weight":4,"since_ms":0},` +
		`{"name":"p1","address":"10.1.0.9:2","zone":"east","type":"parent","status":"draining","since_ms":1764576000123}]}}`
	removalEvent = `{"cursor":2,"nodes":{"index":8,"endpoints":[{"name":"s1","status":"removed"}]}}`
	objectPurge  = `{"cursor":3,"drop":{"id":"7f3a9c21e0b4d655","when":1764576000123}}`
	groupPurge   = `{"cursor":4,"drop":{"family":0,"when":1764576000480}}`
)

// TestDecode guards against lists, changes of lists and purges that are decoded wrongly, and
// against events that are returned twice.
func TestDecode(t *testing.T) {
	client := New(testSite)
	events, err := client.Decode([]byte(`{"cursor":3,"cmds":[` + listEvent + "," + removalEvent + "," + objectPurge + `]}`))
	if err != nil || len(events) != 3 {
		t.Fatalf("%+v, %v", events, err)
	}
	want := Event{Cursor: 1, HasEndpoints: true, Snapshot: true, Group: -1, Endpoints: []Endpoint{
		{policy.Endpoint{ID: "s1", Zone: 1, Cell: 2, Weight: 4}, "10.1.0.9:1"},
		{policy.Endpoint{ID: "p1", Kind: 1, State: policy.Draining, Weight: 1, Started: 1764576000123000}, "10.1.0.9:2"},
	}}
	if !reflect.DeepEqual(events[0], want) {
		t.Errorf("got %+v, want %+v", events[0], want)
	}
	if e := events[1]; e.Snapshot || e.Endpoints[0].State != policy.Removed {
		t.Errorf("change of the list was decoded as %+v", e)
	}
	if e := events[2]; e.HasEndpoints || e.Object != "7f3a9c21e0b4d655" || e.Group != -1 || e.PurgedAt != 1764576000123000 {
		t.Errorf("purge was decoded as %+v", e)
	}
	// The first of these events was decoded before.
	events, err = client.Decode([]byte(`{"cursor":9,"cmds":[` + objectPurge + "," + groupPurge + `]}`))
	if err != nil || len(events) != 1 || events[0].Group != 0 || events[0].Object != "" || client.cursor != 4 {
		t.Errorf("%+v, %v, cursor %d", events, err, client.cursor)
	}
}

// TestMalformedAnswerChangesNothing guards against a malformed answer of which some events are
// returned or that advances the position.
func TestMalformedAnswerChangesNothing(t *testing.T) {
	cases := []struct{ name, in string }{
		{"truncated", `{"cursor":2,"cmds":[` + listEvent},
		{"no cursor", `{"cmds":[` + listEvent + `]}`},
		{"unknown status", `{"cursor":2,"cmds":[` + listEvent + "," + strings.Replace(removalEvent, "removed", "odd", 1) + `]}`},
		{"unknown zone", `{"cursor":2,"cmds":[` + strings.Replace(listEvent, "west", "odd", 1) + `]}`},
		{"unknown type", `{"cursor":2,"cmds":[` + strings.Replace(listEvent, `"std"`, `"odd"`, 1) + `]}`},
		{"name with a space", `{"cursor":2,"cmds":[` + strings.Replace(listEvent, `"s1"`, `"s 1"`, 1) + `]}`},
		{"purge of nothing", `{"cursor":2,"cmds":[` + listEvent + `,{"cursor":2,"drop":{"when":1}}]}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := New(testSite)
			if events, err := client.Decode([]byte(c.in)); err == nil || events != nil || client.cursor != 0 {
				t.Errorf("%+v, %v, cursor %d", events, err, client.cursor)
			}
		})
	}
}

// TestOlderCursors guards against events that are returned again, or a position that moves back,
// after an answer with the same cursor or an older one. New events in such an answer must be
// returned.
func TestOlderCursors(t *testing.T) {
	cases := []struct {
		name, text string
		want       int
		cursor     int64
	}{
		{"same cursor", `{"cursor":4,"cmds":[` + objectPurge + "," + groupPurge + `]}`, 0, 4},
		{"older cursor", `{"cursor":2,"cmds":[` + listEvent + "," + removalEvent + `]}`, 0, 4},
		{"older cursor without events", `{"cursor":1,"cmds":[]}`, 0, 4},
		{"older and new events", `{"cursor":5,"cmds":[` + groupPurge + "," + strings.Replace(removalEvent, `"cursor":2`, `"cursor":5`, 1) + `]}`, 1, 5},
		{"cursor behind its events", `{"cursor":3,"cmds":[` + strings.Replace(removalEvent, `"cursor":2`, `"cursor":6`, 1) + `]}`, 1, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := New(testSite)
			if _, err := client.Decode([]byte(`{"cursor":4,"cmds":[` + listEvent + "," + removalEvent + "," + objectPurge + "," + groupPurge + `]}`)); err != nil {
				t.Fatal(err)
			}
			events, err := client.Decode([]byte(c.text))
			if err != nil || len(events) != c.want || client.cursor != c.cursor {
				t.Errorf("%d events, cursor %d, %v", len(events), client.cursor, err)
			}
		})
	}
}

// FuzzRead checks for any answer that an error changes nothing and that events are in order.
func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"cursor":4,"cmds":[` + listEvent + "," + removalEvent + "," + objectPurge + "," + groupPurge + `]}`))
	f.Add([]byte(`{"cursor":1e3,"cmds":[{"cursor":1,"nodes":{"endpoints":[{}]}}]}`))
	f.Add([]byte(`{"cursor":1,"cmds":[{"cursor":1}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		client := New(testSite)
		events, err := client.Decode(raw)
		if err != nil && (events != nil || client.cursor != 0) {
			t.Errorf("partly applied: %+v, cursor %d, %v", events, client.cursor, err)
		}
		for i, e := range events {
			if e.Cursor > client.cursor || i > 0 && e.Cursor <= events[i-1].Cursor {
				t.Errorf("events out of order: %+v, cursor %d", events, client.cursor)
			}
		}
	})
}
