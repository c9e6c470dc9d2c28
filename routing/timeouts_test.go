package routing

import (
	"testing"

	"tallyproxy/policy"
)

// TestTimeoutsOfAnySettings: the protocol's figures hold with any settings. Accepted requests are answered before the process may be
// killed, and clients that send what is no message have their answer in time.
func TestTimeoutsOfAnySettings(t *testing.T) {
	for _, connect := range []policy.Micros{20 * ms, 400 * ms, 5 * policy.Second} {
		for _, expiry := range []policy.Micros{500 * ms, 1500 * ms, 30 * policy.Second} {
			s := settings()
			s.ConnectTimeout, s.KeepAliveTimeout, s.MaxConcurrentStreams = connect, 30*policy.Second, 100
			s.ContentTypes[0].Timeout = expiry
			m := Timeouts(s)
			if m.DrainAccept <= 600*ms || m.DrainAccept > policy.Second || m.DrainDeadline > min(expiry, 3*policy.Second)+500*ms || m.MaxDecisionAge > 50*ms ||
				m.RequestRead+m.RequestRead/8 > 3*policy.Second || m.RequestRead < policy.Second { // it is looked for eight times in that time
				t.Errorf("connect %d, expiry %d: linger %d, stop %d, late %d, silent %d", connect, expiry, m.DrainAccept, m.DrainDeadline, m.MaxDecisionAge, m.RequestRead)
			}
		}
	}
}
