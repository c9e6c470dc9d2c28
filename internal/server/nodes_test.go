package server

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// TestNodes guards against late or failed answers while single nodes are unresponsive, close
// connections or are down, and checks that requests are rejected if no node answers.
func TestNodes(t *testing.T) {
	dead := newFakeNode(t, respondNothing)
	if err := dead.Close(); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name  string
		nodes []*fakeNode
		code  string
	}{
		{"healthy", []*fakeNode{newFakeNode(t, respondHello)}, "200"},
		{"one is unresponsive", []*fakeNode{newFakeNode(t, respondHello), newFakeNode(t, respondNothing)}, "200"},
		{"one closes in the middle of answers", []*fakeNode{newFakeNode(t, respondHello), newFakeNode(t, respondPartly)}, "200"},
		{"outdated list with a dead node", []*fakeNode{newFakeNode(t, respondHello), dead}, "200"},
		{"all are unresponsive", []*fakeNode{newFakeNode(t, respondNothing)}, "503"},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			d := startDirector(t, x.nodes...)
			defer d.stopAndWait(t)
			var all sync.WaitGroup
			for i := range 8 { // enough that each node is the home of some object
				c := d.dial(t)
				all.Go(func() {
					c.request("1", fmt.Sprint("o", i), 2*time.Second)
					started := time.Now()
					if tag, code, _ := c.readAnswer(t); tag != "1" || code != x.code {
						t.Errorf("answered %s %s, want %s", tag, code, x.code)
					}
					if took := time.Since(started); took > 2*time.Second {
						t.Errorf("answered after %v", took)
					}
				})
			}
			all.Wait()
		})
	}
}
