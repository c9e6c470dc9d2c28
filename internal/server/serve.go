// Package serve is a whole director: it wires the stages of a request together, takes signals, and ends once all that was
// taken is answered.
package server

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"runtime/pprof"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"tallyproxy/backoff"
	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/config"
	"tallyproxy/internal/discovery"
	"tallyproxy/internal/dispatch"
	"tallyproxy/internal/downstream"
	"tallyproxy/internal/logevent"
	"tallyproxy/internal/status"
	"tallyproxy/internal/upstream"
	"tallyproxy/overload"
	"tallyproxy/policy"
	"tallyproxy/routing"
)

// flags are what the command line takes.
type flags struct {
	Config   string `env:"NODE_CONFIG" placeholder:"FILE" help:"The platform's configuration, JSON."`
	Settings string `placeholder:"FILE" help:"The operator's own settings, a Starlark script. Without it the defaults hold."`
	Divided  bool   `hidden:"" help:"An experiment: beliefs divided over the cores. Keys are not kept over connections then."`
	Profile  string `placeholder:"FILE" help:"Write a profile of the processor time, and one of waiting for locks beside it, to the end."`
	Check    bool   `help:"Read both files, say what is wrong with them, and end."`
}

// Main is the command: it reads its arguments, serves, and gives the exit code.
func Main(args []string) int {
	var f flags
	parser, err := kong.New(&f, kong.Name("tallyproxy"),
		kong.Description("A director: routes downloads to cache nodes. NODE_NAME and NODE_LISTEN stand in for what the "+
			"configuration lacks; SIGHUP reads both files again, SIGTERM ends it once all is answered."))
	if err != nil {
		panic(err)
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintln(os.Stderr, "tallyproxy:", err)
		return 2
	}
	level := new(slog.LevelVar)
	slog.SetDefault(slog.New(logHandler(os.Stderr, level)))
	if f.Check {
		if _, _, err := load(f, os.Getenv); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		fmt.Println("ok")
		return 0
	}
	if f.Profile != "" {
		end, err := profile(f.Profile)
		if err != nil {
			fmt.Fprintln(os.Stderr, "tallyproxy: --profile:", err)
			return 2
		}
		defer end()
	}
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	if err := run(f, os.Getenv, level, stop, reload); err != nil {
		slog.Error(logevent.StartFailed, "err", err)
		return 1
	}
	return 0
}

// profile writes profiles until the end.
func profile(path string) (end func(), err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	locks, err := os.Create(path + ".locks")
	if err != nil {
		f.Close()
		return nil, err
	}
	runtime.SetMutexProfileFraction(100)
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, err
	}
	return func() {
		pprof.StopCPUProfile()
		pprof.Lookup("mutex").WriteTo(locks, 0)
		f.Close()
		locks.Close()
	}, nil
}

// logHandler writes key=value lines whose message is the event.
func logHandler(to io.Writer, level slog.Leveler) slog.Handler {
	return slog.NewTextHandler(to, &slog.HandlerOptions{
		Level: level,
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			switch {
			case a.Key == slog.MessageKey && len(groups) == 0:
				a.Key = "event"
			case a.Key == slog.TimeKey && len(groups) == 0:
				a.Value = slog.StringValue(a.Value.Time().UTC().Format("2006-01-02T15:04:05.000000Z"))
			}
			return a
		},
	})
}

// load reads both files whole.
func load(f flags, getenv func(string) string) (config.Config, config.Operator, error) {
	c, err := config.Load(func(name string) string {
		if name == "NODE_CONFIG" && f.Config != "" {
			return f.Config
		}
		return getenv(name)
	})
	if err != nil {
		return c, config.Operator{}, err
	}
	o, err := config.LoadOperator(f.Settings)
	if err == nil {
		_, err = discovery.New(c.Site).DecodeKnown(c.Bootstrap)
	}
	if err == nil {
		err = o.CheckAllowed(c.Site)
	}
	return c, o, err
}

// options are what the operator's file says to the decisions.
func options(o config.Operator, l config.Limits, g *gossipDriver) routing.Options {
	return routing.Options{Overload: o.Overload, Dedup: o.DedupSettings(l), QuotaShare: g.held, OnOverloadReport: func(_ policy.Micros, r overload.Report) {
		slog.Info(logevent.OverloadState, "state", r.State, "demand", r.Demand, "warm", r.WarmShare, "admissions", r.Requests, "retries", r.Retries,
			"early_retries", r.EarlyRetries, "connects", r.NewConnections, "reserved", r.ReservedShare, "reservations_kept", r.KeptShare)
	}}
}

// run serves until the signal to stop comes and all that was taken is answered.
func run(f flags, getenv func(string) string, level *slog.LevelVar, stop, reload <-chan os.Signal) error {
	c, o, err := load(f, getenv)
	if err != nil {
		return err
	}
	level.Set(o.LogLevel)
	limitRuntime(c.Limits, o)
	margins := routing.Timeouts(c.Site.Settings)
	buffers := bufpool.New(c.Limits.MaxBuffers(bufpool.BufferSize))
	fleet := upstream.New(buffers, margins, c.Limits.MaxNodeConnections())
	shards := o.ShardCount(c.Limits)
	if o.Cores > shards {
		slog.Warn(logevent.CoresLimited, "requested", o.Cores, "allowed", shards)
	}
	channel := discovery.New(c.Site)
	channel.SetSeed(backoff.Seed(c.Site.Seed, c.Name))
	g := &gossipDriver{}
	own := newHeart(c.Site.Settings, margins, channel.PollNow, g.settled)
	fleet.SetWriteCheck(own.Trusted)
	channel.SetStallMonitor(heard{own, g})
	d := newDecider(ownSettings(c), options(o, c.Limits, g), margins, fleet, shards, f.Divided)
	d.watch(own)
	known, err := channel.DecodeKnown(c.Bootstrap)
	if err != nil {
		return err
	}
	g.d = d
	g.avoid(o.AvoidNodes)
	d.apply(known)
	l, err := net.Listen("tcp4", c.Listen) // IPv4 alone: a wildcard address would open an IPv6 socket
	if err != nil {
		return err
	}
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go own.run(ctx)
	d.run()
	if o.Peers != nil {
		g.keep(c, o.Peers.Delegates, own, channel, known)
		if err := g.start(*o.Peers, c, fleet); err != nil {
			l.Close()
			return err
		}
	}
	server := downstream.New(d.sinks, c.Site, buffers, c.Limits.MaxClientConnections(), margins)
	go server.Serve(l)
	keeper := &keeper{started: time.Now(), c: c, o: o}
	if o.StatusSocket != "" {
		socket, err := status.Serve(o.StatusSocket, func() status.Report { return keeper.report(d, server, fleet, g) })
		if err != nil {
			l.Close()
			return fmt.Errorf("state.socket: %w", err)
		}
		defer socket.Close()
	}
	channel.SetAddress(c.Channel)
	go channel.Run(ctx, margins, g.told)
	giveBack()
	slog.Info(logevent.Started, "name", c.Name, "listen", c.Listen, "events", len(known), "settings", f.Settings, "cores", shards)

	for stopping := false; !stopping; {
		select {
		case <-stop:
			stopping = true
		case <-reload:
			next, nextO, err := load(f, getenv)
			if err == nil {
				next, err = c.Reload(next)
			}
			if err == nil {
				err = o.CheckReload(nextO, c.Limits, next.Limits)
			}
			if err != nil {
				slog.Warn(logevent.ReloadRejected, "err", err)
				keeper.refused(err)
				continue
			}
			c, o = next, nextO
			level.Set(o.LogLevel)
			limitRuntime(c.Limits, o)
			buffers.SetLimit(c.Limits.MaxBuffers(bufpool.BufferSize))
			fleet.SetLimit(c.Limits.MaxNodeConnections())
			server.SetMaxConns(c.Limits.MaxClientConnections())
			d.use(options(o, c.Limits, g))
			g.avoid(append([]string{}, o.AvoidNodes...))
			keeper.took(c, o)
			channel.SetAddress(c.Channel)
			slog.Info(logevent.Reloaded, "channel", c.Channel)
		}
	}
	stopped := time.Now()
	slog.Info(logevent.Stopping, "open", d.open())
	server.SetNotServing()
	keeper.stop()
	// What waits in the listener's queue was taken: it is let in, and has a moment to ask. Clients that go on coming keep the
	// listener open no longer than they are allowed to come, once more.
	linger, settle := stopped.Add(span(margins.DrainAccept)), o.QuietPeriod
	if settle == 0 {
		settle = margins.CancelConfirm
	}
	for last := linger.Add(span(margins.DrainAccept)); time.Now().Before(last); time.Sleep(span(margins.DrainAccept) / 100) {
		if time.Now().After(linger) && server.QuietFor(span(settle)) {
			break
		}
	}
	l.Close()
	d.close(stopped.Add(span(margins.DrainDeadline))) // then all is answered, also what goes on coming for a moment, and the clients are told to leave
	server.Shutdown()
	g.stop()
	leave()
	fleet.Close()
	d.stop()
	slog.Info(logevent.Stopped)
	return nil
}

// ownSettings are the platform's, with a seed of this director's own: a fleet may be told the same, and its chances are to part.
func ownSettings(c config.Config) policy.Settings {
	s := c.Site.Settings
	s.Seed = backoff.Seed(c.Site.Seed, c.Name)
	return s
}

// decider is what decides: one module for all shards, or, as an experiment, one for each, that is told of as many more
// directors as there are.
type decider struct {
	routers []*dispatch.Router
	modules []*routing.Router
	sinks   []downstream.Handler
}

func newDecider(s policy.Settings, o routing.Options, m policy.Timeouts, fleet *upstream.Pool, shards int, divided bool) *decider {
	d, each := &decider{}, shards
	if divided {
		s.ZoneDirectors, each = max(1, s.ZoneDirectors)*shards, 1
	}
	for n := 0; n < shards; n += each {
		module := routing.New(s, o)
		r := dispatch.New(module, m, fleet, each)
		d.modules, d.routers = append(d.modules, module), append(d.routers, r)
		for _, s := range r.Shards() {
			d.sinks = append(d.sinks, s)
		}
	}
	return d
}

func (d *decider) watch(own dispatch.StallMonitor) {
	for _, r := range d.routers {
		r.SetStallMonitor(own)
	}
}

func (d *decider) run() {
	for _, r := range d.routers {
		go r.Run()
	}
}

func (d *decider) apply(events []discovery.Event) {
	for _, r := range d.routers {
		r.Apply(events)
	}
}

func (d *decider) use(o routing.Options) {
	for i, r := range d.routers {
		r.WithPolicy(func() { d.modules[i].SetOptions(o) })
	}
}

func (d *decider) avoid(boxes []string) {
	for _, r := range d.routers {
		r.SetDraining(boxes)
	}
}

func (d *decider) close(by time.Time) {
	for _, r := range d.routers {
		r.DrainBy(by)
	}
}

func (d *decider) open() (n int) {
	for _, r := range d.routers {
		n += r.OpenRequests()
	}
	return n
}

func (d *decider) stop() {
	for _, r := range d.routers {
		r.Stop()
	}
}

// keeper keeps what is told of the director.
type keeper struct {
	mu       sync.Mutex
	started  time.Time
	c        config.Config
	o        config.Operator
	reloads  int
	why      string
	stopping bool
}

func (k *keeper) took(c config.Config, o config.Operator) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.c, k.o, k.why = c, o, ""
	k.reloads++
}

func (k *keeper) refused(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.why = err.Error()
}

func (k *keeper) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stopping = true
}

// report tells how the director is.
func (k *keeper) report(d *decider, s *downstream.Server, fleet *upstream.Pool, g *gossipDriver) status.Report {
	k.mu.Lock()
	r := status.Report{
		Name: k.c.Name, PID: os.Getpid(), Started: k.started, Stopping: k.stopping, SettingsDigest: k.o.Digest, PlatformDigest: k.c.Digest,
		Reloads: k.reloads, ReloadError: k.why, Cores: k.o.ShardCount(k.c.Limits), AvoidedNodes: k.o.AvoidNodes, ClientConnections: s.ConnCount(),
		MaxClientConnections: k.c.Limits.MaxClientConnections(), NodeConnections: fleet.Connections(), OpenRequests: d.open(), Counters: map[string]int64{},
	}
	k.mu.Unlock()
	r.Membership, r.Gossip, r.Relay = g.talk.Load().Report(), g.report(), g.ears.report()
	for i, router := range d.routers {
		for name, n := range router.Counts() {
			r.Counters[name] += n
		}
		r.EventsReceived, r.EventsApplied = router.Epochs()
		router.WithPolicy(func() {
			now := router.Now()
			held, full := d.modules[i].DedupCounts()
			r.DedupRecords, r.DedupRejected = r.DedupRecords+held, r.DedupRejected+full
			r.Overload, r.NodeViews = d.modules[i].OverloadReport(now), d.modules[i].Endpoints(now)
		})
	}
	return r
}

// limitRuntime keeps Go's runtime to the machine's limits, and to the operator's.
func limitRuntime(l config.Limits, o config.Operator) {
	cores := l.MaxProcs()
	if o.Cores > 0 {
		cores = o.ShardCount(l)
	}
	runtime.GOMAXPROCS(cores)
	debug.SetMemoryLimit(l.MemoryLimit())
}

func span(t policy.Micros) time.Duration { return time.Duration(t) * time.Microsecond }
