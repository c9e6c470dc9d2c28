package config

import (
	"strings"
	"testing"

	"tallyproxy/policy"
)

const inventory = `
fleet(lease = seconds(20), authority = "keys")
for i in range(3):
    agent("a%d" % i, address = "127.0.0.1:%d" % (7100 + i), depot = "north" if i < 2 else "south")
    for j in range(2):
        n = "n%d%d" % (i, j)
        director(n, agent = "a%d" % i, config = n + ".json", settings = n + ".star", socket = n + ".sock",
                 command = ["bin/tallyproxy"])
`

// TestInventory guards against entries that are lost or misread, and against an invalid script that
// is accepted or whose error lacks the line or the key.
func TestInventory(t *testing.T) {
	parsed, err := ParseInventory("fleet.star", []byte(inventory))
	if err != nil {
		t.Fatal(err)
	}
	if len(parsed.Agents) != 3 || len(parsed.Directors) != 6 || parsed.LeaseDuration != 20*policy.Second || parsed.Agent("a2").Depot != "south" ||
		len(parsed.DirectorsOf("a1")) != 2 || parsed.DirectorsOf("a1")[1].SettingsFile != "n11.star" || parsed.Agent("x") != nil {
		t.Errorf("%+v", parsed)
	}
	cases := []struct{ name, add, want string }{
		{"an agent twice", `agent("a0", address = "127.0.0.1:1")`, `fleet.star:9: agent "a0": there before`},
		{"a director twice", `director("n00")`, `fleet.star:9: director "n00": there before`},
		{"an address twice", `agent("b", address = "127.0.0.1:7100")`, "fleet.star:9: agent.address: 127.0.0.1:7100 is that of a0 too"},
		{"no address", `agent("b", address = "here")`, `fleet.star:9: agent.address: "here" of b`},
		{"beyond loopback", `agent("b", address = "10.0.0.1:1")`, "fleet.star:9: agent.address: 10.0.0.1:1 of b lies beyond loopback"},
		{"no agent", `director("x", agent = "z", config = "c", settings = "s", socket = "k", pidfile = "p")`,
			`fleet.star:9: director.agent: there is no agent "z"`},
		{"no settings", `director("x", agent = "a0", config = "c")`, "fleet.star:9: director.settings: missing for x"},
		{"a file twice", `director("x", agent = "a0", config = "n00.json", settings = "s", socket = "k", pidfile = "p")`,
			"fleet.star:9: director.config: n00.json is that of n00 too"},
		{"neither command nor pidfile", `director("x", agent = "a0", config = "c", settings = "s", socket = "k")`,
			"fleet.star:9: director.command: neither it nor a pidfile for x"},
		{"an unknown key", `agent("b", port = 5)`, "fleet.star:9: agent.port: an unknown key"},
		{"no name", `agent(address = "127.0.0.1:1")`, "fleet.star:9: agent: its name comes first"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if parsed, err := ParseInventory("fleet.star", []byte(inventory+c.add)); err == nil || parsed != nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
	if _, err := ParseInventory("fleet.star", nil); err == nil {
		t.Error("an empty inventory was accepted")
	}
}
