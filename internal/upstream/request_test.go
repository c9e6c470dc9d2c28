package upstream

import (
	"fmt"
	"net"
	"strings"
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

// TestTimeoutAfterWait guards against an endpoint that is told the timeout of the routing decision
// although the request has waited for its connection since: the endpoint would go on after the
// client has given up.
func TestTimeoutAfterWait(t *testing.T) {
	const wait, timeout = 400 * time.Millisecond, time.Second
	f := newFixture(t, testTimeouts, 8)
	dial := f.pool.dial
	f.pool.dial = func(network, address string, timeout time.Duration) (net.Conn, error) {
		time.Sleep(wait)
		return dial(network, address, timeout)
	}
	f.endpoint.Send(Request{ID: "a1", ContentType: "clip", Object: "o", Timeout: timeout}, func(Response, error) {})
	line, err := f.accept().in.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(line, "patience=")
	var patience int64
	if _, err := fmt.Sscanf(rest, "%d", &patience); err != nil {
		t.Fatalf("%q: %v", line, err)
	}
	if left := (timeout - wait).Milliseconds(); patience > left || patience < left/2 {
		t.Errorf("the endpoint was told %d ms, %d ms are left", patience, left)
	}
}
