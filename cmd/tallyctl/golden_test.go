package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"tallyproxy/rollout"
)

// captureStdout returns the text that a function writes to standard output.
func captureStdout(t *testing.T, write func()) string {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = w
	defer func() { os.Stdout = stdout }()
	write()
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestGoldenJSON guards against changes of the --json output, which operators' scripts parse.
func TestGoldenJSON(t *testing.T) {
	cases := []struct {
		name  string
		value any
		want  string
	}{
		{"audit line", auditLine{"a0", "op", "take c1", time.UnixMilli(1_700_000_000_123).UTC()}, `{"Agent":"a0","Who":"op","What":"take c1","At":"2023-11-14T22:13:20.123Z"}`},
		{"plan", &rollout.Change{ID: "c1", Author: "op/1", Note: "why", Reverts: "c0", Targets: []rollout.Target{
			{Instance: "n0", Agent: "a0", Base: "sum", Script: "log() # <&>", Wave: 2},
		}}, `{"id":"c1","by":"op/1","note":"why","undoes":"c0","targets":[{"instance":"n0","agent":"a0","base":"sum","script":"log() # \u003c\u0026\u003e","wave":2}]}`},
		{"nothing to change", rollout.Result{}, `{"id":"","outcome":0,"ends":null,"sent":0}`},
		{"result", rollout.Result{
			ID: "c1", Outcome: rollout.Abort, RefusalReason: "no", Holder: "op/2", HeldFor: 11, LeaseLeft: 12, StopReason: "worse", NeedsResume: true, MessagesSent: 9,
			Targets: []rollout.TargetResult{{Instance: "n0", Agent: "a0", State: "changed", Reason: "bad"}},
		}, `{"id":"c1","outcome":2,"refused":"no","holder":"op/2","held":11,"left":12,"stopped":"worse","resume":true,"ends":[{"instance":"n0","agent":"a0","state":"changed","why":"bad"}],"sent":9}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := captureStdout(t, func() {
				if err := (&command{JSON: true}).print(c.value, func() { t.Error("printed text instead of JSON") }); err != nil {
					t.Error(err)
				}
			})
			if got != c.want+"\n" {
				t.Errorf("got  %swant %s", got, c.want)
			}
		})
	}
}

const goldenInventory = `fleet(lease = seconds(5), authority = "keys", talk_key = "talk.key")
agent("a0", address = "127.0.0.1:1", talk = "127.0.0.1:2", depot = "east")
director("n0", agent = "a0", config = "n0.json", settings = "n0.star", socket = "n0.sock", command = ["tallyproxy", "-x"])
director("n1", agent = "a0", config = "n1.json", settings = "n1.star", socket = "n1.sock", pidfile = "n1.pid")
`

// TestGoldenCheckJSON guards against changes of the output of `check --json`, which prints the
// inventory with its paths resolved relative to the inventory's folder.
func TestGoldenCheckJSON(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "fleet.star")
	if err := os.WriteFile(path, []byte(goldenInventory), 0o600); err != nil {
		t.Fatal(err)
	}
	got := captureStdout(t, func() {
		if code := Main([]string{"check", "--json", "-i", path}); code != exitDone {
			t.Errorf("exit code %d", code)
		}
	})
	const want = `{"Path":"DIR/fleet.star","Lease":5000000,"Authority":"keys","TalkKey":"DIR/talk.key","Agents":[{"Name":"a0","Address":"127.0.0.1:1","Depot":"east","Talk":"127.0.0.1:2","Beyond":false}],"Directors":[{"Name":"n0","Agent":"a0","Config":"DIR/n0.json","Settings":"DIR/n0.star","Socket":"DIR/n0.sock","Command":["tallyproxy","-x"],"Pidfile":""},{"Name":"n1","Agent":"a0","Config":"DIR/n1.json","Settings":"DIR/n1.star","Socket":"DIR/n1.sock","Command":null,"Pidfile":"DIR/n1.pid"}]}`
	if got = strings.ReplaceAll(got, dir, "DIR"); got != want+"\n" {
		t.Errorf("got  %swant %s", got, want)
	}
}

// TestGoldenFlags guards against changes of the command line that operators and their scripts use:
// sub-commands, arguments, flags, defaults and environment variables.
func TestGoldenFlags(t *testing.T) {
	var c command
	parser, err := kong.New(&c, kong.Name("tallyctl"))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	add := func(v *kong.Value, flag string) {
		line := flag
		if v.HasDefault {
			line += " default=" + v.Default
		}
		if v.Enum != "" {
			line += " enum=" + v.Enum
		}
		if v.Required {
			line += " required"
		}
		lines = append(lines, fmt.Sprintf("%s %v", line, v.Target.Type()))
	}
	flags := func(n *kong.Node) {
		for _, f := range n.Flags {
			short := ""
			if f.Short != 0 {
				short = "-" + string(f.Short) + ","
			}
			add(f.Value, fmt.Sprintf("  %s--%s env=%s", short, f.Name, strings.Join(f.Envs, ",")))
		}
	}
	lines = append(lines, "tallyctl")
	flags(parser.Model.Node)
	err = kong.Visit(parser.Model.Node, func(node kong.Visitable, next kong.Next) error {
		if n, ok := node.(*kong.Node); ok && n.Type == kong.CommandNode {
			lines = append(lines, n.Path())
			for _, p := range n.Positional {
				add(p, "  "+p.Name)
			}
			flags(n)
		}
		return next(nil)
	})
	if err != nil {
		t.Fatal(err)
	}
	const want = `tallyctl
  -h,--help env= kong.helpFlag
  -i,--inventory env=TALLYCTL_INVENTORY default=fleet.star string
  --cert env=TALLYCTL_CERT string
  --json env= bool
agent
  name required string
  --store env= string
keys
  --dir env= default=keys string
keys init
  --name env= default=tallyproxy fleet string
keys issue
  name required string
  --role env= enum=agent,see,change,keys required []string
  --life env= default=720h time.Duration
  --into env= default=. string
keys revoke
  certs required []string
show
diff
  script required string
  --depot env= []string
  --director env= []string
plan
  script required string
  --depot env= []string
  --director env= []string
  --limit env= int
apply
  script required string
  --depot env= []string
  --director env= []string
  --limit env= int
  --worse env= default=0.1 float64
  -m,--note env= string
drain
  box required string
  --depot env= []string
  --director env= []string
  --limit env= int
  --worse env= default=0.1 float64
  --back env= bool
undo
  id required string
  --limit env= int
  --worse env= default=0.1 float64
resume
  id string
  --limit env= int
  --worse env= default=0.1 float64
status
  id required string
history
  --audit env= bool
check
  script []string
watch
  --every env= default=1s time.Duration`
	if got := strings.Join(lines, "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
