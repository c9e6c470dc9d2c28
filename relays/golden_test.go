package relays

import (
	"encoding/json"
	"reflect"
	"slices"
	"testing"

	"tallyproxy/policy"
)

// goldenEndpoints is a list of two endpoints: one with every field set, and one with only its ID.
var goldenEndpoints = []Endpoint{
	{ID: "box-1", Address: "10.1.0.9:1", Zone: 1, Kind: 2, Cell: 3, Weight: 4.5, Started: 1764576000123000, State: policy.Draining},
	{ID: "box-2"},
}

// TestGoldenJSON guards against changes of the encoded messages, which directors of different
// versions exchange during a rolling upgrade. The literals were recorded before any rename and must
// not be recorded again.
func TestGoldenJSON(t *testing.T) {
	cases := []struct {
		name  string
		value any
		text  string
	}{
		{"rows", goldenEndpoints, `[{"i":"box-1","a":"10.1.0.9:1","z":1,"k":2,"c":3,"w":4.5,"s":1764576000123000,"x":1},` +
			`{"i":"box-2","a":"","z":0,"k":0,"w":0}]`},
		{"no rows", []Endpoint(nil), `null`},
		{"question", Message{Query: &Query{SentAt: 123456789, PurgeDigest: 18446744073709551615}}, `{"q":{"n":123456789,"w":18446744073709551615}}`},
		{"empty question", Message{Query: &Query{}}, `{"q":{"n":0,"w":0}}`},
		{"answer", Message{Response: &Response{SentAt: 123456789, Age: -1, ListSum: "5f"}}, `{"a":{"n":123456789,"a":-1,"s":"5f"}}`},
		{"empty answer", Message{Response: &Response{}}, `{"a":{"n":0,"a":0,"s":""}}`},
		{"wanted list", Message{WantList: "5f"}, `{"w":"5f"}`},
		{"list", Message{List: goldenEndpoints[1:]}, `{"l":[{"i":"box-2","a":"","z":0,"k":0,"w":0}]}`},
		{"empty message", Message{}, `{}`},
		{"report", Report{Polls: true, Delegate: true, Sources: []string{"n0", "n1"}, AgeMicros: 7_000_000, ListSum: "5f"},
			`{"calls":true,"chosen":true,"sources":["n0","n1"],"age_us":7000000,"sum":"5f"}`},
		{"empty report", Report{Sources: []string{}}, `{"calls":false,"chosen":false,"sources":[],"age_us":0,"sum":""}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			if string(raw) != c.text {
				t.Errorf("encoded as %s, want %s", raw, c.text)
			}
			decoded := reflect.New(reflect.TypeOf(c.value))
			if err := json.Unmarshal([]byte(c.text), decoded.Interface()); err != nil {
				t.Fatal(err)
			}
			if got := decoded.Elem().Interface(); !reflect.DeepEqual(got, c.value) {
				t.Errorf("decoded as %+v, want %+v", got, c.value)
			}
		})
	}
}

// TestGoldenSum guards against changes of the sum, which directors of different versions compare.
func TestGoldenSum(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints []Endpoint
		want      string
	}{
		{"none", nil, "74234e98afe7498fb5daf1f3"},
		{"empty", []Endpoint{}, "4f53cda18c2baa0c0354bb5f"},
		{"two", goldenEndpoints, "e9157e6a0a7982f7acf3ce3c"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := Sum(c.endpoints); got != c.want {
				t.Errorf("sum %s, want %s", got, c.want)
			}
		})
	}
}

// TestGoldenOrder guards against changes of the order in which directors become delegates, and of
// the order in which a director queries the others. Both follow from the names alone and must be
// the same in every version.
func TestGoldenOrder(t *testing.T) {
	relay := New(0, testSettings("n3"))
	relay.SetMembers([]string{"n0", "n1", "n2", "n4", "n5", "n6", "n7"})
	if want := []string{"n0", "n5", "n7", "n3", "n4", "n6", "n2", "n1"}; !slices.Equal(relay.order, want) {
		t.Errorf("order %q, want %q", relay.order, want)
	}
	if want := []string{"n7", "n0", "n5", "n4", "n6", "n2"}; !slices.Equal(relay.candidates, want) {
		t.Errorf("candidates %q, want %q", relay.candidates, want)
	}
}
