package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/faulttest"
	"tallyproxy/internal/logevent"
)

// Storm is what `tallybench storm` plays.
type Storm struct {
	Clients       int           `default:"2000" help:"Clients that connect."`
	ConnectWindow time.Duration `name:"within" default:"1s" help:"The time within which they do."`
	IgnoreShare   float64       `name:"ignore" default:"0.25" placeholder:"SHARE" help:"Share of clients that ignore the time they are told."`
	UnmarkedShare float64       `name:"unmarked" default:"0" placeholder:"SHARE" help:"Share of clients that don't mark their repeats."`
	IdleClients   int           `name:"silent" default:"0" help:"Further clients that connect and say nothing."`
	Directors     int           `default:"3" help:"Directors."`
	CacheNodes    int           `name:"boxes" default:"8" help:"Caches."`
	Cores         int           `default:"1" help:"Cores of a director."`
	Divided       bool          `hidden:"" help:"Beliefs divided over the cores."`
	Load          float64       `default:"0.5" help:"What clients ask for once all is calm, over what warm caches can do."`
	Scenario      string        `name:"day" default:"storm" enum:"storm,morning,popular" help:"storm: all at once on cold caches; morning: by and by on warm ones; popular: one object on warm ones."`
	SocketLimit   int           `name:"limit-sockets" default:"512" help:"Descriptors of a director."`
	MemoryLimitMB int           `name:"limit-memory" default:"64" help:"Memory of a director."`
	Faults        []string      `name:"trouble" placeholder:"NAME,..." enum:"drain,purge,restart,roll,reload,die,second,slow,turnover,mute,spoil,reset,pause" help:"What goes wrong meanwhile: ${enum}."`
	PauseDuration time.Duration `name:"pause" default:"4s" help:"How long a director is stopped for, with --trouble pause."`
	Peers         bool          `help:"Directors that know each other."`
	OverloadMode  string        `name:"guard" default:"on" enum:"on,off,fixed" help:"on: places; fixed: the same time for all; off: no time."`
	Seed          uint64        `default:"1" help:"Of clients and objects."`
	Duration      time.Duration `default:"30s" help:"How long it goes on."`
	MaxRetries    int           `name:"retries" default:"12" help:"A client's further tries of a download, while its time lasts."`
	RetryPause    time.Duration `name:"wait" default:"100ms" help:"Between the tries of a client with no time to wait for."`
	PlotPath      string        `name:"plot" placeholder:"FILE.png" help:"Draw demand, advice and load over time."`
	JSON          bool          `name:"json" help:"Print one JSON object."`
	DirectorPath  string        `name:"director" placeholder:"FILE" help:"The director's program; by default the one beside this."`

	Argv []string  `kong:"-"` // starts a director
	Log  io.Writer `kong:"-"`
}

// StormResult is what came of a storm.
type StormResult struct {
	Clients            int         `json:"clients"`
	Requests           int         `json:"asked"`    // downloads that ended,
	FirstAnswered      int         `json:"answered"` // and those whose first try was answered, whether they ended or not
	Attempts           int         `json:"tries"`
	Succeeded          int         `json:"fulfilled"`
	Rejected           int         `json:"throttled"` // downloads whose last answer that was,
	Failed             int         `json:"abandoned"` // or that
	Unanswered         int         `json:"unanswered"`
	Lost               int         `json:"lost"` // tries that were owed an answer
	DoubleFinal        int         `json:"double_final"`
	WrongBodies        int         `json:"wrong_bytes"`
	RepeatedEffects    int         `json:"effects_twice"`
	ConcurrentAttempts int         `json:"pulls_together"`
	OverloadedNodes    int         `json:"boxes_fallen"`
	DrainedUses        int         `json:"drains_broken"`
	StaleCopies        int         `json:"purges_broken"`
	PeakLoad           float64     `json:"peak_load"`
	SettleMS           int64       `json:"settle_ms"` // -1: it did not
	WastedShare        float64     `json:"wasted_share"`
	BenefitShare       float64     `json:"benefit_share"`
	CacheUtilization   float64     `json:"boxes_used"` // work fulfilled in the first ten seconds, over what the caches could do
	EarlyRetries       int         `json:"early_tries"`
	ObeyingSuccess     float64     `json:"heeders_served"` // share of their downloads
	IgnoringSuccess    float64     `json:"ignorers_served"`
	LostToKills        int         `json:"killed_tries"`
	LostToPauses       int         `json:"lost_paused"` // tries whose time ended while their director was stopped
	ClockStalls        int         `json:"jumps_noticed"`
	Crashes            int         `json:"crashes"`
	PeakMemoryMB       float64     `json:"rss_mb_peak"`
	OverloadsDetected  int         `json:"storms_noticed"`
	Series             StormSeries `json:"-"`
	SuccessBySecond    []float64   `json:"met"` // by second in which a download began: the share that was fulfilled
	LostReasons        string      `json:"lost_how,omitempty"`
}

// StormSeries is what is drawn, by bucket of the books.
type StormSeries struct {
	Attempts, RetryAfter, Succeeded []int
	Load                            []float64
}

// Broken names the rules that broke.
func (r StormResult) Broken() (rules []string) {
	for _, x := range []struct {
		name string
		n    int
	}{
		{"lost", r.Lost}, {"double_final", r.DoubleFinal}, {"wrong_bytes", r.WrongBodies}, {"effects_twice", r.RepeatedEffects},
		{"pulls_together", r.ConcurrentAttempts}, {"boxes_fallen", r.OverloadedNodes}, {"drains_broken", r.DrainedUses},
		{"purges_broken", r.StaleCopies}, {"crashes", r.Crashes},
	} {
		if x.n > 0 {
			rules = append(rules, x.name)
		}
	}
	return rules
}

// Script is the operator's file for a guard's setting.
func (s *Storm) Script() string {
	return fmt.Sprintf("machine(cores = %d)\nstorm(mode = %q)\n", max(1, s.Cores), map[string]string{"on": "guard", "off": "silent", "fixed": "fixed"}[s.OverloadMode])
}

// peersLines is what the operator's files say of how directors reach each other; nothing where they don't.
func (s *Storm) peersLines(folder string) (lines []string, err error) {
	lines = make([]string, s.Directors)
	if !s.Peers {
		return lines, nil
	}
	key := filepath.Join(folder, "peers.key")
	if err := os.WriteFile(key, []byte(strings.Repeat("5a", 32)), 0o600); err != nil {
		return nil, err
	}
	var at []string
	for range s.Directors {
		addr, err := faulttest.FreeAddress()
		if err != nil {
			return nil, err
		}
		at = append(at, strconv.Quote(addr))
	}
	for i := range lines {
		lines[i] = fmt.Sprintf("peers(listen = %s, seeds = [%s], key = %q)\n", at[i], strings.Join(at[:min(3, len(at))], ", "), key)
	}
	return lines, nil
}

// directorLog is a log of several directors. It counts lines that say a storm rises.
type directorLog struct {
	mu          sync.Mutex
	output      io.Writer
	overloads   int
	clockStalls int
}

func (c *directorLog) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.overloads += strings.Count(string(b), "event="+logevent.OverloadState+" state=rising")
	c.clockStalls += strings.Count(string(b), "event="+logevent.ClockStall)
	if c.output != nil {
		c.output.Write(b)
	}
	return len(b), nil
}

// String is what was written, where that is kept.
func (c *directorLog) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if text, ok := c.output.(fmt.Stringer); ok {
		return text.String()
	}
	return ""
}

// Execute plays it. An error is for what could not be played; broken rules stand in the result.
func (s *Storm) Execute(ctx context.Context) (r StormResult, err error) {
	spec := fakes.DefaultSpec(s.CacheNodes, s.Directors)
	spec.Seed, spec.ColdEdges, spec.ColdParents = s.Seed, s.Scenario == "storm", s.Scenario == "storm"
	w, err := fakes.New(spec)
	if err != nil {
		return r, err
	}
	defer w.Close()
	zipf := fakes.NewZipf(spec.Objects, spec.ZipfExponent)
	if s.Scenario != "storm" {
		w.PrefillCaches()
	}
	folder, err := os.MkdirTemp("", "tallybench")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(folder)
	log := &directorLog{output: s.Log}
	var directors []*faulttest.Director
	var targets []*fakes.Target
	defer func() {
		var ends sync.WaitGroup
		failed := make([]error, len(directors))
		for i, d := range directors {
			ends.Go(func() { failed[i] = d.Stop() })
		}
		ends.Wait()
		for i, d := range directors {
			r.Crashes += bit(failed[i] != nil)
			r.PeakMemoryMB = max(r.PeakMemoryMB, math.Round(d.PeakMemoryMB()*10)/10)
		}
		r.OverloadsDetected, r.ClockStalls = log.overloads, log.clockStalls
	}()
	argv := s.Argv
	if s.Divided {
		argv = append(append([]string(nil), argv...), "--divided")
	}
	talk, err := s.peersLines(folder)
	if err != nil {
		return r, err
	}
	for i := range s.Directors {
		d, err := faulttest.NewDirector(w, folder, fmt.Sprint("n", i), argv, s.Script()+talk[i], faulttest.Limits{Sockets: s.SocketLimit, MemoryMB: s.MemoryLimitMB, Cores: float64(max(1, s.Cores))}, log)
		if err == nil {
			err = d.Start(ctx)
		}
		if err != nil {
			return r, err
		}
		directors, targets = append(directors, d), append(targets, &d.Target)
	}
	begin := w.Now() + 50*time.Millisecond
	ctx, leave := context.WithTimeout(ctx, s.Duration)
	defer leave()
	var all sync.WaitGroup
	s.startClients(ctx, w, targets, zipf, begin, &all)
	all.Go(func() { s.injectFaults(ctx, w, directors, zipf, begin, targets, &all) })
	for tick := time.NewTicker(fakes.SeriesInterval); ctx.Err() == nil; {
		select {
		case <-tick.C:
			r.Series.Load = append(r.Series.Load, peakLoad(w))
		case <-ctx.Done():
			tick.Stop()
		}
	}
	all.Wait()
	s.summarize(w, begin, &r)
	return r, nil
}

func peakLoad(w *fakes.Cluster) (load float64) {
	for _, n := range w.Nodes {
		if p, _ := n.PeakLoad(); n.Kind != fakes.Origin {
			load = max(load, p)
		}
	}
	return load
}

// startClients starts the clients.
func (s *Storm) startClients(ctx context.Context, w *fakes.Cluster, targets []*fakes.Target, zipf *fakes.Zipf,
	begin time.Duration, all *sync.WaitGroup) {
	r := rand.New(rand.NewPCG(s.Seed, 11))
	mean := 0.0
	for _, t := range w.ContentTypes {
		mean += t.RequestShare * t.MeanTransfer.Seconds()
	}
	rate := s.Load * w.CacheCapacity * float64(s.CacheNodes) / mean
	think := time.Duration(float64(s.Clients) / rate * float64(time.Second))
	within := s.ConnectWindow
	if s.Scenario != "storm" {
		within = s.Duration / 2
	}
	for i := range s.Clients {
		c := s.newClient(i, w, targets, zipf)
		if c.IgnoreRetryAfter = r.Float64() < s.IgnoreShare; r.Float64() < s.UnmarkedShare {
			c.UnmarkedRetries = true
		}
		at := begin + time.Duration(r.Float64()*float64(within))
		all.Go(func() {
			if s.Scenario == "popular" {
				c.Zipf = fakes.NewZipf(2, 3) // one object is most of what is asked for
			}
			c.Run(ctx, at, think)
		})
	}
	for i := range s.IdleClients {
		c := s.newClient(s.Clients+i, w, targets, zipf)
		all.Go(func() { c.Idle(ctx) })
	}
}

func (s *Storm) newClient(i int, w *fakes.Cluster, targets []*fakes.Target, zipf *fakes.Zipf) *fakes.Client {
	home := i % len(targets)
	return &fakes.Client{
		Cluster: w, Targets: targets, Current: home, LocalAddress: fmt.Sprintf("127.1.%d.%d", i/250%250, 1+i%250),
		MaxRetries: s.MaxRetries, RetryPause: s.RetryPause, Rand: rand.New(rand.NewPCG(s.Seed, uint64(i)+100)), Zipf: zipf,
	}
}

// injectFaults plays what goes wrong.
func (s *Storm) injectFaults(ctx context.Context, w *fakes.Cluster, directors []*faulttest.Director, zipf *fakes.Zipf,
	begin time.Duration, targets []*fakes.Target, all *sync.WaitGroup) {
	at := func(d time.Duration, do func()) {
		all.Go(func() {
			select {
			case <-time.After(begin + d - w.Now()):
				do()
			case <-ctx.Done():
			}
		})
	}
	for _, t := range s.Faults {
		switch t {
		case "drain":
			at(1500*time.Millisecond, func() { w.Nodes[0].Announce("draining") })
			at(6*time.Second, func() { w.Nodes[0].Announce("removed"); w.Nodes[0].Kill() })
		case "purge":
			for i := range 128 {
				at(1500*time.Millisecond+time.Duration(i)*10*time.Millisecond, func() { w.Purge("", 2*i) })
			}
		case "pause": // one is stopped while a box is told draining and half of the groups are purged
			stopped := directors[0]
			at(2*time.Second, func() { stopped.Pause(true) })
			at(2*time.Second+s.PauseDuration/4, func() {
				w.Nodes[0].Announce("draining")
				for i := range 128 {
					w.Purge("", 2*i)
				}
			})
			at(2*time.Second+s.PauseDuration, func() { stopped.Pause(false) })
		case "restart":
			at(2*time.Second, func() { directors[0].Kill() })
			at(4*time.Second, func() { directors[0].Restart(ctx) })
		case "roll":
			at(3*time.Second, func() {
				directors[len(directors)-1].Signal(syscall.SIGTERM)
				directors[len(directors)-1].Restart(ctx)
			})
		case "reload":
			for i := range 5 {
				at(time.Duration(i+1)*time.Second, func() { directors[0].Signal(syscall.SIGHUP) })
			}
		case "die":
			at(3*time.Second, func() { w.Nodes[1].Kill() })
			at(6*time.Second, func() { w.Nodes[1].Restart() })
		case "turnover": // a box that is announced and withdrawn again and again
			for i := range int(s.Duration / (100 * time.Millisecond)) {
				status := []string{"draining", "up"}[i%2]
				at(time.Duration(i+5)*100*time.Millisecond, func() { w.Nodes[3%s.CacheNodes].Announce(status) })
			}
		case "mute", "spoil", "reset": // one box for two seconds
			trouble := map[string]fakes.Fault{"mute": fakes.FaultNoAnswer, "spoil": fakes.FaultMalformed, "reset": fakes.FaultReset}[t]
			n := map[string]int{"mute": 0, "spoil": 2, "reset": 4}[t] % s.CacheNodes
			at(2*time.Second, func() { w.Nodes[n].SetFault(trouble, 1) })
			at(4*time.Second, func() { w.Nodes[n].SetFault(fakes.FaultNone, 1) })
		case "slow":
			at(2*time.Second, func() { w.Nodes[2%s.CacheNodes].SetFault(fakes.FaultNone, 4) })
		case "second":
			for i := range s.Clients / 2 {
				c := s.newClient(s.Clients+s.IdleClients+i, w, targets, zipf)
				all.Go(func() { c.Run(ctx, begin+s.Duration/3, s.Duration) })
			}
		}
	}
}

// summarize makes the report of the books.
func (s *Storm) summarize(w *fakes.Cluster, begin time.Duration, r *StormResult) {
	r.Clients, r.SettleMS = s.Clients, -1
	b := w.Violations()
	r.RepeatedEffects, r.OverloadedNodes, r.DrainedUses, r.ConcurrentAttempts = b.RepeatedEffects, b.OverloadedNodes, b.DrainedUses, b.ConcurrentAttempts
	r.PeakLoad = peakLoad(w)
	w.Clients.WithLock(func(book *fakes.ClientStats) {
		r.Lost, r.DoubleFinal, r.WrongBodies, r.StaleCopies = book.Lost, book.Duplicates, book.WrongBodies, book.StaleCopies
		r.FirstAnswered = book.FirstAnswered
		r.LostToKills, r.EarlyRetries, r.LostToPauses = book.LostToKills, book.EarlyRetries, book.LostToPauses
		r.Series.Attempts, r.Series.RetryAfter, r.Series.Succeeded = book.AttemptSeries, book.RetryAfterSeries, book.SuccessSeries
		if len(book.LostReasons) > 0 {
			r.LostReasons = fmt.Sprint(book.LostReasons)
		}
		const window = time.Second
		var begun, met []int
		asked, had, done := 0.0, 0.0, 0.0
		served := [2][2]int{}
		for _, dl := range book.Requests {
			r.Requests++
			r.Attempts += dl.Attempts
			asked += dl.ContentType.PriorityWeight
			served[bit(dl.IgnoresRetryAfter)][1]++
			at := int(max(0, dl.StartedAt-begin) / window)
			for len(begun) <= at {
				begun, met = append(begun, 0), append(met, 0)
			}
			begun[at]++
			switch {
			case dl.Succeeded:
				met[at]++
				r.Succeeded++
				if dl.StartedAt+dl.Duration < begin+10*time.Second {
					done += dl.TransferMicros
				}
				served[bit(dl.IgnoresRetryAfter)][0]++
				target := dl.ContentType.LatencyObjective + time.Duration(dl.ContentType.TransferFactor*float64(dl.ContentType.MeanTransfer))
				if had += dl.ContentType.PriorityWeight; dl.Duration > target {
					had -= 0.9 * dl.ContentType.PriorityWeight
				}
			case dl.LastStatus == "503":
				r.Rejected++
			case dl.LastStatus == "":
				r.Unanswered++
			default:
				r.Failed++
			}
		}
		for i := range begun {
			r.SuccessBySecond = append(r.SuccessBySecond, ratio(float64(met[i]), float64(begun[i])))
			late := time.Duration(i)*window > s.Duration-7*time.Second
			if good := func(i int) bool { return float64(met[i]) >= 0.95*float64(begun[i]) }; !late && i+1 < len(begun) &&
				good(i) && good(i+1) && r.SettleMS < 0 {
				r.SettleMS = int64(i) * window.Milliseconds()
			}
		}
		r.CacheUtilization = ratio(done, w.EdgeWork(begin, begin+10*time.Second))
		r.BenefitShare = ratio(had, asked)
		r.WastedShare = ratio(float64(r.Attempts-r.Succeeded), float64(r.Attempts))
		r.ObeyingSuccess = ratio(float64(served[0][0]), float64(served[0][1]))
		r.IgnoringSuccess = ratio(float64(served[1][0]), float64(served[1][1]))
	})
}

func bit(on bool) int {
	if on {
		return 1
	}
	return 0
}

func ratio(part, of float64) float64 {
	if of == 0 {
		return 0
	}
	return math.Round(part/of*10000) / 10000
}
