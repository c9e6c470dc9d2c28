package downstream

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"tallyproxy/policy"
)

// TestRequest guards against fields that are parsed incorrectly and against invalid requests that
// are accepted.
func TestRequest(t *testing.T) {
	types := map[string]*policy.ContentType{"segment": site.ContentTypes[0], "cover": site.ContentTypes[1]}
	key := strings.Repeat("5c0f6e1a", 4)
	want := Request{
		Type: types["segment"], TypeName: "segment", TransactionID: "9b1f03aa5c7e2d41", Object: "7f3a9c21e0b4d655", Part: 3, Group: 17,
		IfNoneMatch: "4be0c1927d55a6f3", IsRetry: true, Timeout: 1500 * time.Millisecond, rawBody: []byte("b"),
	}
	msg, err := parseMessage([][]byte{[]byte("ASK"), []byte("7"), []byte("segment"),
		[]byte(fields + ",second=1,mine=4be0c1927d55a6f3"), []byte("b")})
	if validationErr := msg.request.validate(types); err != nil || validationErr != nil || !reflect.DeepEqual(msg.request, want) {
		t.Errorf("got %+v, %v, %v", msg.request, err, validationErr)
	}
	cases := []struct{ name, contentType, old, new string }{
		{"a content type", "song", "", ""}, {"no txn", "segment", "txn=9b1f03aa5c7e2d41,", ""},
		{"no item", "segment", "item=7f3a9c21e0b4d655,", ""}, {"no limit", "segment", "limit=1500,", ""},
		{"no part", "segment", "n=3,", ""}, {"no shard", "segment", ",shard=17", ""},
		{"limit 0", "segment", "1500", "0"}, {"limit not a number", "segment", "1500", "soon"},
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
			request := parseRequest([][]byte{[]byte(c.contentType), []byte(text)})
			if err := request.validate(types); err == nil {
				t.Errorf("%s was accepted as %+v", text, request)
			}
		})
	}
	request := parseRequest([][]byte{[]byte("cover"), []byte(strings.Replace(fields, "n=3", "n=0,unique="+key, 1)), nil})
	if err := request.validate(types); err != nil || request.IdempotencyKey != key {
		t.Errorf("request with a key: %+v, %v", request, err)
	}
}
