// Command 6 plays a case of the second review: clients that send as many requests at once as may be
// open on a connection.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"tallyproxy/review/stage"
)

const (
	objectBytes = 240_000    // the most that an object has
	open        = 32         // requests that may be open on one connection
	clients     = 5          // with a connection each
	pace        = 12_000_000 // bytes a second that each client reads
	memoryMB    = 64         // of the director
	volleys     = 3
	period      = 2 * time.Second // of a volley, so that 80 requests a second are asked
)

func main() { os.Exit(play()) }

// result is what became of the requests of the clients.
type result struct {
	mu                              sync.Mutex
	served, refused, failed, cutOff int
	lost                            int
}

func play() int {
	dir, path := os.Args[1], os.Args[2]
	record, err := stage.NewRecord(path)
	if err != nil {
		fmt.Println(err)
		return stage.NoRun
	}
	defer record.Close()
	fail := func(err error) int {
		record.Say("could not run: %v", err)
		return stage.NoRun
	}
	channel, err := stage.NewChannel(record, "127.0.0.1")
	if err != nil {
		return fail(err)
	}
	defer channel.Close()
	body := make([]byte, objectBytes)
	serve := func(w stage.Want) {
		record.Add("%s gets %s, part %s of %s", w.Conn.Node.Name, w.ID, w.Fields["slice"], w.Fields["asset"])
		time.Sleep(5 * time.Millisecond)
		w.AnswerBody("data", fmt.Sprintf("n=local,ver=%s,born=%d", stage.Hex(16), stage.UnixMillis(time.Now())), body)
	}
	var nodes []*stage.Node
	for _, n := range []struct{ name, zone, kind string }{
		{"box-0", "depot-1", "compact"}, {"box-1", "depot-1", "compact"}, {"box-2", "depot-1", "standard"}, {"box-3", "depot-1", "compact"},
		{"parent-0", "north", "parent"}, {"parent-1", "south", "parent"}, {"archive", "north", "origin"},
	} {
		node, err := stage.NewNode(n.name, "127.0.0.1", n.zone, n.kind, serve)
		if err != nil {
			return fail(err)
		}
		nodes = append(nodes, node)
	}
	channel.PublishNodes("up", nodes...)
	address, err := stage.FreeAddress(stage.Host())
	if err != nil {
		return fail(err)
	}
	director, err := stage.NewDirector(record, dir, "n0", address)
	if err != nil {
		return fail(err)
	}
	defer director.Kill()
	limits := stage.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: 1024}
	if err := director.Start(stage.Config("n0", address, channel.Address, channel.Known(), stage.Settings(1), limits), ""); err != nil {
		return fail(err)
	}
	time.Sleep(time.Second)
	var total result
	for volley := range volleys {
		next := time.Now().Add(period)
		var group sync.WaitGroup
		for i := range clients {
			group.Go(func() {
				if err := ask(record, address, i, &total); err != nil {
					record.Add("client %d: %v", i, err)
				}
			})
		}
		group.Wait()
		record.Add("volley %d is over, memory of the director: %s", volley, status(director.Pid()))
		time.Sleep(time.Until(next))
	}
	if !director.Running() {
		record.Say("BROKEN: the director ended")
		return stage.Broken
	}
	director.Signal(syscall.SIGTERM)
	record.Say("%d served, %d refused, %d failed, %d cut off in the middle of their answer, %d lost with no byte of an answer",
		total.served, total.refused, total.failed, total.cutOff, total.lost)
	if total.served == 0 {
		return fail(errors.New("nothing was served"))
	}
	if total.lost > 0 {
		record.Say("BROKEN: no download is lost")
		return stage.Broken
	}
	record.Say("held")
	return stage.Held
}

// status returns the peak memory of a process.
func status(pid int) string {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return err.Error()
	}
	defer func() { _ = file.Close() }()
	text := ""
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if line := lines.Text(); len(line) > 5 && (line[:5] == "VmHWM" || line[:5] == "VmRSS") {
			text += line + " "
		}
	}
	return text
}

// slowConn reads no faster than the pace.
type slowConn struct {
	net.Conn
	began time.Time
	read  int
}

// Read reads some bytes, and returns no sooner than the pace allows.
func (s *slowConn) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b[:min(len(b), 16<<10)])
	if s.began.IsZero() {
		s.began = time.Now()
	}
	s.read += n
	time.Sleep(time.Until(s.began.Add(time.Duration(float64(s.read) / float64(pace) * float64(time.Second)))))
	return n, err
}

// ask asks for the parts of one clip over one connection: all at once or, without the disruption,
// one after another.
func ask(record *stage.Record, address string, client int, total *result) error {
	conn, err := stage.DialTablet(address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReaderSize(&slowConn{Conn: conn}, 16<<10)
	item, together := stage.Hex(16), open
	if !stage.Disturbed() {
		together = 1
	}
	for tag := 1; tag <= open; tag += together {
		var text []byte
		for n := range together {
			request := stage.Ask{Class: "preview-clip", Txn: stage.Hex(16), Limit: 6 * time.Second, Item: item, Part: tag + n}
			record.Add("client %d sends %s, part %d of %s", client, request.Txn, request.Part, item)
			text = append(text, request.Encode(tag+n)...)
		}
		if _, err := conn.Write(text); err != nil {
			return err
		}
		if !readAnswers(record, r, client, together, total) {
			return nil
		}
	}
	return nil
}

// readAnswers reads the answers to the open requests. It returns false if the connection ended.
func readAnswers(record *stage.Record, r *bufio.Reader, client, count int, total *result) bool {
	for left := count; left > 0; left-- {
		_, err := r.Peek(1)
		begun := err == nil
		a, err := stage.ReadAnswer(r)
		total.mu.Lock()
		if err != nil {
			if begun { // an answer that was begun and is not whole has failed, and is not lost
				total.cutOff++
				left--
			}
			total.lost += left
			total.mu.Unlock()
			record.Add("client %d: its connection ended, and %d requests have no byte of an answer: %v", client, left, err)
			return false
		}
		switch a.Word {
		case "200":
			total.served++
		case "503":
			total.refused++
		default:
			total.failed++
		}
		total.mu.Unlock()
		record.Add("client %d: answer %s to tag %d, %d bytes", client, a.Word, a.Tag, len(a.Body))
	}
	return true
}
