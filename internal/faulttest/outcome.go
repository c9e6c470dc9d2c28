package faulttest

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
)

// Outcome is what came of a schedule, by the books of the stand-ins and the history.
type Outcome struct {
	Schedule   Schedule   `json:"schedule"`
	Lost       int        `json:"lost"` // tries that were owed an answer
	LostHow    string     `json:"lost_how,omitempty"`
	LostPaused int        `json:"lost_paused"`
	Twice      int        `json:"double_final"`
	Wrong      int        `json:"wrong_bytes"`
	Effects    int        `json:"effects_twice"`
	Together   int        `json:"pulls_together"`
	Drains     int        `json:"drains_broken"`
	Purges     int        `json:"purges_broken"`
	Fallen     int        `json:"fallen"`
	Crashes    int        `json:"crashes"`
	Panics     int        `json:"panics"`
	Why        string     `json:"why,omitempty"` // of crashes
	PartsPeak  [2]float64 `json:"parts_peak"`    // of the sum of all parts, by scope
	PartsOver  int        `json:"parts_over"`
	Unended    bool       `json:"unended"`     // it did not come to its end, or to one view, in time
	OneView    float64    `json:"one_view_ms"` // from the end of the last fault
	Deaths     []float64  `json:"know_death_ms"`
	Failed     int        `json:"wrongly_failed"`
	Suspected  int        `json:"wrongly_suspected"`
	ColdPeak   float64    `json:"cold_peak_load"`
	Asked      int        `json:"asked"`
	Share      float64    `json:"fulfilled_share"`
	Recovery   float64    `json:"recovery_ms"` // from the beginning of the last fault until nine tenths are fulfilled for good; -1: not
	Series     []float64  `json:"series"`      // what was fulfilled of the downloads that began in each second from then on, by half seconds
	Memory     float64    `json:"memory_mb"`
	Packets    float64    `json:"packets_per_s"` // that came to a director,
	Bytes      float64    `json:"bytes_per_s"`
	Hours      float64    `json:"director_hours"`
	Clashes    int        `json:"name_taken_lines"`
	Hints      int        `json:"questions"`
	Words      int        `json:"words_bound"` // of the channel, by another's telling
	Lists      int        `json:"lists_taken"` // of nodes, by two others' telling
	Calls      float64    `json:"calls_per_s"` // of the command channel, all together
	History    *History   `json:"-"`
}

// Rules is how often the rules broke that are about answers, copies, drains and processes; what else must not be has counts of its own.
func (o Outcome) Rules() int {
	return o.Twice + o.Wrong + o.Effects + o.Together + o.Drains + o.Purges + o.Crashes + o.Panics
}

// Broken names the rules that broke.
func (o Outcome) Broken() (rules []string) {
	for _, x := range []struct {
		name string
		n    int
	}{
		{"lost", o.Lost}, {"double_final", o.Twice}, {"wrong_bytes", o.Wrong}, {"effects_twice", o.Effects},
		{"pulls_together", o.Together}, {"drains_broken", o.Drains}, {"purges_broken", o.Purges}, {"fallen", o.Fallen},
		{"crashes", o.Crashes}, {"panics", o.Panics}, {"parts_over", o.PartsOver}, {"unended", bit(o.Unended)},
	} {
		if x.n > 0 {
			rules = append(rules, fmt.Sprintf("%s %d", x.name, x.n))
		}
	}
	return rules
}

const toSettle = 20 * time.Second // for all to have one view

// Run plays a schedule from beginning to end: directors that have one view, load, faults, load for a while longer, one view
// again. Do, where given, is called once there is load. It ends in a bounded time.
func Run(ctx context.Context, spec Spec, s Schedule, do func(*Rig)) (o Outcome, err error) {
	if err := s.Check(); err != nil {
		return o, err
	}
	o.Schedule, o.Recovery = s, -1
	bound := time.Duration(s.Length)*time.Millisecond + spec.Settle + spec.After + 4*toSettle
	ctx, leave := context.WithTimeout(ctx, bound)
	defer leave()
	r, err := New(spec, s)
	if err != nil {
		return o, err
	}
	if spec.Before != nil {
		spec.Before(r)
	}
	if spec.Early {
		r.Load()
	}
	if err := r.Start(ctx); err != nil {
		r.Close()
		return o, err
	}
	if !spec.Alone && !r.Settled(ctx, toSettle) {
		o.Unended = true
	}
	began, carried, calls := time.Now(), r.carried(), len(r.World.ChannelCalls())
	if !spec.Early {
		r.Load()
	}
	fakes.Sleep(ctx, spec.Settle)
	fault := r.World.Now()
	last := 0
	for _, f := range s.Faults {
		last = max(last, f.At)
	}
	fault += time.Duration(last) * time.Millisecond
	if do != nil {
		do(r)
	}
	r.Play(ctx, s)
	healed := time.Now()
	fakes.Sleep(ctx, spec.After)
	if !spec.Alone && !r.Settled(ctx, toSettle) || ctx.Err() != nil {
		o.Unended = true
	}
	settled := time.Now()
	r.Quiet()
	took := time.Since(began).Seconds()
	now := r.carried()
	o.Packets = math.Round(float64(now[0]-carried[0]) / took / float64(s.Directors))
	o.Bytes = math.Round(float64(now[1]-carried[1]) / took / float64(s.Directors))
	o.Calls = math.Round(float64(len(r.World.ChannelCalls())-calls)/took*10) / 10
	o.Hours = took / 3600 * float64(s.Directors)
	o.Memory = math.Round(r.Memory()*10) / 10
	if err := r.Close(); err != nil {
		o.Crashes, o.Why = strings.Count(err.Error(), "\n")+1, err.Error()
	}
	o.History = r.History
	o.books(r.World, fault)
	var names []string
	for _, p := range r.Processes() {
		names = append(names, p.Name)
	}
	var entries []Entry
	for _, e := range r.History.Entries() {
		if !e.At.After(settled) || e.Event == logevent.PanicRecovered {
			entries = append(entries, e)
		}
		o.Panics += bit(e.Event == logevent.PanicRecovered)
		o.Clashes += bit(e.Event == logevent.PeerNameConflict)
		o.Hints += bit(e.Event == logevent.HintProbed)
		o.Words += bit(e.Event == logevent.GossipReceived)
		o.Lists += bit(e.Event == logevent.EndpointListRelayed)
	}
	for scope, name := range []string{"zone", "fleet"} {
		peak, over := Parts(entries, s.Directors, name, membership.MaxQuotaFactor)
		o.PartsPeak[scope] = math.Round(peak*1000) / 1000
		o.PartsOver += over
	}
	deaths, _ := Known(entries, names[:s.Directors])
	for _, took := range deaths {
		o.Deaths = append(o.Deaths, float64(took.Milliseconds()))
	}
	o.Failed, o.Suspected = Wrong(entries, names[:s.Directors], 10*time.Second)
	if !spec.Alone {
		o.OneView = float64(OneView(entries, healed).Milliseconds())
	}
	return o, nil
}

// carried is how many packets and bytes came to the directors of the schedule.
func (r *Rig) carried() (sum [2]int64) {
	for i := range r.Processes() {
		packets, octets := r.Net.Carried(i)
		sum[0], sum[1] = sum[0]+packets, sum[1]+octets
	}
	return sum
}

// books takes what the stand-ins wrote down.
func (o *Outcome) books(w *fakes.Cluster, fault time.Duration) {
	b := w.Violations()
	o.Effects, o.Fallen, o.Drains, o.Together = b.RepeatedEffects, b.OverloadedNodes, b.DrainedUses, b.ConcurrentAttempts
	for _, n := range w.Nodes {
		if peak, _ := n.PeakLoad(); n.Kind != fakes.Origin {
			o.ColdPeak = max(o.ColdPeak, math.Round(peak*1000)/1000)
		}
	}
	w.Clients.WithLock(func(b *fakes.ClientStats) {
		o.Lost, o.Twice, o.Wrong, o.Purges, o.LostPaused = b.Lost, b.Duplicates, b.WrongBodies, b.StaleCopies, b.LostToPauses
		if len(b.LostReasons) > 0 {
			o.LostHow = fmt.Sprint(b.LostReasons)
		}
		var begun, met []int
		good := 0
		for _, dl := range b.Requests {
			o.Asked++
			good += bit(dl.Succeeded)
			if dl.StartedAt < fault {
				continue
			}
			at := int((dl.StartedAt - fault) / fakes.SeriesInterval)
			for len(begun) <= at {
				begun, met = append(begun, 0), append(met, 0)
			}
			begun[at]++
			met[at] += bit(dl.Succeeded)
		}
		if o.Asked > 0 {
			o.Share = math.Round(float64(good)/float64(o.Asked)*10000) / 10000
		}
		const window = 10 // buckets
		below := -1
		for i := 0; i+window <= len(begun); i++ {
			b, m := 0, 0
			for j := i; j < i+window; j++ {
				b, m = b+begun[j], m+met[j]
			}
			if i%(window/2) == 0 && b > 0 {
				o.Series = append(o.Series, math.Round(float64(m)/float64(b)*100)/100)
			}
			if float64(m) < 0.9*float64(b) {
				below = i
			}
		}
		if below+window < len(begun) {
			o.Recovery = float64((time.Duration(below+1) * fakes.SeriesInterval).Milliseconds())
		}
	})
}
