package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tallyproxy/backoff"
	"tallyproxy/internal/fakes"
	d "tallyproxy/policy"
	"tallyproxy/relays"
)

// startSim plays a fleet's calls of the command channel in simulated time, for fleets that no machine holds as processes: who calls and
// when is decided by the real modules (manners, follow), the network and the channel are not real. What a director hears of purges goes
// to four others at once, as between processes; lists go by questions.
type startSim struct {
	now     d.Micros
	r       *rand.Rand
	dirs    []*simDirector
	zones   [][]string // names by location,
	met     []int      // and how many of them have met the others
	byName  map[string]int
	events  startEvents
	seq     int
	serving bool
	able    fakes.ChannelCapacity
	busy    d.Micros
	news    int      // events that the channel has
	lists   int      // version of its list
	told    d.Micros // when the last event came
	waiting map[int]func()
	calls   []fakes.ChannelCall
	rows    []relays.Endpoint // of the version at hand
	of      int
	alone   bool
	times   backoff.Intervals
	poll    d.Micros
	retry   d.Micros
}

type simDirector struct {
	name    string
	zone    int
	book    *relays.Relay
	caller  *backoff.Poller
	cursor  int      // events that the own channel has told
	list    int      // version of the list in force
	met     bool     // it sees the others,
	saw     int      // so many of them,
	look    d.Micros // and looks again then
	known   int      // events heard, by whomever
	knew    d.Micros // when it heard the last one,
	listed  d.Micros // and took the last list
	calling bool
	pause   d.Micros // not before this
	wait    d.Micros
}

type startEvent struct {
	at  d.Micros
	seq int
	do  func()
}

type startEvents []startEvent

func (e startEvents) Len() int { return len(e) }
func (e startEvents) Less(a, b int) bool {
	return e[a].at < e[b].at || e[a].at == e[b].at && e[a].seq < e[b].seq
}
func (e startEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *startEvents) Push(x any)   { *e = append(*e, x.(startEvent)) }
func (e *startEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

const simAtOnce = 4 // as peering sends words on

// newStartSim makes a fleet of so many in locations of about so many.
func newStartSim(n, location int, alone bool, seed uint64, able fakes.ChannelCapacity) *startSim {
	s := &startSim{now: d.Second, r: rand.New(rand.NewPCG(seed, 3)), byName: map[string]int{}, serving: true, able: able, waiting: map[int]func(){},
		news: 1, lists: 1, alone: alone}
	settings := d.Settings{ConnectTimeout: 400_000, PurgePropagation: 500_000, PurgeRetention: 6 * d.Second}
	margins := d.Timeouts{LongPoll: settings.PurgeRetention / 5, PollRetry: settings.ConnectTimeout / 4}
	s.times, s.retry = backoff.DeriveIntervals(settings, margins), margins.PollRetry
	if !alone {
		s.times = s.times.ForDelegates()
	}
	zones := max(1, (n+location-1)/location)
	s.zones, s.met = make([][]string, zones), make([]int, zones)
	for i := range n {
		dir := &simDirector{name: fmt.Sprint("n", i), zone: i % zones}
		s.zones[dir.zone] = append(s.zones[dir.zone], dir.name)
		s.byName[dir.name], s.dirs = i, append(s.dirs, dir)
	}
	for i, dir := range s.dirs {
		s.after(d.Micros(s.r.Int64N(int64(d.Second))), func() { s.start(i, dir, settings) }) // all within a second
	}
	return s
}

func (s *startSim) after(span d.Micros, do func()) {
	s.seq++
	heap.Push(&s.events, startEvent{s.now + span, s.seq, do})
}

// delay is how long a message takes.
func (s *startSim) delay() d.Micros { return 100 + d.Micros(s.r.Int64N(2000)) }

func (s *startSim) start(i int, dir *simDirector, settings d.Settings) {
	f := relays.DeriveSettings(dir.name, 3, 8, 4, settings)
	dir.caller = backoff.New(s.times, backoff.Seed(1, dir.name))
	dir.pause, dir.wait = dir.caller.First()
	dir.pause += s.now
	if dir.book = relays.New(s.now, f); !s.alone {
		s.after(d.Micros(s.r.Int64N(int64(400*d.Second/1000))), func() { dir.met = true; s.met[dir.zone]++ }) // lists of who is there come
		s.tick(dir, f.QueryInterval/4)
	}
	s.call(i, dir)
}

// others are those of the location that have met the others too.
func (s *startSim) others(dir *simDirector) (names []string) {
	for _, name := range s.zones[dir.zone] {
		if o := s.dirs[s.byName[name]]; o.met && o != dir {
			names = append(names, name)
		}
	}
	return names
}

func (s *startSim) tick(dir *simDirector, every d.Micros) {
	if dir.met && dir.saw != s.met[dir.zone] && s.now >= dir.look { // the fleet comes up
		dir.saw, dir.look = s.met[dir.zone], s.now+d.Second/5
		dir.book.SetMembers(s.others(dir))
	}
	for _, to := range dir.book.Tick(s.now) {
		s.ask(dir, s.dirs[s.byName[to]])
	}
	s.after(every, func() { s.tick(dir, every) })
}

func (s *startSim) ask(from, to *simDirector) {
	number := s.now
	s.after(s.delay(), func() {
		if to.book == nil {
			return
		}
		a, version, known := to.book.HandleQuery(s.now, relays.Query{SentAt: number}), to.list, to.known
		s.after(s.delay(), func() {
			s.hear(from, known) // purges that it lacks come along
			if want := from.book.HandleResponse(s.now, to.name, a); want != "" {
				s.after(s.delay()+s.delay(), func() {
					if _, ok := from.book.AcceptList(s.version(version)); ok {
						s.take(from, version)
					}
				})
			}
		})
	})
}

// version is a list of the channel's.
func (s *startSim) version(n int) []relays.Endpoint {
	if s.of != n {
		s.of, s.rows = n, []relays.Endpoint{{ID: fmt.Sprint("list-", n)}}
	}
	return s.rows
}

func (s *startSim) take(dir *simDirector, version int) {
	if version > dir.list {
		dir.listed = s.now
	}
	dir.list = version
}

// hear has one know of events, and send them on where they are news.
func (s *startSim) hear(dir *simDirector, known int) {
	if known <= dir.known {
		return
	}
	dir.known, dir.knew = known, s.now
	if s.alone {
		return
	}
	for range simAtOnce {
		to := s.dirs[s.r.IntN(len(s.dirs))]
		s.after(s.delay(), func() { s.hear(to, known) })
	}
}

// call has one call the channel as soon as it may.
func (s *startSim) call(i int, dir *simDirector) {
	if s.now < dir.pause {
		s.after(dir.pause-s.now, func() { s.call(i, dir) })
		return
	}
	if !s.alone && !dir.book.ShouldPoll(s.now) {
		s.after(40*d.Second/1000, func() { s.call(i, dir) })
		return
	}
	began := s.now
	s.calls = append(s.calls, fakes.ChannelCall{At: span(s.now)})
	number := len(s.calls) - 1
	end := func(how backoff.PollResult) {
		pause, wait := dir.caller.Next(how, 0, 0)
		dir.pause, dir.wait = s.now+pause, wait
		s.call(i, dir)
	}
	answer := func() {
		takes, can := s.work(s.news - dir.cursor)
		if !can {
			s.calls[number].Refused = true
			s.after(s.delay(), func() { end(backoff.Unavailable) })
			return
		}
		news, version := s.news, s.lists
		s.after(takes+s.delay(), func() {
			s.calls[number].Answered = true
			fresh := news > dir.cursor
			dir.cursor = news
			s.take(dir, version)
			dir.book.PollSucceeded(s.now, relays.Sum(s.version(version)), began, fresh)
			if s.hear(dir, news); fresh {
				end(backoff.Changed)
			} else {
				end(backoff.Unchanged)
			}
		})
	}
	s.after(s.delay(), func() {
		switch {
		case !s.serving:
			s.calls[number].Refused = true
			s.after(s.delay(), func() { end(backoff.Unavailable) })
		case s.news > dir.cursor:
			answer()
		default:
			done := false
			once := func() {
				if !done {
					done = true
					delete(s.waiting, i)
					answer()
				}
			}
			s.waiting[i] = once
			s.after(dir.wait, once)
		}
	})
}

// work books an answer with so many events, and says how long it takes; false where the channel turns the call away.
func (s *startSim) work(lines int) (d.Micros, bool) {
	takes := micros(s.able.PerCall) + d.Micros(lines)*micros(s.able.PerEvent)
	if !s.serving || takes > 0 && max(s.now, s.busy)+takes-s.now > micros(s.able.MaxWait) {
		return 0, false
	}
	if takes > 0 {
		s.busy = max(s.now, s.busy) + takes
		return s.busy - s.now, true
	}
	return 0, true
}

// tell puts an event on the channel: of a purge, or a list.
func (s *startSim) tell(list bool) {
	s.news++
	s.lists += bit(list)
	if s.told = s.now; s.serving {
		s.wake()
	}
}

func (s *startSim) wake() {
	var who []int
	for i := range s.waiting {
		who = append(who, i)
	}
	slices.Sort(who)
	for _, i := range who {
		s.waiting[i]()
	}
}

func (s *startSim) run(span d.Micros) {
	for until := s.now + span; len(s.events) > 0 && s.events[0].at < until; {
		e := heap.Pop(&s.events).(startEvent)
		s.now = e.at
		e.do()
		if len(s.events) == 0 || s.events[0].at >= until {
			s.now = until
		}
	}
}

// simulateStartup plays the phases of a start, as Start.play does with processes.
func simulateStartup(n int, alone bool, seed uint64, able fakes.ChannelCapacity, phase time.Duration) StartupRun {
	run := StartupRun{Directors: n, Alone: alone, Simulated: true}
	s := newStartSim(n, simLocation, alone, seed, able)
	know := func(from d.Micros, when func(*simDirector) (d.Micros, bool)) float64 {
		var all []float64
		for _, dir := range s.dirs {
			if at, knows := when(dir); knows {
				all = append(all, float64(max(0, at-from))/1000)
			}
		}
		slices.Sort(all)
		if want := int(math.Ceil(0.99 * float64(n))); want <= len(all) {
			return all[want-1]
		}
		run.NeverKnown++
		return 0
	}
	for _, p := range []struct {
		name string
		do   func()
	}{
		{"start", func() {}}, {"calm", func() {}}, {"away", func() { s.serving = false; s.wake(); s.after(d.Second, func() { s.tell(true) }) }},
		{"back", func() { s.serving = true }}, {"an event", func() { s.tell(false) }},
	} {
		from := s.now
		p.do()
		s.run(micros(phase))
		run.Phases = append(run.Phases, measurePhase(p.name, s.calls, span(from), span(s.now), n))
		switch p.name {
		case "back":
			run.ListKnownP99 = know(from, func(dir *simDirector) (d.Micros, bool) { return dir.listed, dir.list == s.lists })
		case "an event":
			run.EventKnownP99 = know(from, func(dir *simDirector) (d.Micros, bool) { return dir.knew, dir.known == s.news })
		}
	}
	run.relateToCalm()
	return run
}

// simLocation is how many directors a location of the simulated fleet has.
const simLocation = 500

func span(t d.Micros) time.Duration   { return time.Duration(t) * time.Microsecond }
func micros(t time.Duration) d.Micros { return d.Micros(t / time.Microsecond) }
