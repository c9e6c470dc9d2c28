package dispatch

import (
	"errors"
	"fmt"
	"testing"

	"tallyproxy/internal/upstream"
	"tallyproxy/policy"
)

// TestResults guards against mapping a response status or an error to the wrong result.
func TestResults(t *testing.T) {
	fail := func(stage upstream.Stage, cancelled bool) error {
		return &upstream.Error{Stage: stage, Cancelled: cancelled, Err: errors.New("x")}
	}
	cases := []struct {
		name   string
		status upstream.Status
		err    error
		want   policy.Result
	}{
		{"data", upstream.StatusData, nil, policy.Succeeded},
		{"unchanged", upstream.StatusUnchanged, nil, policy.Succeeded},
		{"absent", upstream.StatusAbsent, nil, policy.CacheMiss},
		{"full", upstream.StatusFull, nil, policy.Rejected},
		{"failed", upstream.StatusFailed, nil, policy.Failed},
		{"moot", upstream.StatusMoot, nil, policy.NotSent},
		{"not connected", "", fail(upstream.NotConnected, false), policy.ConnectFailed},
		{"nothing written", "", fail(upstream.NothingWritten, false), policy.ConnectFailed},
		{"partly written", "", fail(upstream.PartlyWritten, false), policy.ConnectFailed},
		{"wholly written", "", fail(upstream.FullyWritten, false), policy.ConnectionLost},
		{"response started", "", fail(upstream.ResponseStarted, false), policy.ConnectionLost},
		{"cancelled, not connected", "", fail(upstream.NotConnected, true), policy.NotSent},
		{"cancelled, partly written", "", fail(upstream.PartlyWritten, true), policy.NotSent},
		{"cancelled, wholly written", "", fail(upstream.FullyWritten, true), policy.Cancelled},
		{"cancelled, response started", "", fail(upstream.ResponseStarted, true), policy.Cancelled},
		{"another error", "", errors.New("x"), policy.ConnectionLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := resultOf(upstream.Response{Status: c.status}, c.err); got != c.want {
				t.Errorf("got %d, want %d", got, c.want)
			}
		})
	}
}

// TestNoConnectionAvailable guards against blaming an endpoint when the pool's limit left no
// connection for it, or when this machine could open none.
func TestNoConnectionAvailable(t *testing.T) {
	for _, cause := range []error{upstream.ErrConnectionLimit, upstream.ErrLocalResources} {
		err := &upstream.Error{Stage: upstream.NotConnected, Err: fmt.Errorf("%w: cause", cause)}
		if got := resultOf(upstream.Response{}, err); got != policy.NotSent {
			t.Errorf("%v: got %d", cause, got)
		}
	}
}
