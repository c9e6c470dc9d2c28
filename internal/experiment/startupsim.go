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
	simulatedZoneSize = 500 // directors per location in simulated time
	// gossipFanout is the number of directors to which an event is forwarded immediately, as in
	// package gossipnet.
	gossipFanout  = 4
	delegates     = 3 // directors of a location that poll the channel
	delegateZones = 8
	delegateKinds = 4
	// pollRecheck is the interval at which a director that is not a delegate checks whether it
	// should poll.
	pollRecheck = 40 * millisecond
	// memberRecheck is the minimum interval between updates of a director's members.
	memberRecheck = policy.Second / 5
)

// startupSim simulates a fleet's polls of the command channel, for fleets that are too large to run
// as processes on one machine. Packages backoff and relays decide which directors poll and when;
// the network and the channel are simulated. A director forwards new purges to others immediately,
// as gossip does; endpoint lists spread by the relays' queries. Only the goroutine of the
// simulation uses it.
type startupSim struct {
	eventQueue
	random            *rand.Rand
	directors         []*startupDirector
	byName            map[string]*startupDirector
	zones             []startupZone
	noPeers           bool // every director polls the channel itself
	intervals         backoff.Intervals
	channel           simulatedChannel
	cachedList        []relays.Endpoint // endpoint list of version cachedListVersion
	cachedListVersion int               // version of cachedList
}

// startupZone is a location of directors.
type startupZone struct {
	names  []string
	joined int // number of directors that have joined the cluster
}

// startupDirector is the state of a director that concerns polling and relaying.
type startupDirector struct {
	index         int
	name          string
	zone          *startupZone
	relay         *relays.Relay // nil before the director's start
	poller        *backoff.Poller
	cursor        int           // number of events received by its own polls
	listVersion   int           // version of the endpoint list in force
	listAppliedAt policy.Micros // when that list came into force
	joined        bool          // it has joined the cluster
	// membersSeen is the number of joined directors in its zone at the last update of its members.
	membersSeen int
	membersAt   policy.Micros // earliest time of the next update of its members
	known       int           // number of events known, from any source
	knownAt     policy.Micros // when it learned of the last event
	pollAt      policy.Micros // the earliest time of its next poll
	longPoll    policy.Micros // how long that poll waits for new events
}

// newStartupSim creates n directors, in locations of about zoneSize, that all start within a
// second.
func newStartupSim(n, zoneSize int, noPeers bool, seed uint64, capacity fakes.ChannelCapacity) *startupSim {
	s := &startupSim{
		eventQueue: eventQueue{now: policy.Second}, random: rand.New(rand.NewPCG(seed, 3)), byName: map[string]*startupDirector{}, noPeers: noPeers,
		channel: simulatedChannel{serving: true, capacity: capacity, heldPolls: map[int]func(){}, events: 1, listVersion: 1},
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

// randomDelay returns a random delay below a bound.
func (s *startupSim) randomDelay(bound policy.Micros) policy.Micros {
	return policy.Micros(s.random.Int64N(int64(bound)))
}

// networkDelay returns the random delay of a message.
func (s *startupSim) networkDelay() policy.Micros { return 100 + s.randomDelay(2*millisecond) }

// start starts a director, which joins the cluster up to 400 ms later.
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

// members returns the other directors of the same location that have joined the cluster.
func (s *startupSim) members(d *startupDirector) (names []string) {
	for _, name := range d.zone.names {
		if other := s.byName[name]; other.joined && other != d {
			names = append(names, name)
		}
	}
	return names
}

// tick ticks a director's relay, now and then repeatedly at the given interval.
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

// query sends a relay's query to another director. The response has the purges that the sender
// lacks and, if the sender requests it, the endpoint list follows one round trip later.
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
					s.applyList(from, version)
				}
			})
		})
	})
}

// endpointList returns the channel's endpoint list of a version. It caches the last list, since
// most directors ask for the same one.
func (s *startupSim) endpointList(version int) []relays.Endpoint {
	if s.cachedListVersion != version {
		s.cachedListVersion, s.cachedList = version, []relays.Endpoint{{ID: fmt.Sprint("list-", version)}}
	}
	return s.cachedList
}

// applyList puts an endpoint list in force.
func (s *startupSim) applyList(d *startupDirector, version int) {
	if version > d.listVersion {
		d.listAppliedAt = s.now
	}
	d.listVersion = version
}

// learnEvents records that a director knows of the given number of events, and forwards them by
// gossip if any of them is new to it.
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

// runFor runs events for the given duration.
func (s *startupSim) runFor(duration policy.Micros) {
	until := s.now + duration
	for at, ok := s.next(); ok && at < until; {
		s.runNext()
		if at, ok = s.next(); !ok || at >= until {
			s.now = until
		}
	}
}

// knownP99 returns the time in ms from a point in time until 99 of 100 directors knew of something.
// ok is false if fewer do. knownAt returns when a director learned of it.
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

// simulateStartup runs the phases of a start, as Startup.runPhases does with processes.
func simulateStartup(n int, noPeers bool, seed uint64, capacity fakes.ChannelCapacity, phaseDuration time.Duration) StartupRun {
	run := StartupRun{Directors: n, Alone: noPeers, Simulated: true}
	s := newStartupSim(n, simulatedZoneSize, noPeers, seed, capacity)
	// runPhase runs a phase and returns the time at which it began.
	runPhase := func(name string, begin func()) policy.Micros {
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
	runPhase(phaseStart, func() {})
	runPhase(phaseBaseline, func() {})
	runPhase(phaseUnavailable, func() {
		s.channel.serving = false
		s.answerHeldPolls()
		s.after(policy.Second, s.announceList)
	})
	from := runPhase(phaseRestored, func() { s.channel.serving = true })
	run.ListKnownP99 = known(from, func(d *startupDirector) (policy.Micros, bool) {
		return d.listAppliedAt, d.listVersion == s.channel.listVersion
	})
	from = runPhase(phaseEvent, s.announceEvent)
	run.EventKnownP99 = known(from, func(d *startupDirector) (policy.Micros, bool) { return d.knownAt, d.known == s.channel.events })
	run.computeRelativeRates()
	return run
}
