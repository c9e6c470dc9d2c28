// Command standin plays the platform around a small fleet for the cases of this folder: three cache
// nodes, two parents, an origin and a command channel, all on loopback. It writes the configuration
// of each director and the address of each agent into a folder, then the file "ready", and serves
// until it is told to end. The file "runs.txt" of that folder tells what the nodes have run.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"tallyproxy/internal/fakes"
)

const (
	cacheNodes = 3
	sockets    = 256
	memoryMB   = 96
	cores      = 1

	// meanTransfer is long enough for some requests to be open at any time.
	meanTransfer = 150 * time.Millisecond

	hosts = 250 // numbers that each part of a host's address may have

	clockFormat = "15:04:05.000000"
)

func main() {
	dir := flag.String("dir", "", "folder for the files")
	directors := flag.Int("directors", 3, "number of directors, each with an agent")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, *dir, *directors)
	stop()
	if err != nil {
		log.Fatal(err)
	}
}

// run starts the platform, writes the files and serves until ctx ends.
func run(ctx context.Context, dir string, directors int) (err error) {
	runs, err := os.Create(filepath.Join(dir, "runs.txt"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, runs.Close()) }()
	cluster, err := fakes.New(newSpec(directors, runs))
	if err != nil {
		return err
	}
	defer cluster.Close()
	addresses, err := freeAddresses(2 * directors)
	if err != nil {
		return err
	}
	for i := range directors {
		name := fmt.Sprintf("n%d", i)
		config := cluster.Config(name, addresses[i], sockets, memoryMB, cores)
		for file, text := range map[string]string{
			name + ".json":                string(config),
			name + ".address":             addresses[i],
			fmt.Sprintf("a%d.address", i): addresses[directors+i],
		} {
			if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
				return err
			}
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "ready"), nil, 0o600); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// newSpec returns a warm deployment with three cache nodes that records what its nodes run.
func newSpec(directors int, runs io.Writer) fakes.Spec {
	spec := fakes.DefaultSpec(cacheNodes, directors)
	spec.ColdEdges = false
	spec.ContentTypes[0].MeanTransfer = meanTransfer
	spec.OnAnswer = func(node string, fields map[string]string, answer string) {
		id, rest, _ := strings.Cut(answer, " ")
		word, _, _ := strings.Cut(rest, " ")
		// A line that is lost says nothing about the program under test.
		_, _ = fmt.Fprintf(runs, "%s run at=%s txn=%s item=%s answer=%s\n", time.Now().UTC().Format(clockFormat), node, id, fields["asset"], word)
	}
	return spec
}

// freeAddresses returns loopback addresses on which nothing listens. Each has a host of its own, from
// which nothing connects, so that no connection takes the port before it is listened on.
func freeAddresses(count int) (addresses []string, err error) {
	id := os.Getpid()
	for i := range count {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 2+id/hosts%hosts, id%hosts, 1+i))
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, listener.Addr().String())
		if err := listener.Close(); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}
