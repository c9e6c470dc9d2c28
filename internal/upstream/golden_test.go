package upstream

import (
	"bytes"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
)

// The expected bytes are the protocol of the nodes. They are fixed, since deployed nodes read and
// write them, and must not be recorded again.

// TestGoldenRequestBytes guards against a change of the bytes of requests, cancel messages and
// probes.
func TestGoldenRequestBytes(t *testing.T) {
	body := bufpool.New(1).NewBody(0)
	body.Append([]byte("from=x"))
	base := Request{ID: "s1-77", ContentType: "clip", Object: "film/7", Part: 3, Timeout: 1500 * time.Millisecond}
	with := func(change func(*Request)) Request {
		request := base
		change(&request)
		return request
	}
	cases := []struct {
		name    string
		request Request
		want    string
	}{
		{"base", base, "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500 0\r\n\r\n"},
		{"zero", Request{}, "want  sort=,asset=,slice=0,patience=1 0\r\n\r\n"},
		{"key", with(func(r *Request) { r.IdempotencyKey = "k9" }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,op=k9 0\r\n\r\n"},
		{"from", with(func(r *Request) { r.SourceID = "parent-2" }),
			"want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,from=parent-2 0\r\n\r\n"},
		{"rank", with(func(r *Request) { r.CacheRank = 2 }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,rank=2 0\r\n\r\n"},
		{"oldest", with(func(r *Request) { r.MaxAge = 2500 * time.Microsecond }),
			"want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,oldest=2 0\r\n\r\n"},
		{"join", with(func(r *Request) { r.Coalesce = true }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,mode=join 0\r\n\r\n"},
		{"held", with(func(r *Request) { r.OnlyIfCached = true }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,mode=held 0\r\n\r\n"},
		{"renew", with(func(r *Request) { r.Revalidate = true }),
			"want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,mode=renew 0\r\n\r\n"},
		{"join and renew", with(func(r *Request) { r.Coalesce, r.Revalidate = true, true }),
			"want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,mode=join+renew 0\r\n\r\n"},
		{"seen", with(func(r *Request) { r.ClientTag = "v1" }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,seen=v1 0\r\n\r\n"},
		{"body", with(func(r *Request) { r.Body = body }), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500 6\r\nfrom=x\r\n"},
		{"all", with(func(r *Request) {
			r.IdempotencyKey, r.SourceID, r.CacheRank, r.MaxAge, r.ClientTag, r.Body = "k9", "origin", 12, time.Minute, "0a-1", body
			r.Coalesce, r.OnlyIfCached, r.Revalidate = true, true, true
		}), "want s1-77 sort=clip,asset=film/7,slice=3,patience=1500,op=k9,from=origin,rank=12,oldest=60000,mode=join+held+renew,seen=0a-1 6\r\n" +
			"from=x\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := string(appendRequest([]byte("+"), &c.request)); got != "+"+c.want {
				t.Errorf("got %q, want %q", got, "+"+c.want)
			}
		})
	}
	if got := string(appendCancel([]byte("+"), "s1-77")); got != "+never_mind s1-77\r\n" {
		t.Errorf("cancel message: %q", got)
	}
	if got := string(appendProbe([]byte("+"), "s1-77")); got != "+there s1-77\r\n" {
		t.Errorf("probe: %q", got)
	}
	if got := string(appendProbe(nil, probeID)); got != "there 1\r\n" {
		t.Errorf("probe over a separate connection: %q", got)
	}
}

// TestGoldenResponses guards against a status or field value of the protocol that the parser no
// longer accepts.
func TestGoldenResponses(t *testing.T) {
	cases := []struct {
		in          string
		status      Status
		cacheStatus string
		body        string
	}{
		{"i data - 0\r\n\r\n", StatusData, "", ""},
		{"i data n=local,born=1764576000123.25,waited=0,ver=9 4\r\n\r\nxy\r\n", StatusData, "local", "\r\nxy"},
		{"i data n=pulled 1\r\nx\r\n", StatusData, "pulled", "x"},
		{"i data n=pulled_far 1\r\nx\r\n", StatusData, "pulled_far", "x"},
		{"i data n=rode 1\r\nx\r\n", StatusData, "rode", "x"},
		{"i data n=expired 1\r\nx\r\n", StatusData, "expired", "x"},
		{"i unchanged n=local 0\r\n\r\n", StatusUnchanged, "local", ""},
		{"i absent - 0\r\n\r\n", StatusAbsent, "", ""},
		{"i full - 0\r\n\r\n", StatusFull, "", ""},
		{"i moot - 0\r\n\r\n", StatusMoot, "", ""},
		{"i failed n=turned_away 0\r\n\r\n", StatusFailed, "turned_away", ""},
		{"i failed n=cut_off 0\r\n\r\n", StatusFailed, "cut_off", ""},
		{"i failed n=not_there 0\r\n\r\n", StatusFailed, "not_there", ""},
		{"i failed n=no_place 0\r\n\r\n", StatusFailed, "no_place", ""},
		{"i failed n=far_fault 0\r\n\r\n", StatusFailed, "far_fault", ""},
		{"i failed waited=1.5 0\r\n\r\n", StatusFailed, "", ""},
	}
	for _, c := range cases {
		t.Run(c.in, func(t *testing.T) {
			ended := 0
			p := parser{
				buffers:       bufpool.New(4),
				onStart:       func(id string) bool { return id == "i" },
				onProbeAnswer: func(string) { t.Error("a response was parsed as a probe answer") },
			}
			p.onResponse = func(id string, r Response, failure error) error {
				ended++
				body := string(bytes.Join(r.Body.Parts(), nil))
				if id != "i" || failure != nil || r.Status != c.status || r.CacheStatus != c.cacheStatus || body != c.body {
					t.Errorf("id %q, status %q, cache status %q, body %q, %v", id, r.Status, r.CacheStatus, body, failure)
				}
				r.Body.Free()
				return nil
			}
			if err := p.parse([]byte(c.in)); err != nil || ended != 1 {
				t.Errorf("%d responses, %v", ended, err)
			}
		})
	}
}

// TestGoldenProbeAnswers guards against a form of a probe answer that the parser no longer accepts.
func TestGoldenProbeAnswers(t *testing.T) {
	for _, in := range []string{"1 well\r\n", "1 ill\r\n", "1 well - 0\r\n\r\n", "1 ill n=local 0\r\n\r\n", "1 well x\r\n"} {
		t.Run(in, func(t *testing.T) {
			ids := ""
			p := parser{
				buffers:       bufpool.New(1),
				onStart:       func(string) bool { return false },
				onProbeAnswer: func(id string) { ids += id },
			}
			if err := p.parse([]byte(in)); err != nil || ids != probeID || p.midResponse() {
				t.Errorf("ids %q, within a response %v, %v", ids, p.midResponse(), err)
			}
		})
	}
}
