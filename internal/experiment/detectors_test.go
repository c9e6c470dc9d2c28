package experiment

import "testing"

// TestDetectorTrial: in one process each failure becomes known to all detectors, and all have one view afterwards.
func TestDetectorTrial(t *testing.T) {
	r, err := DetectorTrial{Directors: 8, Failing: 2, Rounds: 1}.Execute(t.Context())
	if err != nil || r.Unfinished > 0 || len(r.detections) != 2 || r.DetectionP99 <= 0 || r.DetectionP99 > 20_000 {
		t.Errorf("%+v, %v", r, err)
	}
	for _, g := range []DetectorTrial{{Directors: 2, Failing: 1, Rounds: 1}, {Directors: 10, Failing: 3, Rounds: 3}, {Directors: 5}} {
		if _, err := g.Execute(t.Context()); err == nil {
			t.Errorf("%+v was played", g)
		}
	}
}
