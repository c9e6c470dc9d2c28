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

// loadConnection is one connection that asks for one download after another, many at a time, and checks what it gets.
type loadConnection struct {
	cluster  *fakes.Cluster
	addr     string
	depth    int           // asked for together
	interval time.Duration // between one download and the next; 0: the next as soon as one ends
	rand     *rand.Rand
	zipf     *fakes.Zipf
	conn     net.Conn
	tag      int
	pending  map[int]pendingRequest
	unsent   []byte
	counted  bool // after the warm-up

	hist                                                               *hdrhistogram.Histogram
	succeeded, rejected, failed, lost, duplicates, wrongBodies, refuse int
}

type pendingRequest struct {
	object string
	due    time.Time // when it was to be sent
}

func newLoadConnection(w *fakes.Cluster, addr string, depth int, every time.Duration, seed uint64) *loadConnection {
	return &loadConnection{
		cluster: w, addr: addr, depth: depth, interval: every, rand: rand.New(rand.NewPCG(seed, 3)),
		zipf: fakes.NewZipf(w.Objects, w.ZipfExponent), pending: map[int]pendingRequest{}, hist: hdrhistogram.New(1, 10_000_000, 3),
	}
}

// appendRequest words the next download, due at a time.
func (s *loadConnection) appendRequest(due time.Time) {
	o := s.cluster.DrawObject(s.rand, s.zipf)
	s.tag++
	fields := fmt.Sprintf("txn=%016x,limit=%d,item=%s,n=0,shard=%d", s.rand.Uint64(), o.Type.Timeout.Milliseconds(), o.ID, o.Group)
	if o.Type.IdempotentWithKey {
		fields += fmt.Sprintf(",unique=%016x%016x", s.rand.Uint64(), s.rand.Uint64())
	}
	s.unsent = redcon.AppendArray(s.unsent, 4)
	for _, w := range []string{"ASK", strconv.Itoa(s.tag), o.Type.Name, fields} {
		s.unsent = redcon.AppendBulkString(s.unsent, w)
	}
	s.pending[s.tag] = pendingRequest{o.ID, due}
}

// run asks until the context ends; what is counted begins at a time.
func (s *loadConnection) run(ctx context.Context, from time.Time) error {
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		return err
	}
	s.conn = nc
	defer nc.Close()
	in, buf := []byte(nil), make([]byte, 256<<10)
	next := time.Now()
	for {
		now := time.Now()
		s.counted = now.After(from)
		over := ctx.Err() != nil
		switch {
		case over && len(s.pending) == 0:
			return nil
		case over:
		case s.interval == 0:
			for len(s.pending) < s.depth {
				s.appendRequest(now)
			}
		default: // what is due is due, whether there is room or not: its time counts from then
			for len(s.pending) < 32 && !next.After(now) {
				s.appendRequest(next)
				next = next.Add(s.interval)
			}
		}
		if len(s.unsent) > 0 {
			if _, err := nc.Write(s.unsent); err != nil {
				s.lost += len(s.pending)
				return err
			}
			s.unsent = s.unsent[:0]
		}
		until := now.Add(10 * time.Second)
		if s.interval > 0 && !over && len(s.pending) < 32 {
			until = next
		}
		nc.SetReadDeadline(until)
		n, err := nc.Read(buf)
		if timed, ok := err.(net.Error); ok && timed.Timeout() && time.Now().Before(now.Add(9*time.Second)) {
			continue
		}
		if err != nil {
			s.lost += len(s.pending)
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
			s.handleAnswer(words, came)
			rest = left
		}
		in = append(in[:0], rest...)
	}
}

func (s *loadConnection) handleAnswer(words [][]byte, came time.Time) {
	tag, _ := strconv.Atoi(string(words[0]))
	a, ok := s.pending[tag]
	if !ok {
		s.duplicates++
		return
	}
	delete(s.pending, tag)
	if !s.counted {
		return
	}
	switch string(words[1]) {
	case "200":
		s.succeeded++
		if !bytes.HasPrefix(words[3], []byte(a.object)) {
			s.wrongBodies++
		}
		s.hist.RecordValue(max(1, came.Sub(a.due).Microseconds()))
	case "503":
		s.rejected++
	default:
		s.failed++
	}
}
