package overload

import (
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

// TestModes guards against a retry-after time that does not match the mode, and against rejections
// in a mode other than ModeReserve.
func TestModes(t *testing.T) {
	caches := &fakeCaches{warmCapacity: 10}
	cases := []struct {
		name          string
		mode          Mode
		maxRetryAfter policy.Micros
		want          policy.Micros
	}{
		{"fixed", ModeFixed, policy.Second, 250 * ms}, {"silent", ModeSilent, policy.Second, 0}, {"guard in calm", ModeReserve, policy.Second, 250 * ms},
		{"guard with clients that ignore retry-after", ModeReserve, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := DefaultSettings()
			s.Mode = c.mode
			controller := New(s, c.maxRetryAfter, 1, caches, nil)
			for i := range 100 {
				a := &Admission{ObjectHash: uint64(i), Work: 1000 * float64(ms), RelativeCost: 1, IsRetry: true}
				if c.mode != ModeReserve && !controller.Admit(policy.Second, a) {
					t.Fatal("request rejected")
				}
			}
			if got := controller.RetryAfter(policy.Second, &Admission{Work: 1, RelativeCost: 1}, min(250*ms, c.maxRetryAfter)); got != c.want {
				t.Errorf("retry-after %d, want %d", got, c.want)
			}
		})
	}
}

// TestAnyHistory runs random event sequences. It guards against panics, times beyond the horizon,
// invalid reserved work, and different decisions for the same events.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		caches := &fakeCaches{warmCapacity: rapid.Float64Range(0, 50).Draw(t, "capacity"), coldShare: 0.1, warmUpStart: policy.Second, warmUpDuration: 5 * policy.Second}
		a, b := newTestController(caches, nil), newTestController(caches, nil)
		now := policy.Second
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += policy.Micros(rapid.SampledFrom([]int{0, 1, 100, 20_000, 150_000, 3_000_000, 90_000_000}).Draw(t, "step"))
			x := Admission{
				ClientHash: uint64(rapid.IntRange(0, 5).Draw(t, "client")), ObjectHash: uint64(rapid.IntRange(0, 3).Draw(t, "object")),
				Work: float64(rapid.IntRange(0, 2_000_000).Draw(t, "work")), RelativeCost: rapid.Float64Range(0.1, 10).Draw(t, "cost"),
				IsRetry: rapid.Bool().Draw(t, "retry"),
			}
			y := x
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				a.ClientConnected(now)
				b.ClientConnected(now)
			default:
				admitted := a.Admit(now, &x)
				if admitted != b.Admit(now, &y) {
					t.Fatal("two controllers decide differently on the same events")
				}
				if admitted && rapid.Bool().Draw(t, "succeeded") {
					a.Completed(now, &x, false)
					b.Completed(now, &y, false)
					continue
				}
				p := a.RetryAfter(now, &x, 250*ms)
				if q := b.RetryAfter(now, &y, 250*ms); p != q {
					t.Fatalf("two controllers return %d and %d for the same events", p, q)
				}
				if p <= 0 || p > policy.Second+200*ms {
					t.Fatalf("retry-after %d", p)
				}
			}
			for _, work := range a.reservedWork {
				if work < 0 || work != work {
					t.Fatalf("reserved work %v", a.reservedWork)
				}
			}
		}
	})
}
