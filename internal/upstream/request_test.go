package upstream

import (
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
)

// TestAppendRequest guards against fields that are missing or in the wrong form, such as a duration
// below 1 ms that is sent as 0.
func TestAppendRequest(t *testing.T) {
	body := bufpool.New(1).NewBody(0)
	body.Append([]byte("\r\n"))
	cases := []struct {
		name    string
		request Request
		want    string
	}{
		{"bare", Request{ID: "a1", ContentType: "clip", Object: "o", Timeout: 1500 * time.Millisecond},
			"want a1 sort=clip,asset=o,slice=0,patience=1500 0\r\n\r\n"},
		{"a part of a millisecond", Request{ID: "a1", ContentType: "clip", Object: "o", Timeout: 1, MaxAge: 1},
			"want a1 sort=clip,asset=o,slice=0,patience=1,oldest=1 0\r\n\r\n"},
		{"all", Request{ID: "a1", ContentType: "clip", Object: "o", Part: 3, Timeout: time.Second, IdempotencyKey: "k", SourceID: "p1", CacheRank: 2,
			MaxAge: 90 * time.Millisecond, Coalesce: true, OnlyIfCached: true, Revalidate: true, ClientTag: "v1", Body: body},
			"want a1 sort=clip,asset=o,slice=3,patience=1000,op=k,from=p1,rank=2,oldest=90,mode=join+held+renew,seen=v1 2\r\n" +
				"\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := string(appendRequest(nil, &c.request)); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
