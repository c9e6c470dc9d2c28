// Package policy holds what a director's adapters and its routing decisions say to each other: the Policy interface and the plain types
// that pass through it. Nothing here decides anything, and nothing here belongs to one protocol: an adapter fills these types from its
// wire and writes its wire from them. Package routing implements the interface.
package policy

import "time"

// Micros is a point in time or a duration, in whole microseconds.
type Micros int64

// Duration converts to the standard library's type, for timers and deadlines of the drivers.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// MicrosOf converts from the standard library's type; what is less than a microsecond is cut off.
func MicrosOf(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Second is a second. Rates are per second.
const Second Micros = 1_000_000

// Policy decides for one router. An adapter calls Route for each request that arrives and AttemptDone for each attempt that ends. After
// every decision to queue or to send it calls RecheckAfter, and when that time is over it calls Route again. The other methods bring
// news. Calls must not overlap.
type Policy interface {
	// Route decides what to do with a request: a new one, one that is queued, or one whose attempt is due for a check.
	Route(now Micros, request *Request) Decision
	// AttemptDone takes the end of an attempt and decides what to do with its request now.
	AttemptDone(now Micros, request *Request, outcome Outcome) Decision
	// RecheckAfter is how long to wait before the next call of Route; 0 where none is needed.
	RecheckAfter(now Micros, request *Request) Micros

	// UpdateEndpoints brings the endpoint list: all of it, or the changed entries alone.
	UpdateEndpoints(now Micros, endpoints []Endpoint, complete bool)
	// ClientConnected counts a new client connection.
	ClientConnected(now Micros)
	// Purge makes copies void that are older than a time: those of an object, or with no object those of a group, or of AllGroups. The
	// time 0 takes an earlier purge back.
	Purge(now Micros, object string, group int, at Micros)
}

// AllGroups stands for all groups in Purge.
const AllGroups = -1
