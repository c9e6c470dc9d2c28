package dispatch

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
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
		{"no buffer for the body", "", &upstream.Error{Stage: upstream.ResponseStarted, Err: upstream.ErrNoBuffer}, policy.ResourceExhausted},
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
// connection for it, this machine could open none, or there was no buffer for the request.
func TestNoConnectionAvailable(t *testing.T) {
	for _, cause := range []error{upstream.ErrConnectionLimit, upstream.ErrLocalResources, upstream.ErrNoBuffer} {
		err := &upstream.Error{Stage: upstream.NotConnected, Err: fmt.Errorf("%w: cause", cause)}
		if got := resultOf(upstream.Response{}, err); got != policy.NotSent {
			t.Errorf("%v: got %d", cause, got)
		}
	}
}

// TestAnswerForSlowReader guards against losing a request, or leaving it without an answer, when the
// endpoint's answer finds its client with too much left to read: the policy must decide how it ends.
func TestAnswerForSlowReader(t *testing.T) {
	const bodyBytes, open = 240_000, 32
	h, p := newBlockingHarness(t)
	if err := h.client.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	release := make(chan struct{})
	go answerAll(h.endpoint, release, bodyBytes)
	for n := range open {
		h.request(strconv.Itoa(n+1), "")
		receive(t, p.routing)
		p.decide <- sendToE1
	}
	close(release)
	rejected := 0
	for range open {
		outcome := receive(t, p.outcomes)
		if outcome.Result == policy.ResourceExhausted && !outcome.Final {
			rejected++
		} else if outcome.Result != policy.Succeeded {
			t.Errorf("the policy was told %+v", outcome)
		}
	}
	if rejected == 0 || rejected == open {
		t.Errorf("%d of %d answers found no room", rejected, open)
	}
	for range open {
		lines := readLines(t, h.clientIn, 9)
		if body := len(lines[8]); lines[4] == "200" && body != bodyBytes || lines[4] == "503" && body != 0 {
			t.Errorf("answer %s with %d bytes", lines[4], body)
		} else if lines[4] == "503" {
			rejected--
		}
	}
	if rejected != 0 {
		t.Errorf("%d more answers found no room than requests were rejected", rejected)
	}
}

// answerAll accepts connections to an endpoint and answers the requests on them with bodies of the
// given size, once release is closed. It returns when the listener is closed.
func answerAll(listener net.Listener, release <-chan struct{}, bodyBytes int) {
	body := strings.Repeat("x", bodyBytes)
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }() // the test may have ended
			for lines := bufio.NewScanner(conn); lines.Scan(); {
				words := strings.Fields(lines.Text())
				if len(words) == 0 || words[0] != "want" { // the end of an empty body, or a cancel
					continue
				}
				<-release
				_, _ = fmt.Fprintf(conn, "%s data n=local %d\r\n%s\r\n", words[1], bodyBytes, body) // as above
			}
		}()
	}
}
