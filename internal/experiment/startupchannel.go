package experiment

import (
	"maps"
	"slices"

	"tallyproxy/backoff"
	"tallyproxy/internal/fakes"
	"tallyproxy/policy"
	"tallyproxy/relays"
)

// simulatedChannel is the command channel's service: it holds polls until there is news, and answers one at a time as fast as its
// capacity allows.
type simulatedChannel struct {
	serving     bool // else it refuses every poll
	capacity    fakes.ChannelCapacity
	busyUntil   policy.Micros  // when the answers under way are done
	events      int            // announced so far
	listVersion int            // of its endpoint list
	waiting     map[int]func() // polls that are held, by director's index; calling one answers it
	calls       []fakes.ChannelCall
}

// answerTime books the time for an answer with so many events; ok is false where the channel refuses the call.
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

// announceEvent puts a purge on the channel.
func (s *startupSim) announceEvent() {
	s.channel.events++
	if s.channel.serving {
		s.wakePolls()
	}
}

// announceList puts a new version of the endpoint list on the channel, which is an event too.
func (s *startupSim) announceList() {
	s.channel.listVersion++
	s.announceEvent()
}

// wakePolls answers all polls that are held, in the order of their directors.
func (s *startupSim) wakePolls() {
	for _, index := range slices.Sorted(maps.Keys(s.channel.waiting)) {
		s.channel.waiting[index]()
	}
}

// poll has a director call the channel as soon as its poller and its relay let it.
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

// arrive is the channel's reaction: it refuses the call, answers it where there is news, or holds it for as long as the caller asked.
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

// hold keeps the call until there is news or its time is over.
func (p *simulatedPoll) hold() {
	answered := false
	answer := func() {
		if !answered {
			answered = true
			delete(p.sim.channel.waiting, p.director.index)
			p.answer()
		}
	}
	p.sim.channel.waiting[p.director.index] = answer
	p.sim.after(p.director.longPoll, answer)
}

// refuse turns the call away.
func (p *simulatedPoll) refuse() {
	p.sim.channel.calls[p.call].Refused = true
	p.sim.after(p.sim.networkDelay(), func() { p.end(backoff.Unavailable) })
}

// answer sends the events and the list as they are now, where the channel's capacity allows.
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
		s.takeList(d, version)
		d.relay.PollSucceeded(s.now, relays.Sum(s.endpointList(version)), p.began, changed)
		s.learnEvents(d, events)
		if changed {
			p.end(backoff.Changed)
		} else {
			p.end(backoff.Unchanged)
		}
	})
}

// end tells the director's poller how the call ended, and schedules the next one.
func (p *simulatedPoll) end(result backoff.PollResult) {
	pause, longPoll := p.director.poller.Next(result, 0, 0)
	p.director.pollAt, p.director.longPoll = p.sim.now+pause, longPoll
	p.sim.poll(p.director)
}
