package fakes

import (
	"slices"
	"sync"
)

// Moment is a kind of event in a client or test harness. Subscribers time their own actions to
// coincide with such events.
type Moment int

// The kinds of events.
const (
	RequestSent     Moment = iota // the last byte of a request was written
	AnswerReceived                // an answer was received
	ConnectionEnded               // a director closed a connection
	SignalSent                    // a signal was sent to a director
)

// Moments distributes events to subscribers. The zero value has no subscribers. It is safe for
// concurrent use.
type Moments struct {
	mu            sync.Mutex
	subscriptions []*subscription
}

type subscription struct {
	moments []Moment
	notify  chan struct{} // capacity 1
}

// Subscribe returns a channel that receives an element after events of the given kinds, until
// cancel is called. Events are merged while an element is unread.
func (m *Moments) Subscribe(moments ...Moment) (notify <-chan struct{}, cancel func()) {
	s := &subscription{moments, make(chan struct{}, 1)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscriptions = append(m.subscriptions, s)
	return s.notify, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.subscriptions = slices.DeleteFunc(m.subscriptions, func(other *subscription) bool { return other == s })
	}
}

// Publish notifies the subscribers of an event without waiting for them.
func (m *Moments) Publish(moment Moment) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.subscriptions {
		if !slices.Contains(s.moments, moment) {
			continue
		}
		select {
		case s.notify <- struct{}{}:
		default:
		}
	}
}
