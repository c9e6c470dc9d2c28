// Command fleet runs a fleet of three directors on loopback, each with its own agent, for trying
// out tallyctl. It writes keys, the inventory and scripts to bin/fleet and prints the next steps.
// With --peers the directors form a cluster.
package main

import (
	"context"
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"tallyproxy/internal/experiment"
	"tallyproxy/internal/fakes"
)

func main() {
	peers := flag.Bool("peers", false, "let the directors form a cluster")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	director, err := filepath.Abs("bin/tallyproxy")
	if err == nil {
		_, err = os.Stat(director)
	}
	if err != nil {
		log.Fatal("run `make build` first: ", err)
	}
	dir, err := filepath.Abs("bin/fleet")
	if err != nil {
		log.Fatal(err)
	}
	if err := os.RemoveAll(dir); err != nil {
		log.Fatal(err)
	}
	spec := fakes.DefaultSpec(4, 3)
	spec.ColdEdges = false
	w, err := fakes.New(spec)
	if err != nil {
		log.Fatal(err)
	}
	defer w.Close()
	f, err := experiment.NewLoopbackFleet(w, dir, 3, 1, []string{director}, "storm(mode = \"guard\")\n", *peers)
	if err != nil {
		log.Fatal(err)
	}
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		log.Print(err)
		return
	}
	fmt.Printf("Three directors and their agents are up. In another terminal:\n\n"+
		"    export TALLYCTL_INVENTORY=%s/fleet.star TALLYCTL_CERT=%s/op.pem\n"+
		"    bin/tallyctl show\n    bin/tallyctl drain box-0\n    bin/tallyctl watch\n\nPress Control-C to stop them.\n", dir, dir)
	<-ctx.Done()
	closeStart := time.Now()
	f.Close()
	fmt.Printf("stopped after %v\n", time.Since(closeStart).Round(time.Millisecond))
}
