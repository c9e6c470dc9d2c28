package experiment

import (
	"maps"
	"slices"

	"tallyproxy/backoff"
	"tallyproxy/internal/fakes"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

// simulatedChannel is the service of the command channel. It holds polls until there are new
// events, and answers polls one at a time at the rate that its capacity allows.
type simulatedChannel struct {
	serving     bool // false: it refuses every poll
	capacity    fakes.ChannelCapacity
	busyUntil   policy.Micros  // time at which the current answers are complete
	events      int            // number of events announced so far
	listVersion int            // version of the endpoint list
	heldPolls   map[int]func() // by director's index: function that answers the held poll
	calls       []fakes.ChannelCall
}

// answerTime reserves capacity for an answer with the given number of events and returns how long
// the answer takes. ok is false if the channel refuses the call.
func (c *simulatedChannel) answerTime(now policy.Micros, events int) (duration policy.Micros, ok bool) {
	duration = policy.MicrosOf(c.capacity.PerCall) + policy.Micros(events)*policy.MicrosOf(c.capacity.PerEvent)
	done := max(now, c.busyUntil) + duration
	if !c.serving || duration > 0 && done-now > policy.MicrosOf(c.capacity.MaxWait) {
		return 0, false
	}
	if duration == 0 {
		return 0, true
	}
	c.busyUntil = done
	return done - now, true
}

// announceEvent announces a purge on the channel.
func (s *startupSim) announceEvent() {
	s.channel.events++
	if s.channel.serving {
		s.answerHeldPolls()
	}
}

// announceList announces a new version of the endpoint list on the channel, which counts as an
// event too.
func (s *startupSim) announceList() {
	s.channel.listVersion++
	s.announceEvent()
}

// answerHeldPolls answers all held polls, in the order of their directors, or refuses them if the
// channel does not serve.
func (s *startupSim) answerHeldPolls() {
	for _, index := range slices.Sorted(maps.Keys(s.channel.heldPolls)) {
		s.channel.heldPolls[index]()
	}
}

// poll lets a director call the channel as soon as its poller and its relay allow it.
func (s *startupSim) poll(d *startupDirector) {
	if s.now < d.pollAt {
		s.after(d.pollAt-s.now, func() { s.poll(d) })
		return
	}
	if !s.noPeers && !d.relay.ShouldPoll(s.now) {
		s.after(pollRecheck, func() { s.poll(d) })
		return
	}
	s.channel.calls = append(s.channel.calls, fakes.ChannelCall{At: s.now.Duration()})
	p := &simulatedPoll{sim: s, director: d, began: s.now, call: len(s.channel.calls) - 1}
	s.after(s.networkDelay(), p.arrive)
}

// simulatedPoll is one call of the channel.
type simulatedPoll struct {
	sim      *startupSim
	director *startupDirector
	began    policy.Micros
	call     int // index in the channel's calls
}

// arrive handles the call at the channel: it refuses the call, answers it if there are new events,
// or holds it for as long as the caller asked.
func (p *simulatedPoll) arrive() {
	channel := &p.sim.channel
	switch {
	case !channel.serving:
		p.refuse()
	case channel.events > p.director.cursor:
		p.answer()
	default:
		p.hold()
	}
}

// hold holds the call until there is a new event or its long-poll time is over.
func (p *simulatedPoll) hold() {
	answered := false
	answer := func() {
		if !answered {
			answered = true
			delete(p.sim.channel.heldPolls, p.director.index)
			p.answer()
		}
	}
	p.sim.channel.heldPolls[p.director.index] = answer
	p.sim.after(p.director.longPoll, answer)
}

// refuse refuses the call.
func (p *simulatedPoll) refuse() {
	p.sim.channel.calls[p.call].Refused = true
	p.sim.after(p.sim.networkDelay(), func() { p.end(backoff.Unavailable) })
}

// answer sends the events and the endpoint list of this moment if the channel's capacity allows it,
// else it refuses the call.
func (p *simulatedPoll) answer() {
	s, d := p.sim, p.director
	duration, ok := s.channel.answerTime(s.now, s.channel.events-d.cursor)
	if !ok {
		p.refuse()
		return
	}
	events, version := s.channel.events, s.channel.listVersion
	s.after(duration+s.networkDelay(), func() {
		s.channel.calls[p.call].Answered = true
		changed := events > d.cursor
		d.cursor = events
		s.applyList(d, version)
		d.relay.PollSucceeded(s.now, relays.Sum(s.endpointList(version)), p.began, changed)
		s.learnEvents(d, events)
		if changed {
			p.end(backoff.Changed)
		} else {
			p.end(backoff.Unchanged)
		}
	})
}

// end passes the result of the call to the director's poller and schedules the next call.
func (p *simulatedPoll) end(result backoff.PollResult) {
	pause, longPoll := p.director.poller.Next(result, 0, 0)
	p.director.pollAt, p.director.longPoll = p.sim.now+pause, longPoll
	p.sim.poll(p.director)
}
