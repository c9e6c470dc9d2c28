package routing

import (
	"testing"

	"tallyproxy/policy"
)

// TestTimeoutsOfAnySettings checks that the timeouts respect the limits of the protocol with any
// settings: accepted requests are answered before the process may be killed, and clients that send
// a malformed message are answered in time.
func TestTimeoutsOfAnySettings(t *testing.T) {
	for _, connect := range []policy.Micros{20 * ms, 400 * ms, 5 * policy.Second} {
		for _, timeout := range []policy.Micros{500 * ms, 1500 * ms, 30 * policy.Second} {
			s := settings()
			s.ConnectTimeout, s.KeepAliveTimeout, s.MaxConcurrentStreams = connect, 30*policy.Second, 100
			s.ContentTypes[0].Timeout = timeout
			timeouts := Timeouts(s)
			// A message is checked for completeness eight times within RequestRead, so it may be
			// noticed one eighth later.
			if timeouts.DrainAccept <= 600*ms || timeouts.DrainAccept > policy.Second || timeouts.DrainDeadline > min(timeout, 3*policy.Second)+500*ms || timeouts.MaxDecisionAge > 50*ms ||
				timeouts.RequestRead+timeouts.RequestRead/8 > 3*policy.Second || timeouts.RequestRead < policy.Second {
				t.Errorf("connect timeout %d, request timeout %d: DrainAccept %d, DrainDeadline %d, MaxDecisionAge %d, RequestRead %d", connect, timeout, timeouts.DrainAccept, timeouts.DrainDeadline, timeouts.MaxDecisionAge, timeouts.RequestRead)
			}
		}
	}
}
