package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
)

// Values of Storm.Scenario.
const (
	scenarioStorm   = "storm"   // all clients connect at once, to cold caches
	scenarioPopular = "popular" // most requests are for one object, to warm caches
)

// Storm is the experiment `tallybench storm`: clients that all connect and retry at the same time,
// with directors as processes and fakes of all systems that directors talk to.
type Storm struct {
	Clients       int           `default:"2000" help:"Number of clients that connect."`
	ConnectWindow time.Duration `name:"within" default:"1s" help:"Time within which all clients connect."`
	IgnoreShare   float64       `name:"ignore" default:"0.25" placeholder:"SHARE" help:"Share of clients that retry earlier than advised."`
	UnmarkedShare float64       `name:"unmarked" default:"0" placeholder:"SHARE" help:"Share of clients that don't mark their retries."`
	IdleClients   int           `name:"silent" default:"0" help:"Number of additional clients that connect and send nothing."`
	Directors     int           `default:"3" help:"Number of directors."`
	CacheNodes    int           `name:"boxes" default:"8" help:"Number of cache nodes."`
	Cores         int           `default:"1" help:"Number of cores of each director."`
	Divided       bool          `hidden:"" help:"Each core of a director keeps its own state."`
	Load          float64       `default:"0.5" help:"Demand once the storm is over, relative to the capacity of warm caches."`
	Scenario      string        `name:"day" default:"storm" enum:"storm,morning,popular" help:"storm: all clients at once on cold caches; morning: one after another on warm caches; popular: one object on warm caches."`
	SocketLimit   int           `name:"limit-sockets" default:"512" help:"Limit on the file descriptors of each director."`
	MemoryLimitMB int           `name:"limit-memory" default:"64" help:"Memory limit of each director, in MB."`
	Faults        []string      `name:"trouble" placeholder:"NAME,..." enum:"drain,purge,restart,roll,reload,die,second,slow,turnover,mute,spoil,reset,pause" help:"Faults during the storm: ${enum}."`
	PauseDuration time.Duration `name:"pause" default:"4s" help:"How long a director is stopped with --trouble pause."`
	Peers         bool          `help:"The directors form a cluster."`
	OverloadMode  string        `name:"guard" default:"on" enum:"on,off,fixed" help:"on: each rejected client gets a reserved retry time; fixed: all get the same retry time; off: none."`
	Seed          uint64        `default:"1" help:"Seed of the random generators of clients and objects."`
	Duration      time.Duration `default:"30s" help:"Duration of the experiment."`
	MaxRetries    int           `name:"retries" default:"12" help:"Largest number of retries of a request within its deadline."`
	RetryPause    time.Duration `name:"wait" default:"100ms" help:"Pause of a client between attempts if no retry time is advised."`
	PlotPath      string        `name:"plot" placeholder:"FILE.png" help:"Plot demand, advised retries and load over time."`
	JSON          bool          `name:"json" help:"Print one JSON object."`
	DirectorPath  string        `name:"director" placeholder:"FILE" help:"Path of the director's executable; default: tallyproxy in this executable's folder."`

	Argv []string  `kong:"-"` // command line that starts a director
	Log  io.Writer `kong:"-"` // receives the directors' logs; nil for none
}

// Script returns the operator script of the directors.
func (s *Storm) Script() string {
	mode := map[string]string{"on": "guard", "off": "silent", "fixed": "fixed"}[s.OverloadMode]
	return fmt.Sprintf("machine(cores = %d)\nstorm(mode = %q)\n", max(1, s.Cores), mode)
}

// stormRun is a storm in progress.
type stormRun struct {
	*Storm
	cluster   *fakes.Cluster
	zipf      *fakes.Zipf
	directors []*faulttest.Director
	targets   []*fakes.Target // addresses of the directors
	begin     time.Duration   // start of the storm, by the cluster's clock
	running   sync.WaitGroup  // clients and faults
	log       *directorLog
}

// Execute runs the experiment. It returns an error if the experiment could not be run; broken rules
// are part of the result.
func (s *Storm) Execute(ctx context.Context) (result StormResult, err error) {
	run, err := s.newRun()
	if err != nil {
		return result, err
	}
	defer run.cluster.Close()
	folder, err := os.MkdirTemp("", "tallybench")
	if err != nil {
		return result, err
	}
	defer removeFolder(folder)
	defer func() { run.stopDirectors(&result) }()
	if err := run.startDirectors(ctx, folder); err != nil {
		return result, err
	}
	run.begin = run.cluster.Now() + 50*time.Millisecond
	ctx, cancel := context.WithTimeout(ctx, s.Duration)
	defer cancel()
	run.startClients(ctx)
	run.running.Go(func() { run.injectFaults(ctx) })
	result.Series.Load = run.sampleLoad(ctx)
	run.running.Wait()
	run.summarize(&result)
	return result, nil
}

// newRun creates the cluster of fakes, with cold or warm caches according to the scenario.
func (s *Storm) newRun() (*stormRun, error) {
	spec := fakes.DefaultSpec(s.CacheNodes, s.Directors)
	cold := s.Scenario == scenarioStorm
	spec.Seed, spec.ColdEdges, spec.ColdParents = s.Seed, cold, cold
	cluster, err := fakes.New(spec)
	if err != nil {
		return nil, err
	}
	if !cold {
		cluster.PrefillCaches()
	}
	return &stormRun{Storm: s, cluster: cluster, zipf: fakes.NewZipf(spec.Objects, spec.ZipfExponent), log: &directorLog{output: s.Log}}, nil
}

// startDirectors starts the directors one after another, with their files in the given folder.
func (r *stormRun) startDirectors(ctx context.Context, folder string) error {
	argv := r.Argv
	if r.Divided {
		argv = append(slices.Clone(argv), "--divided")
	}
	peers, err := r.peersLines(folder)
	if err != nil {
		return err
	}
	limits := faulttest.Limits{Sockets: r.SocketLimit, MemoryMB: r.MemoryLimitMB, Cores: float64(max(1, r.Cores))}
	for i := range r.Directors {
		director, err := faulttest.NewDirector(r.cluster, folder, fmt.Sprint("n", i), argv, r.Script()+peers[i], limits, r.log)
		if err != nil {
			return err
		}
		if err := director.Start(ctx); err != nil {
			return err
		}
		r.directors = append(r.directors, director)
		r.targets = append(r.targets, &director.Target)
	}
	return nil
}

// stopDirectors stops all directors at the same time and adds the crashes, memory and log counts to
// the result.
func (r *stormRun) stopDirectors(result *StormResult) {
	var stopping sync.WaitGroup
	errs := make([]error, len(r.directors))
	for i, director := range r.directors {
		stopping.Go(func() { errs[i] = director.Stop() })
	}
	stopping.Wait()
	for i, director := range r.directors {
		result.Crashes += boolean.Int(errs[i] != nil)
		result.PeakMemoryMB = max(result.PeakMemoryMB, math.Round(director.PeakMemoryMB()*10)/10)
	}
	result.OverloadsDetected, result.ClockStalls = r.log.overloads, r.log.clockStalls
}

// peersLines returns for each director the line of its script that joins it to the cluster. The
// lines are empty if the directors form no cluster.
func (s *Storm) peersLines(folder string) (lines []string, err error) {
	lines = make([]string, s.Directors)
	if !s.Peers {
		return lines, nil
	}
	key := filepath.Join(folder, "peers.key")
	if err := os.WriteFile(key, []byte(strings.Repeat("5a", 32)), 0o600); err != nil {
		return nil, err
	}
	var addresses []string
	for range s.Directors {
		address, err := faulttest.FreeAddress()
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, strconv.Quote(address))
	}
	seeds := strings.Join(addresses[:min(maxSeeds, len(addresses))], ", ")
	for i := range lines {
		lines[i] = fmt.Sprintf("peers(listen = %s, seeds = [%s], key = %q)\n", addresses[i], seeds, key)
	}
	return lines, nil
}

// sampleLoad samples the peak load until the context ends.
func (r *stormRun) sampleLoad(ctx context.Context) (series []float64) {
	ticker := time.NewTicker(fakes.SeriesInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.C:
			series = append(series, peakLoad(r.cluster))
		case <-ctx.Done():
		}
	}
	return series
}

// peakLoad returns the highest load so far of any cache node, relative to its overload threshold.
func peakLoad(cluster *fakes.Cluster) (load float64) {
	for _, node := range cluster.Nodes {
		if peak, _ := node.PeakLoad(); node.Kind != fakes.Origin {
			load = max(load, peak)
		}
	}
	return load
}

// startClients starts the clients. Each one connects at its own time.
func (r *stormRun) startClients(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.Seed, 11))
	thinkTime := r.thinkTime()
	window := r.ConnectWindow
	if r.Scenario != scenarioStorm {
		window = r.Duration / 2
	}
	for i := range r.Clients {
		client := r.newClient(i)
		client.IgnoreRetryAfter = random.Float64() < r.IgnoreShare
		if random.Float64() < r.UnmarkedShare {
			client.UnmarkedRetries = true
		}
		at := r.begin + time.Duration(random.Float64()*float64(window))
		r.running.Go(func() {
			if r.Scenario == scenarioPopular {
				// Two objects, the first of which is drawn most of the time.
				client.Zipf = fakes.NewZipf(2, 3)
			}
			client.Run(ctx, at, thinkTime)
		})
	}
	for i := range r.IdleClients {
		client := r.newClient(r.Clients + i)
		r.running.Go(func() { client.Idle(ctx) })
	}
}

// thinkTime returns the pause of each client between requests at which all clients together demand
// the share Load of the caches' capacity.
func (r *stormRun) thinkTime() time.Duration {
	meanTransfer := 0.0 // seconds
	for _, t := range r.cluster.ContentTypes {
		meanTransfer += t.RequestShare * t.MeanTransfer.Seconds()
	}
	requestRate := r.Load * r.cluster.CacheCapacity * float64(r.CacheNodes) / meanTransfer
	return time.Duration(float64(r.Clients) / requestRate * float64(time.Second))
}

// newClient creates the i-th client, which has its own address and random generator.
func (r *stormRun) newClient(i int) *fakes.Client {
	return &fakes.Client{
		Cluster: r.cluster, Targets: r.targets, Current: i % len(r.targets), LocalAddress: fmt.Sprintf("127.1.%d.%d", i/250%250, 1+i%250),
		MaxRetries: r.MaxRetries, RetryPause: r.RetryPause, Rand: rand.New(rand.NewPCG(r.Seed, uint64(i)+100)), Zipf: r.zipf,
	}
}
