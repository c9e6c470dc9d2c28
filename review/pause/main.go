// Command pause plays the platform, one cache node and the clients of one director, and lets the
// director's process stand still for a moment while clients cancel requests that the director has
// queued. Everything is on loopback.
//
//	pause -config FILE        writes the director's configuration and serves; the director is then
//	                          started, and its process id written into FILE.pid
//
// It prints what was sent, answered, cancelled and run, and ends with exit code 1 if an attempt began
// too late after its client had cancelled, 0 if none did, and 2 if it could not run.
//
// An attempt begins when the node has read it whole. The node runs in this process, which does not
// stand still.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	rounds         = 5
	connections    = 2
	perConnection  = 24                     // requests open on a connection; the protocol allows 32
	answerTime     = 100 * time.Millisecond // of the cache node
	standstill     = 185 * time.Millisecond // under half of the purge grace, as the on-call page has it
	cancelAfter    = 5 * time.Millisecond   // after the standstill has begun
	betweenRounds  = 700 * time.Millisecond
	startTimeout   = 10 * time.Second
	warmUpRequests = 5

	// lateLimit is the operators' limit of 0.1 s and the slack of 50 ms of every time limit.
	lateLimit = 150 * time.Millisecond

	exitHeld, exitBroken, exitNotRun = 0, 1, 2

	clockFormat = "15:04:05.000000"
	timeLimitMS = 6000
)

// platform is everything around the director. Its lock guards all fields.
type platform struct {
	mu        sync.Mutex
	cancelled map[string]time.Time // by request id
	sent, run, late, answered,
	cancels int
	longest time.Duration // of the times between a cancellation and the beginning of its attempt
}

// note writes one line of the record.
func note(format string, arguments ...any) {
	fmt.Printf("%s %s\n", time.Now().UTC().Format(clockFormat), fmt.Sprintf(format, arguments...))
}

func main() {
	path := flag.String("config", "", "path of the director's configuration, which is written")
	disrupt := flag.Bool("disrupt", true, "let the director's process stand still")
	flag.Parse()
	p := &platform{cancelled: map[string]time.Time{}}
	if err := p.play(*path, *disrupt); err != nil {
		log.Print(err)
		os.Exit(exitNotRun)
	}
	note("totals sent=%d run=%d answered=%d cancelled=%d begun_too_late=%d longest=%v", p.sent, p.run, p.answered, p.cancels, p.late, p.longest)
	if p.late > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

// play starts the platform, waits for the director and plays all rounds.
func (p *platform) play(path string, disrupt bool) error {
	host := fmt.Sprintf("127.%d.%d.1", 2+os.Getpid()/250%250, os.Getpid()%250)
	node, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return err
	}
	go p.serveNode(node)
	channel, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(channel, http.HandlerFunc(servePoll)) }() // serves until the end
	free, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return err
	}
	address := free.Addr().String()
	if err := free.Close(); err != nil {
		return err
	}
	if err := os.WriteFile(path, config(address, channel.Addr().String(), node.Addr().String()), 0o600); err != nil {
		return err
	}
	id, err := awaitDirector(path+".pid", address)
	if err != nil {
		return err
	}
	if err := p.warmUp(address); err != nil {
		return err
	}
	for number := range rounds {
		if err := p.round(number, id, address, disrupt); err != nil {
			return err
		}
		time.Sleep(betweenRounds)
	}
	return nil
}

// awaitDirector waits until the file has the director's process id and the director accepts
// connections.
func awaitDirector(path, address string) (id int, err error) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if id, err = strconv.Atoi(strings.TrimSpace(string(text))); err != nil || id <= 1 {
			continue
		}
		if conn, err := net.Dial("tcp4", address); err == nil {
			return id, conn.Close()
		}
	}
	return 0, fmt.Errorf("the director did not start")
}

// config returns the director's configuration: one zone, one cache node, an origin.
func config(listen, channel, node string) []byte {
	endpoint := func(name, zone, kind string) map[string]any {
		return map[string]any{"name": name, "address": node, "zone": zone, "type": kind, "status": "up", "since_ms": 0}
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964", "channel": channel,
		"limits": map[string]any{"cores": 1, "memory_mb": 96, "sockets": 256},
		"known": map[string]any{"cursor": 1, "cmds": []any{map[string]any{"cursor": 1, "nodes": map[string]any{
			"snapshot": true, "endpoints": []any{endpoint("box-0", "town", "edge"), endpoint("origin", "hub", "origin")}}}}},
		"settings": map[string]any{
			"zone": 1, "zones": []string{"hub", "town"}, "machine-types": []string{"edge", "parent", "origin"},
			"lanes": []any{map[string]any{"name": "thumbnail", "aim": 1500, "aim-stretch": 0, "hard-limit": timeLimitMS, "repeat": "free",
				"value": 1, "late-worth": 0.1}},
			"contract": map[string]any{"cold": 10000, "cold-from": 0.2, "grace-to-answer": 8, "overload-for": 3000, "tip-multiple": 4,
				"stop-sending-within": 1000},
			"limits": map[string]any{"cancel": true, "try-limit": 8, "retry-after": true, "max-retry-after": 1000, "connect-timeout": 600,
				"keepalive": 30000, "max-streams": 100},
			"specifics": map[string]any{"origin-kind": 2, "shield-kind": 1, "note-level": "all", "shares-fills": true, "purge-grace": 500,
				"gone-everywhere": 6000, "pace-kb-per-s": 2000, "pipe-kb-per-s": []float64{0, 60000}, "count-by-zone": []int{0, 1},
				"max-age": []float64{0}, "goes-through": []bool{false}, "in-pieces": []bool{false}},
		},
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return text
}

// servePoll answers a poll of the command channel, which has nothing new to tell, after the time that
// was asked for.
func servePoll(out http.ResponseWriter, request *http.Request) {
	block, err := strconv.Atoi(request.FormValue("block"))
	if err != nil {
		block = 0
	}
	select {
	case <-time.After(time.Duration(block) * time.Millisecond):
	case <-request.Context().Done():
	}
	_, _ = fmt.Fprint(out, `{"cursor":1,"cmds":[]}`) // the director has left
}

// serveNode accepts the director's connections to the cache node, which is the origin too.
func (p *platform) serveNode(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serveConnection(conn)
	}
}

// serveConnection answers each request on a connection after answerTime, unless it is given up.
func (p *platform) serveConnection(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the director has closed it
	reader := bufio.NewReader(conn)
	var mu sync.Mutex // guards writes and open
	open := map[string]*time.Timer{}
	write := func(text string) { _, _ = io.WriteString(conn, text) }
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "want":
			length, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			if _, err := reader.Discard(length + len("\r\n")); err != nil {
				return
			}
			id := words[1]
			p.begun(id)
			mu.Lock()
			open[id] = time.AfterFunc(answerTime, func() {
				mu.Lock()
				defer mu.Unlock()
				if open[id] != nil {
					delete(open, id)
					write(answer(id))
				}
			})
			mu.Unlock()
		case len(words) == 2 && words[0] == "never_mind":
			mu.Lock()
			if timer := open[words[1]]; timer != nil {
				timer.Stop()
				delete(open, words[1])
			}
			mu.Unlock()
		case len(words) == 2 && words[0] == "there":
			mu.Lock()
			write(words[1] + " well\r\n")
			mu.Unlock()
		}
	}
}

// answer returns the node's answer: a hit.
func answer(id string) string {
	now := time.Since(time.Unix(0, 0)).Milliseconds()
	body := "the bytes of this part"
	return fmt.Sprintf("%s data n=local,ver=%016x,born=%d %d\r\n%s\r\n", id, now, now, len(body), body)
}

// begun records that an attempt has reached the node whole.
func (p *platform) begun(id string) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run++
	at, cancelled := p.cancelled[id]
	if !cancelled {
		note("txn=%s reached the node", id)
		return
	}
	after := now.Sub(at)
	p.longest = max(p.longest, after)
	if after <= lateLimit {
		note("txn=%s reached the node %v after its client had cancelled it", id, after)
		return
	}
	p.late++
	note("txn=%s reached the node %v after its client had cancelled it: TOO LATE", id, after)
}

// client is one connection to the director.
type client struct {
	platform *platform
	conn     net.Conn
	answers  chan struct{} // one element for each answer

	mu   sync.Mutex
	open map[int]string // ids of the unanswered requests by tag
	tag  int
}

// dial opens a connection and reads its answers.
func (p *platform) dial(address string) (*client, error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	c := &client{platform: p, conn: conn, answers: make(chan struct{}, 1024), open: map[int]string{}}
	go c.read()
	return c, nil
}

// read counts answers until the connection ends.
func (c *client) read() {
	reader := bufio.NewReader(c.conn)
	for {
		tag, word, err := readAnswer(reader)
		if err != nil {
			return
		}
		c.mu.Lock()
		id := c.open[tag]
		delete(c.open, tag)
		c.mu.Unlock()
		c.platform.mu.Lock()
		c.platform.answered++
		c.platform.mu.Unlock()
		note("txn=%s answered %s", id, word)
		c.answers <- struct{}{}
	}
}

// readAnswer reads a RESP array of tag, word, fields and body.
func readAnswer(reader *bufio.Reader) (tag int, word string, err error) {
	if _, err := reader.ReadString('\n'); err != nil { // "*4"
		return 0, "", err
	}
	var parts [4]string
	for i := range parts {
		line, err := reader.ReadString('\n')
		if err != nil {
			return 0, "", err
		}
		length, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "$")))
		if err != nil {
			return 0, "", err
		}
		bytes := make([]byte, length+len("\r\n"))
		if _, err := io.ReadFull(reader, bytes); err != nil {
			return 0, "", err
		}
		parts[i] = string(bytes[:length])
	}
	tag, err = strconv.Atoi(parts[0])
	return tag, parts[1], err
}

// send sends requests in one write.
func (c *client) send(count int) error {
	var message []byte
	c.mu.Lock()
	for range count {
		c.tag++
		id := fmt.Sprintf("%016x", rand.Uint64())
		c.open[c.tag] = id
		object := rand.IntN(64)
		fields := fmt.Sprintf("txn=%s,limit=%d,item=%016x,n=0,shard=%d", id, timeLimitMS, object, object)
		message = append(message, encode("ASK", strconv.Itoa(c.tag), "thumbnail", fields)...)
		note("txn=%s sent", id)
	}
	c.mu.Unlock()
	c.platform.mu.Lock()
	c.platform.sent += count
	c.platform.mu.Unlock()
	_, err := c.conn.Write(message)
	return err
}

// cancel cancels all unanswered requests in one write.
func (c *client) cancel() error {
	var message []byte
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.platform.mu.Lock()
	for tag, id := range c.open {
		message = append(message, encode("NEVERMIND", strconv.Itoa(tag))...)
		c.platform.cancelled[id] = now
		c.platform.cancels++
	}
	c.platform.mu.Unlock()
	note("%d requests cancelled", len(c.open))
	_, err := c.conn.Write(message)
	// What was written later than noted can only be less late.
	now = time.Now()
	c.platform.mu.Lock()
	for _, id := range c.open {
		c.platform.cancelled[id] = now
	}
	c.platform.mu.Unlock()
	return err
}

// encode returns a RESP array of bulk strings.
func encode(words ...string) []byte {
	message := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		message = fmt.Appendf(message, "$%d\r\n%s\r\n", len(word), word)
	}
	return message
}

// warmUp lets the director learn how long an answer takes.
func (p *platform) warmUp(address string) error {
	c, err := p.dial(address)
	if err != nil {
		return err
	}
	defer func() { _ = c.conn.Close() }() // all is answered
	for range warmUpRequests {
		if err := c.send(1); err != nil {
			return err
		}
		if err := c.await(); err != nil {
			return err
		}
	}
	return nil
}

// await waits for one answer.
func (c *client) await() error {
	select {
	case <-c.answers:
		return nil
	case <-time.After(startTimeout):
		return fmt.Errorf("no answer")
	}
}

// round sends more requests than the director passes on at once, lets the director stand still once
// the first are answered, and cancels the others meanwhile.
func (p *platform) round(number, id int, address string, disrupt bool) error {
	var clients []*client
	for range connections {
		c, err := p.dial(address)
		if err != nil {
			return err
		}
		defer func() { _ = c.conn.Close() }() // nothing is owed any longer
		clients = append(clients, c)
	}
	for _, c := range clients {
		if err := c.send(perConnection); err != nil {
			return err
		}
	}
	if err := clients[0].await(); err != nil {
		return err
	}
	time.Sleep(cancelAfter) // the others of the first attempts are answered too
	begin := time.Now()
	if disrupt {
		note("round %d: the director stands still", number)
		if err := syscall.Kill(id, syscall.SIGSTOP); err != nil {
			return err
		}
	}
	time.Sleep(cancelAfter)
	for _, c := range clients {
		if err := c.cancel(); err != nil {
			return err
		}
	}
	time.Sleep(standstill - time.Since(begin))
	if disrupt {
		if err := syscall.Kill(id, syscall.SIGCONT); err != nil {
			return err
		}
		note("round %d: the director goes on after %v", number, time.Since(begin))
	}
	time.Sleep(betweenRounds)
	return nil
}
