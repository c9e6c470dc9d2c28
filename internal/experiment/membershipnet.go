package experiment

import (
	"maps"
	"slices"
	"strconv"

	"tallyproxy/membership"
	"tallyproxy/policy"
)

// detectorReport is what a director's failure detector is about to tell it of another one.
type detectorReport struct {
	at         policy.Micros
	by, of     int
	wrong      bool             // tells wrongState, whatever is true
	wrongState membership.State // with wrong
}

// leaseMessage is a request or a grant under way.
type leaseMessage struct {
	at          policy.Micros // of its arrival
	from, to    int
	request     *membership.LeaseRequest // or
	grant       *membership.LeaseGrant
	incarnation uint64 // of the receiver; a later one does not get it
}

// report tells a director's view the state of another director.
func (m *membershipSim) report(by, of int, state membership.State) {
	if by != of && m.directors[by].alive {
		m.reported[m.pair(by, of)] = int8(state)
		settings := m.directors[of].settings
		m.directors[by].view.UpdatePeer(m.clock(by), settings.Name, settings.Incarnation, 0, state)
	}
}

// reachable says whether a director could find out that another one is up.
func (m *membershipSim) reachable(by, of int) bool {
	return m.directors[of].alive && !m.directors[of].paused && m.blocked[m.pair(by, of)] <= 0 && m.blocked[m.pair(of, by)] <= 0
}

// detect schedules reports of what has changed, and makes those whose time has come. With wrongReports some are wrong.
func (m *membershipSim) detect(wrongReports bool) {
	for i := range m.directors {
		if m.directors[i].alive && !m.directors[i].paused {
			m.scheduleReports(i, wrongReports)
		}
	}
	m.makeReports()
}

// scheduleReports schedules what a director is to find out: of one that is up within 1.1 s, of one that is not a second later.
func (m *membershipSim) scheduleReports(by int, wrongReports bool) {
	for of := range m.directors {
		pair, state := m.pair(by, of), membership.Failed
		if m.reachable(by, of) {
			state = membership.Up
		}
		known := m.reported[pair] == int8(state) || m.reported[pair] == notReported && state == membership.Failed
		if by == of || m.reportPending[pair] || known {
			continue
		}
		delay := policy.Second/10 + policy.Micros(m.random.Int64N(int64(policy.Second)))
		if state == membership.Failed {
			delay += policy.Second
		}
		m.reportPending[pair] = true
		m.reports = append(m.reports, detectorReport{at: m.now + delay, by: by, of: of})
	}
	if wrongReports && m.random.IntN(400) == 0 {
		of, state := m.random.IntN(len(m.directors)), membership.State(m.random.IntN(3))
		m.reports = append(m.reports, detectorReport{at: m.now, by: by, of: of, wrong: true, wrongState: state})
	}
}

// makeReports makes the reports that are due; a paused director gets its own when it goes on. A report that is not wrong tells what is
// true when it is made.
func (m *membershipSim) makeReports() {
	kept := m.reports[:0]
	for _, r := range m.reports {
		if m.now < r.at || m.directors[r.by].paused {
			kept = append(kept, r)
			continue
		}
		if r.wrong {
			m.report(r.by, r.of, r.wrongState)
			continue
		}
		state := membership.Failed
		if m.reachable(r.by, r.of) {
			state = membership.Up
		}
		m.report(r.by, r.of, state)
		m.reportPending[m.pair(r.by, r.of)] = false
	}
	m.reports = kept
}

// exchangeLeases has every director send its requests, and delivers the messages that have arrived. It returns how many were sent.
func (m *membershipSim) exchangeLeases() (sent int) {
	for i := range m.directors {
		if !m.directors[i].alive || m.directors[i].paused {
			continue
		}
		requests := m.directors[i].view.Tick(m.clock(i))
		for _, name := range slices.Sorted(maps.Keys(requests)) {
			to, _ := strconv.Atoi(name[1:]) // names are n and the index
			request := requests[name]
			m.send(leaseMessage{from: i, to: to, request: &request})
			sent++
		}
	}
	underWay := m.messages
	m.messages = nil
	for _, message := range underWay {
		receiver := &m.directors[message.to]
		switch {
		case m.now < message.at || receiver.alive && receiver.paused: // in the network, or in the socket of a paused process
			m.messages = append(m.messages, message)
		case receiver.alive && receiver.settings.Incarnation == message.incarnation:
			sent += m.receive(message)
		}
	}
	return sent
}

// receive gives a message to its receiver's view, and returns how many messages it sends for it.
func (m *membershipSim) receive(message leaseMessage) (sent int) {
	view, from := m.directors[message.to].view, m.directors[message.from].settings.Name
	if message.request == nil {
		view.HandleLeaseGrant(m.clock(message.to), from, *message.grant)
		return 0
	}
	grant, ok := view.HandleLeaseRequest(m.clock(message.to), from, *message.request)
	if !ok {
		return 0
	}
	m.send(leaseMessage{from: message.to, to: message.from, grant: &grant})
	return 1
}

// send puts a message under way to the receiver's present incarnation, unless it is lost. One in twenty is very late.
func (m *membershipSim) send(message leaseMessage) {
	if m.blocked[m.pair(message.from, message.to)] > 0 || m.random.Float64() < m.lossRate {
		return
	}
	message.incarnation = m.directors[message.to].settings.Incarnation
	message.at = m.now + policy.Micros(m.random.Int64N(int64(20*millisecond)))
	if m.random.IntN(20) == 0 {
		message.at += policy.Micros(m.random.Int64N(int64(3 * policy.Second)))
	}
	m.messages = append(m.messages, message)
}
