package fakes

import (
	"slices"
	"sync"
)

// Moment is something that a client or a harness has just done or seen. Others act upon it, so that their actions meet it.
type Moment int

// The moments.
const (
	RequestSent     Moment = iota // a request's last byte is written
	AnswerReceived                // an answer has come
	ConnectionEnded               // a director has ended a connection
	SignalSent                    // a director was sent a signal
)

// Moments tells subscribers of moments. The zero value has no subscribers; any goroutine may use it.
type Moments struct {
	mu            sync.Mutex
	subscriptions []*subscription
}

type subscription struct {
	moments []Moment
	notify  chan struct{} // of one element
}

// Subscribe returns a channel that gets an element after moments of some kinds, until cancel is called.
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

// Publish tells those who have subscribed to a moment. It does not wait for them.
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
