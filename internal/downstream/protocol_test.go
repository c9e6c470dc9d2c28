package downstream

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"tallyproxy/internal/bufpool"
	"tallyproxy/policy"
)

func frame(words ...string) []byte {
	out := redcon.AppendArray(nil, len(words))
	for _, w := range words {
		out = redcon.AppendBulkString(out, w)
	}
	return out
}

const fields = "txn=9b1f03aa5c7e2d41,limit=1500,item=7f3a9c21e0b4d655,n=3,shard=17"

// all feeds a parser pieces of a size and writes down what it makes of them.
func all(data []byte, piece int) (got []string, err error) {
	p := parser{pool: bufpool.New(1)}
	for len(data) > 0 {
		n := copy(p.space(), data[:min(piece, len(data))])
		p.fed(n)
		data = data[n:]
		for {
			msg, ok, err := p.next()
			if err != nil {
				return got, err
			}
			if !ok {
				break
			}
			got = append(got, fmt.Sprintf("%s %d %s %d", msg.verb, msg.tag, msg.ask.Object, len(msg.ask.bytes)))
		}
	}
	return got, nil
}

func TestFramesInPieces(t *testing.T) {
	body := strings.Repeat("\r\n*$", 12_000) // 48,000 bytes, the largest
	data := bytes.Join([][]byte{
		frame("ASK", "7", "segment", fields), frame("STATUS", "8", ""), frame("ASK", "9", "cover", fields, body),
		frame("NEVERMIND", "7"), frame("SING", "10"),
	}, nil)
	want := []string{"ASK 7 7f3a9c21e0b4d655 0", "STATUS 8  0", "ASK 9 7f3a9c21e0b4d655 48000", "NEVERMIND 7  0", " 10  0"}
	for _, piece := range []int{1, 7, 1000, bufpool.BufferSize, len(data)} {
		if piece == 1 {
			data := bytes.Replace(data, []byte(body), nil, 1) // a byte at a time, without the long one's body
			data = bytes.Replace(data, []byte("$48000"), []byte("$0"), 1)
			if got, err := all(data, 1); err != nil || len(got) != len(want) {
				t.Errorf("byte by byte: %v, %v", got, err)
			}
			continue
		}
		if got, err := all(data, piece); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("pieces of %d: %v, %v", piece, got, err)
		}
	}
}

func TestFramesThatEndTheConnection(t *testing.T) {
	cases := []struct{ name, in string }{
		{"no array", "GET / HTTP/1.1\r\n"},
		{"a length below 0", "*2\r\n$-9999999\r\nxx\r\n"},
		{"a length beyond all", "*2\r\n$9223372036854775807\r\nxx\r\n"},
		{"too long", "*2\r\n$3\r\nASK\r\n$70000\r\n" + strings.Repeat("x", 70_000)},
		{"no tag", string(frame("ASK"))},
		{"nothing", "*0\r\n"},
		{"tag 0", string(frame("ASK", "0", "segment", fields))},
		{"tag below 0", string(frame("STATUS", "-1"))},
		{"a length in words", "*2\r\n$x\r\nxx\r\n"},
		{"a length that does not end", "*2\r\n$" + strings.Repeat("0", 99)},
		{"60 MB are announced", "*5\r\n$3\r\nASK\r\n$1\r\n7\r\n$1\r\nx\r\n$1\r\nx\r\n$60000000\r\n"},
		{"a body that does not end", "*2\r\n$3\r\nASKx\r\n$1\r\n7\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, err := all(append(frame("STATUS", "8"), c.in...), 4096); err == nil || len(got) != 1 {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
}

func TestAsk(t *testing.T) {
	types := map[string]*policy.ContentType{"segment": site.Settings.ContentTypes[0], "cover": site.Settings.ContentTypes[1]}
	key := strings.Repeat("5c0f6e1a", 4)
	whole := Request{
		Type: types["segment"], TypeName: "segment", TransactionID: "9b1f03aa5c7e2d41", Object: "7f3a9c21e0b4d655", Part: 3, Group: 17,
		IfNoneMatch: "4be0c1927d55a6f3", IsRetry: true, Timeout: 1500 * time.Millisecond, bytes: []byte("b"),
	}
	msg, err := parse([][]byte{[]byte("ASK"), []byte("7"), []byte("segment"),
		[]byte(fields + ",second=1,mine=4be0c1927d55a6f3"), []byte("b")})
	if fault := msg.ask.admit(types); err != nil || fault != nil || !reflect.DeepEqual(msg.ask, whole) {
		t.Errorf("got %+v, %v, %v", msg.ask, err, fault)
	}
	cases := []struct{ name, sort, old, new string }{
		{"a content type", "song", "", ""}, {"no txn", "segment", "txn=9b1f03aa5c7e2d41,", ""},
		{"no item", "segment", "item=7f3a9c21e0b4d655,", ""}, {"no limit", "segment", "limit=1500,", ""},
		{"no part", "segment", "n=3,", ""}, {"no shard", "segment", ",shard=17", ""},
		{"limit 0", "segment", "1500", "0"}, {"limit in words", "segment", "1500", "soon"},
		{"limit over the type's", "segment", "1500", "2001"}, {"limit beyond numbers", "segment", "1500", "99999999999999999999999"},
		{"part below 0", "segment", "n=3", "n=-3"}, {"part no number", "segment", "n=3", "n=nan"},
		{"part too large", "segment", "n=3", "n=65536"}, {"a part of what has none", "cover", "n=3", "n=3,unique=" + key},
		{"shard no number", "segment", "shard=17", "shard=x"}, {"shard too large", "segment", "shard=17", "shard=256"},
		{"a sign", "segment", "shard=17", "shard=+17"}, {"a line end", "segment", "7f3a", "7\r\na"},
		{"a blank", "segment", "9b1f", "9 1f"}, {"no digits", "segment", "9b1f", "gggg"}, {"too long", "segment", "9b1f", "9b1f9"},
		{"held", "segment", "n=3", "n=3,mine=a b"}, {"second", "segment", "n=3", "n=3,second=2"},
		{"a key where none belongs", "segment", "n=3", "n=3,unique=" + key}, {"no key", "cover", "n=3", "n=0"},
		{"half a key", "cover", "n=3", "n=0,unique=5c0f"}, {"a field twice", "segment", "n=3", "n=3,n=3"},
		{"an unknown field", "segment", "n=3", "n=3,novelty=1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(fields, c.old, c.new, 1)
			a := parseAsk([][]byte{[]byte(c.sort), []byte(text)})
			if err := a.admit(types); err == nil {
				t.Errorf("%s was taken as %+v", text, a)
			}
		})
	}
	a := parseAsk([][]byte{[]byte("cover"), []byte(strings.Replace(fields, "n=3", "n=0,unique="+key, 1)), nil})
	if err := a.admit(types); err != nil || a.IdempotencyKey != key {
		t.Errorf("a deduped one: %+v, %v", a, err)
	}
}

func FuzzParser(f *testing.F) {
	f.Add(frame("ASK", "7", "segment", fields, "body"), 3)
	f.Add([]byte("*2\r\n$-5\r\nxx\r\n"), 1)
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"), 100)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		piece = max(1, piece)
		whole, wholeErr := all(data, len(data)+1)
		pieces, err := all(data, piece)
		if len(data) < bufpool.BufferSize && (!reflect.DeepEqual(whole, pieces) || (err == nil) != (wholeErr == nil)) {
			t.Errorf("whole %v, %v; in pieces %v, %v", whole, wholeErr, pieces, err)
		}
	})
}
