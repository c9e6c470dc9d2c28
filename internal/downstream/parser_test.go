package downstream

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"tallyproxy/internal/bufpool"
)

// parseInPieces feeds data to a parser in pieces of the given size. It returns the messages as
// text: command, tag, object and body length.
func parseInPieces(data []byte, piece int) (got []string, err error) {
	p := parser{pool: bufpool.New(1)}
	for len(data) > 0 {
		n := copy(p.readBuffer(), data[:min(piece, len(data))])
		p.advance(n)
		data = data[n:]
		for {
			msg, ok, err := p.next()
			if err != nil {
				return got, err
			}
			if !ok {
				break
			}
			got = append(got, fmt.Sprintf("%s %d %s %d", msg.command, msg.tag, msg.request.Object, len(msg.request.rawBody)))
		}
	}
	return got, nil
}

// TestFramesInPieces guards against messages that depend on how their bytes are split between
// reads.
func TestFramesInPieces(t *testing.T) {
	body := strings.Repeat("\r\n*$", 12_000) // 48,000 bytes, the maximum
	data := bytes.Join([][]byte{
		frame("ASK", "7", "segment", fields), frame("STATUS", "8", ""), frame("ASK", "9", "cover", fields, body),
		frame("NEVERMIND", "7"), frame("SING", "10"),
	}, nil)
	want := []string{"ASK 7 7f3a9c21e0b4d655 0", "STATUS 8  0", "ASK 9 7f3a9c21e0b4d655 48000", "NEVERMIND 7  0", " 10  0"}
	for _, piece := range []int{1, 7, 1000, bufpool.BufferSize, len(data)} {
		if piece == 1 {
			// one byte at a time, without the long body
			data := bytes.Replace(data, []byte(body), nil, 1)
			data = bytes.Replace(data, []byte("$48000"), []byte("$0"), 1)
			if got, err := parseInPieces(data, 1); err != nil || len(got) != len(want) {
				t.Errorf("byte by byte: %v, %v", got, err)
			}
			continue
		}
		if got, err := parseInPieces(data, piece); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("pieces of %d: %v, %v", piece, got, err)
		}
	}
}

// TestMalformedFrames guards against accepting frames after which the input can no longer be
// parsed.
func TestMalformedFrames(t *testing.T) {
	cases := []struct{ name, in string }{
		{"no array", "GET / HTTP/1.1\r\n"},
		{"a length below 0", "*2\r\n$-9999999\r\nxx\r\n"},
		{"a length that overflows", "*2\r\n$9223372036854775807\r\nxx\r\n"},
		{"too long", "*2\r\n$3\r\nASK\r\n$70000\r\n" + strings.Repeat("x", 70_000)},
		{"no tag", string(frame("ASK"))},
		{"nothing", "*0\r\n"},
		{"tag 0", string(frame("ASK", "0", "segment", fields))},
		{"tag below 0", string(frame("STATUS", "-1"))},
		{"a length that is not a number", "*2\r\n$x\r\nxx\r\n"},
		{"a length that does not end", "*2\r\n$" + strings.Repeat("0", 99)},
		{"60 MB are announced", "*5\r\n$3\r\nASK\r\n$1\r\n7\r\n$1\r\nx\r\n$1\r\nx\r\n$60000000\r\n"},
		{"a body that does not end", "*2\r\n$3\r\nASKx\r\n$1\r\n7\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got, err := parseInPieces(append(frame("STATUS", "8"), c.in...), 4096); err == nil || len(got) != 1 {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
}

// FuzzParser checks that messages and errors do not depend on how the input is split into pieces.
func FuzzParser(f *testing.F) {
	f.Add(frame("ASK", "7", "segment", fields, "body"), 3)
	f.Add([]byte("*2\r\n$-5\r\nxx\r\n"), 1)
	f.Add([]byte("*1\r\n$4\r\nPING\r\n"), 100)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		piece = max(1, piece)
		want, wantErr := parseInPieces(data, len(data)+1)
		got, err := parseInPieces(data, piece)
		if len(data) < bufpool.BufferSize && (!reflect.DeepEqual(want, got) || (err == nil) != (wantErr == nil)) {
			t.Errorf("in one piece %v, %v; in pieces %v, %v", want, wantErr, got, err)
		}
	})
}
