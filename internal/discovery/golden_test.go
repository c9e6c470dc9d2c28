package discovery

import (
	"reflect"
	"testing"

	"tallyproxy/policy"
)

// TestGoldenAnswer guards against a change in how answers of the command channel are decoded, with
// all fields set and with all optional fields missing. The literals are the protocol of the
// platform and must not be recorded again.
func TestGoldenAnswer(t *testing.T) {
	cases := []struct {
		name string
		text string
		want []Event
	}{
		{"no events", `{"cursor":0,"cmds":[]}`, nil},
		{"a whole list", `{"cursor":5,"cmds":[{"cursor":5,"nodes":{"index":7,"snapshot":true,"endpoints":[` +
			`{"name":"s1","address":"10.1.0.9:1","zone":"west","type":"parent","group":2,"status":"up","weight":4.5,"since_ms":1764576000123.5},` +
			`{"name":"s2","zone":"east","type":"std","status":"draining"},{"name":"s3","status":"removed"}]}}]}`,
			[]Event{{Cursor: 5, HasEndpoints: true, Snapshot: true, Group: -1, Endpoints: []Endpoint{
				{policy.Endpoint{ID: "s1", Zone: 1, Kind: 1, Cell: 2, Weight: 4.5, Started: 1764576000123500}, "10.1.0.9:1"},
				{policy.Endpoint{ID: "s2", State: policy.Draining, Weight: 1}, ""},
				{policy.Endpoint{ID: "s3", Zone: -1, Kind: -1, State: policy.Removed, Weight: 1}, ""},
			}}}},
		{"the first list is whole", `{"cursor":1,"cmds":[{"cursor":1,"nodes":{"endpoints":[]}}]}`,
			[]Event{{Cursor: 1, HasEndpoints: true, Snapshot: true, Group: -1}}},
		{"changes of a list", `{"cursor":6,"cmds":[{"cursor":6,"nodes":{"index":8,"snapshot":false,"endpoints":[{"name":"s1","status":"removed"}]}}]}`,
			[]Event{{Cursor: 6, HasEndpoints: true, Group: -1, Endpoints: []Endpoint{
				{policy.Endpoint{ID: "s1", Zone: -1, Kind: -1, State: policy.Removed, Weight: 1}, ""},
			}}}},
		{"a purge of an object", `{"cursor":7,"cmds":[{"cursor":7,"drop":{"id":"7f3a9c21e0b4d655","when":1764576000123}}]}`,
			[]Event{{Cursor: 7, Object: "7f3a9c21e0b4d655", Group: -1, PurgedAt: 1764576000123000}}},
		{"a purge of a group", `{"cursor":8,"cmds":[{"cursor":8,"drop":{"family":0,"when":1764576000480.25}}]}`,
			[]Event{{Cursor: 8, Group: 0, PurgedAt: 1764576000480250}}},
		{"an event of another kind", `{"cursor":9,"cmds":[{"cursor":9,"other":1}]}`, []Event{{Cursor: 9, Group: -1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := New(testSite).Decode([]byte(c.text))
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("decoded as %+v, want %+v", got, c.want)
			}
		})
	}
}
