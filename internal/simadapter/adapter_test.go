package simadapter

import (
	"bytes"
	"strings"
	"testing"

	"tallyproxy/policy"
	"tallyproxy/routing"
)

const setup = `sync t=1000.25
about director-id=director/0
spawn salt=5 params={"zone":1,"zones":["h","a"],"new":[1],"lanes":[{"aim":400,"hard-limit":5000,"repeat":"free"}],` +
	`"limits":{"cancel":true,"try-limit":3},"specifics":{"origin-kind":2,"shield-kind":1,"shares-fills":true}}
inventory page=0 rows-in=3
row node=e:1 az=1 generation-hw=0 health=IN
row node=p:1 az=0 generation-hw=1 health=IN
row node=o:1 az=0 generation-hw=2 health=IN extra=1
directory_update kind=warm_copy gen=1 page=0
go
`

// serve runs Serve on the given input with the routing policy and returns its output.
func serve(in string) (string, error) {
	var out bytes.Buffer
	err := Serve(strings.NewReader(in), &out, func(s policy.Settings) policy.Policy { return routing.New(s, routing.Options{}) })
	return out.String(), err
}

// TestServe guards against a wrong answer to a batch, such as a page that is resolved only after a
// later message replaced it, or a wake-up that reaches the successor of a retired instance.
func TestServe(t *testing.T) {
	pull := "at director-id=director/0\nread_through xid=9 node=e:1 within=2000.5 keep=2 from-where=p:1 opts=1\n" +
		"wake_at in=200 key-back=9\nnext\n"
	ingress := "sync t=1001.0\nabout director-id=director/0\ningress xid=9 lane=0 object=/x patience-left=2000.5\ngo\n"
	cases := []struct{ name, in, out string }{
		{"empty batch", "sync t=1\n\ngo\n", "next\n"},
		{"pull", setup + ingress, "next\n" + pull},
		{"done, then gone", setup + ingress + "sync t=1100\nabout director-id=director/0\n" +
			"report_back xid=9 go=0 node=e:1 state-code=success last=1 latency=99\ngone xid=9\nalarm key-back=9\ngo\n",
			"next\n" + pull + "next\n"},
		{"client leaves before the outcome", setup + ingress + "sync t=1100\nabout director-id=director/0\n" +
			"gone xid=9\nreport_back xid=9 go=0 node=e:1 state-code=timed_out\ngo\n", "next\n" + pull + "next\n"},
		{"pages are resolved in order", setup + "sync t=1001\nabout director-id=director/0\n" +
			"inventory page=0 rows-in=1\nrow node=p:1 az=0 generation-hw=1 health=OUT\n" +
			"directory_update kind=incr gen=2 page=0\ninventory page=0 rows-in=0\n" + strings.SplitN(ingress, "\n", 3)[2],
			"next\n" + strings.ReplaceAll(pull, "from-where=p:1", "from-where=o:1")},
		{"retire and spawn in one batch", setup + ingress + "sync t=1002\nabout director-id=director/0\nretire\n" +
			strings.SplitN(setup, "\n", 3)[2] + "sync t=1003\nabout director-id=director/0\nalarm key-back=9\ngo\n",
			"next\n" + pull + "next\nnext\n"},
		{"unknown messages and a failed list", setup + "sync t=1001 new=1\nabout director-id=director/0\n" +
			"novelty a=1\ndirectory_update kind=lost page=9\nreport_back xid=77 go=0 state-code=success\ngo\n", "next\nnext\n"},
		{"a very long line", setup + "sync t=1001 pad=" + strings.Repeat("x", 1<<20) + "\ngo\n", "next\nnext\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if out, err := serve(c.in); err != nil || out != c.out {
				t.Errorf("error %v, got\n%swant\n%s", err, out, c.out)
			}
		})
	}
}

// TestMalformed guards against malformed input being accepted, or rejected without the line and the
// cause.
func TestMalformed(t *testing.T) {
	cases := []struct{ name, in, want string }{
		{"no t", "sync\ngo\n", "line 1: sync has no t"},
		{"a bad number", "sync t=abc\n", `line 1: sync: t="abc" is not a number`},
		{"not finite", "sync t=NaN\n", `line 1: sync: t="NaN" is not a number`},
		{"page out of range", "sync t=1\ninventory page=16 rows-in=0\n", "line 2: inventory: page 16 is out of range"},
		{"rows missing", "sync t=1\ninventory page=1 rows-in=1\ngo\n", "line 3: inventory: 1 rows announced, 0 found"},
		{"unknown page", setup + "about director-id=director/0\ndirectory_update kind=total page=3\n",
			"line 11: directory_update: page 3 was never sent"},
		{"params", "about director-id=d\nspawn salt=1 params={\n", "line 2: spawn: params: unexpected end of JSON input"},
		{"salt", "about director-id=d\nspawn params={}\n", `line 2: spawn: salt="" is not a whole number`},
		{"lane", setup + "about director-id=director/0\ningress xid=1 lane=4\n", "line 11: ingress: lane 4 is not in the settings"},
		{"id", setup + "about director-id=director/0\ngone xid=x\n", `line 11: gone: xid="x" is not an id`},
		{"ending", setup + "about director-id=director/0\nreport_back xid=1 state-code=odd\n",
			`line 11: report_back: state-code "odd" is not known`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := serve(c.in); err == nil || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}
