package downstream

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/policy"
)

// TestGoldenRequests fixes the bytes that clients send and the messages parsed from them. The bytes
// are defined by the platform's protocol and must never be regenerated.
func TestGoldenRequests(t *testing.T) {
	const plain = "txn=9b1f03aa5c7e2d41,limit=1500,item=7f3a9c21e0b4d655,n=3,shard=17"
	cases := []struct {
		name, frame string
		command     string
		tag         uint64
		request     Request
	}{
		{
			name:    "a read",
			frame:   "*4\r\n$3\r\nASK\r\n$1\r\n7\r\n$7\r\nsegment\r\n$66\r\n" + plain + "\r\n",
			command: "ASK", tag: 7,
			request: Request{
				Type: site.ContentTypes[0], TypeName: "segment", TransactionID: "9b1f03aa5c7e2d41", Object: "7f3a9c21e0b4d655", Part: 3, Group: 17,
				Timeout: 1500 * time.Millisecond,
			},
		},
		{
			name: "every field of a read",
			frame: "*5\r\n$3\r\nASK\r\n$20\r\n18446744073709551615\r\n$7\r\nsegment\r\n$97\r\n" + plain +
				",second=1,mine=4be0c1927d55a6f3\r\n$4\r\nbo\r\n\r\n",
			command: "ASK", tag: 18446744073709551615,
			request: Request{
				Type: site.ContentTypes[0], TypeName: "segment", TransactionID: "9b1f03aa5c7e2d41", Object: "7f3a9c21e0b4d655", Part: 3, Group: 17,
				IfNoneMatch: "4be0c1927d55a6f3", IsRetry: true, Timeout: 1500 * time.Millisecond, rawBody: []byte("bo\r\n"),
			},
		},
		{
			name: "every field of a request with a key",
			frame: "*5\r\n$3\r\nASK\r\n$2\r\n41\r\n$5\r\ncover\r\n$138\r\n" +
				"shard=255,n=0,item=7F3A9C21E0B4D655,limit=2000,txn=0000000000000001,mine=4be0c1927d55a6f3,second=1," +
				"unique=5c0f6e1a5c0f6e1a5c0f6e1a5c0f6e1a\r\n$0\r\n\r\n",
			command: "ASK", tag: 41,
			request: Request{
				Type: site.ContentTypes[1], TypeName: "cover", TransactionID: "0000000000000001", Object: "7F3A9C21E0B4D655", Group: 255,
				IdempotencyKey: "5c0f6e1a5c0f6e1a5c0f6e1a5c0f6e1a", IfNoneMatch: "4be0c1927d55a6f3", IsRetry: true, Timeout: 2 * time.Second, rawBody: []byte{},
			},
		},
		{name: "a cancel", frame: "*2\r\n$9\r\nNEVERMIND\r\n$1\r\n7\r\n", command: "NEVERMIND", tag: 7},
		{name: "a status", frame: "*2\r\n$6\r\nSTATUS\r\n$1\r\n8\r\n", command: "STATUS", tag: 8},
		{name: "a status with an extra element", frame: "*3\r\n$6\r\nSTATUS\r\n$1\r\n8\r\n$0\r\n\r\n", command: "STATUS", tag: 8},
		{name: "an unknown command", frame: "*2\r\n$4\r\nPING\r\n$1\r\n9\r\n", tag: 9},
		{name: "a cancel with an extra element", frame: "*3\r\n$9\r\nNEVERMIND\r\n$1\r\n7\r\n$0\r\n\r\n", tag: 7},
	}
	types := map[string]*policy.ContentType{"segment": site.ContentTypes[0], "cover": site.ContentTypes[1]}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := parser{pool: bufpool.New(1)}
			p.advance(copy(p.readBuffer(), c.frame))
			msg, ok, err := p.next()
			if !ok || err != nil {
				t.Fatalf("got %t, %v", ok, err)
			}
			if msg.command == "ASK" {
				if err := msg.request.validate(types); err != nil {
					t.Fatal(err)
				}
			}
			if want := (message{command: c.command, tag: c.tag, request: c.request}); !reflect.DeepEqual(msg, want) {
				t.Errorf("got %+v, want %+v", msg, want)
			}
			if p.hasPartial() {
				t.Error("unparsed bytes are left")
			}
		})
	}
}

// TestGoldenResponses fixes the bytes of every response.
func TestGoldenResponses(t *testing.T) {
	srv := startServer(t, 8, 64, 10*time.Second)
	c := srv.dial(t)
	var conn *Conn
	request := func(tag string) func() {
		return func() {
			c.send(t, fmt.Appendf(nil, "*4\r\n$3\r\nASK\r\n$%d\r\n%s\r\n$7\r\nsegment\r\n$66\r\n"+
				"txn=9b1f03aa5c7e2d41,limit=1500,item=7f3a9c21e0b4d655,n=3,shard=17\r\n", len(tag), tag))
			conn = receive(t, srv.requests).conn
		}
	}
	send := func(frame string) func() {
		return func() { c.send(t, []byte(frame)) }
	}
	cases := []struct {
		name    string
		send    func() // sends the client's message
		respond func() // nil if the connection responds by itself
		want    string
	}{
		{"serving", send("*2\r\n$6\r\nSTATUS\r\n$1\r\n1\r\n"), nil, "*4\r\n$1\r\n1\r\n$7\r\nserving\r\n$0\r\n\r\n$0\r\n\r\n"},
		{"serving, with an extra element", send("*3\r\n$6\r\nSTATUS\r\n$1\r\n1\r\n$0\r\n\r\n"), nil, "*4\r\n$1\r\n1\r\n$7\r\nserving\r\n$0\r\n\r\n$0\r\n\r\n"},
		{"a body", request("2"), func() { conn.Succeed(2, srv.body(3), false) }, "*4\r\n$1\r\n2\r\n$3\r\n200\r\n$0\r\n\r\n$3\r\nxxx\r\n"},
		{"an empty body", request("3"), func() { conn.Succeed(3, nil, false) }, "*4\r\n$1\r\n3\r\n$3\r\n200\r\n$0\r\n\r\n$0\r\n\r\n"},
		{
			"a body of several buffers", request("4"), func() { conn.Succeed(4, srv.body(100_000), false) },
			"*4\r\n$1\r\n4\r\n$3\r\n200\r\n$0\r\n\r\n$100000\r\n" + strings.Repeat("x", 100_000) + "\r\n",
		},
		{"the client's copy is valid", request("55"), func() { conn.Succeed(55, nil, true) }, "*4\r\n$2\r\n55\r\n$3\r\n200\r\n$7\r\nstill=1\r\n$0\r\n\r\n"},
		{"rejected, with a retry delay", request("6"), func() { conn.Reject(6, 1250*time.Millisecond) }, "*4\r\n$1\r\n6\r\n$3\r\n503\r\n$10\r\nlater=1250\r\n$0\r\n\r\n"},
		{"rejected, without a retry delay", request("6"), func() { conn.Reject(6, 0) }, "*4\r\n$1\r\n6\r\n$3\r\n503\r\n$0\r\n\r\n$0\r\n\r\n"},
		{
			"no capacity", request("6"), func() { conn.RejectUnsent(6, Request{}) },
			"*4\r\n$1\r\n6\r\n$3\r\n503\r\n$8\r\nlater=70\r\n$0\r\n\r\n",
		},
		{
			"no capacity for a retry with a key", request("6"), func() { conn.RejectUnsent(6, Request{IsRetry: true, IdempotencyKey: "5c"}) },
			"*4\r\n$1\r\n6\r\n$3\r\n500\r\n$0\r\n\r\n$0\r\n\r\n",
		},
		{"failed", request("7"), func() { conn.Fail(7) }, "*4\r\n$1\r\n7\r\n$3\r\n500\r\n$0\r\n\r\n$0\r\n\r\n"},
		{"an unknown command", send("*2\r\n$4\r\nPING\r\n$1\r\n9\r\n"), nil, "*4\r\n$1\r\n9\r\n$3\r\n500\r\n$0\r\n\r\n$0\r\n\r\n"},
		{
			"an unknown content type", send("*4\r\n$3\r\nASK\r\n$1\r\n9\r\n$4\r\nsong\r\n$1\r\nx\r\n"), nil,
			"*4\r\n$1\r\n9\r\n$3\r\n500\r\n$0\r\n\r\n$0\r\n\r\n",
		},
		{
			"not serving", func() { srv.SetNotServing() }, send("*2\r\n$6\r\nSTATUS\r\n$2\r\n10\r\n"),
			"*4\r\n$2\r\n10\r\n$11\r\nnot_serving\r\n$0\r\n\r\n$0\r\n\r\n",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			tc.send()
			if tc.respond != nil {
				tc.respond()
			}
			got := make([]byte, len(tc.want))
			if _, err := io.ReadFull(c.in, got); err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got, []byte(tc.want)) {
				t.Errorf("got %.120q, want %.120q", got, tc.want)
			}
		})
	}
}

// TestGoldenClientHash fixes the hash of a client's address, by which decisions distinguish
// clients.
func TestGoldenClientHash(t *testing.T) {
	cases := []struct {
		address net.Addr
		want    uint64
	}{
		{&net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 1234}, 0xed16cb68c786e3d7},
		{&net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 80}, 0xed16cb68c786e3d7},
		{&net.TCPAddr{IP: net.ParseIP("2001:db8::1"), Port: 1234}, 0x26c33ef1c67e1031},
		{&net.UnixAddr{Net: "unix", Name: "/run/x"}, 0x2ff2c44c9b5125dd},
	}
	for _, c := range cases {
		if got := hashHost(c.address); got != c.want {
			t.Errorf("%s: %#x, want %#x", c.address, got, c.want)
		}
	}
}
