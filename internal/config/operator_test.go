package config

import (
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"tallyproxy/overload"
)

// operator loads an operator's script with the given contents.
func operator(t *testing.T, text string) (Operator, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "director.star")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadOperator(path)
}

// TestOperator guards against settings of a script that are lost or misread, wrong defaults, and a
// delivered script (deploy/director.star) that differs from the defaults.
func TestOperator(t *testing.T) {
	withoutDigest := func(o Operator) Operator { o.Digest = ""; return o }
	o, err := LoadOperator("")
	if err != nil || !reflect.DeepEqual(withoutDigest(o), DefaultOperator()) || o.Overload.Mode != overload.ModeFixed || o.DedupSettings(Limits{MemoryMB: 32}).MaxRecords != 4915 {
		t.Errorf("without a file: %+v, %v", o, err)
	}
	o, err = operator(t, `
small = 3 < 4
storm(mode = "guard", windows = 20 if small else 10, rise = 1.5)
keys(marks = 100, remember = 5, strangers = "abandon")
door(settle = ms(250))
log(level = "warn")
avoid(boxes = ["box-" + str(i) for i in range(2)])
state(socket = "/run/n0.sock")
`)
	if err != nil || o.Overload.Mode != overload.ModeReserve || o.Overload.Windows != 20 || o.Overload.DemandThreshold != 1.5 || o.Overload.ConnectionSurge != 4 ||
		o.Dedup.RetainWindows != 5 || !o.Dedup.FailUnknownRetries || o.Dedup.MaxRecords != 100 || o.QuietPeriod != 250_000 || o.LogLevel != slog.LevelWarn ||
		!reflect.DeepEqual(o.AvoidNodes, []string{"box-0", "box-1"}) || o.StatusSocket != "/run/n0.sock" || len(o.Digest) != 64 {
		t.Errorf("decoded as %+v, %v", o, err)
	}
	if o, err = LoadOperator("../../deploy/director.star"); err != nil || o.Overload.Mode != overload.ModeReserve {
		t.Errorf("the delivered script: %+v, %v", o, err)
	}
	if o.Overload.Mode = overload.ModeFixed; !reflect.DeepEqual(withoutDigest(o), DefaultOperator()) {
		t.Errorf("the delivered script differs from the defaults: %+v", o)
	}
}

// TestAbandonWithoutRecords guards against a script with two settings that together would fail
// every retry with an idempotency key.
func TestAbandonWithoutRecords(t *testing.T) {
	for script, rejected := range map[string]bool{
		`keys(marks = 0, strangers = "abandon")`: true,
		`keys(strangers = "abandon", marks = 0)`: true,
		`keys(marks = 0)`:                        false,
		`keys(marks = 1, strangers = "abandon")`: false,
		`keys(strangers = "abandon")`:            false,
	} {
		_, err := operator(t, script)
		if rejected != (err != nil) || rejected && !strings.Contains(err.Error(), "keys.strangers") {
			t.Errorf("%s: %v", script, err)
		}
	}
}

// TestShardCount guards against a number of shards that is not what the script requests and the
// platform allows (at least one), and against a reload that changes it without a restart.
func TestShardCount(t *testing.T) {
	for _, c := range []struct {
		requested int
		allowed   float64
		want      int
	}{{0, 4, 1}, {1, 4, 1}, {4, 4, 4}, {4, 3.2, 4}, {8, 2, 2}, {8, 0.3, 1}} {
		if got := (Operator{Cores: c.requested}).ShardCount(Limits{Cores: c.allowed}); got != c.want {
			t.Errorf("%d requested, %v allowed: %d, want %d", c.requested, c.allowed, got, c.want)
		}
	}
	twoCores := Limits{Cores: 2}
	if err := (Operator{Cores: 2}).CheckReload(Operator{Cores: 1}, twoCores, twoCores); err == nil || !strings.Contains(err.Error(), "machine.cores") {
		t.Errorf("a reload that changes the cores: %v", err)
	}
	if err := (Operator{Cores: 2}).CheckReload(Operator{Cores: 3}, twoCores, twoCores); err != nil {
		t.Errorf("a reload that keeps the number of shards: %v", err)
	}
}

// TestPeers guards against gossip settings that are invalid, or that the platform does not permit,
// and are accepted or rejected without naming their key.
func TestPeers(t *testing.T) {
	dir := t.TempDir()
	validKey, shortKey := filepath.Join(dir, "key"), filepath.Join(dir, "short")
	for path, text := range map[string]string{validKey: strings.Repeat("0f", 32) + "\n", shortKey: "0f0f"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	script := func(listen, more, key string) string {
		return "peers(\n listen = \"" + listen + "\",\n " + more + "\n key = \"" + key + "\")"
	}
	o, err := operator(t, script("127.0.0.1:7946", `seeds = ["127.0.0.2:7946", "127.0.0.3:7946"], advertise = "127.0.0.9:1", fleet = "depots",`, validKey))
	if err != nil || o.Peers == nil || o.Peers.Listen != "127.0.0.1:7946" || len(o.Peers.Seeds) != 2 || len(o.Peers.SharedKey) != 32 ||
		o.Peers.Advertise != "127.0.0.9:1" || o.Peers.Fleet != "depots" {
		t.Fatalf("%+v, %v", o.Peers, err)
	}
	if err := o.CheckAllowed(Site{}); err == nil || !strings.Contains(err.Error(), "peers: the platform's settings") {
		t.Errorf("not permitted: %v", err)
	}
	if err := o.CheckAllowed(Site{AllowPeers: true}); err != nil {
		t.Error(err)
	}
	if err := DefaultOperator().CheckAllowed(Site{}); err != nil {
		t.Error(err)
	}
	next := o
	next.Peers = &Peers{Listen: "127.0.0.1:7947"}
	if err := o.CheckReload(next, Limits{}, Limits{}); err == nil || !strings.Contains(err.Error(), "peers: a change needs a restart") {
		t.Errorf("a reload that changes the peers: %v", err)
	}
	for _, c := range []struct{ name, text, want string }{
		{"no listen", "peers(key = \"" + validKey + "\")", "director.star:1: peers.listen: missing"},
		{"no key", "peers(listen = \"127.0.0.1:7946\")", "director.star:1: peers.key: missing"},
		{"IPv6", script("[::1]:7946", "", validKey), "director.star:2: peers.listen: \"[::1]:7946\" is no IPv4 address"},
		{"no port", script("127.0.0.1", "", validKey), "director.star:2: peers.listen:"},
		{"followers below none", script("127.0.0.1:7946", "followers = -1,", validKey), "director.star:3: peers.followers: -1 is not from 0 to 100"},
		{"host name as seed", script("127.0.0.1:7946", `seeds = ["depot:7946"],`, validKey), "director.star:3: peers.seeds: \"depot:7946\""},
		{"a seed twice", script("127.0.0.1:7946", `seeds = ["127.0.0.2:1", "127.0.0.2:1"],`, validKey), "director.star:3: peers.seeds:"},
		{"no key file", script("127.0.0.1:7946", "", dir+"/none"), "director.star:4: peers.key: open"},
		{"a short key", script("127.0.0.1:7946", "", shortKey), "director.star:4: peers.key: " + shortKey + ": not 64 hex digits"},
		{"unknown", "peers(seed = 1)", "director.star:1: peers.seed: an unknown key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if o, err := operator(t, c.text); err == nil || !strings.Contains(err.Error(), c.want) || o.Peers != nil {
				t.Errorf("%+v, %v; want %s", o.Peers, err, c.want)
			}
		})
	}
}

// TestOperatorFaults guards against an invalid script that is accepted, or whose error does not
// name the file, the line and the key.
func TestOperatorFaults(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"syntax error", "storm(\n", "director.star:2: "},
		{"unknown name", "\n\nstrom()", "director.star:3: undefined: strom"},
		{"unknown key", "storm(mode = \"guard\",\n  rises = 2)", "director.star:2: storm.rises: an unknown key"},
		{"out of range", "storm(\n  rise = 0)", "director.star:2: storm.rise: 0 is not from 0.1 to 100"},
		{"no number", "storm(rise = \"x\")", `director.star:1: storm.rise: "x" is no number`},
		{"NaN", "storm(rise = float(\"nan\"))", "director.star:1: storm.rise: nan is not from"},
		{"no whole number", "keys(marks = 1.5)", "director.star:1: keys.marks: 1.5 is no whole number"},
		{"too many", "keys(marks = 1 << 40)", "director.star:1: keys.marks: 1099511627776 is no whole number"},
		{"no choice", "storm(mode = \"off\")", `director.star:1: storm.mode: "off" is none of fixed, guard, silent`},
		{"a box twice", "avoid(boxes = [\"a\", \"a\"])", "director.star:1: avoid.boxes: [\"a\", \"a\"]: entry 2 is empty"},
		{"no list", "avoid(boxes = \"a\")", `director.star:1: avoid.boxes: "a" is no list`},
		{"no text", "state(socket = 5)", "director.star:1: state.socket: 5 is no plain text"},
		{"no unit", "\ndoor(settle = 5)", "director.star:2: door.settle: 5 has no unit"},
		{"too long", "door(settle = minutes(5))", "director.star:1: door.settle: 5m0s is not from"},
		{"unit of a string", "door(settle = ms(\"5\"))", `director.star:1: ms: "5" can't be used here`},
		{"twice", "log()\nlog()", "director.star:2: log: said before, in line 1"},
		{"without a key", "log(\"info\")", "director.star:1: log: a value without its key"},
		{"fails", "x = 1 // 0", "director.star:1: floored division by zero"},
		{"endless", "def f():\n  for i in range(1000000000):\n    pass\nf()", "director.star:2: "},
		{"another file", "load(\"x.star\", \"y\")", "director.star:1: "},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := operator(t, c.text); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
	if _, err := LoadOperator("/nowhere/director.star"); err == nil || !strings.Contains(err.Error(), "/nowhere/director.star") {
		t.Errorf("missing file: %v", err)
	}
}
