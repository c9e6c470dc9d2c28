// Package wallclock converts times that another machine read from its wall clock to the policy's
// clock. Wall clocks may be stepped, by seconds or by an hour, and the policy's clock must not
// follow: deadlines and slow starts are spans of real time. A time is therefore converted once, when
// it arrives, by what it can mean at most at that moment.
//
// The package does no I/O; the readings of all clocks are arguments.
package wallclock

import "tallyproxy/policy"

// minStep is the difference between the clocks from which one of them was stepped. Smaller ones come
// from rounding and from the time between two readings.
const minStep = policy.Millisecond

// Reading is what a director knows of the time at which an event arrives.
type Reading struct {
	// Now is the time on the policy's clock. It began as the machine's wall clock at the start of
	// the process and has followed the monotonic clock since.
	Now policy.Micros
	// Wall is the machine's wall clock now, in microseconds since 1970.
	Wall policy.Micros
	// AnnouncedWithin is a time before Now at which the event had not been announced yet; 0 if
	// unknown. It is a span of the monotonic clock.
	AnnouncedWithin policy.Micros
}

// Local returns the time on the policy's clock that corresponds to a time on the platform's wall
// clock, which is not 0. If the readings disagree, it returns the latest time: an endpoint that
// started later is given less, and a purge that happened later excludes more copies. The result is
// never after r.Now.
func (r Reading) Local(at policy.Micros) policy.Micros {
	age := r.Now - at
	if step := r.Wall - r.Now; step <= -minStep || step >= minStep {
		age = min(age, r.Wall-at)
	}
	if r.AnnouncedWithin > 0 {
		age = min(age, r.AnnouncedWithin)
	}
	return r.Now - max(0, age)
}
