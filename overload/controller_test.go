package overload

import (
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

func TestModes(t *testing.T) {
	f := &fakeCaches{full: 10}
	cases := []struct {
		name string
		mode Mode
		most policy.Micros
		want policy.Micros
	}{
		{"fixed", ModeFixed, policy.Second, 250 * ms}, {"silent", ModeSilent, policy.Second, 0}, {"guard in calm", ModeReserve, policy.Second, 250 * ms},
		{"guard where clients heed nothing", ModeReserve, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := DefaultSettings()
			s.Mode = c.mode
			g := New(s, c.most, 1, f, nil)
			for i := range 100 {
				a := &Admission{ObjectHash: uint64(i), Work: 1000 * float64(ms), RelativeCost: 1, IsRetry: true}
				if c.mode != ModeReserve && !g.Admit(policy.Second, a) {
					t.Fatal("turned away")
				}
			}
			if got := g.RetryAfter(policy.Second, &Admission{Work: 1, RelativeCost: 1}, min(250*ms, c.most)); got != c.want {
				t.Errorf("given %d, want %d", got, c.want)
			}
		})
	}
}

// TestAnyHistory: whatever comes in whatever order, nothing panics, every time lies within the horizon, no request is rejected twice, and
// the same events give the same decisions.
func TestAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fakeCaches{full: rapid.Float64Range(0, 50).Draw(t, "full"), from: 0.1, began: policy.Second, warm: 5 * policy.Second}
		a, b := newTestController(f, nil), newTestController(f, nil)
		now := policy.Second
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += policy.Micros(rapid.SampledFrom([]int{0, 1, 100, 20_000, 150_000, 3_000_000, 90_000_000}).Draw(t, "step"))
			x := Admission{
				ClientHash: uint64(rapid.IntRange(0, 5).Draw(t, "who")), ObjectHash: uint64(rapid.IntRange(0, 3).Draw(t, "object")),
				Work: float64(rapid.IntRange(0, 2_000_000).Draw(t, "work")), RelativeCost: rapid.Float64Range(0.1, 10).Draw(t, "cost"),
				IsRetry: rapid.Bool().Draw(t, "again"),
			}
			y := x
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				a.ClientConnected(now)
				b.ClientConnected(now)
			default:
				in := a.Admit(now, &x)
				if in != b.Admit(now, &y) {
					t.Fatal("two that saw the same differ")
				}
				if in && rapid.Bool().Draw(t, "served") {
					a.Completed(now, &x, false)
					b.Completed(now, &y, false)
					continue
				}
				p := a.RetryAfter(now, &x, 250*ms)
				if q := b.RetryAfter(now, &y, 250*ms); p != q {
					t.Fatalf("two that saw the same give %d and %d", p, q)
				}
				if p <= 0 || p > policy.Second+200*ms {
					t.Fatalf("given %d", p)
				}
			}
			for _, work := range a.reservedWork {
				if work < 0 || work != work {
					t.Fatalf("promised %v", a.reservedWork)
				}
			}
		}
	})
}
