package server

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/config"
)

// A configuration that can't be used ends the start with an error.
func TestFaultyConfigurationEndsTheStart(t *testing.T) {
	for _, text := range []string{"{", `{"listen":"127.0.0.1:0"}`} {
		path := filepath.Join(t.TempDir(), "config.json")
		writeFile(t, path, text)
		if err := run(flags{Config: path}, os.Getenv, new(slog.LevelVar), nil, nil); err == nil {
			t.Errorf("%s was taken", text)
		}
	}
}

// Settings of the new shape start a director that serves from nodes of their sizes, which answer
// with no note; settings that mix the shapes end the start with the key that is out of step.
func TestShapesAtStart(t *testing.T) {
	shaped := func(weights, notes string) string {
		text := strings.Replace(platformSettings, `"zone":0,`, `"zone":0,"weights":"`+weights+`",`, 1)
		return strings.Replace(text, `"note-level":"all"`, `"note-level":"`+notes+`"`, 1)
	}
	bare := func(conn net.Conn, id string) { reply(conn, "%s data - 5\r\nhello\r\n", id) }
	d := startDirectorWith(t, shaped("nominal", "silent"), "", newFakeNode(t, bare), newFakeNode(t, bare))
	c := d.dial(t)
	for i := range 8 {
		c.request("1", fmt.Sprint("o", i), 2*time.Second)
		if tag, code, _ := c.readAnswer(t); tag != "1" || code != "200" {
			t.Errorf("new shape: answered %s %s", tag, code)
		}
	}
	c.close(t)
	d.stopAndWait(t)
	for _, x := range []struct{ name, settings, want string }{
		{"sizes, notes told", shaped("nominal", "all"),
			`settings: specifics.note-level: "all" is of the old shape, but weights "nominal" of the new one`},
		{"no sizes, silent notes", shaped("silent", "silent"),
			`settings: specifics.note-level: "silent" is of the new shape, but weights "silent" of the old one`},
	} {
		t.Run(x.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "config.json")
			text := fmt.Sprintf(`{"name":"n1","listen":"127.0.0.1:0","channel":"127.0.0.1:9","settings":%s,
				"limits":{"sockets":64},"known":{"cursor":0,"cmds":[]}}`, x.settings)
			writeFile(t, path, text)
			err := run(flags{Config: path}, noEnvironment, new(slog.LevelVar), nil, nil)
			if err == nil || !strings.Contains(err.Error(), x.want) {
				t.Errorf("got %v, want %s", err, x.want)
			}
		})
	}
}

// Directors of a fleet may be told one seed; their random choices differ all the same.
func TestOneSeedForAFleet(t *testing.T) {
	c := config.Config{}
	c.Site.Seed = 7
	a, b := c, c
	a.Name, b.Name = "n1", "n2"
	if x, y := routingSettings(a), routingSettings(b); x.Seed == y.Seed || x.Seed != routingSettings(a).Seed {
		t.Errorf("seeds %x and %x", x.Seed, y.Seed)
	}
}
