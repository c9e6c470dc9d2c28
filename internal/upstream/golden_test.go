package upstream

import (
	"bytes"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
)

// The bytes of the nodes' protocol, recorded once. They are fixed: nodes in service read and write them.

func TestGoldenRequestBytes(t *testing.T) {
	body := bufpool.New(1).Body(0)
	body.Write([]byte("from=x"))
	base := Want{ID: "s1-77", Sort: "clip", Asset: "film/7", Slice: 3, Patience: 1500 * time.Millisecond}
	with := func(change func(*Want)) Want {
		w := base
		change(&w)
		return w
	}
	cases := []struct {
		name string
		want Want
		out  string
	}{
		{"base", base, "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500 0\r\n\r\n"},
		{"zero", Want{}, "want  sort=,asset=,slice=0,patience=1 0\r\n\r\n"},
		{"key", with(func(w *Want) { w.Key = "k9" }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,op=k9 0\r\n\r\n"},
		{"from", with(func(w *Want) { w.From = "parent-2" }),
			"want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,from=parent-2 0\r\n\r\n"},
		{"rank", with(func(w *Want) { w.Rank = 2 }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,rank=2 0\r\n\r\n"},
		{"oldest", with(func(w *Want) { w.Oldest = 2500 * time.Microsecond }),
			"want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,oldest=2 0\r\n\r\n"},
		{"join", with(func(w *Want) { w.Join = true }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,mode=join 0\r\n\r\n"},
		{"held", with(func(w *Want) { w.Held = true }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,mode=held 0\r\n\r\n"},
		{"renew", with(func(w *Want) { w.Renew = true }),
			"want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,mode=renew 0\r\n\r\n"},
		{"join and renew", with(func(w *Want) { w.Join, w.Renew = true, true }),
			"want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,mode=join+renew 0\r\n\r\n"},
		{"seen", with(func(w *Want) { w.Seen = "v1" }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,seen=v1 0\r\n\r\n"},
		{"body", with(func(w *Want) { w.Body = body }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500 6\r\nfrom=x\r\n"},
		{"all", with(func(w *Want) {
			w.Key, w.From, w.Rank, w.Oldest, w.Seen, w.Body = "k9", "origin", 12, time.Minute, "0a-1", body
			w.Join, w.Held, w.Renew = true, true, true
		}), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,op=k9,from=origin,rank=12,oldest=60000,mode=join+held+renew,seen=0a-1 6\r\n" +
			"from=x\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := string(appendWant([]byte("+"), &c.want)); got != "+"+c.out {
				t.Errorf("got %q, want %q", got, "+"+c.out)
			}
		})
	}
	if got := string(appendNeverMind([]byte("+"), "s1-77")); got != "+never_mind s1-77\r\n" {
		t.Errorf("a request given up: %q", got)
	}
	if got := string(appendThere([]byte("+"), "s1-77")); got != "+there s1-77\r\n" {
		t.Errorf("a node asked whether it is there: %q", got)
	}
	if got := string(appendThere(nil, question)); got != "there 1\r\n" {
		t.Errorf("a node asked over a connection of its own: %q", got)
	}
}

func TestGoldenAnswers(t *testing.T) {
	cases := []struct {
		in   string
		word Word
		note string
		body string
	}{
		{"i data - 0\r\n\r\n", Data, "", ""},
		{"i data n=local,born=1764576000123.25,waited=0,ver=9 4\r\n\r\nxy\r\n", Data, "local", "\r\nxy"},
		{"i data n=pulled 1\r\nx\r\n", Data, "pulled", "x"},
		{"i data n=pulled_far 1\r\nx\r\n", Data, "pulled_far", "x"},
		{"i data n=rode 1\r\nx\r\n", Data, "rode", "x"},
		{"i data n=expired 1\r\nx\r\n", Data, "expired", "x"},
		{"i unchanged n=local 0\r\n\r\n", Unchanged, "local", ""},
		{"i absent - 0\r\n\r\n", Absent, "", ""},
		{"i full - 0\r\n\r\n", Full, "", ""},
		{"i moot - 0\r\n\r\n", Moot, "", ""},
		{"i failed n=turned_away 0\r\n\r\n", Failed, "turned_away", ""},
		{"i failed n=cut_off 0\r\n\r\n", Failed, "cut_off", ""},
		{"i failed n=not_there 0\r\n\r\n", Failed, "not_there", ""},
		{"i failed n=no_place 0\r\n\r\n", Failed, "no_place", ""},
		{"i failed n=far_fault 0\r\n\r\n", Failed, "far_fault", ""},
		{"i failed waited=1.5 0\r\n\r\n", Failed, "", ""},
	}
	for _, c := range cases {
		t.Run(c.in, func(t *testing.T) {
			pool, ended := bufpool.New(4), 0
			r := reader{pool: pool, begun: func(id string) bool { return id == "i" }, there: func(string) { t.Error("a probe's answer") }}
			r.ended = func(id string, a Answer, err error) error {
				ended++
				if body := string(bytes.Join(a.Body.Parts(), nil)); id != "i" || err != nil || a.Word != c.word || a.Note != c.note || body != c.body {
					t.Errorf("id %q, word %q, note %q, body %q, %v", id, a.Word, a.Note, body, err)
				}
				a.Body.Free()
				return nil
			}
			if err := r.feed([]byte(c.in)); err != nil || ended != 1 {
				t.Errorf("%d answers, %v", ended, err)
			}
		})
	}
}

func TestGoldenProbeAnswers(t *testing.T) {
	for _, in := range []string{"1 well\r\n", "1 ill\r\n", "1 well - 0\r\n\r\n", "1 ill n=local 0\r\n\r\n", "1 well x\r\n"} {
		t.Run(in, func(t *testing.T) {
			tags := ""
			r := reader{pool: bufpool.New(1), begun: func(string) bool { return false }, there: func(tag string) { tags += tag }}
			if err := r.feed([]byte(in)); err != nil || tags != question || r.within() {
				t.Errorf("tags %q, within an answer %v, %v", tags, r.within(), err)
			}
		})
	}
}
