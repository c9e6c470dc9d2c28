package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"tallyproxy/internal/faulttest"
)

// Peers is what `tallybench peers` plays: directors that know each other, and faults between them.
type Peers struct {
	Instances  []int    `default:"5" help:"Directors, as processes."`
	Faults     []string `default:"seven" enum:"none,oneway,halves,thirds,stop,restart,seven,zone,away,flap,twin,loss,liar,term,drawn" help:"What goes wrong: ${enum}."`
	Simulated  []int    `placeholder:"N,..." help:"Directors in simulated time instead, with the modules that decide and a detector that is late and wrong."`
	Together   []int    `placeholder:"N,..." help:"Detectors alone, in one process and by the clock, instead: how long until all know of deaths."`
	Slow       int      `default:"1" help:"All of that so many times slower, for more detectors than the machine has processors for; times are told divided by it."`
	Schedules  int      `default:"1" help:"Schedules of each."`
	Only       int      `default:"-1" help:"The schedule of this number alone."`
	Schedule   string   `placeholder:"FILE" help:"A schedule as it was printed, instead."`
	Shrink     bool     `help:"Make a schedule that fails short, and print it."`
	Beside     bool     `help:"The same with fixed parts, beside it."`
	Seed       uint64   `default:"1" help:"Of schedules, clients and objects."`
	Boxes      int      `default:"8" help:"Caches."`
	Clients    int      `default:"200" help:"Clients."`
	Load       float64  `default:"0.4" help:"What clients ask for, over what warm caches can do."`
	History    bool     `help:"Print what every process saw and did."`
	JSON       bool     `name:"json" help:"Print one JSON object."`
	DirectorAt string   `name:"director" placeholder:"FILE" help:"The director's program; by default the one beside this."`

	Argv []string  `kong:"-"`
	Log  io.Writer `kong:"-"`
}

// PeersRun is what came of one number of directors under one kind of fault.
type PeersRun struct {
	Instances  int       `json:"instances"`
	Faults     string    `json:"faults"`
	Simulated  bool      `json:"simulated"`
	Schedules  int       `json:"schedules"`
	Rules      int       `json:"rules_broken"`
	Lost       int       `json:"lost"`
	Over       int       `json:"parts_over"`
	Fallen     int       `json:"fallen"`
	Unended    int       `json:"unended"`
	PartsPeak  float64   `json:"parts_peak"`
	DeathP50   float64   `json:"know_death_ms_p50"`
	DeathP99   float64   `json:"know_death_ms_p99"`
	OneViewP99 float64   `json:"one_view_ms_p99"`
	Wrong      float64   `json:"wrongly_failed_per_hour"` // of a director
	Suspected  float64   `json:"wrongly_suspected_per_hour"`
	Packets    float64   `json:"packets_per_s"`
	Bytes      float64   `json:"bytes_per_s"`
	Memory     float64   `json:"memory_mb"`
	Share      float64   `json:"fulfilled_share"`
	Recovery   float64   `json:"recovery_ms"`
	Series     []float64 `json:"series"` // of the last schedule, see rig.Outcome
	ColdPeak   float64   `json:"cold_peak_load"`
	Fixed      *PeersRun `json:"fixed,omitempty"` // the same with fixed parts
	Failing    []string  `json:"failing,omitempty"`
	Why        []string  `json:"why,omitempty"`
	deaths     []float64 // ms
	views      []float64 //
	hours      float64   //
	wrong      int       //
	suspected  int       //
}

// PeersResult is all of it; the sums are what the exit code goes by.
type PeersResult struct {
	Runs      []*PeersRun `json:"runs"`
	Rules     int         `json:"rules_broken"`
	Lost      int         `json:"lost"`
	Over      int         `json:"parts_over"`
	Fallen    int         `json:"fallen"`
	Schedules int         `json:"schedules"`
	Unended   int         `json:"unended"`
	DeathP99  float64     `json:"know_death_ms_p99"`
}

// Broken says what must not be.
func (r PeersResult) Broken() (all []string) {
	for _, x := range []struct {
		name string
		n    int
	}{{"rules_broken", r.Rules}, {"lost", r.Lost}, {"parts_over", r.Over}, {"fallen", r.Fallen}, {"unended", r.Unended}} {
		if x.n > 0 {
			all = append(all, fmt.Sprintf("%s %d", x.name, x.n))
		}
	}
	return all
}

// Named is the schedule of a kind of fault for so many directors.
func Named(kind string, seed uint64, number, n int) faulttest.Schedule {
	s := faulttest.Schedule{Seed: seed, Number: number, Directors: n, LengthMS: 8000}
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	parts := func(k int) (groups [][]int) {
		groups = make([][]int, k)
		for i := range n {
			groups[i%k] = append(groups[i%k], i)
		}
		return groups
	}
	boxes := make([]int, 64) // all of them
	for i := range boxes {
		boxes[i] = i
	}
	switch kind {
	case "oneway":
		s.Faults = []faulttest.Fault{{Kind: faulttest.CutLinks, AtMS: 500, ForMS: 6000, Targets: all[:n/2], Peers: all[n/2:]}}
	case "halves", "thirds":
		k := map[string]int{"halves": 2, "thirds": 3}[kind]
		s.Faults = []faulttest.Fault{{Kind: faulttest.Partition, AtMS: 500, ForMS: 6000, Groups: parts(k)}, {Kind: faulttest.ColdCaches, AtMS: 4000, Targets: boxes}}
	case "stop":
		s.Faults = []faulttest.Fault{{Kind: faulttest.Pause, AtMS: 500, ForMS: 6000, Targets: all[:1]}, {Kind: faulttest.ColdCaches, AtMS: 1500, Targets: boxes}}
	case "restart":
		s.Faults = []faulttest.Fault{{Kind: faulttest.Restart, AtMS: 500, Targets: all[:(n+2)/3]}}
	case "seven":
		s.LengthMS = 14000
		s.Faults = []faulttest.Fault{{Kind: faulttest.Kill, AtMS: 500, ForMS: 13000, Targets: all[:n*7/10]}, {Kind: faulttest.ColdCaches, AtMS: 4000, Targets: boxes}}
	case "away":
		s.Faults = []faulttest.Fault{{Kind: faulttest.ChannelUnreachable, AtMS: 500, ForMS: 6000}, {Kind: faulttest.Drain, AtMS: 1500, ForMS: 6500}, {Kind: faulttest.Purge, AtMS: 2000}}
	case "zone":
		s.LengthMS = 14000
		left := slices.DeleteFunc(boxes, func(i int) bool { return i%2 == 1 }) // those of the location that is left
		s.Faults = []faulttest.Fault{{Kind: faulttest.ZoneLoss, AtMS: 500, ForMS: 13000, Targets: []int{1}}, {Kind: faulttest.ColdCaches, AtMS: 4000, Targets: left}}
	case "flap":
		s.Faults = []faulttest.Fault{{Kind: faulttest.FlappingLinks, AtMS: 500, ForMS: 6000, Targets: all[:n/2], Peers: all[n/2:]}}
	case "twin":
		s.Faults = []faulttest.Fault{{Kind: faulttest.DuplicateInstance, AtMS: 500, ForMS: 6000, Targets: all[:1]}}
	case "loss":
		s.Faults = []faulttest.Fault{{Kind: faulttest.LossyLinks, AtMS: 0, ForMS: 8000, Rate: 0.05}, {Kind: faulttest.BusyCores, AtMS: 0, ForMS: 8000, Rate: 8}}
	case "liar":
		s.Faults = []faulttest.Fault{{Kind: faulttest.FalseHints, AtMS: 500, ForMS: 6000}}
	case "term":
		s.Faults = []faulttest.Fault{{Kind: faulttest.Partition, AtMS: 500, ForMS: 6000, Groups: parts(2)}, {Kind: faulttest.Terminate, AtMS: 2500, ForMS: 3000, Targets: all[:(n+2)/3]}}
	case "drawn":
		return faulttest.RandomSchedule(seed, number, n, s.LengthMS)
	}
	return s
}

// Play plays it. An error is for what could not be played; broken rules stand in the result.
func (p *Peers) Play(ctx context.Context) (out PeersResult, err error) {
	var deaths []float64
	for _, n := range p.Together {
		for _, g := range []Together{{n, 1, min(10, n-2), p.Slow}, {n, min(n*7/10, n-2), 1, p.Slow}} {
			run, err := g.Play(ctx)
			if err != nil {
				return out, err
			}
			out.Runs, deaths = append(out.Runs, run), append(deaths, run.deaths...)
			out.Schedules, out.Unended, out.DeathP99 = out.Schedules+1, out.Unended+run.Unended, quantile(deaths, 0.99)
		}
	}
	if len(p.Together) > 0 {
		return out, nil
	}
	for _, kind := range p.Faults {
		counts, simulated := p.Instances, false
		if len(p.Simulated) > 0 {
			counts, simulated = p.Simulated, true
		}
		for _, n := range counts {
			if n < 2 || n > 300 && !simulated || n > simPeople {
				return out, fmt.Errorf("--instances, --simulated: %d is not from 2 to 300, or %d in simulated time", n, simPeople)
			}
			run := &PeersRun{Instances: n, Faults: kind, Simulated: simulated}
			if p.Beside && !simulated {
				run.Fixed = &PeersRun{Instances: n, Faults: kind}
			}
			for number := range p.Schedules {
				if p.Only >= 0 && number != p.Only && p.Only < p.Schedules {
					continue
				}
				s := Named(kind, p.Seed, number, n)
				if p.Only >= p.Schedules {
					s = Named(kind, p.Seed, p.Only, n)
				}
				if p.Schedule != "" {
					if s, err = p.read(); err != nil {
						return out, err
					}
					run.Instances = s.Directors
				}
				if err := p.play(ctx, run, s, simulated); err != nil {
					return out, err
				}
			}
			run.sum()
			out.Runs, deaths = append(out.Runs, run), append(deaths, run.deaths...)
			out.Rules, out.Lost, out.Over, out.Fallen = out.Rules+run.Rules, out.Lost+run.Lost, out.Over+run.Over, out.Fallen+run.Fallen
			out.Schedules, out.Unended = out.Schedules+run.Schedules, out.Unended+run.Unended
		}
	}
	out.DeathP99 = quantile(deaths, 0.99)
	return out, nil
}

func (p *Peers) read() (s faulttest.Schedule, err error) {
	raw, err := os.ReadFile(p.Schedule)
	if err == nil {
		err = json.Unmarshal(raw, &s)
	}
	if err == nil {
		err = s.Validate()
	}
	if err != nil {
		err = fmt.Errorf("--schedule: %s: %w", p.Schedule, err)
	}
	return s, err
}

// play plays one schedule, and where it fails and that is wanted, shorter ones.
func (p *Peers) play(ctx context.Context, run *PeersRun, s faulttest.Schedule, simulated bool) error {
	run.Schedules++
	if simulated {
		r := simulate(s)
		run.PartsPeak, run.Over = max(run.PartsPeak, r.Peak), run.Over+r.Over
		run.views, run.Packets = append(run.views, float64(r.OneView)/1000), r.Asks
		if run.Unended += bit(r.Unended); r.Over > 0 || r.Unended {
			p.failed(run, s, func(s faulttest.Schedule) bool { r := simulate(s); return r.Over > 0 || r.Unended })
		}
		return nil
	}
	o, err := faulttest.Run(ctx, p.spec(false), s, nil)
	if err != nil {
		return err
	}
	run.add(o)
	if p.History {
		fmt.Fprint(os.Stderr, o.History)
	}
	if len(o.Violations()) > 0 {
		run.Why = append(run.Why, fmt.Sprint(o.Violations(), o.LostReasons, o.CrashDetail))
		p.failed(run, s, func(s faulttest.Schedule) bool {
			o, err := faulttest.Run(ctx, p.spec(false), s, nil)
			return err == nil && len(o.Violations()) > 0
		})
	}
	if run.Fixed != nil {
		run.Fixed.Schedules++
		if o, err = faulttest.Run(ctx, p.spec(true), s, nil); err != nil {
			return err
		}
		run.Fixed.add(o)
	}
	return nil
}

const mostTries = 24 // of shorter schedules

func (p *Peers) failed(run *PeersRun, s faulttest.Schedule, fails func(faulttest.Schedule) bool) {
	if len(run.Failing) >= 8 {
		return
	}
	if p.Shrink {
		s = faulttest.Shrink(s, mostTries, fails)
	}
	run.Failing = append(run.Failing, s.String())
}

func (p *Peers) spec(alone bool) faulttest.Spec {
	return faulttest.Spec{
		Argv: p.Argv, NoPeers: alone, CacheNodes: p.Boxes, Clients: p.Clients, LoadFactor: p.Load, WarmCaches: true, LoadBefore: time.Second,
		LoadAfter: 2 * time.Second, Log: p.Log,
	}
}

func (r *PeersRun) add(o faulttest.Outcome) {
	r.Lost, r.Over, r.Fallen, r.Unended = r.Lost+o.Lost, r.Over+o.QuotaViolations, r.Fallen+o.OverloadedNodes, r.Unended+bit(o.Incomplete)
	r.Rules += o.RuleViolations()
	r.PartsPeak, r.ColdPeak, r.Memory = max(r.PartsPeak, o.QuotaPeak[0], o.QuotaPeak[1]), max(r.ColdPeak, o.ColdPeakLoad), max(r.Memory, o.MemoryMB)
	r.deaths, r.views = append(r.deaths, o.DetectionMS...), append(r.views, o.ConvergenceMS)
	r.hours, r.wrong, r.suspected = r.hours+o.DirectorHours, r.wrong+o.FalseFailures, r.suspected+o.FalseSuspicions
	n := float64(r.Schedules)
	mean := func(old, now float64) float64 { return (old*(n-1) + now) / n }
	r.Packets, r.Bytes, r.Share = mean(r.Packets, o.PacketsPerSecond), mean(r.Bytes, o.BytesPerSecond), mean(r.Share, o.SuccessRate)
	r.Series = o.SuccessSeries
	if r.Recovery = max(r.Recovery, o.RecoveryMS); o.RecoveryMS < 0 {
		r.Recovery = -1
	}
}

func (r *PeersRun) sum() {
	r.DeathP50, r.DeathP99, r.OneViewP99 = quantile(r.deaths, 0.5), quantile(r.deaths, 0.99), quantile(r.views, 0.99)
	if r.hours > 0 {
		r.Wrong, r.Suspected = float64(r.wrong)/r.hours, float64(r.suspected)/r.hours
	}
	if r.Fixed != nil {
		r.Fixed.sum()
	}
}
