package faulttest

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"tallyproxy/internal/logevent"
	"tallyproxy/internal/server"
)

// The test program is the director too, when a test starts it as one.
func TestMain(m *testing.M) {
	if os.Getenv("TALLYPROXY_TEST_DIRECTOR") != "" {
		os.Exit(server.Main(os.Args[1:]))
	}
	os.Setenv("TALLYPROXY_TEST_DIRECTOR", "1")
	slog.SetDefault(slog.New(slog.DiscardHandler)) // what a case says of itself is not to drown in the liar's log
	os.Exit(m.Run())
}

// places are the rigs that stand at a time. A director that gets no processor answers late, and what is late is lost by the books:
// more of them at once, or a compiler beside them, would test the machine.
var places = make(chan bool, max(1, runtime.NumCPU()/2))

// beside lets a case go on beside others, where there is a place.
func beside(t *testing.T) {
	t.Parallel()
	places <- true
	t.Cleanup(func() { <-places })
}

func spec(t *testing.T) Spec {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return Spec{Argv: []string{self}, CacheNodes: 6, Clients: 120, LoadFactor: 0.3, WarmCaches: true, LoadBefore: time.Second, LoadAfter: 2 * time.Second}
}

// long has cases go on for as long as they are meant to: `make long`.
var long = os.Getenv("TALLYPROXY_LONG") != ""

func ms(short, whole int) int {
	if long {
		return whole
	}
	return short
}

// The hard cases: several directors as processes, under load, and faults of what lies between them. In each the rules hold by the
// stand-ins' books, no download is lost, no cold cache is pushed over, the parts sum up within bounds at every instant, and all
// have one view in the end.
func TestFaults(t *testing.T) {
	four := ms(4000, 10000)
	cases := []struct {
		name      string
		directors int
		faults    []Fault
		also      func(t *testing.T, o Outcome)
	}{
		{"A hears B, B does not hear A", 5, []Fault{{Kind: CutLinks, AtMS: 500, ForMS: four, Targets: []int{1}, Peers: []int{0}}}, nil},
		{"halves", 6, []Fault{{Kind: Partition, AtMS: 500, ForMS: four, Groups: [][]int{{0, 1, 2}, {3, 4, 5}}}, {Kind: Purge, AtMS: 2000}}, nil},
		{"three groups", 6, []Fault{{Kind: Partition, AtMS: 500, ForMS: four, Groups: [][]int{{0, 1}, {2, 3}, {4, 5}}},
			{Kind: Drain, AtMS: 2000, ForMS: 2000}}, nil},
		{"one is stopped while caches restart cold, and goes on", 5, []Fault{{Kind: Pause, AtMS: 500, ForMS: ms(6000, 30000), Targets: []int{2}},
			{Kind: ColdCaches, AtMS: 1500, Targets: []int{0, 1, 2, 3, 4, 5}}, {Kind: Purge, AtMS: 2000}}, nil},
		{"half of them can't reach the channel, which tells a drain and purges", 6, []Fault{{Kind: ChannelUnreachable, AtMS: 500, ForMS: ms(5000, 20000)},
			{Kind: Drain, AtMS: 1500, ForMS: ms(6000, 20000)}, {Kind: Purge, AtMS: 2000}}, func(t *testing.T, o Outcome) {
			if o.UpdatesReceived < 3*129 {
				t.Errorf("%d words bound at three directors, of a drain and 128 purges", o.UpdatesReceived)
			}
		}},
		{"one that starts while it can't reach the channel", 6, []Fault{{Kind: ChannelUnreachable, AtMS: 500, ForMS: ms(5000, 20000)},
			{Kind: Drain, AtMS: 1500, ForMS: ms(6000, 20000)}, {Kind: Purge, AtMS: 2800}, {Kind: Restart, AtMS: 3000, Targets: []int{1, 3}}},
			func(t *testing.T, o Outcome) {
				for _, e := range o.History.Entries() {
					if e.Event == logevent.ClockStallResolved && e.Attributes["result"] == "bound" {
						t.Errorf("n%d met nobody in time who knows", e.Director)
					}
				}
			}},
		{"one that starts while it can reach nobody", 3, []Fault{{Kind: ChannelUnreachable, AtMS: 500, ForMS: 6000}, {Kind: Purge, AtMS: 1900},
			{Kind: CutLinks, AtMS: 500, ForMS: 6000, Targets: []int{1}, Peers: []int{0, 2}, Both: true}, {Kind: Restart, AtMS: 2000, Targets: []int{1}}},
			func(t *testing.T, o Outcome) {
				careful := 0
				for _, e := range o.History.Entries() {
					careful += bit(e.Event == logevent.ViewUnconfirmed && e.Director == 1)
					if e.Director == 1 && e.Event == logevent.GossipReceived && careful == 2 {
						t.Errorf("n1 is careful no longer, and only then hears a purge that was told before: %v", e.Attributes)
						break
					}
				}
				if careful != 2 {
					t.Errorf("%d lines say that it went on carefully, and that it no longer did", careful)
				}
			}},
		{"restarted before anyone noticed", 5, []Fault{{Kind: Restart, AtMS: 500, Targets: []int{0}}, {Kind: Restart, AtMS: 2000, Targets: []int{3}}}, nil},
		{"seven in ten killed at once, and back", 10, []Fault{{Kind: Kill, AtMS: 500, ForMS: ms(8000, 15000), Targets: []int{0, 1, 2, 3, 4, 5, 6}},
			{Kind: ColdCaches, AtMS: 600, Targets: []int{0, 1, 2, 3, 4, 5}}}, func(t *testing.T, o Outcome) {
			if len(o.DetectionMS) != 7 {
				t.Errorf("%d of 7 deaths became known: %v", len(o.DetectionMS), o.DetectionMS)
			}
			raised := 0
			for _, e := range o.History.Entries() {
				raised += bit(e.Event == logevent.Quota && e.Attributes["zone"] == "2")
			}
			if raised == 0 {
				t.Error("none of the three that were left used more than its fixed part")
			}
		}},
		{"a link that flaps", 5, []Fault{{Kind: FlappingLinks, AtMS: 500, ForMS: four, Targets: []int{0, 1}, Peers: []int{2, 3, 4}}}, nil},
		{"two processes under one name", 4, []Fault{{Kind: DuplicateInstance, AtMS: 500, ForMS: ms(3000, 10000), Targets: []int{1}}}, func(t *testing.T, o Outcome) {
			if o.NameConflicts < 1 || o.NameConflicts > 2 {
				t.Errorf("%d lines say that a name is taken, want one of each of the two at the most", o.NameConflicts)
			}
		}},
		{"a director that claims that all caches are dead", 4, []Fault{{Kind: FalseHints, AtMS: 500, ForMS: four}}, func(t *testing.T, o Outcome) {
			if o.SuccessRate < 0.97 {
				t.Errorf("%v of the downloads were fulfilled", o.SuccessRate)
			}
			if o.HintProbes > 4*6*6 {
				t.Errorf("%d questions", o.HintProbes)
			}
		}},
		{"five percent loss with all cores busy", 5, []Fault{{Kind: LossyLinks, AtMS: 0, ForMS: ms(6000, 60000), Rate: 0.05},
			{Kind: BusyCores, AtMS: 0, ForMS: ms(6000, 60000), Rate: 8}}, func(t *testing.T, o Outcome) {
			if o.FalseFailures > 0 {
				t.Errorf("%d were taken for dead", o.FalseFailures)
			}
		}},
		{"SIGTERM during a partition", 6, []Fault{{Kind: Partition, AtMS: 500, ForMS: four, Groups: [][]int{{0, 1, 2}, {3, 4, 5}}},
			{Kind: Terminate, AtMS: 2500, ForMS: 2500, Targets: []int{0, 4}}}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if !slices.ContainsFunc(c.faults, func(f Fault) bool { return f.Kind == BusyCores || f.Kind == ChannelUnreachable }) {
				beside(t) // those two have a purge's half a second, or the cores, to themselves
			}
			s := Schedule{Seed: 1, Directors: c.directors, Faults: c.faults}
			for _, f := range c.faults {
				s.LengthMS = max(s.LengthMS, f.AtMS+f.ForMS+500)
			}
			o, err := Run(t.Context(), spec(t), s, nil)
			check(t, o, err)
			if c.also != nil && o.History != nil {
				c.also(t, o)
			}
		})
	}
}

func check(t *testing.T, o Outcome, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	if broken := o.Violations(); len(broken) > 0 {
		history := o.History.String()
		t.Errorf("the end of the history:\n%s\n%s\nlost: %s\nbroken: %v", history[max(0, len(history)-3000):], o.CrashDetail, o.LostReasons, broken)
	}
	if o.Requests < 50 || o.SuccessRate < 0.5 {
		t.Errorf("%d asked, %v fulfilled", o.Requests, o.SuccessRate)
	}
}

// Strangers: one with another key, one of another fleet, and one whose seeds are all dead. Nobody takes them in, they serve as
// before, and nothing else comes of it.
func TestStrangers(t *testing.T) {
	beside(t)
	s := Schedule{Seed: 2, Directors: 3, LengthMS: 2500}
	o, err := Run(t.Context(), spec(t), s, func(r *Harness) {
		key := r.key + "2"
		if err := os.WriteFile(key, []byte(strings.Repeat("ab", 32)), 0o600); err != nil {
			t.Error(err)
		}
		for _, x := range []struct{ name, key, fleet, seeds string }{
			{"x0", key, "rig", ""}, {"x1", r.key, "other", ""}, {"x2", r.key, "rig", `seeds = ["127.0.0.1:9", "127.0.0.1:10"]`},
		} {
			p, err := r.AddDirector(x.name, x.key, x.fleet)
			if err == nil && x.seeds != "" {
				path := filepath.Join(r.dir, fmt.Sprint(p.number, ".star"))
				text := regexp.MustCompile(`seeds = \[[^]]*\]`).ReplaceAllString(r.script(p, x.key, x.fleet), x.seeds)
				err = os.WriteFile(path, []byte(text), 0o600)
			}
			if err == nil {
				p.twin = true // of no view that is waited for
				err = r.StartProcess(t.Context(), p)
			}
			if err != nil {
				t.Error(err)
			} else if !p.serving() {
				t.Errorf("%s does not serve", x.name)
			}
		}
	})
	check(t, o, err)
	for _, e := range o.History.Entries() {
		if e.Event == logevent.PeerState && (strings.HasPrefix(e.Attributes["name"], "x") || e.Director > 2) {
			t.Errorf("n%d took in %v", e.Director, e.Attributes)
		}
	}
}

// Schedules that were drawn, each with other faults at once.
func TestDrawn(t *testing.T) {
	n := 4
	if long {
		n = 200
	}
	for i := range n {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			beside(t)
			o, err := Run(t.Context(), spec(t), RandomSchedule(7, i, 5, 5000), nil)
			check(t, o, err)
			if t.Failed() {
				t.Logf("%v", o.Schedule)
			}
		})
	}
}

// Schedules are data: the same number gives the same one, faulty ones are refused, failing ones are made short.
func TestSchedules(t *testing.T) {
	if a, b := RandomSchedule(3, 5, 9, 8000), RandomSchedule(3, 5, 9, 8000); a.String() != b.String() || a.String() == RandomSchedule(3, 6, 9, 8000).String() {
		t.Errorf("%v\n%v", a, b)
	}
	for i := range 300 {
		if s := RandomSchedule(1, i, 2+i%9, 3000); s.Validate() != nil {
			t.Errorf("%v: %v", s, s.Validate())
		}
	}
	for _, bad := range []Schedule{
		{Directors: 0, LengthMS: 1}, {Directors: 2, LengthMS: 10, Faults: []Fault{{Kind: "x"}}},
		{Directors: 2, LengthMS: 10, Faults: []Fault{{Kind: Kill, AtMS: 11}}}, {Directors: 2, LengthMS: 10, Faults: []Fault{{Kind: Kill, Targets: []int{2}}}},
	} {
		if bad.Validate() == nil {
			t.Errorf("%v was taken", bad)
		}
	}
	s := Schedule{Directors: 5, LengthMS: 9000}
	for i := range 8 {
		s.Faults = append(s.Faults, Fault{Kind: []string{Kill, Pause, CutLinks, ColdCaches}[i%4], AtMS: i * 100, ForMS: 3000})
	}
	fails := func(s Schedule) bool { // a cut and a stop, the stop for a second or more
		return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == CutLinks }) &&
			slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == Pause && f.ForMS >= 1000 })
	}
	if less := Shrink(s, 100, fails); len(less.Faults) != 2 || !fails(less) || less.Faults[0].ForMS+less.Faults[1].ForMS > 2000 {
		t.Errorf("made shorter: %v", less)
	}
}

// The checkers find what they are for.
func TestCheckers(t *testing.T) {
	at := time.Now()
	entry := func(ms, who int, event string, of ...string) Entry {
		e := Entry{at.Add(time.Duration(ms) * time.Millisecond), who, event, map[string]string{}}
		for i := 0; i < len(of); i += 2 {
			e.Attributes[of[i]] = of[i+1]
		}
		return e
	}
	names := []string{"n0", "n1", "n2"}
	started := []Entry{entry(0, 0, logevent.Started), entry(0, 1, logevent.Started), entry(0, 2, logevent.Started)}
	part := func(ms, who int, value, left string) Entry {
		return entry(ms, who, logevent.Quota, "zone", value, "zone_for", left)
	}
	for _, c := range []struct {
		name    string
		entries []Entry
		peak    float64
		over    int
	}{
		{"fixed", nil, 1, 0},
		{"above", []Entry{part(10, 0, "2", "1s"), part(20, 1, "2", "1s"), part(30, 2, "2.5", "1s")}, 6.5 / 3, 1},
		{"run out", []Entry{part(10, 0, "2", "5ms"), part(20, 1, "2", "5ms"), part(30, 2, "2.5", "1s")}, 4.5 / 3, 0},
		{"dead", []Entry{part(10, 0, "2", "1s"), part(20, 1, "2", "1s"), entry(25, 0, "do", "what", Kill), part(30, 2, "2.5", "1s")}, 5.0 / 3, 0},
	} {
		if peak, over := QuotaSums(append(slices.Clone(started), c.entries...), 3, "zone", 2); peak < c.peak-1e-9 || peak > c.peak+1e-9 || over != c.over {
			t.Errorf("%s: peak %v, %d over", c.name, peak, over)
		}
	}
	up := func(ms, who int, name, state string) Entry {
		return entry(ms, who, logevent.PeerState, "name", name, "incarnation", "1", "state", state)
	}
	history := append(slices.Clone(started), up(10, 0, "n2", "up"), up(11, 1, "n2", "up"), entry(5000, 2, "do", "what", Kill),
		up(6000, 0, "n2", "failed"), up(6500, 1, "n2", "failed"))
	if took, unknown := DetectionTimes(history, names); len(took) != 1 || took[0] != 1500*time.Millisecond || unknown != 0 {
		t.Errorf("known after %v, %d unknown", took, unknown)
	}
	if _, unknown := DetectionTimes(history[:len(history)-1], names); unknown != 1 {
		t.Errorf("%d unknown", unknown)
	}
	if failed, suspected := FalsePositives(append(slices.Clone(started), up(20000, 0, "n1", "failed"), up(20001, 2, "n1", "suspected")), names, time.Second); failed != 1 || suspected != 1 {
		t.Errorf("%d failed, %d suspected", failed, suspected)
	}
	view := func(ms, who int, sum string) Entry { return entry(ms, who, logevent.MembershipView, "digest", sum) }
	views := append(slices.Clone(started), view(10, 0, "a"), view(20, 1, "a"), view(30, 2, "a"), view(50, 1, "b"), view(90, 1, "a"))
	if got := ConvergenceTime(views, at.Add(40*time.Millisecond)); got != 50*time.Millisecond {
		t.Errorf("one view after %v", got)
	}
	if got := ConvergenceTime(views[:len(views)-1], at); got >= 0 {
		t.Errorf("one view after %v", got)
	}
}
