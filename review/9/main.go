// Command 9 plays a case of the second review: a cache box drains while the command channel is slow.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"tallyproxy/review/stage"
)

const (
	latency = 2200 * time.Millisecond // of each answer of the slow channel
	told    = 7 * time.Second         // after an event it counts as told, whether it arrived or not
	grace   = 1050 * time.Millisecond // to stop sending: 1 s, and 50 ms on sockets
	watch   = 8 * time.Second         // of sends after that
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
	channel, err := stage.NewChannel(record, "127.0.0.1")
	if err != nil {
		return fail(err)
	}
	defer channel.Close()

	var mu sync.Mutex
	var drainedAt time.Time
	sends, late := 0, 0
	serve := func(w stage.Want) {
		mu.Lock()
		sends++
		if w.Conn.Node.Name == "box-0" && !drainedAt.IsZero() {
			after := w.FirstByte.Sub(drainedAt)
			isLate := after > told+grace
			if isLate {
				late++
			}
			record.Add("box-0 gets %s %s, %.3f s after its drain was told, late=%v", w.ID, w.Fields["asset"], after.Seconds(), isLate)
		}
		mu.Unlock()
		w.AnswerBody("data", fmt.Sprintf("n=local,ver=%s,born=%d", stage.Hex(16), stage.UnixMillis(time.Now())), []byte(w.Fields["asset"]))
	}
	var nodes []*stage.Node
	for _, n := range []struct{ name, zone, kind string }{
		{"box-0", "depot-1", "compact"}, {"box-1", "depot-1", "compact"}, {"box-2", "depot-1", "compact"},
		{"parent-0", "north", "parent"}, {"parent-1", "south", "parent"}, {"archive", "north", "origin"},
	} {
		node, err := stage.NewNode(n.name, "127.0.0.1", n.zone, n.kind, serve)
		if err != nil {
			return fail(err)
		}
		nodes = append(nodes, node)
	}
	channel.PublishNodes("up", nodes...)

	address, err := stage.FreeAddress("127.0.0.1")
	if err != nil {
		return fail(err)
	}
	director, err := stage.NewDirector(record, dir, "n0", address)
	if err != nil {
		return fail(err)
	}
	defer director.Kill()
	limits := stage.Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}
	if err := director.Start(stage.Config("n0", address, channel.Address, channel.Known(), stage.Settings(1), limits), ""); err != nil {
		return fail(err)
	}
	client, err := stage.Dial(address)
	if err != nil {
		return fail(err)
	}
	defer client.Close()
	items := make([]string, 64)
	for i := range items {
		items[i] = stage.Hex(16)
	}
	answered := 0
	ask := func(until time.Duration) error {
		for i := 0; record.Now() < until; i++ {
			_, answer, err := client.Send(stage.Ask{Class: "thumbnail", Txn: stage.Hex(16), Limit: 3 * time.Second, Item: items[i%len(items)]})
			if err != nil {
				return err
			}
			a, ok := <-answer
			if !ok {
				return fmt.Errorf("the client's connection ended")
			}
			if a.Word == "200" {
				answered++
			}
			time.Sleep(25 * time.Millisecond)
		}
		return nil
	}
	if err := ask(record.Now() + 3*time.Second); err != nil {
		return fail(err)
	}
	if stage.Disturbed() {
		record.Say("the channel is slow from now on: each answer takes %v longer", latency)
		channel.SetLatency(latency)
	}
	if err := ask(record.Now() + 2*time.Second); err != nil {
		return fail(err)
	}
	mu.Lock()
	drainedAt = time.Now()
	mu.Unlock()
	channel.PublishNodes("draining", nodes[0])
	if err := ask(record.Now() + told + grace + watch); err != nil {
		return fail(err)
	}
	director.Signal(syscall.SIGTERM)
	mu.Lock()
	defer mu.Unlock()
	record.Say("%d attempts, %d answers served; box-0 got %d attempts later than %v after its drain was told", sends, answered, late, told+grace)
	if answered == 0 {
		return fail(fmt.Errorf("nothing was served"))
	}
	if late > 0 {
		record.Say("BROKEN: drains are kept")
		return stage.Broken
	}
	record.Say("held")
	return stage.Held
}
