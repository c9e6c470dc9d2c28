package status

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"tallyproxy/gossip"
	"tallyproxy/membership"
	"tallyproxy/overload"
	"tallyproxy/relays"
	"tallyproxy/routing"
)

// goldenReport returns a report with every field set to a distinct value.
func goldenReport() Report {
	return Report{
		Name: "n0", PID: 1, Started: time.Date(2026, 1, 2, 3, 4, 5, 600, time.UTC), Stopping: true,
		SettingsDigest: "s", PlatformDigest: "p", Reloads: 2, ReloadError: "r", Cores: 3, EventsReceived: 4, EventsApplied: 5,
		AvoidedNodes: []string{"b"}, ClientConnections: 6, MaxClientConnections: 7, NodeConnections: 8, OpenRequests: 9,
		Counters: map[string]int64{"fulfilled": 10, "pulls": 11}, DedupRecords: 12, DedupRejected: 13,
		Overload: overload.Report{
			State: overload.Held, Requests: 14, Retries: 15, EarlyRetries: 16, NewConnections: 17, Demand: 1.5, WarmShare: 0.25,
			ReservedShare: 2.5, KeptShare: 0.75, CapacityFactor: 0.5, Reservations: 18,
		},
		NodeViews: []routing.EndpointView{{
			ID: "e0", Kind: "edge", State: "ready", SlowStartShare: 0.125, InFlight: 19, Limit: 3.5, EjectedFor: 4.5, HalfOpen: true, LastAnswer: 5.5,
		}},
		Membership: &membership.Report{
			Name: "n0", Incarnation: 20, PartitionState: "most", Digest: "00000000000000ff", StableFor: 21, AgreeingPeers: 22,
			NameConflict: "c", ZoneQuota: 6.5, FleetQuota: 7.5,
			Peers: []membership.PeerReport{{Name: "n1", Incarnation: 23, State: "alive", StateAge: 24, Agrees: true}},
		},
		Relay:  &relays.Report{Polls: true, Delegate: true, Sources: []string{"n2"}, AgeMicros: 25, ListSum: "f"},
		Gossip: &gossip.Report{ChannelAge: 26, NewestAge: 27, Avoided: []string{"e1"}, Received: 28},
	}
}

const goldenJSON = `{"name":"n0","pid":1,"started":"2026-01-02T03:04:05.0000006Z","stopping":true,"settings":"s","platform":"p","reloads":2,"refused":"r","cores":3,"told":4,"in_force":5,"avoided":["b"],"clients":6,"most_clients":7,"node_connections":8,"open":9,"counts":{"fulfilled":10,"pulls":11},"keys_held":12,"keys_full":13,"storm":{"State":2,"Asks":14,"Repeats":15,"Early":16,"Connects":17,"Demand":1.5,"Warm":0.25,"Promised":2.5,"Kept":0.75,"Part":0.5,"Remembers":18},"beliefs":[{"id":"e0","kind":"edge","state":"ready","warm":0.125,"out":19,"limit":3.5,"skipped":4.5,"trial":true,"heard":5.5}],"peers":{"name":"n0","born":20,"standing":"most","sum":"00000000000000ff","since":21,"sharing":22,"clash":"c","zone_part":6.5,"fleet_part":7.5,"peers":[{"name":"n1","born":23,"state":"alive","since":24,"alike":true}]},"follow":{"calls":true,"chosen":true,"sources":["n2"],"age_us":25,"sum":"f"},"word":{"own_age_us":26,"newest_age_us":27,"avoided":["e1"],"heard":28}}`

const goldenZeroJSON = `{"name":"","pid":0,"started":"0001-01-01T00:00:00Z","stopping":false,"settings":"","platform":"","reloads":0,"refused":"","cores":0,"told":0,"in_force":0,"avoided":null,"clients":0,"most_clients":0,"node_connections":0,"open":0,"counts":null,"keys_held":0,"keys_full":0,"storm":{"State":0,"Asks":0,"Repeats":0,"Early":0,"Connects":0,"Demand":0,"Warm":0,"Promised":0,"Kept":0,"Part":0,"Remembers":0},"beliefs":null}`

// TestReportGolden guards against changes of the report's JSON, which tools of other releases read.
func TestReportGolden(t *testing.T) {
	for name, golden := range map[string]struct {
		report Report
		text   string
	}{
		"every field": {goldenReport(), goldenJSON},
		"no field":    {Report{}, goldenZeroJSON},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := json.Marshal(golden.report)
			if err != nil {
				t.Fatal(err)
			}
			if string(raw) != golden.text {
				t.Errorf("encoded as\n%s, want\n%s", raw, golden.text)
			}
			var decoded Report
			if err := json.Unmarshal([]byte(golden.text), &decoded); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(decoded, golden.report) {
				t.Errorf("decoded as\n%+v, want\n%+v", decoded, golden.report)
			}
		})
	}
}
