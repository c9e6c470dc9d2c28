// Package lab runs experiments: stand-ins, real directors as processes of their own, and a report of what came of it.
package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
)

// Cores is what `tallybench cores` plays.
type Cores struct {
	Cores        []int         `default:"1,2,4" placeholder:"N,..." help:"Cores of the director."`
	ContentTypes []string      `name:"mix" default:"thumbnails,clips,picks" help:"What is asked for."`
	Duration     time.Duration `name:"seconds" default:"5s" help:"How long each is measured."`
	Connections  int           `default:"64" help:"Clients' connections."`
	Pipelining   int           `name:"depth" default:"16" help:"Downloads that one has open together, when as many as can be are asked for."`
	Rate         float64       `default:"0" help:"Downloads a second for each core, sent by the clock; 0: as many as can be."`
	Division     string        `default:"whole" enum:"whole,divided,separate" help:"whole: one belief; divided: one a core; separate: a director a core."`
	NoScript     bool          `name:"plain" help:"Give the director no operator's file: for versions without."`
	CacheNodes   int           `name:"boxes" default:"8" help:"Caches."`
	ProfileDir   string        `name:"profile" placeholder:"FILE" help:"Have the director write profiles there."`
	JSON         bool          `name:"json" help:"Print one JSON object."`
	PlotPath     string        `name:"plot" placeholder:"FILE.png" help:"Draw rate and latency over cores."`
	DirectorPath string        `name:"director" placeholder:"FILE" help:"The director's program; by default the one beside this."`

	Argv []string  `kong:"-"`
	Log  io.Writer `kong:"-"`
}

// CoresRun is what came of one number of cores.
type CoresRun struct {
	Cores           int     `json:"cores"`
	OwnCores        bool    `json:"own_cores"` // the director had cores that the load did not use
	LoadCores       int     `json:"load_cores"`
	Rate            float64 `json:"rate"` // fulfilled a second
	P50             float64 `json:"p50_ms"`
	P99             float64 `json:"p99_ms"`
	P999            float64 `json:"p999_ms"`
	CPUPerAnswer    float64 `json:"cpu_us_per_answer"` // of the directors
	PeakMemoryMB    float64 `json:"rss_mb_peak"`
	Rejected        int     `json:"throttled"`
	Failed          int     `json:"failed"`
	Lost            int     `json:"lost"`
	DoubleFinal     int     `json:"double_final"`
	WrongBodies     int     `json:"wrong_bytes"`
	RepeatedEffects int     `json:"effects_twice"`
}

// CoresResult is what came of it all.
type CoresResult struct {
	Division string     `json:"division"`
	Runs     []CoresRun `json:"runs"`
}

// Broken names the rules that broke.
func (r CoresResult) Broken() (rules []string) {
	for _, run := range r.Runs {
		if run.Lost+run.DoubleFinal+run.WrongBodies+run.RepeatedEffects > 0 {
			rules = append(rules, fmt.Sprintf("with %d cores: %+v", run.Cores, run))
		}
	}
	return rules
}

// pin lets this program's threads, or only the calling one, run on some cores.
func pin(cores []int, all bool) error {
	var set unix.CPUSet
	for _, c := range cores {
		set.Set(c)
	}
	if !all {
		return unix.SchedSetaffinity(0, &set)
	}
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	for _, t := range tasks {
		id, _ := strconv.Atoi(t.Name())
		if err := unix.SchedSetaffinity(id, &set); err != nil && err != unix.ESRCH {
			return err
		}
	}
	return nil
}

// allowedCores are the cores that this program may use.
func allowedCores() (cores []int, err error) {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return nil, err
	}
	for c := range 1024 {
		if set.IsSet(c) {
			cores = append(cores, c)
		}
	}
	return cores, nil
}

// Execute plays it.
func (s *Cores) Execute(ctx context.Context) (r CoresResult, err error) {
	r.Division = s.Division
	all, err := allowedCores()
	if err != nil {
		return r, err
	}
	for _, n := range s.Cores {
		if n < 1 {
			return r, fmt.Errorf("--cores: %d is under 1", n)
		}
		run, err := s.playCores(ctx, n, all)
		if err != nil {
			return r, fmt.Errorf("with %d cores: %w", n, err)
		}
		r.Runs = append(r.Runs, run)
	}
	return r, nil
}

func (s *Cores) spec(directors int) (fakes.Spec, error) {
	spec := fakes.DefaultSpec(s.CacheNodes, directors)
	spec.Instant, spec.ColdEdges, spec.LinkCapacity, spec.Objects = true, false, 1e5, 10_000
	known := map[string]fakes.ContentType{}
	for _, t := range spec.ContentTypes {
		known[map[string]string{"thumbnail": "thumbnails", "preview-clip": "clips", "cover-pick": "picks"}[t.Name]] = t
	}
	spec.ContentTypes = nil
	sum := 0.0
	for _, name := range s.ContentTypes {
		t, ok := known[name]
		if !ok {
			return spec, fmt.Errorf("--mix: %q is none of thumbnails, clips, picks", name)
		}
		if t.MeanTransfer = t.MeanTransfer / 16; t.Name == "cover-pick" { // bytes: about 3 KB, 12 KB, a few
			t.MeanTransfer = 16 * time.Microsecond
		}
		spec.ContentTypes = append(spec.ContentTypes, t)
		sum += t.RequestShare
	}
	for i := range spec.ContentTypes {
		spec.ContentTypes[i].RequestShare /= sum
	}
	return spec, nil
}

func (s *Cores) playCores(ctx context.Context, n int, all []int) (run CoresRun, err error) {
	run.Cores, run.LoadCores = n, len(all)
	directorCores, loadCores := all, all
	if run.OwnCores = n < len(all); run.OwnCores {
		directorCores, loadCores = all[:n], all[n:]
		run.LoadCores = len(loadCores)
	}
	if err := pin(loadCores, true); err != nil {
		return run, err
	}
	defer pin(all, true)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(len(loadCores)))
	directors, cores := 1, n
	if s.Division == "separate" {
		directors, cores = n, 1
	}
	spec, err := s.spec(directors)
	if err != nil {
		return run, err
	}
	w, err := fakes.New(spec)
	if err != nil {
		return run, err
	}
	defer w.Close()
	folder, err := os.MkdirTemp("", "tallybench")
	if err != nil {
		return run, err
	}
	defer os.RemoveAll(folder)
	script, argv := fmt.Sprintf("machine(cores = %d)\n", cores), s.Argv
	if s.NoScript {
		script = ""
	}
	if s.Division == "divided" {
		argv = append(append([]string(nil), argv...), "--divided")
	}
	if s.ProfileDir != "" {
		argv = append(append([]string(nil), argv...), "--profile", s.ProfileDir)
	}
	var text bytes.Buffer
	log := &directorLog{output: &text}
	var processes []*faulttest.Director
	defer func() {
		for _, d := range processes {
			if e := d.Stop(); e != nil && err == nil {
				err = fmt.Errorf("a director ended with %w\n%s", e, log)
			}
		}
	}()
	for i := range directors {
		d, err := faulttest.NewDirector(w, folder, fmt.Sprint("n", i), argv, script, faulttest.Limits{Sockets: 4096, MemoryMB: 512, Cores: float64(cores)}, log)
		if err != nil {
			return run, err
		}
		if err := startOn(ctx, d, directorCores); err != nil {
			return run, fmt.Errorf("%w\n%s", err, log)
		}
		processes = append(processes, d)
	}
	every := time.Duration(0)
	if s.Rate > 0 {
		every = time.Duration(float64(time.Second) * float64(s.Connections) / (s.Rate * float64(n)))
	}
	warm := time.Second
	from := time.Now().Add(warm)
	playing, leave := context.WithTimeout(ctx, warm+s.Duration)
	defer leave()
	var streams []*loadConnection
	var wait sync.WaitGroup
	failed := make([]error, s.Connections)
	for i := range s.Connections {
		st := newLoadConnection(w, processes[i%directors].Addr, s.Pipelining, every, uint64(i)+1)
		streams = append(streams, st)
		wait.Go(func() { failed[i] = st.run(playing, from) })
	}
	time.Sleep(time.Until(from))
	before := cpuTime(processes)
	time.Sleep(time.Until(from.Add(s.Duration)))
	used := cpuTime(processes) - before
	wait.Wait()
	hist := hdrhistogram.New(1, 10_000_000, 3)
	fulfilled := 0
	for i, st := range streams {
		if failed[i] != nil && st.lost == 0 {
			return run, failed[i]
		}
		hist.Merge(st.hist)
		fulfilled += st.succeeded
		run.Rejected += st.rejected
		run.Failed += st.failed
		run.Lost += st.lost
		run.DoubleFinal += st.duplicates
		run.WrongBodies += st.wrongBodies
	}
	run.RepeatedEffects = w.RepeatedInstantEffects()
	run.Rate = math.Round(float64(fulfilled) / s.Duration.Seconds())
	ms := func(q float64) float64 { return float64(hist.ValueAtQuantile(q)) / 1000 }
	run.P50, run.P99, run.P999 = ms(50), ms(99), ms(99.9)
	run.CPUPerAnswer = math.Round(used.Seconds()/float64(max(1, fulfilled))*1e8) / 100
	for _, d := range processes {
		run.PeakMemoryMB += math.Round(d.PeakMemoryMB()*10) / 10
	}
	return run, nil
}

// startOn starts a director on some cores: it has those of the thread that starts it.
func startOn(ctx context.Context, d *faulttest.Director, cores []int) error {
	done := make(chan error)
	go func() {
		runtime.LockOSThread() // and the thread ends with the goroutine
		if err := pin(cores, false); err != nil {
			done <- err
			return
		}
		done <- d.Start(ctx)
	}()
	return <-done
}

// cpuTime is the processor time that directors have used.
func cpuTime(of []*faulttest.Director) (sum time.Duration) {
	for _, d := range of {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.PID()))
		_, rest, _ := strings.Cut(string(text), ") ")
		if words := strings.Fields(rest); len(words) > 12 {
			for _, word := range words[11:13] { // user and system, in hundredths of a second
				n, _ := strconv.Atoi(word)
				sum += time.Duration(n) * 10 * time.Millisecond
			}
		}
	}
	return sum
}
