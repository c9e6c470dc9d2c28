// Command 9 plays a case of the second review: directors that know each other come back while
// discovery is down, and are asked by clients with little time left.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"tallyproxy/review/stage"
)

const (
	directors = 3
	killed    = 2                      // at once, of the three
	lateness  = 500 * time.Millisecond // after its time a request without an answer is lost
)

func main() { os.Exit(play()) }

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
	channel, err := stage.NewChannel(record, stage.Host())
	if err != nil {
		return fail(err)
	}
	defer channel.Close()
	serve := func(w stage.Want) {
		w.AnswerBody("data", fmt.Sprintf("n=local,ver=%s,born=%d", stage.Hex(16), stage.UnixMillis(time.Now())), []byte(w.Fields["asset"]))
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
	settings := stage.Settings(directors)
	settings["limits"].(stage.Map)["peers"] = true
	key := filepath.Join(dir, "peers.key")
	if err := os.WriteFile(key, []byte(stage.Hex(64)+"\n"), 0o600); err != nil {
		return fail(err)
	}
	var group []*stage.Director
	var talk []string
	for range directors {
		address, err := stage.FreePair(stage.Host())
		if err != nil {
			return fail(err)
		}
		talk = append(talk, address)
	}
	start := func(i int) error {
		script := fmt.Sprintf("peers(listen = %q, seeds = [%q, %q], key = %q, fleet = \"depots\")\n",
			talk[i], talk[(i+1)%directors], talk[(i+2)%directors], key)
		file := filepath.Join(dir, fmt.Sprintf("n%d.star", i))
		if err := os.WriteFile(file, []byte(script), 0o600); err != nil {
			return err
		}
		limits := stage.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}
		d := group[i]
		return d.Start(stage.Config(d.Name, d.Address, channel.Address, channel.Known(), settings, limits), "--settings "+file)
	}
	for i := range directors {
		address, err := stage.FreeAddress(stage.Host())
		if err != nil {
			return fail(err)
		}
		d, err := stage.NewDirector(record, dir, fmt.Sprintf("n%d", i), address)
		if err != nil {
			return fail(err)
		}
		defer d.Kill()
		group = append(group, d)
		if err := start(i); err != nil {
			return fail(err)
		}
	}
	time.Sleep(3 * time.Second)

	if stage.Disturbed() {
		record.Say("discovery is down")
		if err := channel.Down(); err != nil {
			return fail(err)
		}
	}
	time.Sleep(4 * time.Second)
	for i := range killed {
		group[i].Signal(syscall.SIGKILL)
	}
	time.Sleep(1500 * time.Millisecond)
	var tally tally
	var clients sync.WaitGroup
	for i := range killed {
		group[i].Kill()
		if err := start(i); err != nil {
			return fail(err)
		}
		clients.Go(func() { tally.ask(record, group[i]) })
	}
	clients.Wait()
	if stage.Disturbed() {
		time.Sleep(500 * time.Millisecond)
		if err := channel.Up(); err != nil {
			return fail(err)
		}
		record.Say("discovery is back")
	}
	for _, d := range group {
		if !d.Running() {
			return fail(errors.New("a director ended"))
		}
		d.Signal(syscall.SIGTERM)
	}
	record.Say("%d requests: %d answered in time or up to %v late, %d later or never", tally.answered+tally.lost, tally.answered, lateness, tally.lost)
	if tally.answered+tally.lost == 0 {
		return fail(errors.New("nothing was asked"))
	}
	if tally.lost > 0 {
		record.Say("BROKEN: no download is lost")
		return stage.Broken
	}
	record.Say("held")
	return stage.Held
}

// tally counts what became of requests.
type tally struct {
	mu             sync.Mutex
	answered, lost int
}

// ask sends clients' retries with 50 to 250 ms left as soon as a director serves.
func (t *tally) ask(record *stage.Record, d *stage.Director) {
	var group sync.WaitGroup
	for i := range 10 {
		group.Go(func() {
			client, err := stage.Dial(d.Address)
			if err != nil {
				record.Add("%s can't be reached: %v", d.Name, err)
				return
			}
			defer client.Close()
			limit := time.Duration(50+20*i) * time.Millisecond
			ask := stage.Ask{Class: "thumbnail", Txn: stage.Hex(16), Limit: limit, Item: stage.Hex(16), Retry: true}
			sentAt := time.Now()
			_, answer, err := client.Send(ask)
			if err != nil {
				record.Add("%s: %v", d.Name, err)
				return
			}
			var word string
			select {
			case a, ok := <-answer:
				word = "no answer, its connection ended"
				if ok {
					word = a.Word
				}
			case <-time.After(5 * time.Second):
				word = "no answer in 5 s"
			}
			took := time.Since(sentAt)
			lost := took > limit+lateness
			record.Add("%s: request %s with %v left: %s after %v, lost=%v", d.Name, ask.Txn, limit, word, took.Round(time.Millisecond), lost)
			t.mu.Lock()
			defer t.mu.Unlock()
			if lost {
				t.lost++
			} else {
				t.answered++
			}
		})
	}
	group.Wait()
}
