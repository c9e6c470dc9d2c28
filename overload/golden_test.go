package overload

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"testing"

	"tallyproxy/internal/hash"
	"tallyproxy/internal/random"
	"tallyproxy/policy"
)

// The values in this file were recorded once and must not be recorded again: tools of other
// versions read the report, and simulated runs compare decisions.

// TestGoldenReport guards against changes of the report's JSON, which the state socket serves.
func TestGoldenReport(t *testing.T) {
	const want = `{"State":2,"Asks":1,"Repeats":2,"Early":3,"Connects":4,"Demand":5.5,"Warm":0.25,"Promised":6.5,"Kept":0.5,"Part":7.5,"Remembers":8}`
	report := Report{
		State: Held, Requests: 1, Retries: 2, EarlyRetries: 3, NewConnections: 4, Demand: 5.5, WarmShare: 0.25, ReservedShare: 6.5, KeptShare: 0.5, CapacityFactor: 7.5, Reservations: 8,
	}
	if got, err := json.Marshal(report); err != nil || string(got) != want {
		t.Errorf("%s, %v", got, err)
	}
	var decoded Report
	if err := json.Unmarshal([]byte(want), &decoded); err != nil || decoded != report {
		t.Errorf("%+v, %v", decoded, err)
	}
}

// TestGoldenStates guards against changes of the states' numbers, which the report's JSON contains,
// and of their names, which logs and tools print.
func TestGoldenStates(t *testing.T) {
	for i, want := range []string{"calm", "rising", "held", "draining"} {
		if got := State(i).String(); got != want {
			t.Errorf("state %d: %q, want %q", i, got, want)
		}
	}
	if Calm != 0 || Rising != 1 || Held != 2 || Draining != 3 {
		t.Error("the numbers of the states have changed")
	}
}

// TestGoldenHashes guards against changes of the hashes and random numbers that decisions depend
// on.
func TestGoldenHashes(t *testing.T) {
	r := random.NewMixed(7)
	got := fmt.Sprintf("%#x %#x %v %v %v", hash.Finalize(0x9e3779b97f4a7c15), reservationID(&Admission{ClientHash: 5, ObjectHash: 9}), r.Float64(), r.Float64(), r.Float64())
	if want := "0xe220a8397b1dcdaf 0x87f32aed3fc9fe71 0.7566713308915496 0.8468314164783806 0.9232975307386369"; got != want {
		t.Errorf("%q", got)
	}
}

// TestGoldenDecisions runs randomly drawn storms and compares a hash of all decisions in order.
func TestGoldenDecisions(t *testing.T) {
	for _, c := range []struct{ seed, want uint64 }{
		{1, 0xa0372a5b91a323a5},
		{2, 0xdc3a9a8d4642bcde},
		{3, 0xd9bbb6fb8533018d},
	} {
		r := rand.New(rand.NewPCG(c.seed, 11))
		var trace strings.Builder
		caches := &fakeCaches{warmCapacity: 12, coldShare: 0.2, warmUpStart: 10 * policy.Second, warmUpDuration: 8 * policy.Second}
		controller := newTestController(caches, func(now policy.Micros, r Report) {
			fmt.Fprintln(&trace, now, r.State, r.Requests, r.Demand, r.ReservedShare, r.KeptShare, r.CapacityFactor)
		})
		now := 10 * policy.Second
		for range 8000 {
			now += policy.Micros(r.IntN(int(8 * ms)))
			if r.IntN(4) == 0 {
				controller.ClientConnected(now)
			}
			a := request(r.IntN(300), r.IntN(3) == 0)
			a.Work *= 2 * r.Float64()
			a.RelativeCost = 3 * r.Float64()
			admitted := controller.Admit(now, a)
			fmt.Fprintln(&trace, now, admitted, a.OnTime())
			if admitted && r.IntN(3) > 0 {
				controller.Completed(now, a, r.IntN(5) == 0)
				continue
			}
			fmt.Fprintln(&trace, controller.RetryAfter(now, a, 250*ms))
		}
		report := controller.Report(now)
		fmt.Fprintln(&trace, report.WarmShare, report.Reservations, report.EarlyRetries)
		if got := sum64(&trace); got != c.want {
			t.Errorf("{%d, %#x},", c.seed, got)
		}
	}
}

// sum64 returns the FNV-1a hash of a trace.
func sum64(trace *strings.Builder) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(trace.String()))
	return sum.Sum64()
}
