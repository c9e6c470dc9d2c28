package server

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// Requests are answered in time whatever single nodes do; without any node that answers they are rejected.
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
		{"well", []*fakeNode{newFakeNode(t, respondHello)}, "200"},
		{"one says nothing", []*fakeNode{newFakeNode(t, respondHello), newFakeNode(t, respondNothing)}, "200"},
		{"one closes in the middle of answers", []*fakeNode{newFakeNode(t, respondHello), newFakeNode(t, respondPartly)}, "200"},
		{"an old list: one is dead", []*fakeNode{newFakeNode(t, respondHello), dead}, "200"},
		{"all say nothing", []*fakeNode{newFakeNode(t, respondNothing)}, "503"},
	}
	for _, x := range cases {
		t.Run(x.name, func(t *testing.T) {
			d := startDirector(t, x.nodes...)
			defer d.stopAndWait(t)
			var all sync.WaitGroup
			for i := range 8 { // enough for every node to be home to some
				c := d.dial(t)
				all.Go(func() {
					c.request("1", fmt.Sprint("o", i), 2*time.Second)
					begun := time.Now()
					if tag, code, _ := c.readAnswer(t); tag != "1" || code != x.code {
						t.Errorf("answered %s %s, want %s", tag, code, x.code)
					}
					if took := time.Since(begun); took > 2*time.Second {
						t.Errorf("after %v", took)
					}
				})
			}
			all.Wait()
		})
	}
}
