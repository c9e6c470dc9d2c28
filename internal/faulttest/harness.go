package faulttest

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/status"
)

// fleetName is the directors' fleet, as their gossip names it. Its length counts in BytesPerSecond.
const fleetName = "rig"

const (
	directorSockets     = 512 // descriptors that a director may use
	minMemoryMB         = 64
	seedDirectors       = 3  // all directors seed their gossip with the first of them
	maxParallelStarts   = 32 // processes
	convergenceInterval = 100 * time.Millisecond
)

// Spec says what a harness is made of and how a schedule is run on it.
type Spec struct {
	Argv          []string          // command line of a director
	NoPeers       bool              // directors don't know each other: fixed quotas
	CacheNodes    int               // edge caches, over all zones
	Clients       int               // with one request at a time each
	LoadFactor    float64           // what clients ask for, over what warm caches can serve
	WarmCaches    bool              // caches hold many of the objects at the start
	LoadBefore    time.Duration     // of load before the first fault
	LoadAfter     time.Duration     // of load once the faults are over
	MemoryMB      int               // that a director may use; 64 at the least
	Log           io.Writer         // gets the logs of all directors too; may be nil
	ChangeCluster func(*fakes.Spec) // changes the fake cluster before it is made; may be nil
	BeforeStart   func(*Harness)    // is called once all is there but the directors; may be nil
	EarlyClients  bool              // clients come before the directors are there
	AfterLoad     func(*Harness)    // is called once clients have stopped, while directors still run; may be nil
}

// Process is a director of a harness.
type Process struct {
	*Director
	Name      string // as other directors know it
	Listen    string // address at which it listens for other directors
	Advertise string // address at which other directors reach it, a relay's
	Socket    string // path of its status socket

	number    int        // by the order of AddDirector
	duplicate bool       // it runs under another's name, or is a stranger: not of the view that is waited for
	recorder  *recorder  // of its log
	lifecycle sync.Mutex // held while it is killed or started: two faults may want both at once
	up        bool       // it was started and neither killed nor asked to end since; under the harness's lock
	starting  bool       // StartProcess has not returned; under the harness's lock
	startFDs  int        // descriptors that it held when it first served; under the harness's lock
}

// Harness is a fleet of directors as processes, with relays between them and fakes of all else that they talk to. Its methods may be
// called by any goroutine, unless they say otherwise.
type Harness struct {
	Cluster *fakes.Cluster // caches, origin, command channel and clients' statistics
	Network *Network       // between the directors
	History *History       // of all that happens
	Moments fakes.Moments  // of clients and signals

	spec    Spec
	dir     string // of all files; removed by Close
	keyPath string // of the gossip key

	mu         sync.Mutex
	processes  []*Process
	startTimes []time.Duration // that processes took until they served
	exitErrors []error         // of processes that did not end, or start, as they should

	popularity    *fakes.Zipf     // of objects
	clientsCtx    context.Context // done once clients are to stop
	cancelClients context.CancelFunc
	clients       sync.WaitGroup // of clients, and of faulty members that go on as long
}

// New prepares a harness with the directors of a schedule; Start starts them. The caller closes it.
func New(spec Spec, schedule Schedule) (*Harness, error) {
	clusterSpec := fakes.DefaultSpec(spec.CacheNodes, schedule.Directors)
	clusterSpec.Zones = schedule.Zones()
	clusterSpec.SecondPath = schedule.has(ChannelUnreachable)
	clusterSpec.Seed, clusterSpec.ColdEdges, clusterSpec.ColdParents = schedule.Seed+1, !spec.WarmCaches, false
	if spec.ChangeCluster != nil {
		spec.ChangeCluster(&clusterSpec)
	}
	cluster, err := fakes.New(clusterSpec)
	if err != nil {
		return nil, err
	}
	h := &Harness{
		Cluster: cluster, Network: NewNetwork(schedule.Seed), History: &History{},
		spec: spec, popularity: fakes.NewZipf(clusterSpec.Objects, clusterSpec.ZipfExponent),
	}
	h.clientsCtx, h.cancelClients = context.WithCancel(context.Background())
	if spec.WarmCaches {
		cluster.PrefillCaches()
	}
	if err := h.addDirectors(schedule.Directors); err != nil {
		return nil, errors.Join(err, h.Close())
	}
	return h, nil
}

// addDirectors prepares the gossip key and so many directors.
func (h *Harness) addDirectors(count int) (err error) {
	if h.dir, err = os.MkdirTemp("", "faulttest"); err != nil {
		return err
	}
	h.keyPath = filepath.Join(h.dir, "key")
	key := fmt.Sprintf("%x", sha256.Sum256([]byte(h.dir)))
	if err := os.WriteFile(h.keyPath, []byte(key), 0o600); err != nil {
		return err
	}
	for i := range count {
		if _, err := h.AddDirector(fmt.Sprint("n", i), h.keyPath, fleetName); err != nil {
			return err
		}
	}
	return h.writeScripts()
}

// limits are those of all directors.
func (h *Harness) limits() Limits {
	return Limits{Sockets: directorSockets, MemoryMB: max(minMemoryMB, h.spec.MemoryMB), Cores: 1}
}

// AddDirector prepares a director of a name, with the file of its gossip key and its fleet; StartProcess starts it. A name that is there
// already makes a duplicate instance.
func (h *Harness) AddDirector(name, keyPath, fleet string) (*Process, error) {
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	advertise, err := h.Network.Add(listen)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	p := &Process{Name: name, Listen: listen, Advertise: advertise, number: len(h.processes)}
	p.Socket = filepath.Join(h.dir, fmt.Sprint(p.number, ".sock"))
	p.recorder = &recorder{history: h.History, director: p.number}
	p.duplicate = slices.ContainsFunc(h.processes, func(other *Process) bool { return other.Name == name })
	h.processes = append(h.processes, p)
	log := io.Writer(p.recorder)
	if h.spec.Log != nil {
		log = io.MultiWriter(p.recorder, h.spec.Log)
	}
	p.Director, err = NewDirector(h.Cluster, h.dir, fmt.Sprint(p.number), h.spec.Argv, h.script(p, keyPath, fleet), h.limits(), log)
	if err != nil {
		return p, err
	}
	return p, p.writeConfig(h.Cluster, name, h.limits()) // the file is named by the number, the director in it by its name
}

// script returns the operator's settings of a director. Its seeds are the first directors and the one before it, at their relays. The
// caller holds the lock, or is alone.
func (h *Harness) script(p *Process, keyPath, fleet string) string {
	text := fmt.Sprintf("storm(mode = \"fixed\")\nlog(level = \"debug\")\nstate(socket = %q)\n", p.Socket)
	if h.spec.NoPeers {
		return text
	}
	var seeds []string
	for i, other := range h.processes {
		if other != p && (i < seedDirectors || i == p.number-1) {
			seeds = append(seeds, strconv.Quote(other.Advertise))
		}
	}
	return text + fmt.Sprintf("peers(listen = %q, advertise = %q, seeds = [%s], key = %q, fleet = %q)\n", p.Listen, p.Advertise,
		strings.Join(seeds, ", "), keyPath, fleet)
}

// scriptPath returns the path of a director's settings.
func (h *Harness) scriptPath(number int) string {
	return filepath.Join(h.dir, fmt.Sprint(number, ".star"))
}

// writeScripts writes all settings anew, once all addresses are known.
func (h *Harness) writeScripts() error {
	for _, p := range h.processes {
		if err := os.WriteFile(h.scriptPath(p.number), []byte(h.script(p, h.keyPath, fleetName)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Processes returns all directors, in the order in which they were added.
func (h *Harness) Processes() []*Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.processes)
}

// Start starts all directors at once and waits until they serve. The error has the ends of the logs of those that don't.
func (h *Harness) Start(ctx context.Context) error {
	var starting sync.WaitGroup
	processes := h.Processes()
	failed := make([]error, len(processes))
	slots := make(chan struct{}, maxParallelStarts)
	for i, p := range processes {
		starting.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if err := h.StartProcess(ctx, p); err != nil {
				failed[i] = fmt.Errorf("%s: %w\n%s", p.Name, err, p.recorder.tail())
			}
		})
	}
	starting.Wait()
	return errors.Join(failed...)
}

// StartProcess starts one director and waits until it serves.
func (h *Harness) StartProcess(ctx context.Context, p *Process) error {
	startedAt := time.Now()
	h.mu.Lock()
	p.starting = true
	h.mu.Unlock()
	err := p.Start(ctx)
	descriptors := p.DescriptorCount()
	h.mu.Lock()
	defer h.mu.Unlock()
	p.up, p.starting, p.startFDs = err == nil, false, descriptors
	h.startTimes = append(h.startTimes, time.Since(startedAt))
	return err
}

// sortedStartTimes returns how long all starts so far took.
func (h *Harness) sortedStartTimes() []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(slices.Values(h.startTimes))
}

// recordExit notes the end of a process that was asked to end, where its exit status is not 0.
func (h *Harness) recordExit(p *Process) {
	if err := p.Wait(); err != nil {
		h.recordExitError(p, err)
	}
}

func (h *Harness) recordExitError(p *Process, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.exitErrors = append(h.exitErrors, fmt.Errorf("%s: %w\n%s", p.Name, err, p.recorder.tail()))
}

// isStarting says whether a process was started and does not serve yet.
func (h *Harness) isStarting(p *Process) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return p.starting
}

// isUp says whether a process was started, and neither killed nor asked to end since.
func (h *Harness) isUp(p *Process) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return p.up
}

// markDown notes that a process is no longer up; false where it was not.
func (h *Harness) markDown(p *Process) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasUp := p.up
	p.up = false
	return wasUp
}

// AwaitConvergence waits until all directors that are up have one view, of all of them; false where they don't in time.
func (h *Harness) AwaitConvergence(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for ctx.Err() == nil {
		if h.converged(ctx) {
			return true
		}
		fakes.Sleep(ctx, convergenceInterval)
	}
	return false
}

// converged says whether all directors that are up report one view, of all of them.
func (h *Harness) converged(ctx context.Context) bool {
	up := slices.DeleteFunc(h.Processes(), func(p *Process) bool { return !h.isUp(p) || p.duplicate })
	digest := ""
	for _, p := range up {
		report, err := status.Read(ctx, p.Socket)
		if err != nil || report.Membership == nil {
			return false
		}
		members := 1
		for _, peer := range report.Membership.Peers {
			members += boolean.Int(peer.State == stateUp)
		}
		if members != len(up) || digest != "" && digest != report.Membership.Digest {
			return false
		}
		digest = report.Membership.Digest
	}
	return true
}

// recordError records that something that the harness does failed, where it did.
func (h *Harness) recordError(action string, err error) {
	if err != nil {
		h.History.Record(noDirector, action+" failed: "+err.Error(), nil)
	}
}

// PeakMemoryMB returns the most memory, in MB, that a director has held.
func (h *Harness) PeakMemoryMB() (peak float64) {
	for _, p := range h.Processes() {
		peak = max(peak, p.PeakMemoryMB())
	}
	return peak
}

// Close ends clients, directors and fakes. The error has the directors that did not end with exit status 0, a line and its log's end each.
func (h *Harness) Close() error {
	h.StopClients()
	var stopping sync.WaitGroup
	processes := h.Processes()
	failed := make([]error, len(processes))
	for i, p := range processes {
		if p.Director == nil || p.PID() == 0 {
			continue
		}
		stopping.Go(func() {
			p.Pause(false)
			if err := p.Stop(); err != nil && h.markDown(p) {
				failed[i] = fmt.Errorf("%s: %w\n%s", p.Name, err, p.recorder.tail())
			}
		})
	}
	stopping.Wait()
	h.Network.Close()
	h.Cluster.Close()
	_ = os.RemoveAll(h.dir) // files of a test under the system's temporary folder
	h.mu.Lock()
	defer h.mu.Unlock()
	return errors.Join(append(failed, h.exitErrors...)...)
}
