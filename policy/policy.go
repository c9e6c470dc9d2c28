// Package policy defines the interface between a director's protocol adapters and its routing
// decisions: the Policy interface and the plain types that pass through it. The package makes no
// decisions and is independent of any protocol: an adapter converts between these types and its
// wire format. Package routing implements the interface.
package policy

import "time"

// Micros is a point in time or a duration, in whole microseconds.
type Micros int64

// Duration converts m to a time.Duration, for the timers and deadlines of the drivers.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// MicrosOf converts d to Micros and truncates it to whole microseconds.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Second is one second. Rates are per second.
const Second Micros = 1_000_000

// Millisecond is a thousandth of a second.
const Millisecond Micros = Second / 1000

// Policy makes the decisions of one router. An adapter calls Route for each request that arrives
// and AttemptDone for each attempt that ends. After each decision to queue or to send, it calls
// RecheckAfter and calls Route again when that time has passed. The other methods report events.
// Calls must not overlap.
type Policy interface {
	// Route decides what to do with a request that is new, that is queued, or whose attempt is due
	// for a check.
	Route(now Micros, request *Request) Decision
	// AttemptDone records the outcome of an attempt and decides what to do with its request next.
	AttemptDone(now Micros, request *Request, outcome Outcome) Decision
	// RecheckAfter returns how long to wait before the next call of Route, or 0 if none is needed.
	RecheckAfter(now Micros, request *Request) Micros

	// UpdateEndpoints applies an endpoint list: a complete one, or only the changed entries.
	UpdateEndpoints(now Micros, endpoints []Endpoint, complete bool)
	// ClientConnected counts a new client connection.
	ClientConnected(now Micros)
	// Purge invalidates copies that are older than at: those of the object or, if object is empty,
	// those of the group, which may be AllGroups. If at is 0, an earlier purge is revoked.
	Purge(now Micros, object string, group int, at Micros)
}

// AllGroups stands for all groups in Purge.
const AllGroups = -1
