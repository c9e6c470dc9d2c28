package fakes

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
)

// effects of keys at quick nodes; the stripes keep its lock out of the way.
type instantEffects struct {
	stripe [64]struct {
		sync.Mutex
		times map[string]int
	}
}

func (q *instantEffects) add(key string) {
	s := &q.stripe[key[len(key)-1]%64]
	s.Lock()
	defer s.Unlock()
	if s.times == nil {
		s.times = map[string]int{}
	}
	s.times[key]++
}

// RepeatedInstantEffects is how many keys had their effect more than once at nodes that keep up.
func (w *Cluster) RepeatedInstantEffects() (n int) {
	for i := range w.instantEffects.stripe {
		s := &w.instantEffects.stripe[i]
		s.Lock()
		for _, times := range s.times {
			if times > 1 {
				n++
			}
		}
		s.Unlock()
	}
	return n
}

// serveInstantly answers at once, whatever is asked: a node that keeps up, for measuring directors. Answers to what has come
// together go out together.
func (n *Node) serveInstantly(nc net.Conn) {
	defer nc.Close()
	in, out := bufio.NewReaderSize(nc, 64<<10), bufio.NewWriterSize(nc, 64<<10)
	bodies := map[string][]byte{}
	for i := range n.cluster.ContentTypes {
		t := &n.cluster.ContentTypes[i]
		bodies[t.Name] = bytes.Repeat([]byte("0123456789abcdef"), max(1, int(t.MeanTransfer.Microseconds())/16)) // a byte a µs
	}
	for {
		if in.Buffered() == 0 {
			if out.Flush() != nil {
				return
			}
		}
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		verb, rest, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(" "))
		switch string(verb) {
		case "there":
			fmt.Fprintf(out, "%s well - 0\r\n\r\n", rest)
		case "want":
			id, rest, _ := bytes.Cut(rest, []byte(" "))
			fields, size, _ := bytes.Cut(rest, []byte(" "))
			var sort, asset, op []byte
			for field := range bytes.SplitSeq(fields, []byte(",")) {
				name, value, _ := bytes.Cut(field, []byte("="))
				switch string(name) {
				case "sort":
					sort = value
				case "asset":
					asset = value
				case "op":
					op = value
				}
			}
			body := bodies[string(sort)]
			out.Write(id)
			out.WriteString(" data n=local,ver=0000000000000001,born=1 ")
			out.WriteString(strconv.Itoa(len(asset) + len(body)))
			out.WriteString("\r\n")
			out.Write(asset)
			out.Write(body)
			out.WriteString("\r\n")
			if len(op) > 0 {
				n.cluster.instantEffects.add(string(op))
			}
			bytes, _ := strconv.Atoi(string(size))
			if _, err := io.CopyN(io.Discard, in, int64(bytes)+2); err != nil {
				return
			}
		}
	}
}
