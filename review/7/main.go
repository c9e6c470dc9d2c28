// Command 7 plays a case of the second review: a depot loses its power while cover-picks are under
// way, and the tablets repeat them when it is back.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"tallyproxy/review/stage"
)

const (
	remembers = 3 * time.Second       // for how long the archive drops repeats of a key
	latency   = 60 * time.Millisecond // of the archive's answer
	outage    = 10 * time.Second      // of the depot
	tablets   = 16
	retries   = 3 // that a tablet makes by itself
)

// archive is what the video archive does with cover-picks.
type archive struct {
	record *stage.Record
	mu     sync.Mutex
	first  map[string]time.Time // since when it drops repeats of a key
	runs   map[string]int
	ran    chan string
}

// run takes a cover-pick. A repeat within the time for which the archive remembers is dropped.
func (a *archive) run(w stage.Want) {
	key := w.Fields["op"]
	a.mu.Lock()
	defer a.mu.Unlock()
	if at, known := a.first[key]; known && time.Since(at) < remembers {
		a.record.Add("archive drops a repeat of %s", key)
		return
	}
	a.first[key] = time.Now()
	a.runs[key]++
	a.record.Add("archive runs %s, time %d, by attempt %s through %s", key, a.runs[key], w.ID, w.Conn.Node.Name)
	a.ran <- key
}

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
	channel, err := stage.NewChannel(record, "127.0.0.1")
	if err != nil {
		return fail(err)
	}
	defer channel.Close()
	video := &archive{record: record, first: map[string]time.Time{}, runs: map[string]int{}, ran: make(chan string, 1000)}
	serve := func(w stage.Want) {
		if w.Fields["sort"] == "cover-pick" {
			if w.Fields["from"] != "archive" && w.Conn.Node.Type != "origin" {
				w.Answer("absent", "n=not_there")
				return
			}
			video.run(w)
			time.Sleep(latency)
		}
		w.AnswerBody("data", fmt.Sprintf("n=pulled_far,ver=%s,born=%d", stage.Hex(16), stage.UnixMillis(time.Now())), []byte("done"))
	}
	var nodes, boxes []*stage.Node
	for _, n := range []struct{ name, zone, kind string }{
		{"box-0", "depot-1", "compact"}, {"box-1", "depot-1", "compact"}, {"box-2", "depot-1", "standard"}, {"box-3", "depot-1", "compact"},
		{"parent-0", "north", "parent"}, {"parent-1", "south", "parent"}, {"archive", "north", "origin"},
	} {
		node, err := stage.NewNode(n.name, stage.Host(), n.zone, n.kind, serve)
		if err != nil {
			return fail(err)
		}
		if nodes = append(nodes, node); strings.HasPrefix(n.name, "box-") {
			boxes = append(boxes, node)
		}
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
	start := func() error {
		limits := stage.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}
		return director.Start(stage.Config("n0", address, channel.Address, channel.Known(), stage.Settings(1), limits), "")
	}
	if err := start(); err != nil {
		return fail(err)
	}
	time.Sleep(time.Second)

	// Each tablet sends one cover-pick. Its connection ends before the answer: with the power of the
	// depot, or, without the disruption, since the crew walks out of reach of its radio.
	keys := make([]string, tablets)
	for i := range keys {
		keys[i] = stage.Hex(32)
		client, err := stage.Dial(address)
		if err != nil {
			return fail(err)
		}
		defer client.Close()
		record.Add("tablet %d sends cover-pick %s", i, keys[i])
		if _, _, err := client.Send(pick(keys[i], i, false)); err != nil {
			return fail(err)
		}
		if !stage.Disturbed() {
			defer client.Close()
		}
		select {
		case <-video.ran:
		case <-time.After(3 * time.Second):
			record.Add("cover-pick %s did not reach the archive", keys[i])
		}
		if !stage.Disturbed() || i < tablets-1 {
			client.Close()
		}
	}
	if stage.Disturbed() {
		record.Say("the depot loses its power")
		director.Kill()
		for _, box := range boxes {
			box.Crash()
		}
		time.Sleep(outage)
		for _, box := range boxes {
			if err := box.Listen(); err != nil {
				return fail(err)
			}
			box.Since = stage.UnixMillis(time.Now())
		}
		channel.PublishNodes("up", boxes...)
		if err := start(); err != nil {
			return fail(err)
		}
		record.Say("the depot is back")
	} else {
		time.Sleep(outage)
	}

	// All tablets repeat at once, and follow the advice that they are given.
	var group sync.WaitGroup
	for i, key := range keys {
		group.Go(func() { repeat(record, address, key, i) })
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	video.mu.Lock()
	defer video.mu.Unlock()
	once, twice := 0, 0
	for _, key := range keys {
		switch n := video.runs[key]; {
		case n == 1:
			once++
		case n > 1:
			twice++
			record.Add("cover-pick %s ran %d times", key, n)
		}
	}
	record.Say("%d cover-picks ran once, %d more than once", once, twice)
	if once+twice == 0 {
		return fail(fmt.Errorf("no cover-pick ran"))
	}
	if twice > 0 {
		record.Say("BROKEN: no effect happens twice")
		return stage.Broken
	}
	record.Say("held")
	return stage.Held
}

// pick returns a tablet's request.
func pick(key string, tablet int, again bool) stage.Ask {
	return stage.Ask{
		Class: "cover-pick", Txn: stage.Hex(16), Limit: 3 * time.Second, Item: fmt.Sprintf("%016x", 0xc0ffee+tablet*7919), Shard: tablet,
		Key: key, Retry: again, Body: "frame",
	}
}

// repeat sends a tablet's cover-pick again, as a client does that was told nothing: up to its
// retries, each after the time that it was told, and no more after an answer that is no refusal.
func repeat(record *stage.Record, address, key string, tablet int) {
	client, err := stage.Dial(address)
	if err != nil {
		record.Add("tablet %d can't connect: %v", tablet, err)
		return
	}
	defer client.Close()
	for try := range retries {
		_, answer, err := client.Send(pick(key, tablet, true))
		if err != nil {
			record.Add("tablet %d: %v", tablet, err)
			return
		}
		a, ok := <-answer
		if !ok {
			record.Add("tablet %d: no answer", tablet)
			return
		}
		record.Add("tablet %d, repeat %d of %s: %s %s", tablet, try+1, key, a.Word, a.Fields)
		if a.Word != "503" {
			return
		}
		later := 250
		if text, found := strings.CutPrefix(a.Fields, "later="); found {
			later, _ = strconv.Atoi(text)
		}
		time.Sleep(time.Duration(later) * time.Millisecond)
	}
}
