package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tallyproxy/backoff"
	"tallyproxy/internal/fakes"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

const (
	simulatedZoneSize = 500 // directors of a location in simulated time
	gossipFanout      = 4   // directors that are sent an event at once, as package gossipnet does
	delegates         = 3   // of a location, that poll the channel
	delegateZones     = 8
	delegateKinds     = 4
	pollRecheck       = 40 * millisecond  // after which a director that is no delegate looks again whether it should poll
	memberRecheck     = policy.Second / 5 // between changes of the members that a director takes in
)

// startupSim plays a fleet's polls of the command channel in simulated time, for fleets that no machine holds as processes. Who polls
// and when is decided by packages backoff and relays; the network and the channel are simulated. What a director learns of purges goes
// to others at once, as by gossip; endpoint lists go by relays' queries. All of it belongs to the goroutine that runs it.
type startupSim struct {
	eventQueue
	random    *rand.Rand
	directors []*startupDirector
	byName    map[string]*startupDirector
	zones     []startupZone
	noPeers   bool // every director polls the channel for itself
	intervals backoff.Intervals
	channel   simulatedChannel
	list      []relays.Endpoint // of listAt
	listAt    int               // version of list
}

// startupZone is a location of directors.
type startupZone struct {
	names  []string
	joined int // directors that have joined the cluster
}

// startupDirector is a director, as far as it polls and relays.
type startupDirector struct {
	index       int
	name        string
	zone        *startupZone
	relay       *relays.Relay // nil before its start
	poller      *backoff.Poller
	cursor      int           // events that its own polls have brought
	listVersion int           // of the endpoint list in force
	listedAt    policy.Micros // when it took that list
	joined      bool          // it has joined the cluster
	membersSeen int           // of its zone, when it last took them in
	membersAt   policy.Micros // when it may take them in again
	known       int           // events known, from any source
	knownAt     policy.Micros // when it learned of the last one
	pollAt      policy.Micros // the earliest time of its next poll
	longPoll    policy.Micros // how long that poll waits for news
}

// newStartupSim makes n directors, in locations of about zoneSize, that all start within a second.
func newStartupSim(n, zoneSize int, noPeers bool, seed uint64, capacity fakes.ChannelCapacity) *startupSim {
	s := &startupSim{
		eventQueue: eventQueue{now: policy.Second}, random: rand.New(rand.NewPCG(seed, 3)), byName: map[string]*startupDirector{}, noPeers: noPeers,
		channel: simulatedChannel{serving: true, capacity: capacity, waiting: map[int]func(){}, events: 1, listVersion: 1},
	}
	settings := policy.Settings{ConnectTimeout: 400 * millisecond, PurgePropagation: 500 * millisecond, PurgeRetention: 6 * policy.Second}
	timeouts := policy.Timeouts{LongPoll: settings.PurgeRetention / 5, PollRetry: settings.ConnectTimeout / 4}
	s.intervals = backoff.DeriveIntervals(settings, timeouts)
	if !noPeers {
		s.intervals = s.intervals.ForDelegates()
	}
	s.zones = make([]startupZone, max(1, (n+zoneSize-1)/zoneSize))
	for i := range n {
		d := &startupDirector{index: i, name: fmt.Sprint("n", i), zone: &s.zones[i%len(s.zones)]}
		d.zone.names = append(d.zone.names, d.name)
		s.byName[d.name] = d
		s.directors = append(s.directors, d)
	}
	for _, d := range s.directors {
		s.after(s.randomDelay(policy.Second), func() { s.start(d, settings) })
	}
	return s
}

// randomDelay draws a time below a bound.
func (s *startupSim) randomDelay(bound policy.Micros) policy.Micros {
	return policy.Micros(s.random.Int64N(int64(bound)))
}

// networkDelay draws how long a message takes.
func (s *startupSim) networkDelay() policy.Micros { return 100 + s.randomDelay(2*millisecond) }

// start starts a director. It joins the cluster a moment later.
func (s *startupSim) start(d *startupDirector, settings policy.Settings) {
	relaySettings := relays.DeriveSettings(d.name, delegates, delegateZones, delegateKinds, settings)
	d.poller = backoff.New(s.intervals, backoff.Seed(1, d.name))
	pause, longPoll := d.poller.First()
	d.pollAt, d.longPoll = s.now+pause, longPoll
	d.relay = relays.New(s.now, relaySettings)
	if !s.noPeers {
		s.after(s.randomDelay(400*millisecond), func() {
			d.joined = true
			d.zone.joined++
		})
		s.tick(d, relaySettings.QueryInterval/4)
	}
	s.poll(d)
}

// members are the other directors of a location that have joined the cluster too.
func (s *startupSim) members(d *startupDirector) (names []string) {
	for _, name := range d.zone.names {
		if other := s.byName[name]; other.joined && other != d {
			names = append(names, name)
		}
	}
	return names
}

// tick has a director's relay act, now and at an interval from now on.
func (s *startupSim) tick(d *startupDirector, interval policy.Micros) {
	if d.joined && d.membersSeen != d.zone.joined && s.now >= d.membersAt {
		d.membersSeen, d.membersAt = d.zone.joined, s.now+memberRecheck
		d.relay.SetMembers(s.members(d))
	}
	for _, to := range d.relay.Tick(s.now) {
		s.query(d, s.byName[to])
	}
	s.after(interval, func() { s.tick(d, interval) })
}

// query sends a relay's query to another director. The response brings purges that the asker lacks, and, where the asker wants it, the
// endpoint list a round trip later.
func (s *startupSim) query(from, to *startupDirector) {
	sentAt := s.now
	s.after(s.networkDelay(), func() {
		if to.relay == nil {
			return
		}
		response := to.relay.HandleQuery(s.now, relays.Query{SentAt: sentAt})
		version, known := to.listVersion, to.known
		s.after(s.networkDelay(), func() {
			s.learnEvents(from, known)
			if from.relay.HandleResponse(s.now, to.name, response) == "" {
				return
			}
			s.after(s.networkDelay()+s.networkDelay(), func() {
				if _, ok := from.relay.AcceptList(s.endpointList(version)); ok {
					s.takeList(from, version)
				}
			})
		})
	})
}

// endpointList is the channel's list of a version. The last one is kept, since most directors want the same one.
func (s *startupSim) endpointList(version int) []relays.Endpoint {
	if s.listAt != version {
		s.listAt, s.list = version, []relays.Endpoint{{ID: fmt.Sprint("list-", version)}}
	}
	return s.list
}

// takeList puts an endpoint list in force.
func (s *startupSim) takeList(d *startupDirector, version int) {
	if version > d.listVersion {
		d.listedAt = s.now
	}
	d.listVersion = version
}

// learnEvents has a director know so many events, and gossip them where they are new to it.
func (s *startupSim) learnEvents(d *startupDirector, known int) {
	if known <= d.known {
		return
	}
	d.known, d.knownAt = known, s.now
	if s.noPeers {
		return
	}
	for range gossipFanout {
		to := s.directors[s.random.IntN(len(s.directors))]
		s.after(s.networkDelay(), func() { s.learnEvents(to, known) })
	}
}

// runFor runs events for a while.
func (s *startupSim) runFor(duration policy.Micros) {
	until := s.now + duration
	for at, ok := s.next(); ok && at < until; {
		s.runNext()
		if at, ok = s.next(); !ok || at >= until {
			s.now = until
		}
	}
}

// knownP99 is the time in ms, from a time on, until 99 of 100 directors knew something; ok is false where fewer do. knownAt says when a
// director learned of it.
func (s *startupSim) knownP99(from policy.Micros, knownAt func(*startupDirector) (at policy.Micros, known bool)) (ms float64, ok bool) {
	var times []float64
	for _, d := range s.directors {
		if at, known := knownAt(d); known {
			times = append(times, float64(max(0, at-from))/1000)
		}
	}
	slices.Sort(times)
	if want := int(math.Ceil(0.99 * float64(len(s.directors)))); want <= len(times) {
		return times[want-1], true
	}
	return 0, false
}

// simulateStartup plays the phases of a start, as Startup.playPhases does with processes.
func simulateStartup(n int, noPeers bool, seed uint64, capacity fakes.ChannelCapacity, phaseDuration time.Duration) StartupRun {
	run := StartupRun{Directors: n, Alone: noPeers, Simulated: true}
	s := newStartupSim(n, simulatedZoneSize, noPeers, seed, capacity)
	// play plays a phase, and returns when it began
	play := func(name string, begin func()) policy.Micros {
		from := s.now
		begin()
		s.runFor(policy.MicrosOf(phaseDuration))
		run.Phases = append(run.Phases, measurePhase(name, s.channel.calls, from.Duration(), s.now.Duration(), n))
		return from
	}
	known := func(from policy.Micros, knownAt func(*startupDirector) (policy.Micros, bool)) float64 {
		ms, ok := s.knownP99(from, knownAt)
		if !ok {
			run.NeverKnown++
		}
		return ms
	}
	play(phaseStart, func() {})
	play(phaseBaseline, func() {})
	play(phaseUnavailable, func() {
		s.channel.serving = false
		s.wakePolls()
		s.after(policy.Second, s.announceList)
	})
	from := play(phaseRestored, func() { s.channel.serving = true })
	run.ListKnownP99 = known(from, func(d *startupDirector) (policy.Micros, bool) {
		return d.listedAt, d.listVersion == s.channel.listVersion
	})
	from = play(phaseEvent, s.announceEvent)
	run.EventKnownP99 = known(from, func(d *startupDirector) (policy.Micros, bool) { return d.knownAt, d.known == s.channel.events })
	run.computeRelativeRates()
	return run
}
