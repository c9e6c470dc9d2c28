package experiment

import "testing"

// TestDetectorTrial checks that every failure becomes known to all remaining detectors of one
// process, that they reach a common view, and that trials with too few remaining detectors are
// rejected.
func TestDetectorTrial(t *testing.T) {
	r, err := DetectorTrial{Directors: 8, Failing: 2, Rounds: 1}.Execute(t.Context())
	if err != nil || r.Unfinished > 0 || len(r.detections) != 2 || r.DetectionP99 <= 0 || r.DetectionP99 > 20_000 {
		t.Errorf("%+v, %v", r, err)
	}
	for _, trial := range []DetectorTrial{{Directors: 2, Failing: 1, Rounds: 1}, {Directors: 10, Failing: 3, Rounds: 3}, {Directors: 5}} {
		if _, err := trial.Execute(t.Context()); err == nil {
			t.Errorf("invalid trial %+v was accepted", trial)
		}
	}
}
