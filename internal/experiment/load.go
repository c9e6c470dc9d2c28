package experiment

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/redcon"

	"tallyproxy/internal/fakes"
)

// stream is one connection that asks for one download after another, many at a time, and checks what it gets.
type stream struct {
	w       *fakes.Cluster
	addr    string
	depth   int           // asked for together
	every   time.Duration // between one download and the next; 0: the next as soon as one ends
	rand    *rand.Rand
	zipf    *fakes.Zipf
	nc      net.Conn
	tag     int
	open    map[int]asked
	out     []byte
	counted bool // after the warm-up

	hist                                                     *hdrhistogram.Histogram
	fulfilled, throttled, failed, lost, twice, wrong, refuse int
}

type asked struct {
	object string
	due    time.Time // when it was to be sent
}

func newStream(w *fakes.Cluster, addr string, depth int, every time.Duration, seed uint64) *stream {
	return &stream{
		w: w, addr: addr, depth: depth, every: every, rand: rand.New(rand.NewPCG(seed, 3)),
		zipf: fakes.NewZipf(w.Objects, w.ZipfExponent), open: map[int]asked{}, hist: hdrhistogram.New(1, 10_000_000, 3),
	}
}

// ask words the next download, due at a time.
func (s *stream) ask(due time.Time) {
	o := s.w.DrawObject(s.rand, s.zipf)
	s.tag++
	fields := fmt.Sprintf("txn=%016x,limit=%d,item=%s,n=0,shard=%d", s.rand.Uint64(), o.Type.Timeout.Milliseconds(), o.ID, o.Group)
	if o.Type.IdempotentWithKey {
		fields += fmt.Sprintf(",unique=%016x%016x", s.rand.Uint64(), s.rand.Uint64())
	}
	s.out = redcon.AppendArray(s.out, 4)
	for _, w := range []string{"ASK", strconv.Itoa(s.tag), o.Type.Name, fields} {
		s.out = redcon.AppendBulkString(s.out, w)
	}
	s.open[s.tag] = asked{o.ID, due}
}

// run asks until the context ends; what is counted begins at a time.
func (s *stream) run(ctx context.Context, from time.Time) error {
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		return err
	}
	s.nc = nc
	defer nc.Close()
	in, buf := []byte(nil), make([]byte, 256<<10)
	next := time.Now()
	for {
		now := time.Now()
		s.counted = now.After(from)
		over := ctx.Err() != nil
		switch {
		case over && len(s.open) == 0:
			return nil
		case over:
		case s.every == 0:
			for len(s.open) < s.depth {
				s.ask(now)
			}
		default: // what is due is due, whether there is room or not: its time counts from then
			for len(s.open) < 32 && !next.After(now) {
				s.ask(next)
				next = next.Add(s.every)
			}
		}
		if len(s.out) > 0 {
			if _, err := nc.Write(s.out); err != nil {
				s.lost += len(s.open)
				return err
			}
			s.out = s.out[:0]
		}
		until := now.Add(10 * time.Second)
		if s.every > 0 && !over && len(s.open) < 32 {
			until = next
		}
		nc.SetReadDeadline(until)
		n, err := nc.Read(buf)
		if timed, ok := err.(net.Error); ok && timed.Timeout() && time.Now().Before(now.Add(9*time.Second)) {
			continue
		}
		if err != nil {
			s.lost += len(s.open)
			return err
		}
		came := time.Now()
		in = append(in, buf[:n]...)
		rest := in
		for {
			whole, words, _, left, err := redcon.ReadNextCommand(rest, nil)
			if err != nil {
				return err
			}
			if !whole {
				break
			}
			s.answered(words, came)
			rest = left
		}
		in = append(in[:0], rest...)
	}
}

func (s *stream) answered(words [][]byte, came time.Time) {
	tag, _ := strconv.Atoi(string(words[0]))
	a, ok := s.open[tag]
	if !ok {
		s.twice++
		return
	}
	delete(s.open, tag)
	if !s.counted {
		return
	}
	switch string(words[1]) {
	case "200":
		s.fulfilled++
		if !bytes.HasPrefix(words[3], []byte(a.object)) {
			s.wrong++
		}
		s.hist.RecordValue(max(1, came.Sub(a.due).Microseconds()))
	case "503":
		s.throttled++
	default:
		s.failed++
	}
}
