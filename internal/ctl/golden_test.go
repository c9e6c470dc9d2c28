package ctl

import (
	"testing"

	"tallyproxy/gossip"
	"tallyproxy/internal/goldentest"
	"tallyproxy/internal/status"
	"tallyproxy/membership"
	"tallyproxy/relays"
	"tallyproxy/routing"
)

// TestGoldenJSON guards against changes of the output of `tallyctl show --json`, `status --json`
// and `history --json`, which operators' scripts parse.
func TestGoldenJSON(t *testing.T) {
	change := ChangeStatus{
		ID: "c1", Author: "op/1", Note: "why", Reverts: "c0", Outcome: "go", InProgress: true, Directors: map[string]string{"n0": "failed"},
		Reasons: map[string]string{"n0": "bad"},
	}
	cases := []struct {
		name  string
		value any
		want  string
	}{
		{"view", Snapshot{
			Agents: []AgentStatus{{Name: "a0", Depot: "east", Reachable: true, Reason: "slow", Members: map[string]string{"a1": "up"}}},
			Directors: []DirectorStatus{{
				Name: "n0", Agent: "a0", Depot: "east", Up: true, Reason: "slow", Script: "log()", Drifted: true, AgentReachable: true, Settings: "sum",
				Report: status.Report{Name: "n0", PID: 7, Counters: map[string]int64{"fulfilled": 1}},
			}},
			Changes: []ChangeStatus{change}, Holder: "op/2", HeldFor: 11, LeaseLeft: 12,
		}, `{"agents":[{"name":"a0","depot":"east","answers":true,"why":"slow","members":{"a1":"up"}}],"directors":[{"name":"n0","agent":"a0","depot":"east","up":true,"why":"slow","script":"log()","drifted":true,"known":true,"report":{"name":"n0","pid":7,"started":"0001-01-01T00:00:00Z","stopping":false,"settings":"","platform":"","reloads":0,"refused":"","cores":0,"told":0,"in_force":0,"avoided":null,"clients":0,"most_clients":0,"node_connections":0,"open":0,"counts":{"fulfilled":1},"keys_held":0,"keys_full":0,"storm":{"State":0,"Asks":0,"Repeats":0,"Early":0,"Connects":0,"Demand":0,"Warm":0,"Promised":0,"Kept":0,"Part":0,"Remembers":0},"beliefs":null},"settings":"sum"}],"changes":[{"id":"c1","by":"op/1","note":"why","undoes":"c0","outcome":"go","open":true,"directors":{"n0":"failed"},"whys":{"n0":"bad"}}],"holder":"op/2","held":11,"left":12}`},
		{"empty view", Snapshot{}, `{"agents":null,"directors":null,"changes":null}`},
		{"change", change, `{"id":"c1","by":"op/1","note":"why","undoes":"c0","outcome":"go","open":true,"directors":{"n0":"failed"},"whys":{"n0":"bad"}}`},
		{"empty change", ChangeStatus{}, `{"id":"","by":"","note":"","outcome":"","open":false,"directors":null}`},
		{"agent", AgentStatus{}, `{"name":"","depot":"","answers":false}`},
		{"director whose report has every part", DirectorStatus{Report: status.Report{
			NodeViews: []routing.EndpointView{{}}, Membership: &membership.Report{Peers: []membership.PeerReport{{}}}, Relay: &relays.Report{}, Gossip: &gossip.Report{},
		}}, `{"name":"","agent":"","depot":"","up":false,"script":"","drifted":false,"known":false,"report":{"name":"","pid":0,"started":"0001-01-01T00:00:00Z","stopping":false,"settings":"","platform":"","reloads":0,"refused":"","cores":0,"told":0,"in_force":0,"avoided":null,"clients":0,"most_clients":0,"node_connections":0,"open":0,"counts":null,"keys_held":0,"keys_full":0,"storm":{"State":0,"Asks":0,"Repeats":0,"Early":0,"Connects":0,"Demand":0,"Warm":0,"Promised":0,"Kept":0,"Part":0,"Remembers":0},"beliefs":[{"id":"","kind":"","state":"","warm":0,"out":0,"limit":0,"skipped":0,"trial":false,"heard":0}],"peers":{"name":"","born":0,"standing":"","sum":"","since":0,"sharing":0,"zone_part":0,"fleet_part":0,"peers":[{"name":"","born":0,"state":"","since":0,"alike":false}]},"follow":{"calls":false,"chosen":false,"sources":null,"age_us":0,"sum":""},"word":{"own_age_us":0,"newest_age_us":0,"avoided":null,"heard":0}},"settings":""}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			goldentest.JSON(t, c.value, c.want)
		})
	}
}

// TestGoldenAvoidLine guards against a new version of tallyctl not recognizing the avoid line that
// an older version added to a script.
func TestGoldenAvoidLine(t *testing.T) {
	const one, two = "avoid(boxes = [\"box-1\"]) # by tallyctl\n", "avoid(boxes = [\"box-1\", \"box-2\"]) # by tallyctl\n"
	for _, c := range []struct {
		name, script, node string
		avoid              bool
		want               string
	}{
		{"first", "", "box-1", true, one},
		{"second", one, "box-2", true, two},
		{"second restored", two, "box-2", false, one},
		{"last restored", one, "box-1", false, ""},
		{"below other lines", "# x", "box-1", true, "# x\n" + one},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got, err := EditAvoidedNodes(c.script, c.node, c.avoid); err != nil || got != c.want {
				t.Errorf("got  %q, %v, want %q", got, err, c.want)
			}
		})
	}
}
