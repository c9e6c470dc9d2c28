// Package experiment implements the experiments of tallybench. Each one runs directors against
// fakes of all systems that directors talk to, either as processes or as their decision modules in
// simulated time, and reports the result. The help texts of the options document their fields. JSON
// keys of results keep their names between versions.
package experiment

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
)

// Cores is the experiment `tallybench cores`: the rate and latency of a director on several cores.
type Cores struct {
	Cores        []int         `default:"1,2,4" placeholder:"N,..." help:"Cores of the director."`
	ContentTypes []string      `name:"mix" default:"thumbnails,clips,picks" help:"Content types to request."`
	Duration     time.Duration `name:"seconds" default:"5s" help:"Duration of the measurement for each number of cores."`
	Connections  int           `default:"64" help:"Number of client connections."`
	Pipelining   int           `name:"depth" default:"16" help:"Requests in flight on each connection, without --rate."`
	Rate         float64       `default:"0" help:"Requests per second for each core, sent on a fixed schedule; 0: as many as possible."`
	Division     string        `default:"whole" enum:"whole,divided,separate" help:"whole: the cores of a director share its state; divided: each core has its own state; separate: one director per core."`
	NoScript     bool          `name:"plain" help:"Start the director without an operator script, for versions that have none."`
	CacheNodes   int           `name:"boxes" default:"8" help:"Cache nodes."`
	ProfileDir   string        `name:"profile" placeholder:"FILE" help:"File to which the director writes a CPU profile; it writes a profile of lock waits beside it."`
	JSON         bool          `name:"json" help:"Print one JSON object."`
	PlotPath     string        `name:"plot" placeholder:"FILE.png" help:"Plot rate and latency over cores."`
	DirectorPath string        `name:"director" placeholder:"FILE" help:"Path of the director's executable; default: tallyproxy in this executable's folder."`

	Argv []string `kong:"-"` // command line that starts a director
}

// Values of Cores.Division.
const (
	divisionDivided  = "divided"
	divisionSeparate = "separate"
)

const coresWarmUp = time.Second // load before the measurement starts

// CoresRun is the result for one number of cores.
type CoresRun struct {
	// Number of cores of all directors together.
	Cores int `json:"cores"`
	// The load generator and the directors ran on separate cores.
	OwnCores bool `json:"own_cores"`
	// Number of cores of the load generator.
	LoadCores int `json:"load_cores"`
	// Successful requests per second.
	Rate float64 `json:"rate"`
	// Median latency of successful requests.
	P50 float64 `json:"p50_ms"`
	// 99th percentile of the latency of successful requests.
	P99 float64 `json:"p99_ms"`
	// 99.9th percentile of the latency of successful requests.
	P999 float64 `json:"p999_ms"`
	// CPU time of the directors per successful request.
	CPUPerAnswer float64 `json:"cpu_us_per_answer"`
	// Sum of the peak memory of all directors.
	PeakMemoryMB float64 `json:"rss_mb_peak"`
	// Requests that were rejected.
	Rejected int `json:"throttled"`
	// Requests with any other answer.
	Failed int `json:"failed"`
	// Requests without an answer.
	Lost int `json:"lost"`
	// Further answers to a request that was already answered.
	DoubleFinal int `json:"double_final"`
	// Answers with another object's bytes.
	WrongBodies int `json:"wrong_bytes"`
	// Further effects of the same idempotency key.
	RepeatedEffects int `json:"effects_twice"`
}

// CoresResult has one run for each number of cores.
type CoresResult struct {
	Division string     `json:"division"` // as in Cores.Division
	Runs     []CoresRun `json:"runs"`     // in the order of Cores.Cores
}

// Broken describes the runs in which a rule was broken.
func (r CoresResult) Broken() (rules []string) {
	for _, run := range r.Runs {
		if run.Lost+run.DoubleFinal+run.WrongBodies+run.RepeatedEffects > 0 {
			rules = append(rules, fmt.Sprintf("with %d cores: %+v", run.Cores, run))
		}
	}
	return rules
}

// Execute runs the experiment. It changes the CPU affinity of this process while it runs and
// restores it afterwards.
func (s *Cores) Execute(ctx context.Context) (result CoresResult, err error) {
	result.Division = s.Division
	machineCores, err := allowedCores()
	if err != nil {
		return result, err
	}
	for _, n := range s.Cores {
		if n < 1 {
			return result, fmt.Errorf("--cores: %d is less than 1", n)
		}
		run, err := s.measure(ctx, n, machineCores)
		if err != nil {
			return result, fmt.Errorf("with %d cores: %w", n, err)
		}
		result.Runs = append(result.Runs, run)
	}
	return result, nil
}

// contentTypeNames maps the content types of the fakes to their names in --mix.
var contentTypeNames = map[string]string{"thumbnail": "thumbnails", "preview-clip": "clips", "cover-pick": "picks"}

// spec returns the spec of the cluster: fakes that answer immediately, and only the requested
// content types, with small bodies.
func (s *Cores) spec(directors int) (fakes.Spec, error) {
	spec := fakes.DefaultSpec(s.CacheNodes, directors)
	spec.Instant, spec.ColdEdges, spec.LinkCapacity, spec.Objects = true, false, 1e5, 10_000
	known := map[string]fakes.ContentType{}
	for _, contentType := range spec.ContentTypes {
		known[contentTypeNames[contentType.Name]] = contentType
	}
	spec.ContentTypes = nil
	totalShare := 0.0
	for _, name := range s.ContentTypes {
		contentType, ok := known[name]
		if !ok {
			return spec, fmt.Errorf("--mix: unknown content type %q, want thumbnails, clips or picks", name)
		}
		contentType.MeanTransfer /= 16 // results in bodies of about 3 KB and 12 KB
		if contentType.Name == "cover-pick" {
			contentType.MeanTransfer = 16 * time.Microsecond // results in a body of a few bytes
		}
		spec.ContentTypes = append(spec.ContentTypes, contentType)
		totalShare += contentType.RequestShare
	}
	for i := range spec.ContentTypes {
		spec.ContentTypes[i].RequestShare /= totalShare
	}
	return spec, nil
}

// coresMeasurement is a measurement with one number of cores.
type coresMeasurement struct {
	*Cores
	cores        int // of each director
	cluster      *fakes.Cluster
	directors    []*faulttest.Director
	log          *directorLog
	directorCPUs []int // cores that the directors run on
}

// measure measures n cores on a machine with the cores machineCores.
func (s *Cores) measure(ctx context.Context, n int, machineCores []int) (result CoresRun, err error) {
	result.Cores = n
	directorCPUs, loadCPUs := machineCores, machineCores
	if n < len(machineCores) {
		result.OwnCores = true
		directorCPUs, loadCPUs = machineCores[:n], machineCores[n:]
	}
	result.LoadCores = len(loadCPUs)
	if err := pinProcess(loadCPUs); err != nil {
		return result, err
	}
	defer func() { err = errors.Join(err, pinProcess(machineCores)) }()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(len(loadCPUs)))
	directors, cores := 1, n
	if s.Division == divisionSeparate {
		directors, cores = n, 1
	}
	spec, err := s.spec(directors)
	if err != nil {
		return result, err
	}
	cluster, err := fakes.New(spec)
	if err != nil {
		return result, err
	}
	defer cluster.Close()
	folder, err := os.MkdirTemp("", "tallybench")
	if err != nil {
		return result, err
	}
	defer removeFolder(folder)
	run := &coresMeasurement{Cores: s, cores: cores, cluster: cluster, log: &directorLog{output: &bytes.Buffer{}}, directorCPUs: directorCPUs}
	defer func() {
		if stopErr := run.stopDirectors(); err == nil {
			err = stopErr
		}
	}()
	if err := run.startDirectors(ctx, folder, directors); err != nil {
		return result, err
	}
	err = run.load(ctx, &result)
	return result, err
}

// startDirectors starts the directors on their cores, one after another.
func (r *coresMeasurement) startDirectors(ctx context.Context, folder string, count int) error {
	script, argv := fmt.Sprintf("machine(cores = %d)\n", r.cores), slices.Clone(r.Argv)
	if r.NoScript {
		script = ""
	}
	if r.Division == divisionDivided {
		argv = append(argv, "--divided")
	}
	if r.ProfileDir != "" {
		argv = append(argv, "--profile", r.ProfileDir)
	}
	limits := faulttest.Limits{Sockets: 4096, MemoryMB: 512, Cores: float64(r.cores)}
	for i := range count {
		director, err := faulttest.NewDirector(r.cluster, folder, fmt.Sprint("n", i), argv, script, limits, r.log)
		if err != nil {
			return err
		}
		if err := startOn(ctx, director, r.directorCPUs); err != nil {
			return fmt.Errorf("%w\n%s", err, r.log)
		}
		r.directors = append(r.directors, director)
	}
	return nil
}

// stopDirectors stops the directors one after another. It returns the first error, with the
// directors' log.
func (r *coresMeasurement) stopDirectors() (err error) {
	for _, director := range r.directors {
		if stopErr := director.Stop(); stopErr != nil && err == nil {
			err = fmt.Errorf("director did not stop cleanly: %w\n%s", stopErr, r.log)
		}
	}
	return err
}

// load sends requests on all connections and measures from the end of the warm-up on.
func (r *coresMeasurement) load(ctx context.Context, result *CoresRun) error {
	interval := time.Duration(0) // between the requests of one connection
	if r.Rate > 0 {
		interval = time.Duration(float64(time.Second) * float64(r.Connections) / (r.Rate * float64(result.Cores)))
	}
	from := time.Now().Add(coresWarmUp)
	ctx, cancel := context.WithTimeout(ctx, coresWarmUp+r.Duration)
	defer cancel()
	connections, errs := make([]*loadConnection, r.Connections), make([]error, r.Connections)
	var running sync.WaitGroup
	for i := range connections {
		connections[i] = newLoadConnection(r.cluster, r.directors[i%len(r.directors)].Addr, r.Pipelining, interval, uint64(i)+1)
		running.Go(func() { errs[i] = connections[i].run(ctx, from) })
	}
	time.Sleep(time.Until(from))
	cpuBefore := cpuTime(r.directors)
	time.Sleep(time.Until(from.Add(r.Duration)))
	cpuUsed := cpuTime(r.directors) - cpuBefore
	running.Wait()
	for i, connection := range connections {
		if errs[i] != nil && connection.lost == 0 {
			return errs[i]
		}
	}
	r.summarize(connections, cpuUsed, result)
	return nil
}

// summarize adds the counts of all connections to the result.
func (r *coresMeasurement) summarize(connections []*loadConnection, cpuUsed time.Duration, result *CoresRun) {
	latencies := newLatencyHistogram()
	succeeded := 0
	for _, connection := range connections {
		latencies.Merge(connection.latencies)
		succeeded += connection.succeeded
		result.Rejected += connection.rejected
		result.Failed += connection.failed
		result.Lost += connection.lost
		result.DoubleFinal += connection.duplicates
		result.WrongBodies += connection.wrongBodies
	}
	result.RepeatedEffects = r.cluster.RepeatedInstantEffects()
	result.Rate = math.Round(float64(succeeded) / r.Duration.Seconds())
	result.P50, result.P99, result.P999 = quantileMS(latencies, 50), quantileMS(latencies, 99), quantileMS(latencies, 99.9)
	result.CPUPerAnswer = math.Round(cpuUsed.Seconds()/float64(max(1, succeeded))*1e8) / 100
	for _, director := range r.directors {
		result.PeakMemoryMB += math.Round(director.PeakMemoryMB()*10) / 10
	}
}

// newLatencyHistogram returns a histogram of latencies in µs, up to 10 s.
func newLatencyHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }

// quantileMS returns the latency in ms at a quantile given in percent.
func quantileMS(latencies *hdrhistogram.Histogram, percent float64) float64 {
	return float64(latencies.ValueAtQuantile(percent)) / 1000
}
