package faulttest

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tallyproxy/backoff"
	"tallyproxy/gossip"
	"tallyproxy/internal/config"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/gossipnet"
	"tallyproxy/internal/status"
	"tallyproxy/membership"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

// Spec says what stands on the rig.
type Spec struct {
	Argv          []string // starts a director
	NoPeers       bool     // without peers: fixed parts, as before
	CacheNodes    int
	Clients       int
	LoadFactor    float64 // what clients ask for over what warm caches can do
	WarmCaches    bool    // caches hold much of it at the start
	LoadBefore    time.Duration
	LoadAfter     time.Duration // load goes on for so long once the faults are over
	MemoryMB      int
	Log           io.Writer // of all directors; may be nil
	ChangeCluster func(*fakes.Spec)
	BeforeStart   func(*Harness) // done once all stands but the directors
	EarlyClients  bool           // clients come before the directors are there
}

// Process is a director on the rig.
type Process struct {
	*Director
	Name      string
	Listen    string // where it listens for the others,
	Advertise string // and at which others reach it
	Socket    string
	log       *recorder
	life      sync.Mutex // held while it is killed or started: two faults may want both at once
	number    int
	up        bool
	twin      bool
}

// Harness is a fleet of directors as processes, with relays between them and stand-ins of all else that they talk to.
type Harness struct {
	Spec
	Cluster *fakes.Cluster
	Network *Network
	History *History
	dir     string
	key     string
	mu      sync.Mutex
	procs   []*Process
	asked   *fakes.Zipf
	ctx     context.Context // of the clients
	leave   context.CancelFunc
	crowd   sync.WaitGroup
}

// New makes a rig with so many directors; Start starts them.
func New(s Spec, schedule Schedule) (*Harness, error) {
	spec := fakes.DefaultSpec(s.CacheNodes, schedule.Directors)
	spec.Zones = schedule.Zones()
	spec.SecondPath = slices.ContainsFunc(schedule.Faults, func(f Fault) bool { return f.Kind == ChannelUnreachable })
	spec.Seed, spec.ColdEdges, spec.ColdParents = schedule.Seed+1, !s.WarmCaches, false
	if s.ChangeCluster != nil {
		s.ChangeCluster(&spec)
	}
	w, err := fakes.New(spec)
	if err != nil {
		return nil, err
	}
	r := &Harness{Spec: s, Cluster: w, Network: NewNetwork(schedule.Seed), History: &History{}, asked: fakes.NewZipf(spec.Objects, spec.ZipfExponent)}
	r.ctx, r.leave = context.WithCancel(context.Background())
	if s.WarmCaches {
		w.PrefillCaches()
	}
	if r.dir, err = os.MkdirTemp("", "rig"); err == nil {
		r.key = filepath.Join(r.dir, "key")
		err = os.WriteFile(r.key, []byte(fmt.Sprintf("%x", sha256.Sum256([]byte(r.dir)))), 0o600)
	}
	for i := range schedule.Directors {
		if err == nil {
			_, err = r.AddDirector(fmt.Sprint("n", i), r.key, "rig")
		}
	}
	if err == nil {
		err = r.write()
	}
	if err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// AddDirector prepares a director; one of a name that is there before is its twin.
func (r *Harness) AddDirector(name, key, fleet string) (*Process, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	at, err := r.Network.Add(listen)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &Process{Name: name, Listen: listen, Advertise: at, number: len(r.procs)}
	p.Socket = filepath.Join(r.dir, fmt.Sprint(p.number, ".sock"))
	p.log = &recorder{h: r.History, who: p.number}
	p.twin = slices.ContainsFunc(r.procs, func(o *Process) bool { return o.Name == name })
	r.procs = append(r.procs, p)
	out := io.Writer(p.log)
	if r.Log != nil {
		out = io.MultiWriter(p.log, r.Log)
	}
	p.Director, err = NewDirector(r.Cluster, r.dir, fmt.Sprint(p.number), r.Argv, r.script(p, key, fleet), Limits{512, max(64, r.MemoryMB), 1}, out)
	if err == nil { // the file has the process's number, the director goes by its name
		config := filepath.Join(r.dir, fmt.Sprint(p.number, ".json"))
		err = os.WriteFile(config, r.Cluster.Config(name, p.Addr, 512, max(64, r.MemoryMB), 1), 0o600)
	}
	return p, err
}

// script is the operator's file of a director. Its seeds are three of the others, by the relays that stand before them.
func (r *Harness) script(p *Process, key, fleet string) string {
	text := fmt.Sprintf("storm(mode = \"fixed\")\nlog(level = \"debug\")\nstate(socket = %q)\n", p.Socket)
	if r.NoPeers {
		return text
	}
	var seeds []string
	for i, o := range r.procs {
		if o != p && (i < 3 || i == p.number-1) {
			seeds = append(seeds, strconv.Quote(o.Advertise))
		}
	}
	return text + fmt.Sprintf("peers(listen = %q, advertise = %q, seeds = [%s], key = %q, fleet = %q)\n", p.Listen, p.Advertise,
		strings.Join(seeds, ", "), key, fleet)
}

// write writes the scripts anew once all addresses are known.
func (r *Harness) write() error {
	for _, p := range r.procs {
		path := filepath.Join(r.dir, fmt.Sprint(p.number, ".star"))
		if err := os.WriteFile(path, []byte(r.script(p, r.key, "rig")), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Processes are all, in the order in which they were added.
func (r *Harness) Processes() []*Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.procs)
}

// Start starts all directors at once.
func (r *Harness) Start(ctx context.Context) error {
	var all sync.WaitGroup
	procs := r.Processes()
	failed := make([]error, len(procs))
	places := make(chan struct{}, 32)
	for i, p := range procs {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			if failed[i] = r.StartProcess(ctx, p); failed[i] != nil {
				failed[i] = fmt.Errorf("%s: %w\n%s", p.Name, failed[i], p.log.Tail())
			}
		})
	}
	all.Wait()
	return errors.Join(failed...)
}

// StartProcess starts one.
func (r *Harness) StartProcess(ctx context.Context, p *Process) error {
	err := p.Start(ctx)
	r.mu.Lock()
	p.up = err == nil
	r.mu.Unlock()
	return err
}

// AwaitConvergence waits until all that are up have one view of so many directors; false where they don't in time.
func (r *Harness) AwaitConvergence(ctx context.Context, within time.Duration) bool {
	ctx, leave := context.WithTimeout(ctx, within)
	defer leave()
	for ctx.Err() == nil {
		if r.oneView(ctx) {
			return true
		}
		fakes.Sleep(ctx, 100*time.Millisecond)
	}
	return false
}

func (r *Harness) oneView(ctx context.Context) bool {
	sum, there := "", slices.DeleteFunc(r.Processes(), func(p *Process) bool { return !r.isUp(p) || p.twin })
	for _, p := range there {
		report, err := status.Read(ctx, p.Socket)
		if err != nil || report.Membership == nil {
			return false
		}
		up := 1
		for _, o := range report.Membership.Peers {
			up += bit(o.State == "up")
		}
		if up != len(there) || sum != "" && sum != report.Membership.Digest {
			return false
		}
		sum = report.Membership.Digest
	}
	return true
}

func (r *Harness) isUp(p *Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p.up
}

// StartClients starts the clients.
func (r *Harness) StartClients() {
	targets := make([]*fakes.Target, 0, len(r.procs))
	for _, p := range r.Processes() {
		targets = append(targets, &p.Target)
	}
	work := 0.0
	for _, t := range r.Cluster.ContentTypes {
		work += t.RequestShare * t.MeanTransfer.Seconds()
	}
	rate := r.Spec.LoadFactor * r.Cluster.CacheCapacity * float64(r.CacheNodes) / work
	think := time.Duration(float64(r.Clients) / rate * float64(time.Second))
	chance := rand.New(rand.NewPCG(r.Cluster.Seed, 31))
	for i := range r.Clients {
		c := &fakes.Client{
			Cluster: r.Cluster, Targets: targets, Current: i % len(targets), LocalAddress: fmt.Sprintf("127.1.%d.%d", i/250%250, 1+i%250), MaxRetries: 12,
			RetryPause: 100 * time.Millisecond, Rand: rand.New(rand.NewPCG(r.Cluster.Seed, uint64(i)+100)), Zipf: r.asked,
		}
		at := r.Cluster.Now() + time.Duration(chance.Float64()*float64(time.Second))
		r.crowd.Go(func() { c.Run(r.ctx, at, think) })
	}
}

// StopClients ends the load.
func (r *Harness) StopClients() {
	r.leave()
	r.crowd.Wait()
}

// Play plays the faults of a schedule, each at its time, and what ends them; all links are well and nobody is stopped or dead when
// it returns. It takes no longer than the schedule's length and what it takes to start a process.
func (r *Harness) Play(ctx context.Context, s Schedule) {
	type step struct {
		at int
		do func()
	}
	var steps []step
	for i, f := range s.Faults {
		end := f.AtMS + f.ForMS
		if f.ForMS == 0 {
			end = s.LengthMS
		}
		begin, over := r.fault(ctx, f, rand.New(rand.NewPCG(s.Seed, uint64(i)+900)), time.Duration(end-f.AtMS)*time.Millisecond)
		steps = append(steps, step{f.AtMS, begin})
		if over != nil {
			steps = append(steps, step{end, over})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return a.at - b.at })
	begun := time.Now()
	var all sync.WaitGroup
	for _, st := range steps {
		all.Go(func() { // each by itself: a start takes its time
			fakes.Sleep(ctx, time.Until(begun.Add(time.Duration(st.at)*time.Millisecond)))
			st.do()
		})
	}
	all.Wait()
	r.Network.Heal()
	for _, p := range r.Processes() { // two faults at one process may have left it down
		if !r.isUp(p) && !p.twin {
			r.again(ctx, p)
		}
	}
}

// fault gives what begins a fault, and what ends it.
func (r *Harness) fault(ctx context.Context, f Fault, chance *rand.Rand, span time.Duration) (begin, over func()) {
	procs := r.Processes()
	links := func(l Link) {
		for i := range procs {
			for j := range procs {
				if AffectsLink(f, i, j) {
					r.Network.SetLink(i, j, l)
				}
			}
		}
	}
	trouble := func(on string) { r.History.Record(-1, f.Kind, map[string]string{"trouble": on}) }
	who := func(do func(p *Process)) func() {
		return func() {
			var all sync.WaitGroup
			for _, i := range f.Targets {
				all.Go(func() { do(procs[i]) })
			}
			all.Wait()
		}
	}
	switch f.Kind {
	case CutLinks, Partition:
		return func() { trouble("on"); links(Link{Cut: true}) }, func() { links(Link{}); trouble("off") }
	case LossyLinks:
		l := Link{Loss: f.Rate, Duplicate: f.Rate / 10, Delay: time.Millisecond, Jitter: time.Duration(f.Rate * float64(time.Second))}
		return func() { links(l) }, func() { links(Link{}) }
	case FlappingLinks:
		return func() {
			trouble("on")
			for until := time.Now().Add(span); time.Now().Before(until); {
				links(Link{Cut: true})
				fakes.Sleep(ctx, 300*time.Millisecond)
				links(Link{})
				fakes.Sleep(ctx, 300*time.Millisecond)
			}
			trouble("off")
		}, nil
	case Kill:
		return who(r.kill), who(func(p *Process) { r.again(ctx, p) })
	case ChannelUnreachable:
		return func() { r.Cluster.CutSecondPath(true) }, func() { r.Cluster.CutSecondPath(false) }
	case ZoneLoss:
		towns := f.Targets
		lost := func(n *fakes.Node) bool {
			return n.Kind == fakes.Edge && slices.Contains(towns, r.Cluster.ZoneOf(n.Name))
		}
		f.Targets = nil // its directors from here on
		for i, p := range procs {
			if slices.Contains(towns, r.Cluster.ZoneOf(p.Name)) {
				f.Targets = append(f.Targets, i)
			}
		}
		return func() {
				for _, n := range r.Cluster.Nodes {
					if lost(n) {
						n.Kill()
					}
				}
				who(r.kill)()
			}, func() {
				for _, n := range r.Cluster.Nodes {
					if lost(n) {
						n.Restart()
					}
				}
				who(func(p *Process) { r.again(ctx, p) })()
			}
	case Restart:
		return who(func(p *Process) { r.kill(p); r.again(ctx, p) }), nil
	case Pause:
		return func() {
				trouble("on")
				who(func(p *Process) { p.Pause(true) })()
			}, func() {
				who(func(p *Process) { p.Pause(false) })()
				trouble("off")
			}
	case Terminate:
		return who(func(p *Process) {
			p.life.Lock()
			defer p.life.Unlock()
			if r.down(p) {
				r.History.Record(p.number, Terminate, nil)
				p.Signal(syscall.SIGTERM)
			}
		}), who(func(p *Process) { r.again(ctx, p) })
	case DuplicateInstance:
		var twin *Process
		return func() {
				trouble("on")
				var err error
				if twin, err = r.AddDirector(procs[f.Targets[0]].Name, r.key, "rig"); err == nil {
					err = r.StartProcess(ctx, twin)
				}
				if err != nil {
					r.History.Record(-1, "twin failed: "+err.Error(), nil)
				}
			}, func() {
				if twin != nil && r.down(twin) {
					twin.Stop()
				}
				trouble("off")
			}
	case FalseHints:
		var liar *gossipnet.Driver
		return func() { liar = r.lie(ctx, span) }, func() {
			if liar != nil {
				liar.Leave()
			}
		}
	case ColdCaches:
		return func() {
			for _, i := range f.Targets {
				if n := r.Cluster.Node(fmt.Sprint("box-", i)); n != nil {
					n.Kill()
					n.Restart()
				}
			}
		}, nil
	case Purge:
		return func() {
			for i := range 128 {
				r.Cluster.Purge("", 2*i)
			}
		}, nil
	case Drain:
		n := r.Cluster.Node("box-0")
		return func() { n.Announce("draining") }, func() { n.Announce("up") }
	case BusyCores:
		return func() { busy(ctx, int(f.Rate), span) }, nil
	case ChannelOutage:
		return func() { r.Cluster.SetChannelMode(fakes.ChannelMode(f.Rate), 0) }, func() { r.Cluster.SetChannelMode(fakes.ChannelServing, 0) }
	case ChannelRollback:
		return func() { r.Cluster.RollBackChannel(1) }, nil
	case KillDelegates:
		return func() {
				f.Targets = r.chosen(ctx)
				for i := range 64 {
					r.Cluster.Purge("", 2*i)
				}
				fakes.Sleep(ctx, time.Duration(1+chance.IntN(20))*time.Millisecond)
				who(r.kill)()
			}, func() {
				who(func(p *Process) { r.again(ctx, p) })()
			}
	case ChannelMove:
		return func() { r.move(ctx, chance) }, nil
	case RollingRestart:
		return func() {
			tenth := (len(procs) + 9) / 10
			for some := range slices.Chunk(procs, tenth) {
				var all sync.WaitGroup
				for _, p := range some {
					all.Go(func() {
						p.life.Lock()
						if r.down(p) {
							r.History.Record(p.number, Terminate, nil)
							p.Signal(syscall.SIGTERM)
						}
						p.life.Unlock()
						r.again(ctx, p)
					})
				}
				all.Wait()
				fakes.Sleep(ctx, span/20)
			}
		}, nil
	case ReplaceCaches:
		return func() { r.replace(ctx, span) }, nil
	case MalformedRelay:
		var talk *gossipnet.Driver
		return func() { talk = r.rubbish(ctx, span) }, func() {
			if talk != nil {
				talk.Leave()
			}
		}
	}
	return func() {}, nil
}

// chosen are those that follow the channel by their place, as they see it.
func (r *Harness) chosen(ctx context.Context) (who []int) {
	for i, p := range r.Processes() {
		if report, err := status.Read(ctx, p.Socket); err == nil && report.Relay != nil && report.Relay.Delegate {
			who = append(who, i)
		}
	}
	return who
}

// move has the channel listen elsewhere too, and all directors told so, within a second.
func (r *Harness) move(ctx context.Context, chance *rand.Rand) {
	if err := r.Cluster.MoveChannel(); err != nil {
		r.History.Record(-1, "failed to move: "+err.Error(), nil)
		return
	}
	var all sync.WaitGroup
	for _, p := range r.Processes() {
		wait := time.Duration(chance.Float64() * float64(time.Second))
		all.Go(func() {
			fakes.Sleep(ctx, wait)
			if err := os.WriteFile(p.config, r.Cluster.Config(p.Name, p.Addr, 512, max(64, r.MemoryMB), 1), 0o600); err == nil {
				p.Signal(syscall.SIGHUP)
			}
		})
	}
	all.Wait()
}

// replace has half of the caches go, each once a new one has come in its place.
func (r *Harness) replace(ctx context.Context, span time.Duration) {
	half := r.CacheNodes / 2
	for i := range half {
		old := r.Cluster.Node(fmt.Sprint("box-", i))
		if _, err := r.Cluster.AddNode(fakes.Edge, fmt.Sprint("new-", i), true); err != nil {
			r.History.Record(-1, "failed to replace: "+err.Error(), nil)
		}
		old.Announce("draining")
		time.AfterFunc(span/2, func() {
			old.Announce("removed")
			old.Kill()
		})
		fakes.Sleep(ctx, span/time.Duration(2*half))
	}
	fakes.Sleep(ctx, span/2+100*time.Millisecond)
}

// AffectsLink says whether a fault of links is on the way from one director to another.
func AffectsLink(f Fault, from, to int) bool {
	group := func(i int) int {
		return slices.IndexFunc(f.Groups, func(g []int) bool { return slices.Contains(g, i) })
	}
	at := func(hears, speaks int) bool {
		return slices.Contains(f.Targets, hears) && slices.Contains(f.Peers, speaks)
	}
	switch f.Kind {
	case Partition:
		return group(from) != group(to)
	case LossyLinks:
		return from != to
	}
	return from != to && (at(to, from) || f.Both && at(from, to) || f.Kind == FlappingLinks && at(from, to))
}

// busy keeps cores busy with so many processes. In this one they would take their turns from the relays, and what is to be shown is
// that directors stand the others' hunger, not a network's.
func busy(ctx context.Context, loops int, span time.Duration) {
	ctx, leave := context.WithTimeout(ctx, span)
	defer leave()
	var all sync.WaitGroup
	for range loops {
		all.Go(func() { exec.CommandContext(ctx, "sh", "-c", "while :; do :; done").Run() })
	}
	all.Wait()
}

// down books that a process is no longer up; false where it was not.
func (r *Harness) down(p *Process) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	was := p.up
	p.up = false
	return was
}

func (r *Harness) kill(p *Process) {
	p.life.Lock()
	defer p.life.Unlock()
	if r.down(p) {
		r.History.Record(p.number, Kill, nil)
		p.Pause(false) // one that is stopped would not be reaped
		p.Kill()
	}
}

// again starts one that is down, once it has ended.
func (r *Harness) again(ctx context.Context, p *Process) {
	p.life.Lock()
	defer p.life.Unlock()
	if r.isUp(p) || ctx.Err() != nil {
		return
	}
	if p.PID() != 0 {
		p.Wait()
	}
	if err := r.StartProcess(ctx, p); err != nil {
		r.History.Record(p.number, "failed to start: "+err.Error(), nil)
	}
}

// rubbish joins the directors under a name that is the first to be heard. It tells of a list that was never the channel's, in which all
// caches are elsewhere, whoever asks and who does not, and of words that can't be.
func (r *Harness) rubbish(ctx context.Context, span time.Duration) *gossipnet.Driver {
	name := ""
	for i, first := 0, true; first || name == ""; i++ {
		name, first = fmt.Sprint("liar-", i), false
		for _, p := range r.Processes() {
			first = first || backoff.Seed(0, p.Name) < backoff.Seed(0, name)
		}
	}
	var talk atomic.Pointer[gossipnet.Driver]
	rows := []relays.Endpoint{}
	for i := range r.CacheNodes {
		rows = append(rows, relays.Endpoint{ID: fmt.Sprint("box-", i), Address: "127.0.0.1:9", Zone: 1, Weight: 1})
	}
	hear := func(from string, m relays.Message) {
		switch t := talk.Load(); {
		case t == nil:
		case m.Query != nil:
			t.SendRelay(from, relays.Message{Response: &relays.Response{SentAt: m.Query.SentAt, ListSum: relays.Sum(rows)}})
			t.SendRelay(from, relays.Message{Response: &relays.Response{SentAt: -5, Age: -7, ListSum: "\x00"}})
			t.SendRelay(from, relays.Message{List: rows})
			t.SendRelay(from, relays.Message{WantList: "?"})
			t.SendUpdates(from, []gossip.Update{{Node: "box-0", Age: -1}, {Node: "\x00", Object: "x", PurgedAt: 1}, {Group: -9, PurgedAt: 1}, {}})
		case m.WantList != "":
			t.SendRelay(from, relays.Message{List: rows})
		}
	}
	t := r.join(name, gossipnet.Handlers{Relay: hear, ProbeNode: func(membership.Hint) {}, LastAnswer: func(string) policy.Micros { return 0 }}, func(*membership.Settings) {})
	talk.Store(t)
	return t
}

// lie joins the directors as one of them, and tells of all caches all the time that they are dead, cold and full.
func (r *Harness) lie(ctx context.Context, span time.Duration) *gossipnet.Driver {
	begun := time.Now()
	talk := r.join("liar", gossipnet.Handlers{}, func(s *membership.Settings) { s.HintsPerInterval, s.HintInterval = 1<<20, 1 }) // it keeps to no bounds
	if talk == nil {
		return nil
	}
	r.crowd.Go(func() {
		for round := 0; time.Now().Before(begun.Add(span)) && ctx.Err() == nil && r.ctx.Err() == nil; round++ {
			for i := range r.CacheNodes {
				talk.BroadcastHint(membership.Hint{Node: fmt.Sprint("box-", i), Condition: []membership.Condition{membership.Unreachable, membership.Restarted, membership.Overloaded}[round%3]})
			}
			fakes.Sleep(ctx, 100*time.Millisecond)
		}
	})
	return talk
}

// join has one in this process join the directors under a name; nil where it can't.
func (r *Harness) join(name string, ears gossipnet.Handlers, change func(*membership.Settings)) *gossipnet.Driver {
	listen, err := FreeAddress()
	if err != nil {
		return nil
	}
	at, err := r.Network.Add(listen)
	if err != nil {
		return nil
	}
	raw, _ := os.ReadFile(filepath.Join(r.dir, "0.star"))
	o, err := config.ParseOperator("liar", raw)
	if err != nil || o.Peers == nil {
		return nil
	}
	p := *o.Peers
	p.Listen, p.Advertise = listen, at
	var platform struct{ Settings json.RawMessage }
	if json.Unmarshal(r.Cluster.Config(name, listen, 512, 64, 1), &platform) != nil {
		return nil
	}
	site, err := config.ParseSite(platform.Settings)
	if err != nil {
		return nil
	}
	begun := time.Now()
	s := membership.Derive(name, uint64(begun.UnixMicro()), site.Settings)
	change(&s)
	talk, err := gossipnet.Start(p, s, func() policy.Micros { return policy.Micros(time.Since(begun)/time.Microsecond) + 1 }, ears)
	if err != nil {
		return nil
	}
	return talk
}

// PeakMemoryMB is the most that a director has held, in MB.
func (r *Harness) PeakMemoryMB() (most float64) {
	for _, p := range r.Processes() {
		most = max(most, p.PeakMemoryMB())
	}
	return most
}

// Close ends all directors and stand-ins. It gives those that did not end as they should.
func (r *Harness) Close() error {
	r.StopClients()
	var all sync.WaitGroup
	procs := r.Processes()
	failed := make([]error, len(procs))
	for i, p := range procs {
		if p.Director == nil || p.PID() == 0 {
			continue
		}
		all.Go(func() {
			p.Pause(false)
			if err := p.Stop(); err != nil && r.down(p) {
				failed[i] = fmt.Errorf("%s: %w\n%s", p.Name, err, p.log.Tail())
			}
		})
	}
	all.Wait()
	r.Network.Close()
	r.Cluster.Close()
	os.RemoveAll(r.dir)
	return errors.Join(failed...)
}
