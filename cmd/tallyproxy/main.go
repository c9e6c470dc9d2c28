// Command tallyproxy is the director: it takes downloads from clients and pulls them from cache nodes.
package main

import (
	"context"
	"log"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"tallyproxy/director"
	"tallyproxy/internal/back"
	"tallyproxy/internal/config"
	"tallyproxy/internal/feed"
	"tallyproxy/internal/front"
	"tallyproxy/internal/pool"
	"tallyproxy/internal/route"
	"tallyproxy/logic"
)

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	if err := run(os.Getenv, stop, reload); err != nil {
		log.Fatalf("event=failed err=%q", err)
	}
}

// run serves until the signal to stop comes and all that was taken is answered.
func run(getenv func(string) string, stop, reload <-chan os.Signal) error {
	c, err := config.Load(getenv)
	if err != nil {
		return err
	}
	limitRuntime(c.Limits)
	margins := logic.Margins(c.Site.Settings)
	buffers := pool.New(c.Limits.Buffers(pool.Size))
	fleet := back.New(buffers, margins, c.Limits.Dials())
	router := route.New(logic.New(c.Site.Settings), margins, fleet)
	channel := feed.New(c.Site)
	known, err := channel.Known(c.Known)
	if err != nil {
		return err
	}
	go router.Run()
	router.Apply(known)
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	server := front.New(router, c.Site, buffers, c.Limits.Clients(), margins)
	go server.Serve(l)
	ctx, leave := context.WithCancel(context.Background())
	channel.Move(c.Channel)
	go channel.Follow(ctx, margins, router.Apply)
	log.Printf("event=started name=%s listen=%s events=%d", c.Name, c.Listen, len(known))

	for stopping := false; !stopping; {
		select {
		case <-stop:
			stopping = true
		case <-reload:
			next, err := c.Reload(getenv)
			if err == nil {
				_, err = feed.New(next.Site).Known(next.Known) // what it tells comes by the channel
			}
			if err != nil {
				log.Printf("event=reload_refused err=%q", err)
				continue
			}
			c = next
			limitRuntime(c.Limits)
			buffers.Limit(c.Limits.Buffers(pool.Size))
			fleet.Limit(c.Limits.Dials())
			server.Limit(c.Limits.Clients())
			channel.Move(c.Channel)
			log.Printf("event=reloaded channel=%s", c.Channel)
		}
	}
	log.Printf("event=stopping open=%d", router.Open())
	server.Stop()
	for until := time.Now().Add(span(margins.Linger)); time.Now().Before(until) || router.Open() > 0; {
		time.Sleep(span(margins.Linger) / 100)
	}
	l.Close()
	server.Close()
	leave()
	fleet.Close()
	router.Stop()
	log.Printf("event=stopped")
	return nil
}

// limitRuntime keeps Go's runtime to the machine's limits.
func limitRuntime(l config.Limits) {
	runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	debug.SetMemoryLimit(l.Memory())
}

func span(t director.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
