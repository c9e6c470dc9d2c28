package upstream

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/bufpool"
)

func TestWant(t *testing.T) {
	body := bufpool.New(1).NewBody(0)
	body.Append([]byte("\r\n"))
	cases := []struct {
		name string
		want Request
		out  string
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
			if got := string(appendRequest(nil, &c.want)); got != c.out {
				t.Errorf("got %q, want %q", got, c.out)
			}
		})
	}
}

// hear feeds a reader pieces of a size and writes down what it makes of them.
func hear(p *bufpool.Pool, data []byte, piece int) (got []string, err error) {
	r := parser{buffers: p, onStart: func(id string) bool { return id != "over" }}
	r.onResponse = func(id string, a Response, err error) error {
		got = append(got, fmt.Sprint(id, " ", a.Status, " ", a.CacheStatus, " ", bytes.Join(a.Body.Parts(), nil), " ", err))
		a.Body.Free()
		return nil
	}
	r.onProbeAnswer = func(tag string) { got = append(got, tag+" is there") }
	defer r.close()
	for len(data) > 0 && err == nil {
		n := min(piece, len(data))
		err, data = r.parse(data[:n]), data[n:]
	}
	return got, err
}

func TestAnswersInPieces(t *testing.T) {
	data := []byte("a data ver=9,born=1764576000123,n=local 4\r\n\r\n\r\n\r\nb absent n=rode 0\r\n\r\n" +
		"over data - 3\r\nxyz\r\nover well - 0\r\n\r\n7 ill\r\nc failed n=cut_off,waited=3.5 0\r\n\r\nd data - 0\r\n\r\n")
	want := []string{"a data local [13 10 13 10] <nil>", "b absent rode [] <nil>", "over is there", "7 is there",
		"c failed cut_off [] <nil>", "d data  [] <nil>"}
	p := bufpool.New(4)
	for piece := 1; piece <= len(data); piece++ {
		if got, err := hear(p, data, piece); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("pieces of %d: %q, %v", piece, got, err)
		}
	}
	big := append([]byte("a data - 240000\r\n"), bytes.Repeat([]byte("\n"), 240_000)...)
	if got, err := hear(p, append(big, "\r\nb full - 0\r\n\r\n"...), 4096); err != nil || len(got) != 2 {
		t.Errorf("the largest: %d answers, %v", len(got), err)
	}
	full := bufpool.New(1) // the answer has no room, what follows it is read all the same
	got, err := hear(full, append(big, "\r\nb full - 0\r\n\r\n"...), 4096)
	if err != nil || len(got) != 2 || !strings.Contains(got[0], errNoBuffer.Error()) {
		t.Errorf("without room: %.60q, %v", got, err)
	}
	for _, p := range []*bufpool.Pool{p, full} {
		if out, _ := p.InUse(); out != 0 {
			t.Errorf("%d buffers are still out", out)
		}
	}
}

func TestUnreadableAnswers(t *testing.T) {
	cases := []struct{ name, in string }{
		{"no words", "rubbish\r\n"}, {"no line end", "a data - 0\n"}, {"an unknown word", "a dada - 0\r\n"},
		{"no length", "a data - x\r\n"}, {"a length below 0", "a data - -1\r\n"}, {"a length too large", "a data - 240001\r\n"},
		{"bytes with another word", "a absent - 1\r\nx\r\n"}, {"an empty field", "a data n=,ver=9 0\r\n"},
		{"a field twice", "a data n=local,n=local 0\r\n"}, {"an unknown note", "a data n=lokal 0\r\n"},
		{"a time in words", "a data born=now 0\r\n"}, {"a wait below 0", "a data waited=-1 0\r\n"},
		{"a body that is longer", "a data - 1\r\nxyz\r\n"}, {"a line too long", strings.Repeat("x", maxLineLength+1)},
		{"a line too long in the end", strings.Repeat("x", maxLineLength) + "xx\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, piece := range []int{1, 1 << 20} {
				if got, err := hear(bufpool.New(4), []byte("z full - 0\r\n\r\n"+c.in), piece); err == nil || len(got) != 1 {
					t.Errorf("pieces of %d: %q, %v", piece, got, err)
				}
			}
		})
	}
}

func FuzzReader(f *testing.F) {
	f.Add([]byte("a data n=local 4\r\nbody\r\nb absent - 0\r\n\r\n"), 3)
	f.Add([]byte("over data - 3\r\nxyz\r\n"), 1)
	f.Add([]byte("a data - 99999999999999999999\r\n"), 5)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		p := bufpool.New(8)
		whole, wholeErr := hear(p, data, len(data)+1)
		pieces, err := hear(p, data, max(1, piece))
		if !reflect.DeepEqual(whole, pieces) || (err == nil) != (wholeErr == nil) {
			t.Errorf("whole %q, %v; in pieces %q, %v", whole, wholeErr, pieces, err)
		}
		if out, _ := p.InUse(); out != 0 {
			t.Errorf("%d buffers are still out", out)
		}
	})
}
