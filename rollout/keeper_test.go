package rollout

import (
	"slices"
	"testing"

	d "tallyproxy/policy"
)

func TestKeeper(t *testing.T) {
	cases := []struct {
		name  string
		lives func(started int, since d.Micros) bool // whether it is up so long after its latest start
		told  bool
		want  []d.Micros // when it is started, in seconds
	}{
		{"it runs", func(int, d.Micros) bool { return true }, false, nil},
		{"it dies once", func(n int, since d.Micros) bool { return n > 0 || since < 10*d.Second }, false, []d.Micros{11}},
		{"it can't run", func(int, d.Micros) bool { return false }, false, []d.Micros{1, 3, 7, 15, 31, 63, 127, 191}},
		{"it dies after two seconds each time", func(_ int, since d.Micros) bool { return since < 2*d.Second }, false,
			[]d.Micros{3, 9, 27, 93, 159}},
		{"it dies after a minute each time", func(_ int, since d.Micros) bool { return since < 60*d.Second }, false, []d.Micros{61, 122, 183}},
		{"it was told to stop", func(int, d.Micros) bool { return false }, true, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var k RestartPolicy
			var got []d.Micros
			started, at := 0, d.Micros(0)
			for now := d.Micros(0); now < 200*d.Second; now += d.Second {
				if k.ShouldStart(now, c.lives(started, now-at), c.told) {
					started, at, got = started+1, now, append(got, now/d.Second)
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("started at %v, want %v", got, c.want)
			}
		})
	}
}
