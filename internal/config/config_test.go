package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"tallyproxy/policy"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:8443","seed":"8c1f30d27a5be964","channel":"127.0.0.2:8500","new":1,
 "limits":{"cores":1.5,"memory_mb":128,"sockets":512},"known":{"cursor":0,"cmds":[]},
 "settings":{"zone":1,"zones":["h","a"],"machine-types":["small","parent","origin"],
  "lanes":[{"name":"clip","aim":400,"hard-limit":5000,"repeat":"guarded","dedup-scope":"cell"}],
  "contract":{"grace-to-answer":8},
  "limits":{"cancel":true,"try-limit":3,"connect-timeout":400,"keepalive":30000,"max-streams":100},
  "specifics":{"origin-kind":2,"shield-kind":1,"gone-everywhere":6000,"max-age":[500]}}}`

// load loads a platform's file with the given contents, in an environment with NODE_NAME set.
func load(t *testing.T, text string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(func(key string) string { return map[string]string{"NODE_CONFIG": path, "NODE_NAME": "env"}[key] })
}

// TestLoad guards against wrong defaults, and against a name that is not taken from the environment
// if the file has none.
func TestLoad(t *testing.T) {
	c, err := load(t, validConfig)
	if err != nil {
		t.Fatal(err)
	}
	clip := c.Site.ContentTypes[0]
	if c.Name != "n3" || c.Site.Seed != 0x8c1f30d27a5be964 || c.Site.ConnectTimeout != 400_000 || c.Site.MaxConcurrentStreams != 100 ||
		clip.RetrySafety != policy.IdempotentWithKey || clip.DedupScope != policy.DedupScopeCell || clip.TTL != 500_000 ||
		c.Site.TypeNames[0] != "clip" || c.Limits.MaxClientConnections() != 256 || c.Limits.MaxNodeConnections() != 153 {
		t.Errorf("decoded as %+v", c)
	}
	c, err = load(t, strings.NewReplacer(`"name":"n3",`, "", `"memory_mb":128,`, "").Replace(validConfig))
	if err != nil || c.Name != "env" || c.Limits.MemoryMB != 192 {
		t.Errorf("defaults: %+v, %v", c, err)
	}
}

// TestReload guards against a reload that loses a permitted change, or that applies part of a file
// with an error or a change that needs a restart.
func TestReload(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"channel", "127.0.0.2:8500", "127.0.0.3:8500", ""},
		{"limits and seed", `"sockets":512},"known"`, `"sockets":256},"seed":"1","known"`, ""},
		{"not JSON", `{"name"`, `"name"`, "invalid character"},
		{"invalid", `1.5`, `0`, "limits.cores: 0"},
		{"listen", "8443", "8444", "listen: a change needs a restart"},
		{"name", "n3", "n4", "name: a change needs a restart"},
		{"settings", `"aim":400`, `"aim":500`, "settings: a change needs a restart"},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			getenv := func(key string) string { return map[string]string{"NODE_CONFIG": path}[key] }
			if err := os.WriteFile(path, []byte(validConfig), 0o600); err != nil {
				t.Fatal(err)
			}
			c, err := Load(getenv)
			if err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(strings.Replace(validConfig, x.old, x.new, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			next, err := Load(getenv)
			if err == nil {
				next, err = c.Reload(next)
			} else {
				next = c
			}
			if x.want != "" {
				if err == nil || !strings.Contains(err.Error(), x.want) || !reflect.DeepEqual(next, c) {
					t.Errorf("got %v, want %s", err, x.want)
				}
			} else if err != nil || next.Channel == c.Channel && next.Limits == c.Limits || next.Site.Seed != c.Site.Seed {
				t.Errorf("got %+v, %v", next, err)
			}
		})
	}
}

// TestFaultsNameTheirKey guards against errors that do not name the invalid key.
func TestFaultsNameTheirKey(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"not JSON", `{"name"`, `"name"`, "invalid character"},
		{"type", `"cores":1.5`, `"cores":"x"`, "limits.cores: a string can't be used here"},
		{"listen", `"127.0.0.1:8443"`, `"here"`, `listen: "here"`},
		{"channel", `"127.0.0.2:8500"`, `""`, `channel: ""`},
		{"seed", `"8c1f`, `"zz`, "seed: "},
		{"cores", `1.5`, `0`, "limits.cores: 0"},
		{"memory", `"memory_mb":128`, `"memory_mb":1`, "limits.memory_mb: 1"},
		{"sockets", `512`, `3`, "limits.sockets: 3"},
		{"settings", `"settings"`, `"x"`, "settings: missing"},
		{"known", `"known"`, `"x"`, "known: missing"},
		{"type in settings", `"aim":400`, `"aim":"soon"`, "settings: lanes.aim: a string"},
		{"repeat", `guarded`, `odd`, `settings: lanes[0].repeat: "odd"`},
		{"scope", `"cell"`, `"odd"`, `settings: lanes[0].dedup-scope: "odd"`},
		{"name of a type", `"name":"clip",`, ``, "settings: lanes[0].name: missing"},
		{"expiry", `5000`, `0`, "settings: lanes[0].hard-limit"},
		{"lanes", `"lanes"`, `"x"`, "settings: lanes: missing"},
		{"zone", `"zone":1`, `"zone":2`, "settings: zone: 2"},
		{"negative zone", `"zone":1`, `"zone":-1`, "settings: zone: -1"},
		{"origin", `"origin-kind":2`, `"origin-kind":9`, "settings: specifics.origin-kind: 9"},
		{"connect", `"connect-timeout":400,`, ``, "settings: limits.connect-timeout"},
		{"keepalive", `"keepalive":30000,`, ``, "settings: limits.keepalive"},
		{"attempts", `"try-limit":3,`, ``, "settings: limits.try-limit"},
		{"purges", `"gone-everywhere":6000,`, ``, "settings: specifics.gone-everywhere"},
		{"weights", `"zone":1,`, `"zone":1,"weights":"live",`, `settings: weights: "live"`},
		{"note level", `"origin-kind":2,`, `"origin-kind":2,"note-level":"some",`, `settings: specifics.note-level: "some"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := load(t, strings.Replace(validConfig, c.old, c.new, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
	for _, path := range []string{"", "/nowhere/config.json"} {
		if _, err := Load(func(string) string { return path }); err == nil || !strings.HasPrefix(err.Error(), "NODE_CONFIG: ") {
			t.Errorf("path %q: %v", path, err)
		}
	}
}

// TestShapes guards against a configuration that mixes the old and the new format: it must be
// rejected with the name of the inconsistent key. Either format alone must be accepted, and the
// weights count as sizes only in the new one.
func TestShapes(t *testing.T) {
	cases := []struct {
		name, weights, notes string
		sized                bool
		want                 string
	}{
		{"old, by default", "", "", false, ""},
		{"old, set explicitly", `"weights":"silent",`, `"note-level":"all",`, false, ""},
		{"old, hits reported", "", `"note-level":"hit",`, false, ""},
		{"new", `"weights":"nominal",`, `"note-level":"silent",`, true, ""},
		{"new, rough sizes", `"weights":"rough",`, `"note-level":"silent",`, true, ""},
		{"sizes with notes", `"weights":"nominal",`, `"note-level":"all",`, false,
			`settings: specifics.note-level: "all" is of the old shape, but weights "nominal" of the new one`},
		{"no sizes, no notes", `"weights":"silent",`, `"note-level":"silent",`, false,
			`settings: specifics.note-level: "silent" is of the new shape, but weights "silent" of the old one`},
		{"sizes, note level absent", `"weights":"nominal",`, "", false,
			`settings: specifics.note-level: "" is of the old shape, but weights "nominal" of the new one`},
		{"weights absent, silent notes", "", `"note-level":"silent",`, false,
			`settings: specifics.note-level: "silent" is of the new shape, but weights "" of the old one`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validConfig, `"zone":1,`, `"zone":1,`+c.weights, 1)
			text = strings.Replace(text, `"origin-kind":2,`, `"origin-kind":2,`+c.notes, 1)
			got, err := load(t, text)
			switch {
			case c.want != "" && (err == nil || err.Error() != c.want):
				t.Errorf("got %v, want %s", err, c.want)
			case c.want == "" && err != nil:
				t.Errorf("rejected: %v", err)
			case c.want == "" && got.Site.WeightsAreSizes != c.sized:
				t.Errorf("WeightsAreSizes is %v, want %v", got.Site.WeightsAreSizes, c.sized)
			}
		})
	}
}
