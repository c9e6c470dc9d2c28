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

// TestFaultyConfigurationEndsTheStart guards against a director that starts with an invalid
// configuration instead of returning an error.
func TestFaultyConfigurationEndsTheStart(t *testing.T) {
	for _, text := range []string{"{", `{"listen":"127.0.0.1:0"}`} {
		path := filepath.Join(t.TempDir(), "config.json")
		writeFile(t, path, text)
		if err := run(flags{Config: path}, os.Getenv, new(slog.LevelVar), nil, nil); err == nil {
			t.Errorf("started with the configuration %s", text)
		}
	}
}

// TestShapesAtStart guards against a director that fails to serve in the new format, in which nodes
// have sizes and answers carry no cache notes, or that starts with a mix of the old and the new
// format instead of naming the inconsistent key.
func TestShapesAtStart(t *testing.T) {
	settingsWith := func(weights, notes string) string {
		text := strings.Replace(platformSettings, `"zone":0,`, `"zone":0,"weights":"`+weights+`",`, 1)
		return strings.Replace(text, `"note-level":"all"`, `"note-level":"`+notes+`"`, 1)
	}
	respondWithoutNotes := func(conn net.Conn, id string) { reply(conn, "%s data - 5\r\nhello\r\n", id) }
	d := startDirectorWith(t, settingsWith("nominal", "silent"), "", newFakeNode(t, respondWithoutNotes), newFakeNode(t, respondWithoutNotes))
	c := d.dial(t)
	for i := range 8 {
		c.request("1", fmt.Sprint("o", i), 2*time.Second)
		if tag, code, _ := c.readAnswer(t); tag != "1" || code != "200" {
			t.Errorf("new format: answered %s %s", tag, code)
		}
	}
	c.close(t)
	d.stopAndWait(t)
	for _, x := range []struct{ name, settings, want string }{
		{"sizes, notes reported", settingsWith("nominal", "all"),
			`settings: specifics.note-level: "all" is of the old shape, but weights "nominal" of the new one`},
		{"no sizes, silent notes", settingsWith("silent", "silent"),
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

// TestOneSeedForAFleet guards against directors that are configured with the same seed and
// therefore make the same random choices.
func TestOneSeedForAFleet(t *testing.T) {
	c := config.Config{}
	c.Site.Seed = 7
	a, b := c, c
	a.Name, b.Name = "n1", "n2"
	if x, y := routingSettings(a), routingSettings(b); x.Seed == y.Seed || x.Seed != routingSettings(a).Seed {
		t.Errorf("seeds %x and %x", x.Seed, y.Seed)
	}
}
