// Package server implements a whole director and connects its parts: discovery polls the command
// channel, downstream serves clients, dispatch and routing make the decisions, upstream talks to
// cache nodes, and gossip talks to other directors. A director reloads both configuration files on
// SIGHUP. On SIGTERM or an interrupt it stops after all accepted requests are answered.
//
// The goroutine that calls run owns the configuration: it starts the director, waits for signals,
// reloads and shuts down. All other goroutines are started by the parts and end in the order in
// which shutdown stops the parts.
package server

import (
	"context"
	"fmt"
	"log/slog"
	"math"
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

// configuration is the contents of both configuration files.
type configuration struct {
	platform config.Config
	operator config.Operator
}

// load reads and checks both files.
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

// director is a running director. Its fields are set before the first request; only the goroutine
// of run accesses configuration afterwards.
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
	socket   *status.Server // nil if the operator's script configures none
}

// run serves until a signal arrives on stop and all accepted requests are answered. Each signal on
// reload reloads both files. run returns an error only if the director could not start.
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

// newDirector creates and connects the parts. It starts no goroutine and opens no socket.
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

// start opens the sockets and starts all parts. If it fails it closes the listener; parts that
// already run end with the context or the process.
func (d *director) start(ctx context.Context) error {
	bootstrap, err := d.channel.DecodeKnown(d.platform.Bootstrap)
	if err != nil {
		return err
	}
	d.gossip.setOperatorAvoids(d.operator.AvoidNodes)
	d.routers.apply(bootstrap)
	// Not "tcp", which opens an IPv6 socket for a wildcard address.
	d.listener, err = net.Listen("tcp4", d.platform.Listen)
	if err != nil {
		return err
	}
	if err := d.startParts(ctx, bootstrap); err != nil {
		_ = d.listener.Close() // report the first error
		return err
	}
	releaseStartupPages()
	slog.Info(logevent.Started, "name", d.platform.Name, "listen", d.platform.Listen, "events", len(bootstrap),
		"settings", d.flags.Settings, "cores", d.shards())
	return nil
}

// startParts starts the parts in dependency order. Clients are served before the first poll of the
// command channel, because the bootstrap events in the configuration are enough to serve them.
func (d *director) startParts(ctx context.Context, bootstrap []discovery.Event) error {
	go d.monitor.run(ctx)
	d.routers.run()
	if d.operator.Peers != nil {
		if err := d.gossip.start(ctx, *d.operator.Peers, d.platform, bootstrap); err != nil {
			return err
		}
	}
	limits := d.platform.Limits
	d.clients = downstream.New(d.routers.handlers, d.platform.Site, d.buffers, limits.MaxClientConnections(), d.timeouts)
	go func() {
		_ = d.clients.Serve(d.listener) // returns after shutdown closes the listener
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

// reload reads both files again and applies them. If a file is invalid, or changes a setting that
// can't change while requests are open, reload changes nothing and reports the reason in the log
// and the status report.
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

// loadNext reads both files again and checks that a running director can switch to them.
func (d *director) loadNext() (next configuration, err error) {
	if next, err = load(d.flags, d.getenv); err != nil {
		return next, err
	}
	if next.platform, err = d.platform.Reload(next.platform); err != nil {
		return next, err
	}
	return next, d.operator.CheckReload(next.operator, d.platform.Limits, next.platform.Limits)
}

// shards returns the number of shards, which a reload does not change.
func (d *director) shards() int { return d.operator.ShardCount(d.platform.Limits) }

// applyProcessSettings sets the log level, and limits the Go runtime to the processors and memory
// that the platform and the operator grant.
func (d *director) applyProcessSettings() {
	d.logLevel.Set(d.operator.LogLevel)
	limits := d.platform.Limits
	processors := limits.MaxProcs()
	if d.operator.Cores > 0 {
		processors = d.operator.ShardCount(limits)
	}
	runtime.GOMAXPROCS(processors)
	debug.SetMemoryLimit(limits.RuntimeLimit())
}

// routingSettings returns the platform's settings with a seed that is specific to this director.
// All directors of a fleet may be configured with the same seed, but must not make the same random
// choices.
func routingSettings(platform config.Config) policy.Settings {
	settings := platform.Site.Settings
	settings.Seed = backoff.Seed(platform.Site.Seed, platform.Name)
	return settings
}

// routingOptions returns the operator's settings of the routing policy.
func (d *director) routingOptions() routing.Options {
	return routing.Options{
		Overload: d.operator.Overload, Dedup: d.operator.DedupSettings(d.platform.Limits), QuotaShare: d.gossip.quotaShare,
		OnOverloadReport: logOverload, OnSlowStartReport: logSlowStart,
	}
}

// logOverload logs a state change of the overload controller.
func logOverload(_ policy.Micros, r overload.Report) {
	slog.Info(logevent.OverloadState, "state", r.State, "demand", r.Demand, "warm", r.WarmShare, "admissions", r.Requests, "retries", r.Retries,
		"early_retries", r.EarlyRetries, "connects", r.NewConnections, "reserved", r.ReservedShare, "reservations_kept", r.KeptShare)
}

// logSlowStart logs an event of a node's slow start. Events of single half windows are logged at
// debug level. Work is logged in milliseconds of transfer time at the full rate.
func logSlowStart(_ policy.Micros, r routing.SlowStartReport) {
	level := slog.LevelInfo
	if r.Event == routing.SlowStartHalfWindow {
		level = slog.LevelDebug
	}
	milliseconds := func(work float64) float64 { return math.Round(work) / float64(policy.Millisecond) }
	slog.Log(context.Background(), level, logevent.SlowStart, "endpoint", r.Endpoint, "state", r.Event, "tier", r.Tier,
		"age", r.Age.Duration(), "share", r.Share, "capacity", r.Capacity, "quota", r.Quota, "miss_ratio", r.MissRatio,
		"budget_ms", milliseconds(r.Budget), "half_ms", milliseconds(r.HalfWork), "peak_ms", milliseconds(r.PeakWork),
		"sent", r.Sent, "deferred", r.Deferred)
}
