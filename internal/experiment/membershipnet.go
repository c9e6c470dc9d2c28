package experiment

import (
	"maps"
	"slices"
	"strconv"

	"tallyproxy/membership"
	"tallyproxy/policy"
)

// detectorReport is a report that a director's failure detector will make about another director.
type detectorReport struct {
	at                policy.Micros
	observer, subject int
	wrong             bool             // reports wrongState regardless of the actual state
	wrongState        membership.State // used if wrong is set
}

// leaseMessage is a lease request or a lease grant in transit.
type leaseMessage struct {
	at       policy.Micros // time of arrival
	from, to int
	request  *membership.LeaseRequest // nil for a grant
	grant    *membership.LeaseGrant   // nil for a request
	// incarnation is the receiver's at the time of sending; a later incarnation does not receive
	// the message.
	incarnation uint64
}

// report passes a detected state of a director to the observer's view.
func (m *membershipSim) report(observer, subject int, state membership.State) {
	if observer != subject && m.directors[observer].alive {
		m.reported[m.pair(observer, subject)] = int8(state)
		settings := m.directors[subject].settings
		m.directors[observer].view.UpdatePeer(m.clock(observer), settings.Name, settings.Incarnation, 0, state)
	}
}

// reachable reports whether a director can detect that another one is up.
func (m *membershipSim) reachable(observer, subject int) bool {
	return m.directors[subject].alive && !m.directors[subject].paused && m.blocked[m.pair(observer, subject)] <= 0 && m.blocked[m.pair(subject, observer)] <= 0
}

// detect schedules reports of changed states and makes those that are due. With wrongReports some
// reports are wrong.
func (m *membershipSim) detect(wrongReports bool) {
	for i := range m.directors {
		if m.directors[i].alive && !m.directors[i].paused {
			m.scheduleReports(i, wrongReports)
		}
	}
	m.makeReports()
}

// scheduleReports schedules the reports that a director's detector will make: 0.1 to 1.1 s after
// another director becomes reachable, and 1.1 to 2.1 s after it becomes unreachable.
func (m *membershipSim) scheduleReports(observer int, wrongReports bool) {
	for subject := range m.directors {
		pair, state := m.pair(observer, subject), membership.Failed
		if m.reachable(observer, subject) {
			state = membership.Up
		}
		known := m.reported[pair] == int8(state) || m.reported[pair] == notReported && state == membership.Failed
		if observer == subject || m.reportPending[pair] || known {
			continue
		}
		delay := policy.Second/10 + policy.Micros(m.random.Int64N(int64(policy.Second)))
		if state == membership.Failed {
			delay += policy.Second
		}
		m.reportPending[pair] = true
		m.reports = append(m.reports, detectorReport{at: m.now + delay, observer: observer, subject: subject})
	}
	if wrongReports && m.random.IntN(400) == 0 {
		subject, state := m.random.IntN(len(m.directors)), membership.State(m.random.IntN(3))
		m.reports = append(m.reports, detectorReport{at: m.now, observer: observer, subject: subject, wrong: true, wrongState: state})
	}
}

// makeReports makes the reports that are due. A paused director receives its reports when it
// resumes. A report that is not wrong has the state at the time when it is made.
func (m *membershipSim) makeReports() {
	kept := m.reports[:0]
	for _, r := range m.reports {
		if m.now < r.at || m.directors[r.observer].paused {
			kept = append(kept, r)
			continue
		}
		if r.wrong {
			m.report(r.observer, r.subject, r.wrongState)
			continue
		}
		state := membership.Failed
		if m.reachable(r.observer, r.subject) {
			state = membership.Up
		}
		m.report(r.observer, r.subject, state)
		m.reportPending[m.pair(r.observer, r.subject)] = false
	}
	m.reports = kept
}

// exchangeLeases sends the requests of every director and delivers the messages that have arrived.
// It returns how many messages were sent.
func (m *membershipSim) exchangeLeases() (sent int) {
	for i := range m.directors {
		if !m.directors[i].alive || m.directors[i].paused {
			continue
		}
		requests := m.directors[i].view.Tick(m.clock(i))
		for _, name := range slices.Sorted(maps.Keys(requests)) {
			to, _ := strconv.Atoi(name[1:]) // a name is "n" and the director's index
			request := requests[name]
			m.send(leaseMessage{from: i, to: to, request: &request})
			sent++
		}
	}
	inTransit := m.messages
	m.messages = nil
	for _, message := range inTransit {
		receiver := &m.directors[message.to]
		switch {
		// The message is still in transit, or in the socket of a paused process.
		case m.now < message.at || receiver.alive && receiver.paused:
			m.messages = append(m.messages, message)
		case receiver.alive && receiver.settings.Incarnation == message.incarnation:
			sent += m.receive(message)
		}
	}
	return sent
}

// receive passes a message to the receiver's view and returns how many messages it sends in
// response.
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

// send sends a message to the receiver's current incarnation, unless the message is lost. One
// message in twenty is delayed by up to 3 s.
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
