package config

import (
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"tallyproxy/storm"
)

func operator(t *testing.T, text string) (Operator, error) {
	path := filepath.Join(t.TempDir(), "director.star")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadOperator(path)
}

func TestOperator(t *testing.T) {
	o, err := LoadOperator("")
	if err != nil || !reflect.DeepEqual(o, DefaultOperator()) || o.Storm.Mode != storm.Fixed || o.Marks(Limits{MemoryMB: 32}).Most != 4915 {
		t.Errorf("without a file: %+v, %v", o, err)
	}
	o, err = operator(t, `
small = 3 < 4
storm(mode = "guard", windows = 20 if small else 10, rise = 1.5)
keys(marks = 100, remember = 5, strangers = "abandon")
door(settle = ms(250))
log(level = "warn")
`)
	if err != nil || o.Storm.Mode != storm.Guards || o.Storm.Windows != 20 || o.Storm.Rise != 1.5 || o.Storm.Surge != 4 ||
		o.Keys.Remember != 5 || !o.Keys.Abandon || o.Keys.Most != 100 || o.Settle != 250_000 || o.Log != slog.LevelWarn {
		t.Errorf("read as %+v, %v", o, err)
	}
	if o, err = LoadOperator("../../deploy/director.star"); err != nil || o.Storm.Mode != storm.Guards {
		t.Errorf("the file that is delivered: %+v, %v", o, err)
	}
	if o.Storm.Mode = storm.Fixed; !reflect.DeepEqual(o, DefaultOperator()) {
		t.Errorf("the file that is delivered says other figures than the defaults: %+v", o)
	}
}

// Each fault names file, line and key, and changes nothing.
func TestOperatorFaults(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"no Starlark", "storm(\n", "director.star:2: "},
		{"unknown name", "\n\nstrom()", "director.star:3: undefined: strom"},
		{"unknown key", "storm(mode = \"guard\",\n  rises = 2)", "director.star:2: storm.rises: an unknown key"},
		{"out of range", "storm(\n  rise = 0)", "director.star:2: storm.rise: 0 is not from 0.1 to 100"},
		{"no number", "storm(rise = \"x\")", `director.star:1: storm.rise: "x" is no number`},
		{"NaN", "storm(rise = float(\"nan\"))", "director.star:1: storm.rise: nan is not from"},
		{"no whole number", "keys(marks = 1.5)", "director.star:1: keys.marks: 1.5 is no whole number"},
		{"too many", "keys(marks = 1 << 40)", "director.star:1: keys.marks: 1099511627776 is no whole number"},
		{"no choice", "storm(mode = \"off\")", `director.star:1: storm.mode: "off" is none of fixed, guard, silent`},
		{"no unit", "\ndoor(settle = 5)", "director.star:2: door.settle: 5 has no unit"},
		{"too long", "door(settle = minutes(5))", "director.star:1: door.settle: 5m0s is not from"},
		{"a unit of nothing", "door(settle = ms(\"5\"))", `director.star:1: ms: "5" can't be used here`},
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
		t.Errorf("no file: %v", err)
	}
}
