// Package server is a whole director. It wires the parts together (discovery polls the command channel, downstream serves clients,
// dispatch and routing decide, upstream talks to cache nodes, gossip to other directors), reloads both configuration files on a
// signal, and ends on another once all requests that were accepted are answered.
//
// run owns the configuration: the goroutine that calls it starts the director, waits for signals, reloads and shuts down. All
// other goroutines are started by the parts and end in shutdown's order.
package server

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"runtime/debug"

	"tallyproxy/backoff"
	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/config"
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/downstream"
	"tallyproxy/internal/logevent"
	"tallyproxy/internal/status"
	"tallyproxy/internal/upstream"
	"tallyproxy/overload"
	"tallyproxy/policy"
	"tallyproxy/routing"
)

// configuration is what both files say.
type configuration struct {
	platform config.Config
	operator config.Operator
}

// load reads and checks both files whole.
func load(f flags, getenv func(string) string) (c configuration, err error) {
	c.platform, err = config.Load(func(name string) string {
		if name == "NODE_CONFIG" && f.Config != "" {
			return f.Config
		}
		return getenv(name)
	})
	if err != nil {
		return c, err
	}
	if c.operator, err = config.LoadOperator(f.Settings); err != nil {
		return c, err
	}
	if _, err = discovery.New(c.platform.Site).DecodeKnown(c.platform.Bootstrap); err != nil {
		return c, err
	}
	return c, c.operator.CheckAllowed(c.platform.Site)
}

// director is a running director. Its fields are set before its first request; configuration is run's goroutine's alone.
type director struct {
	flags    flags
	getenv   func(string) string
	logLevel *slog.LevelVar
	configuration

	timeouts policy.Timeouts
	buffers  *bufpool.Pool
	nodes    *upstream.Pool
	channel  *discovery.Client
	monitor  *stallMonitor
	gossip   *gossipDriver
	routers  *routerGroup
	listener net.Listener
	clients  *downstream.Server
	reporter *statusReporter
	socket   *status.Server // nil where the operator names none
}

// run serves until a signal comes on stop and all that was accepted is answered. A signal on reload reads both files again.
// It returns an error only where the director could not start.
func run(f flags, getenv func(string) string, logLevel *slog.LevelVar, stop, reload <-chan os.Signal) error {
	c, err := load(f, getenv)
	if err != nil {
		return err
	}
	d := newDirector(f, getenv, logLevel, c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := d.start(ctx); err != nil {
		return err
	}
	defer d.socket.Close()
	for stopping := false; !stopping; {
		select {
		case <-stop:
			stopping = true
		case <-reload:
			d.reload()
		}
	}
	d.shutdown(cancel)
	return nil
}

// newDirector wires the parts together; nothing runs and no socket is open yet.
func newDirector(f flags, getenv func(string) string, logLevel *slog.LevelVar, c configuration) *director {
	site := c.platform.Site
	d := &director{flags: f, getenv: getenv, logLevel: logLevel, configuration: c, timeouts: routing.Timeouts(site.Settings)}
	d.applyProcessSettings()
	d.buffers = bufpool.New(c.platform.Limits.MaxBuffers(bufpool.BufferSize))
	d.nodes = upstream.New(d.buffers, d.timeouts, c.platform.Limits.MaxNodeConnections())
	shards := d.shards()
	if c.operator.Cores > shards {
		slog.Warn(logevent.CoresLimited, "requested", c.operator.Cores, "allowed", shards)
	}
	d.channel = discovery.New(site)
	d.channel.SetSeed(backoff.Seed(site.Seed, c.platform.Name))
	d.gossip = &gossipDriver{nodes: d.nodes, channel: d.channel}
	d.monitor = newStallMonitor(site.Settings, d.timeouts, d.channel.PollNow, d.gossip.suspicionResolved)
	d.gossip.monitor = d.monitor
	d.nodes.SetWriteCheck(d.monitor.Trusted)
	d.channel.SetStallMonitor(pollMonitor{d.monitor, d.gossip})
	d.routers = newRouterGroup(routingSettings(c.platform), d.routingOptions(), d.timeouts, d.nodes, shards, f.Divided)
	d.routers.setStallMonitor(d.monitor)
	d.gossip.routers = d.routers
	return d
}

// start opens the sockets and lets all parts run. Where it fails, the listener is closed; what runs ends with the context or the
// process.
func (d *director) start(ctx context.Context) error {
	known, err := d.channel.DecodeKnown(d.platform.Bootstrap)
	if err != nil {
		return err
	}
	d.gossip.setOperatorAvoids(d.operator.AvoidNodes)
	d.routers.apply(known)
	d.listener, err = net.Listen("tcp4", d.platform.Listen) // IPv4 alone: a wildcard address would open an IPv6 socket
	if err != nil {
		return err
	}
	if err := d.startParts(ctx, known); err != nil {
		_ = d.listener.Close() // the first error is the one to tell
		return err
	}
	releaseStartupPages()
	slog.Info(logevent.Started, "name", d.platform.Name, "listen", d.platform.Listen, "events", len(known),
		"settings", d.flags.Settings, "cores", d.shards())
	return nil
}

// startParts lets the parts run, in an order in which each finds what it needs; clients come before the first poll of the command
// channel, since what the files say is enough to serve.
func (d *director) startParts(ctx context.Context, known []discovery.Event) error {
	go d.monitor.run(ctx)
	d.routers.run()
	if d.operator.Peers != nil {
		if err := d.gossip.start(ctx, *d.operator.Peers, d.platform, known); err != nil {
			return err
		}
	}
	limits := d.platform.Limits
	d.clients = downstream.New(d.routers.handlers, d.platform.Site, d.buffers, limits.MaxClientConnections(), d.timeouts)
	go func() {
		_ = d.clients.Serve(d.listener) // returns once shutdown closes the listener
	}()
	d.reporter = newStatusReporter(d)
	if path := d.operator.StatusSocket; path != "" {
		var err error
		if d.socket, err = status.Serve(path, d.reporter.report); err != nil {
			return fmt.Errorf("state.socket: %w", err)
		}
	}
	d.channel.SetAddress(d.platform.Channel)
	go d.channel.Run(ctx, d.timeouts, d.gossip.applyChannelEvents)
	return nil
}

// reload reads both files again and applies what they say. Where one is faulty, or changes what can't change while requests are
// open, nothing changes, and the log and the status report say why.
func (d *director) reload() {
	next, err := d.loadNext()
	if err != nil {
		slog.Warn(logevent.ReloadRejected, "err", err)
		d.reporter.reloadRejected(err)
		return
	}
	d.configuration = next
	d.applyProcessSettings()
	limits := d.platform.Limits
	d.buffers.SetLimit(limits.MaxBuffers(bufpool.BufferSize))
	d.nodes.SetLimit(limits.MaxNodeConnections())
	d.clients.SetMaxConns(limits.MaxClientConnections())
	d.routers.setOptions(d.routingOptions())
	d.gossip.setOperatorAvoids(d.operator.AvoidNodes)
	d.reporter.reloaded(d.configuration)
	d.channel.SetAddress(d.platform.Channel)
	slog.Info(logevent.Reloaded, "channel", d.platform.Channel)
}

// loadNext reads both files again, and checks that a running director can go on with them.
func (d *director) loadNext() (next configuration, err error) {
	if next, err = load(d.flags, d.getenv); err != nil {
		return next, err
	}
	if next.platform, err = d.platform.Reload(next.platform); err != nil {
		return next, err
	}
	return next, d.operator.CheckReload(next.operator, d.platform.Limits, next.platform.Limits)
}

// shards is how many shards the director has; a reload does not change it.
func (d *director) shards() int { return d.operator.ShardCount(d.platform.Limits) }

// applyProcessSettings sets the log level, and keeps Go's runtime to the machine's limits and to the operator's.
func (d *director) applyProcessSettings() {
	d.logLevel.Set(d.operator.LogLevel)
	limits := d.platform.Limits
	processors := limits.MaxProcs()
	if d.operator.Cores > 0 {
		processors = d.operator.ShardCount(limits)
	}
	runtime.GOMAXPROCS(processors)
	debug.SetMemoryLimit(limits.MemoryLimit())
}

// routingSettings are the platform's, with a seed of this director's own: directors of a fleet may be told the same seed, and must
// not make the same random choices.
func routingSettings(platform config.Config) policy.Settings {
	settings := platform.Site.Settings
	settings.Seed = backoff.Seed(platform.Site.Seed, platform.Name)
	return settings
}

// routingOptions are the operator's settings of the routing policy.
func (d *director) routingOptions() routing.Options {
	return routing.Options{
		Overload: d.operator.Overload, Dedup: d.operator.DedupSettings(d.platform.Limits), QuotaShare: d.gossip.quotaShare,
		OnOverloadReport: logOverload,
	}
}

// logOverload logs a change of the overload controller's state.
func logOverload(_ policy.Micros, r overload.Report) {
	slog.Info(logevent.OverloadState, "state", r.State, "demand", r.Demand, "warm", r.WarmShare, "admissions", r.Requests, "retries", r.Retries,
		"early_retries", r.EarlyRetries, "connects", r.NewConnections, "reserved", r.ReservedShare, "reservations_kept", r.KeptShare)
}
