// Command client plays usual clients of one director: each connection has one request open at a
// time, and stays away after a refusal for as long as it is told. It writes what was sent and answered
// to standard output until it is told to end, and then one line with the totals.
//
// A request counts as lost only where the pages leave no excuse: its connection ended at least 50 ms
// after its last byte was written and was not new, or no answer came until half a second after its
// time. The requests that are open when the client itself is told to end do not count.
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	contentType = "thumbnail"
	timeLimit   = 3 * time.Second        // how long a client waits for an answer
	lateLimit   = 500 * time.Millisecond // an answer that is later than this counts as lost
	crossLimit  = 50 * time.Millisecond  // a request may cross the close of a resting connection
	redialPause = 100 * time.Millisecond
	objects     = 200
	groups      = 256
	elements    = 4 // of an answer

	clockFormat = "15:04:05.000000"
)

// totals counts the requests of all connections.
type totals struct {
	mu                                      sync.Mutex
	sent, succeeded, refused, failed, other int // other: excused ends
	lost                                    int
}

// record writes one line and counts by call.
func (t *totals) record(call func(), format string, arguments ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if call != nil {
		call()
	}
	fmt.Printf("%s %s\n", time.Now().UTC().Format(clockFormat), fmt.Sprintf(format, arguments...))
}

func main() {
	address := flag.String("address", "", "address of the director")
	connections := flag.Int("connections", 8, "number of connections")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var t totals
	var running sync.WaitGroup
	for number := range *connections {
		running.Go(func() {
			for ctx.Err() == nil {
				t.useConnection(ctx, *address, number)
				time.Sleep(redialPause)
			}
		})
	}
	running.Wait()
	t.record(nil, "totals sent=%d succeeded=%d refused=%d failed=%d excused=%d lost=%d", t.sent, t.succeeded, t.refused, t.failed, t.other, t.lost)
}

// useConnection opens a connection and sends requests, one after another, until it ends.
func (t *totals) useConnection(ctx context.Context, address string, number int) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		t.record(nil, "connection=%d not opened: %v", number, err)
		return
	}
	defer func() { _ = conn.Close() }() // all answers were read
	reader := bufio.NewReader(conn)
	for tag := 1; ctx.Err() == nil; tag++ {
		if !t.request(ctx, conn, reader, number, tag) {
			return
		}
	}
}

// request sends one request and reports whether the connection can be used further.
func (t *totals) request(ctx context.Context, conn net.Conn, reader *bufio.Reader, number, tag int) bool {
	id, object := fmt.Sprintf("%016x", rand.Uint64()), rand.IntN(objects)
	fields := fmt.Sprintf("txn=%s,limit=%d,item=%016x,n=0,shard=%d", id, timeLimit.Milliseconds(), object, object%groups)
	if _, err := conn.Write(encode("ASK", strconv.Itoa(tag), contentType, fields)); err != nil {
		t.record(nil, "connection=%d txn=%s not sent: %v", number, id, err)
		return false
	}
	sentAt := time.Now()
	t.record(func() { t.sent++ }, "connection=%d txn=%s sent", number, id)
	_ = conn.SetReadDeadline(sentAt.Add(timeLimit + lateLimit)) // fails only on a closed connection
	answer, err := decode(reader)
	waited := time.Since(sentAt)
	switch {
	case err == nil && answer[0] != strconv.Itoa(tag):
		t.record(func() { t.lost++ }, "connection=%d txn=%s answered under another tag: LOST", number, id)
	case err == nil:
		t.record(func() { t.count(answer[1]) }, "connection=%d txn=%s answered %s after %v", number, id, answer[1], waited)
		stayAway(ctx, answer[1], answer[2])
		return true
	case ctx.Err() != nil, !errors.Is(err, os.ErrDeadlineExceeded) && (waited < crossLimit || tag == 1):
		t.record(func() { t.other++ }, "connection=%d txn=%s ended without an answer after %v: excused (%v)", number, id, waited, err)
	default:
		t.record(func() { t.lost++ }, "connection=%d txn=%s ended without an answer after %v: LOST (%v)", number, id, waited, err)
	}
	return false
}

// stayAway waits after a refusal for as long as the director says, or else for redialPause.
func stayAway(ctx context.Context, word, fields string) {
	if word != "503" {
		return
	}
	pause := redialPause
	if text, told := strings.CutPrefix(fields, "later="); told {
		if milliseconds, err := strconv.Atoi(text); err == nil {
			pause = time.Duration(milliseconds) * time.Millisecond
		}
	}
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

// count counts an answer by its word. The caller holds the lock.
func (t *totals) count(word string) {
	switch word {
	case "200":
		t.succeeded++
	case "503":
		t.refused++
	default:
		t.failed++
	}
}

// encode returns a RESP array of bulk strings.
func encode(words ...string) []byte {
	message := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		message = fmt.Appendf(message, "$%d\r\n%s\r\n", len(word), word)
	}
	return message
}

// decode reads one answer, a RESP array of four bulk strings.
func decode(reader *bufio.Reader) (words []string, err error) {
	count, err := decodeLength(reader, "*")
	if err != nil {
		return nil, err
	}
	if count != elements {
		return nil, fmt.Errorf("an answer of %d elements", count)
	}
	for range count {
		length, err := decodeLength(reader, "$")
		if err != nil {
			return nil, err
		}
		bytes := make([]byte, length+len("\r\n"))
		if _, err := io.ReadFull(reader, bytes); err != nil {
			return nil, err
		}
		words = append(words, string(bytes[:length]))
	}
	return words, nil
}

// decodeLength reads a line of a type byte and a number.
func decodeLength(reader *bufio.Reader, kind string) (int, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return 0, err
	}
	number, ok := strings.CutPrefix(strings.TrimSuffix(line, "\r\n"), kind)
	if !ok {
		return 0, fmt.Errorf("not an answer: %.20q", line)
	}
	return strconv.Atoi(number)
}
