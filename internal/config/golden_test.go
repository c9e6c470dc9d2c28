package config

import (
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"tallyproxy/dedup"
	"tallyproxy/overload"
	"tallyproxy/policy"
)

// goldenPlatform is a platform's file with every key that is read, each with a distinct value.
const goldenPlatform = `{"name":"n3","listen":"127.0.0.1:8443","seed":"8c1f30d27a5be964","channel":"127.0.0.2:8500",
"known":{"cursor":7,"cmds":[]},"limits":{"cores":2.5,"memory_mb":256,"sockets":512},
"settings":{"zone":1,"zones":["h","a","z"],"machine-types":["small","parent","origin"],"weights":"nominal",
"lanes":[
{"name":"clip","aim":401,"aim-stretch":1.25,"hard-limit":5001,"repeat":"free","value":2.5,"late-worth":0.25},
{"name":"pay","aim":402.5,"aim-stretch":1.5,"hard-limit":5002,"repeat":"guarded","dedup-scope":"cell","dedup-window":6003,"value":3.5,"late-worth":0.5},
{"name":"zoned","aim":403,"hard-limit":5004,"repeat":"guarded","dedup-scope":"zone"},
{"name":"everywhere","aim":404,"hard-limit":5005,"repeat":"guarded","dedup-scope":"all"},
{"name":"once","aim":405,"hard-limit":5006,"repeat":"single_shot","dedup-scope":""}],
"contract":{"cold":1001,"cold-from":0.125,"overload-for":1002,"tip-multiple":1.75,"grace-to-answer":8.0005,"stop-sending-within":1003},
"limits":{"cancel":true,"second-copies":true,"try-limit":3,"retry-after":true,"max-retry-after":1004,"connect-timeout":400,
"keepalive":30000,"max-streams":100,"peers":true},
"specifics":{"goes-through":[false,true],"gone-everywhere":6000,"purge-grace":1005,"max-age":[500,0,700],"in-pieces":[true,false],
"note-level":"silent","origin-kind":2,"shield-kind":1,"pace-kb-per-s":1006,"pipe-kb-per-s":[1,1007,3],"count-by-zone":[4,5,6],
"parent-cold-from":0.375,"parent-fall-multiple":2.25,"parent-warms-in":1008,"shares-fills":true,"straight":true}}}`

// TestPlatformGolden guards against keys of the platform's file that are lost or misread.
func TestPlatformGolden(t *testing.T) {
	got, err := load(t, goldenPlatform)
	if err != nil {
		t.Fatal(err)
	}
	want := Config{
		Name: "n3", Listen: "127.0.0.1:8443", Seed: "8c1f30d27a5be964", Channel: "127.0.0.2:8500",
		Bootstrap: json.RawMessage(`{"cursor":7,"cmds":[]}`), Limits: Limits{Cores: 2.5, MemoryMB: 256, Sockets: 512},
		RawSettings: got.RawSettings, Digest: "7ef37672259acedb9fdc9f463d88c2a3b6f4454029b3d19ea4472eee01fefa48",
		Site: Site{
			Settings: policy.Settings{
				Seed: 0x8c1f30d27a5be964, Zone: 1, ZoneDirectors: 5, TotalDirectors: 15, FillLinkKBPerSecond: 1007,
				ContentTypes: []*policy.ContentType{
					{LatencyObjective: 401_000, TransferFactor: 1.25, Timeout: 5_001_000, RetrySafety: policy.Idempotent, PriorityWeight: 2.5, LateWeight: 0.25, TTL: 500_000},
					{LatencyObjective: 402_500, TransferFactor: 1.5, Timeout: 5_002_000, RetrySafety: policy.IdempotentWithKey, DedupScope: policy.DedupScopeCell, DedupWindow: 6_003_000,
						PriorityWeight: 3.5, LateWeight: 0.5, Uncacheable: true, Unsplit: true},
					{LatencyObjective: 403_000, Timeout: 5_004_000, RetrySafety: policy.IdempotentWithKey, DedupScope: policy.DedupScopeZone, TTL: 700_000},
					{LatencyObjective: 404_000, Timeout: 5_005_000, RetrySafety: policy.IdempotentWithKey, DedupScope: policy.DedupScopeAll},
					{LatencyObjective: 405_000, Timeout: 5_006_000, RetrySafety: policy.NotIdempotent},
				},
				ParentKind: 1, OriginKind: 2, AllowDirect: true, CoalesceFills: true, ReportsCacheStatus: false, WeightsAreSizes: true,
				CanCancel: true, ConcurrentAttempts: true, MaxAttempts: 3, TransferKBPerSecond: 1006,
				EdgeSlowStart:   policy.SlowStart{InitialShare: 0.125, Duration: 1_001_000, OverloadFactor: 1.75, OverloadWindow: 1_002_000},
				ParentSlowStart: policy.SlowStart{InitialShare: 0.375, Duration: 1_008_000, OverloadFactor: 2.25, OverloadWindow: 1_002_000},
				PurgeRetention:  6_000_000, PurgePropagation: 1_005_000, DrainPropagation: 1_003_000, MaxRetryAfter: 1_004_000,
				AnswerGrace: 8_001, ConnectTimeout: 400_000, KeepAliveTimeout: 30_000_000, MaxConcurrentStreams: 100,
			},
			TypeNames: []string{"clip", "pay", "zoned", "everywhere", "once"},
			ZoneNames: []string{"h", "a", "z"}, KindNames: []string{"small", "parent", "origin"},
			Weights: "nominal", NoteLevel: "silent", AllowPeers: true,
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%#v, want\n%#v", got, want)
		for i := range got.Site.ContentTypes {
			t.Logf("type %d: %#v", i, got.Site.ContentTypes[i])
		}
	}
}

// TestPlatformDefaultsGolden guards against changed defaults: the file has the old format with the
// minimum of keys.
func TestPlatformDefaultsGolden(t *testing.T) {
	got, err := load(t, `{"listen":"127.0.0.1:1","channel":"127.0.0.2:2","known":{},"settings":{"zones":["a"],"machine-types":["edge"],
"lanes":[{"name":"l","hard-limit":1,"repeat":"free"}],"limits":{"try-limit":1,"connect-timeout":1,"keepalive":1,"max-retry-after":9},
"specifics":{"origin-kind":0,"gone-everywhere":1,"note-level":"all"}}}`)
	if err != nil {
		t.Fatal(err)
	}
	want := Config{
		Name: "env", Listen: "127.0.0.1:1", Channel: "127.0.0.2:2", Bootstrap: json.RawMessage(`{}`),
		Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, RawSettings: got.RawSettings, Digest: "48530d896a83a70a3adb9c6277866e4434f1d2565967a109766fb6928aeb0e3e",
		Site: Site{
			Settings: policy.Settings{
				ParentKind: -1, ReportsCacheStatus: true, MaxAttempts: 1, PurgeRetention: 1000, ConnectTimeout: 1000, KeepAliveTimeout: 1000,
				ContentTypes: []*policy.ContentType{{Timeout: 1000}},
			},
			TypeNames: []string{"l"}, ZoneNames: []string{"a"}, KindNames: []string{"edge"}, NoteLevel: "all",
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%#v, want\n%#v", got, want)
	}
}

// TestLimitsGolden guards against changed figures that are derived from the limits.
func TestLimitsGolden(t *testing.T) {
	for _, golden := range []struct {
		limits                        Limits
		cores, clients, dials, buffer int
		memory                        int64
		marks                         int
	}{
		{Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}, 1, 512, 307, 4608, 150994944, 29491},
		{Limits{Cores: 2.5, MemoryMB: 256, Sockets: 512}, 3, 256, 153, 6144, 201326592, 39321},
		{Limits{Cores: 0.3, MemoryMB: 32, Sockets: 64}, 1, 29, 18, 256, 25165824, 4915},
	} {
		l := golden.limits
		if l.MaxProcs() != golden.cores || l.MaxClientConnections() != golden.clients || l.MaxNodeConnections() != golden.dials ||
			l.MaxBuffers(16<<10) != golden.buffer || l.MemoryLimit() != golden.memory || DefaultOperator().DedupSettings(l).MaxRecords != golden.marks {
			t.Errorf("{%#v, %d, %d, %d, %d, %d, %d},", l, l.MaxProcs(), l.MaxClientConnections(), l.MaxNodeConnections(), l.MaxBuffers(16<<10), l.MemoryLimit(),
				DefaultOperator().DedupSettings(l).MaxRecords)
		}
	}
}

// TestSumGolden guards against changed digests of files.
func TestSumGolden(t *testing.T) {
	for text, want := range map[string]string{
		"":      "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855",
		"log()": "497a3aeb231a4efebb5e750e629abf70d07074e8825f96c47f68d622ede382f4",
	} {
		if got := Digest([]byte(text)); got != want {
			t.Errorf("%q: %s", text, got)
		}
	}
}

// goldenScript is an operator's script with every key, each with a distinct value.
const goldenScript = `
storm(mode = "guard", reach = 0.5, windows = 11, rise = 1.5, surge = 5, repeats = 0.625, cold = 0.75, promise = 0.875, clients = 4097)
keys(marks = 10001, remember = 21, strangers = "abandon")
door(settle = ms(101.5))
machine(cores = 4)
avoid(boxes = ["box-3", "box-1"])
state(socket = "/run/n3.sock")
peers(listen = "10.1.0.9:7946", advertise = "10.1.0.10:7947", seeds = ["10.1.0.8:7946", "10.1.0.7:7946"], key = "KEY", fleet = "depots", followers = 5)
log(level = "debug")
`

// TestOperatorGolden guards against keys of the operator's script that are lost or misread.
func TestOperatorGolden(t *testing.T) {
	keyFile := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(keyFile, []byte(" "+strings.Repeat("0f", 31)+"aB\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	keyBytes := append([]byte(strings.Repeat("\x0f", 31)), 0xab)
	got, err := ParseOperator("d.star", []byte(strings.Replace(goldenScript, "KEY", keyFile, 1)))
	if err != nil {
		t.Fatal(err)
	}
	want := Operator{
		Overload: overload.Settings{
			Mode: overload.ModeReserve, Horizon: 0.5, Windows: 11, DemandThreshold: 1.5, ConnectionSurge: 5, RetryShare: 0.625, ColdThreshold: 0.75, ReservableShare: 0.875, MaxReservations: 4097,
		},
		Dedup:    dedup.Settings{MaxRecords: 10001, RetainWindows: 21, FailUnknownRetries: true},
		LogLevel: slog.LevelDebug, QuietPeriod: 101_500, Cores: 4, AvoidNodes: []string{"box-3", "box-1"}, StatusSocket: "/run/n3.sock",
		Peers: &Peers{
			Listen: "10.1.0.9:7946", Advertise: "10.1.0.10:7947", Seeds: []string{"10.1.0.8:7946", "10.1.0.7:7946"},
			Fleet: "depots", Delegates: 5, KeyFile: keyFile, SharedKey: keyBytes,
		},
		Digest: got.Digest, // the script contains the name of a temporary file
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%#v %#v, want\n%#v %#v", got, got.Peers, want, want.Peers)
	}
}

// TestOperatorDefaultsGolden guards against changed defaults of a script that sets little, and
// against changed words for the choices.
func TestOperatorDefaultsGolden(t *testing.T) {
	defaults := Operator{
		Overload: overload.Settings{
			Mode: overload.ModeFixed, Horizon: 1, Windows: 10, DemandThreshold: 1.25, ConnectionSurge: 4, RetryShare: 0.5, ColdThreshold: 0.6, ReservableShare: 0.9, MaxReservations: 4096,
		},
		Dedup: dedup.Settings{MaxRecords: -1, RetainWindows: 20, FailUnknownRetries: true},
	}
	key := filepath.Join(t.TempDir(), "key")
	if err := os.WriteFile(key, []byte(strings.Repeat("00", 32)), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, golden := range []struct {
		script string
		change func(*Operator)
	}{
		{``, func(*Operator) {}},
		{`storm(mode = "silent")`, func(o *Operator) { o.Overload.Mode = overload.ModeSilent }},
		{`storm(mode = "fixed")`, func(o *Operator) { o.Overload.Mode = overload.ModeFixed }},
		{`keys(strangers = "send")`, func(o *Operator) { o.Dedup.FailUnknownRetries = false }},
		{`door(settle = seconds(0.5))`, func(o *Operator) { o.QuietPeriod = 500_000 }},
		{`door(settle = minutes(0.125))`, func(o *Operator) { o.QuietPeriod = 7_500_000 }},
		{`log(level = "info")`, func(o *Operator) { o.LogLevel = slog.LevelInfo }},
		{`log(level = "warn")`, func(o *Operator) { o.LogLevel = slog.LevelWarn }},
		{`log(level = "error")`, func(o *Operator) { o.LogLevel = slog.LevelError }},
		{`peers(listen = "127.0.0.1:1", key = "` + key + `")`, func(o *Operator) {
			o.Peers = &Peers{Listen: "127.0.0.1:1", Delegates: 3, KeyFile: key, SharedKey: make([]byte, 32)}
		}},
	} {
		want := defaults
		golden.change(&want)
		got, err := ParseOperator("d.star", []byte(golden.script))
		if got.Digest != Digest([]byte(golden.script)) {
			t.Errorf("%s: digest %s", golden.script, got.Digest)
		}
		if got.Digest = ""; err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %#v, %v, want %#v", golden.script, got, err, want)
		}
	}
}

// TestErrorLinesGolden guards against changes of the error lines that operators and their tools
// read.
func TestErrorLinesGolden(t *testing.T) {
	operator := func(text string) error { _, err := ParseOperator("d.star", []byte(text)); return err }
	fleet := func(text string) error { _, err := ParseInventory("f.star", []byte(text)); return err }
	platform := func(old, text string) func(string) error {
		return func(string) error { _, err := load(t, strings.Replace(goldenPlatform, old, text, 1)); return err }
	}
	const a0 = `agent("a0", address = "127.0.0.1:1")` + "\n"
	const talk = `fleet(talk_key = "k")` + "\n"
	for _, golden := range []struct {
		read       func(string) error
		text, want string
	}{
		{operator, "storm(rises = 1)", "d.star:1: storm.rises: an unknown key; there are mode, reach, windows, rise, surge, repeats, cold, promise, clients"},
		{operator, "storm(rise = 0)", "d.star:1: storm.rise: 0 is not from 0.1 to 100"},
		{operator, "storm(rise = \"x\")", "d.star:1: storm.rise: \"x\" is no number"},
		{operator, "storm(windows = 1)", "d.star:1: storm.windows: 1 is not from 2 to 1000"},
		{operator, "storm(windows = 1.5)", "d.star:1: storm.windows: 1.5 is no whole number"},
		{operator, "storm(mode = 5)", "d.star:1: storm.mode: 5 is none of fixed, guard, silent"},
		{operator, "log(level = \"loud\")", "d.star:1: log.level: \"loud\" is none of debug, error, info, warn"},
		{operator, "keys(strangers = \"keep\")", "d.star:1: keys.strangers: \"keep\" is none of abandon, send"},
		{operator, "door(settle = 5)", "d.star:1: door.settle: 5 has no unit: ms(), seconds() or minutes()"},
		{operator, "door(settle = ms(0))", "d.star:1: door.settle: 0s is not from 1ms to 10s"},
		{operator, "door(settle = ms(-1))", "d.star:1: ms: -1 can't be used here"},
		{operator, "door(settle = ms())", "d.star:1: ms: takes one number"},
		{operator, "avoid(boxes = 5)", "d.star:1: avoid.boxes: 5 is no list"},
		{operator, "avoid(\n boxes = [\"a\", \"\"])", "d.star:2: avoid.boxes: [\"a\", \"\"]: entry 2 is empty, no text or there before"},
		{operator, "state(socket = \"a\\tb\")", "d.star:1: state.socket: \"a\\tb\" is no plain text"},
		{operator, "log()\nlog()", "d.star:2: log: said before, in line 1"},
		{operator, "log(\"info\")", "d.star:1: log: a value without its key: \"info\""},
		{operator, "peers()", "d.star:1: peers.listen: missing"},
		{operator, "peers(listen = \"127.0.0.1:1\")", "d.star:1: peers.key: missing"},
		{operator, "peers(listen = \"localhost:1\")", "d.star:1: peers.listen: \"localhost:1\" is no IPv4 address with a port"},
		{operator, "peers(key = \"/nowhere/key\")", "d.star:1: peers.key: open /nowhere/key: no such file or directory"},
		{operator, "strom()", "d.star:1: undefined: strom"},
		{operator, "storm(", "d.star:1: got end of file, want ')'"},
		{operator, "x = 1 // 0", "d.star:1: floored division by zero"},
		{operator, "load(\"x.star\", \"y\")", "d.star:1: load not implemented by this application"},
		{operator, "def f():\n  for i in range(1000000000):\n    pass\nf()", "d.star:2: Starlark computation cancelled: too many steps"},
		{operator, strings.Repeat("#", 1<<20+1), "d.star: over 1048576 bytes"},
		{fleet, "", "f.star: agent: there is none"},
		{fleet, a0 + a0, "f.star:2: agent \"a0\": there before"},
		{fleet, "agent()", "f.star:1: agent: its name comes first"},
		{fleet, `agent("a0", address = "here")`, "f.star:1: agent.address: \"here\" of a0 is no address and port"},
		{fleet, `agent("a0", address = "10.0.0.1:1")`, "f.star:1: agent.address: 10.0.0.1:1 of a0 lies beyond loopback, and beyond_loopback does not say so"},
		{fleet, `agent("a0", address = "127.0.0.1:1", beyond_loopback = 1)`, "f.star:1: agent.beyond_loopback: 1 is neither True nor False"},
		{fleet, a0 + `agent("a1", address = "127.0.0.1:1")`, "f.star:2: agent.address: 127.0.0.1:1 is that of a0 too"},
		{fleet, `agent("a0", address = "127.0.0.1:1", talk = "127.0.0.1:2")`, "f.star:1: agent.talk: of a0 and fleet.talk_key, only one is given"},
		{fleet, talk + a0, "f.star:2: agent.talk: of a0 and fleet.talk_key, only one is given"},
		{fleet, talk + `agent("a0", address = "127.0.0.1:1", talk = "10.0.0.1:2")`, "f.star:2: agent.talk: 10.0.0.1:2 of a0 lies beyond loopback, and beyond_loopback does not say so"},
		{fleet, `fleet(lease = ms(1))`, "f.star:1: fleet.lease: 1ms is not from 1s to 10m0s"},
		{fleet, a0 + "director(\"n0\")\ndirector(\"n0\")", "f.star:3: director \"n0\": there before"},
		{fleet, a0 + `director("n0")`, "f.star:2: director.agent: missing for n0"},
		{fleet, a0 + `director("n0", agent = "a0")`, "f.star:2: director.config: missing for n0"},
		{fleet, a0 + `director("n0", agent = "a0", config = "c")`, "f.star:2: director.settings: missing for n0"},
		{fleet, a0 + `director("n0", agent = "a0", config = "c", settings = "s")`, "f.star:2: director.socket: missing for n0"},
		{fleet, a0 + `director("n0", agent = "a0", config = "c", settings = "c")`, "f.star:2: director.settings: c is that of n0 too"},
		{fleet, a0 + `director("n0", agent = "a1", config = "c", settings = "s", socket = "k")`, "f.star:2: director.agent: there is no agent \"a1\""},
		{fleet, a0 + `director("n0", agent = "a0", config = "c", settings = "s", socket = "k")`, "f.star:2: director.command: neither it nor a pidfile for n0"},
		{platform(`{"name":"n3"`, `{"name":5`), "", "name: a number can't be used here"},
		{platform(`"cores":2.5`, `"cores":0`), "", "limits.cores: 0 is not above 0"},
		{platform(`"memory_mb":256`, `"memory_mb":31`), "", "limits.memory_mb: 31 is under 32"},
		{platform(`"sockets":512`, `"sockets":63`), "", "limits.sockets: 63 is under 64"},
		{platform(`127.0.0.1:8443`, `here`), "", "listen: \"here\" is no address and port"},
		{platform(`127.0.0.2:8500`, `here`), "", "channel: \"here\" is no address and port"},
		{platform(`8c1f`, `zz`), "", "seed: \"zz30d27a5be964\" is not 16 hex digits"},
		{platform(`"known"`, `"x"`), "", "known: missing"},
		{platform(`"settings"`, `"x"`), "", "settings: missing"},
		{platform(`"lanes"`, `"x"`), "", "settings: lanes: missing"},
		{platform(`"aim":401`, `"aim":"x"`), "", "settings: lanes.aim: a string can't be used here"},
		{platform(`"name":"clip"`, `"name":""`), "", "settings: lanes[0].name: missing"},
		{platform(`"free"`, `"odd"`), "", "settings: lanes[0].repeat: \"odd\" is not known"},
		{platform(`"cell"`, `"odd"`), "", "settings: lanes[1].dedup-scope: \"odd\" is not known"},
		{platform(`5001`, `0`), "", "settings: lanes[0].hard-limit: not above 0"},
		{platform(`"zone":1`, `"zone":3`), "", "settings: zone: 3 is not in zones"},
		{platform(`"origin-kind":2`, `"origin-kind":3`), "", "settings: specifics.origin-kind: 3 is not in machine-types"},
		{platform(`"connect-timeout":400`, `"connect-timeout":0`), "", "settings: limits.connect-timeout: not above 0"},
		{platform(`30000`, `0`), "", "settings: limits.keepalive: not above 0"},
		{platform(`"try-limit":3`, `"try-limit":0`), "", "settings: limits.try-limit: not above 0"},
		{platform(`6000,`, `0,`), "", "settings: specifics.gone-everywhere: not above 0"},
		{platform(`"nominal"`, `"odd"`), "", "settings: weights: \"odd\" is not silent, nominal or rough"},
		{platform(`"silent"`, `"odd"`), "", "settings: specifics.note-level: \"odd\" is not all, hit or silent"},
		{platform(`"silent"`, `"all"`), "", "settings: specifics.note-level: \"all\" is of the old shape, but weights \"nominal\" of the new one"},
	} {
		got := "no error"
		if err := golden.read(golden.text); err != nil {
			got = err.Error()
		}
		if got != golden.want {
			t.Errorf("%.200s: got %s, want %s", golden.text, got, golden.want)
		}
	}
}

const goldenInventory = `
fleet(lease = seconds(20), authority = "keys", talk_key = "talk.key")
agent("a0", address = "127.0.0.1:7100", depot = "north", talk = "127.0.0.1:7200")
agent("a1", address = "10.0.0.1:7101", depot = "south", talk = "10.0.0.1:7201", beyond_loopback = True)
director("n0", agent = "a0", config = "n0.json", settings = "n0.star", socket = "n0.sock", command = ["bin/tallyproxy", "--x"], pidfile = "n0.pid")
director("n1", agent = "a1", config = "n1.json", settings = "n1.star", socket = "n1.sock", pidfile = "n1.pid")
`

// TestInventoryGolden guards against keys of the inventory that are lost or misread.
func TestInventoryGolden(t *testing.T) {
	got, err := ParseInventory("f.star", []byte(goldenInventory))
	if err != nil {
		t.Fatal(err)
	}
	for i := range got.Agents {
		if line := got.Agents[i].position.Line; line != int32(3+i) {
			t.Errorf("agent %d in line %d", i, line)
		}
		got.Agents[i].position = AgentEntry{}.position
	}
	for i := range got.Directors {
		if line := got.Directors[i].position.Line; line != int32(5+i) {
			t.Errorf("director %d in line %d", i, line)
		}
		got.Directors[i].position = DirectorEntry{}.position
	}
	want := &Inventory{
		Path: "f.star", LeaseDuration: 20 * policy.Second, AuthorityDir: "keys", GossipKeyFile: "talk.key",
		Agents: []AgentEntry{
			{Name: "a0", Address: "127.0.0.1:7100", Depot: "north", GossipAddress: "127.0.0.1:7200"},
			{Name: "a1", Address: "10.0.0.1:7101", Depot: "south", GossipAddress: "10.0.0.1:7201", AllowNonLoopback: true},
		},
		Directors: []DirectorEntry{
			{Name: "n0", Agent: "a0", PlatformFile: "n0.json", SettingsFile: "n0.star", StatusSocket: "n0.sock",
				Command: []string{"bin/tallyproxy", "--x"}, PIDFile: "n0.pid"},
			{Name: "n1", Agent: "a1", PlatformFile: "n1.json", SettingsFile: "n1.star", StatusSocket: "n1.sock", PIDFile: "n1.pid"},
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read as\n%#v, want\n%#v", got, want)
	}
	if got, err := ParseInventory("f.star", []byte(`agent("a0", address = "127.0.0.1:1")`)); err != nil || time.Duration(got.LeaseDuration)*time.Microsecond != 3*time.Second {
		t.Errorf("default lease: %#v, %v", got, err)
	}
}
