package upstream

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"tallyproxy/internal/bufpool"
)

// parseInPieces passes data to a parser in pieces of the given size. It returns a line for each
// response and each probe answer. The response with the ID over is not wanted.
func parseInPieces(buffers *bufpool.Pool, data []byte, size int) (got []string, err error) {
	p := parser{
		buffers: buffers,
		onStart: func(id string) bool { return id != "over" },
		onResponse: func(id string, r Response, failure error) error {
			got = append(got, fmt.Sprintf("%s %s %s %v %v", id, r.Status, r.CacheStatus, bytes.Join(r.Body.Parts(), nil), failure))
			r.Body.Free()
			return nil
		},
		onProbeAnswer: func(id string) { got = append(got, id+" probe answered") },
	}
	defer p.close()
	for len(data) > 0 && err == nil {
		n := min(size, len(data))
		err, data = p.parse(data[:n]), data[n:]
	}
	return got, err
}

// TestResponsesInPieces guards against a result that depends on how the bytes are split among
// reads, and against buffers that are not returned when the pool has too few.
func TestResponsesInPieces(t *testing.T) {
	data := []byte("a data ver=9,born=1764576000123,n=local 4\r\n\r\n\r\n\r\nb absent n=rode 0\r\n\r\n" +
		"over data - 3\r\nxyz\r\nover well - 0\r\n\r\n7 ill\r\nc failed n=cut_off,waited=3.5 0\r\n\r\nd data - 0\r\n\r\n")
	want := []string{"a data local [13 10 13 10] <nil>", "b absent rode [] <nil>", "over probe answered", "7 probe answered",
		"c failed cut_off [] <nil>", "d data  [] <nil>"}
	buffers := bufpool.New(4)
	for piece := 1; piece <= len(data); piece++ {
		if got, err := parseInPieces(buffers, data, piece); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("pieces of %d: %q, %v", piece, got, err)
		}
	}
	largest := append([]byte("a data - 240000\r\n"), bytes.Repeat([]byte("\n"), 240_000)...)
	if got, err := parseInPieces(buffers, append(largest, "\r\nb full - 0\r\n\r\n"...), 4096); err != nil || len(got) != 2 {
		t.Errorf("largest body: %d responses, %v", len(got), err)
	}
	// The body does not fit into the only buffer; the response that follows is still parsed.
	smallPool := bufpool.New(1)
	got, err := parseInPieces(smallPool, append(largest, "\r\nb full - 0\r\n\r\n"...), 4096)
	if err != nil || len(got) != 2 || !strings.Contains(got[0], ErrNoBuffer.Error()) {
		t.Errorf("without enough buffers: %.60q, %v", got, err)
	}
	for _, pool := range []*bufpool.Pool{buffers, smallPool} {
		expectNoneInUse(t, pool)
	}
}

// TestMalformedResponses guards against malformed responses that are accepted, in one read or byte
// by byte.
func TestMalformedResponses(t *testing.T) {
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
				if got, err := parseInPieces(bufpool.New(4), []byte("z full - 0\r\n\r\n"+c.in), piece); err == nil || len(got) != 1 {
					t.Errorf("pieces of %d: %q, %v", piece, got, err)
				}
			}
		})
	}
}

// FuzzParser checks that the result does not depend on how the bytes are split among reads, and
// that all buffers are returned.
func FuzzParser(f *testing.F) {
	f.Add([]byte("a data n=local 4\r\nbody\r\nb absent - 0\r\n\r\n"), 3)
	f.Add([]byte("over data - 3\r\nxyz\r\n"), 1)
	f.Add([]byte("a data - 99999999999999999999\r\n"), 5)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		buffers := bufpool.New(8)
		whole, wholeErr := parseInPieces(buffers, data, len(data)+1)
		pieces, err := parseInPieces(buffers, data, max(1, piece))
		if !reflect.DeepEqual(whole, pieces) || (err == nil) != (wholeErr == nil) {
			t.Errorf("whole %q, %v; in pieces %q, %v", whole, wholeErr, pieces, err)
		}
		expectNoneInUse(t, buffers)
	})
}

// expectNoneInUse checks that all buffers were returned to the pool.
func expectNoneInUse(t *testing.T, buffers *bufpool.Pool) {
	t.Helper()
	if inUse, _ := buffers.InUse(); inUse != 0 {
		t.Errorf("%d buffers are still in use", inUse)
	}
}
