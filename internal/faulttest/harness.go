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

// fleetName is the name of the directors' fleet in gossip messages. Its length affects
// BytesPerSecond.
const fleetName = "rig"

const (
	directorSockets     = 512 // descriptors that a director may use
	minMemoryMB         = 64
	seedDirectors       = 3  // directors that all others use as gossip seeds
	maxParallelStarts   = 32 // processes started concurrently
	convergenceInterval = 100 * time.Millisecond
)

// Spec describes a harness and how a schedule is run on it.
type Spec struct {
	Argv          []string          // command line of a director
	NoPeers       bool              // directors don't know each other and use fixed quotas
	CacheNodes    int               // number of edge caches over all zones
	Clients       int               // number of clients, with one request at a time each
	LoadFactor    float64           // requested load, as a share of what warm caches can serve
	WarmCaches    bool              // caches hold many of the objects at the start
	LoadBefore    time.Duration     // load before the first fault
	LoadAfter     time.Duration     // load after the last fault has ended
	MemoryMB      int               // memory limit of a director, 64 at least
	Log           io.Writer         // also receives the logs of all directors; may be nil
	ChangeCluster func(*fakes.Spec) // modifies the fake cluster's spec; may be nil
	BeforeStart   func(*Harness)    // called when everything but the directors runs; may be nil
	EarlyClients  bool              // clients start before the directors
	AfterLoad     func(*Harness)    // called after clients stop, while directors run; may be nil
}

// Process is a director of a harness.
type Process struct {
	*Director
	Name      string // name by which other directors know it
	Listen    string // address on which it listens for other directors
	Advertise string // address of the relay through which others reach it
	Socket    string // path of its status socket

	number    int        // index in the order of AddDirector
	duplicate bool       // duplicate or foreign instance, which converged ignores
	recorder  *recorder  // receives its log
	lifecycle sync.Mutex // held during a kill or a start: two faults may attempt both
	up        bool       // started, neither killed nor terminated since; guarded by Harness.mu
	starting  bool       // StartProcess has not returned; guarded by Harness.mu
	startFDs  int        // descriptors held when it first served; guarded by Harness.mu
}

// Harness is a fleet of directors that run as processes, with relays between them and fakes of
// everything else that they communicate with. Its methods are safe for concurrent use unless
// documented otherwise.
type Harness struct {
	Cluster *fakes.Cluster // caches, origin, command channel and client statistics
	Network *Network       // links between the directors
	History *History       // log entries and harness actions
	Moments fakes.Moments  // events of clients and signals

	spec    Spec
	dir     string // directory of all files; removed by Close
	keyPath string // path of the gossip key

	mu         sync.Mutex
	processes  []*Process
	startTimes []time.Duration // time from each start until the process served
	exitErrors []error         // of processes that failed to exit or start properly

	popularity    *fakes.Zipf     // popularity distribution of objects
	clientsCtx    context.Context // done when clients must stop
	cancelClients context.CancelFunc
	clients       sync.WaitGroup // clients, and faulty members, which run as long
}

// New prepares a harness with the directors of a schedule; Start starts them. The caller must close
// the harness.
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

// addDirectors prepares the gossip key and the given number of directors.
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

// limits returns the limits that apply to all directors.
func (h *Harness) limits() Limits {
	return Limits{Sockets: directorSockets, MemoryMB: max(minMemoryMB, h.spec.MemoryMB), Cores: 1}
}

// AddDirector prepares a director with the given name, gossip key file and fleet; StartProcess
// starts it. A name that is already in use creates a duplicate instance.
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
	// The file is named by the number; the director in it has its own name.
	return p, p.writeConfig(h.Cluster, name, h.limits())
}

// script returns the operator's settings of a director. Its seeds are the first directors and its
// predecessor, at the addresses of their relays. The caller holds the lock or has exclusive access.
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

// scriptPath returns the path of a director's settings file.
func (h *Harness) scriptPath(number int) string {
	return filepath.Join(h.dir, fmt.Sprint(number, ".star"))
}

// writeScripts rewrites all settings files once all addresses are known.
func (h *Harness) writeScripts() error {
	for _, p := range h.processes {
		if err := os.WriteFile(h.scriptPath(p.number), []byte(h.script(p, h.keyPath, fleetName)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Processes returns all directors in the order in which they were added.
func (h *Harness) Processes() []*Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.processes)
}

// Start starts all directors concurrently and waits until they serve. The error contains the end of
// the log of each director that does not serve.
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

// StartProcess starts a director and waits until it serves.
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

// sortedStartTimes returns the durations of all starts so far, sorted.
func (h *Harness) sortedStartTimes() []time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(slices.Values(h.startTimes))
}

// recordExit waits for the exit of a process that was asked to exit, and records an error if its
// exit status is not 0.
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

// isStarting reports whether a process has been started but does not serve yet.
func (h *Harness) isStarting(p *Process) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return p.starting
}

// isUp reports whether a process has been started, and neither killed nor terminated since.
func (h *Harness) isUp(p *Process) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return p.up
}

// markDown marks a process as down. It returns false if the process was not up.
func (h *Harness) markDown(p *Process) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wasUp := p.up
	p.up = false
	return wasUp
}

// AwaitConvergence waits until all directors that are up have the same view, which contains all of
// them. It returns false on timeout.
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

// converged reports whether all directors that are up report the same view, which contains all of
// them.
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

// recordError records the failure of a harness action, if err is not nil.
func (h *Harness) recordError(action string, err error) {
	if err != nil {
		h.History.Record(noDirector, action+" failed: "+err.Error(), nil)
	}
}

// PeakMemoryMB returns the peak memory, in MB, over all directors.
func (h *Harness) PeakMemoryMB() (peak float64) {
	for _, p := range h.Processes() {
		peak = max(peak, p.PeakMemoryMB())
	}
	return peak
}

// Close stops clients, directors and fakes. The error lists each director that did not exit with
// status 0, with the end of its log.
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
	_ = os.RemoveAll(h.dir) // temporary files; an error would not matter
	h.mu.Lock()
	defer h.mu.Unlock()
	return errors.Join(append(failed, h.exitErrors...)...)
}
