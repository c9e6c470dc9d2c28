package faulttest

import (
	"encoding/json"
	"reflect"
	"testing"

	"tallyproxy/internal/goldentest"
)

// goldenSchedule is a schedule with every field set, in the schedule and in a fault.
var goldenSchedule = Schedule{Seed: 7, Number: 3, Directors: 5, LengthMS: 8000, Faults: []Fault{
	{Kind: CutLinks, AtMS: 500, ForMS: 4000, Targets: []int{1}, Peers: []int{0, 2}, Both: true, Groups: [][]int{{0, 1}, {2, 3, 4}}, Rate: 0.25},
	{Kind: Purge, AtMS: 0},
}}

// TestGoldenSchedule guards against changes of the JSON of schedules, which is used in files of
// scripted faults and printed by failed runs.
func TestGoldenSchedule(t *testing.T) {
	const want = `{"seed":7,"number":3,"directors":5,"length_ms":8000,"faults":[{"kind":"cut","at_ms":500,"for_ms":4000,"who":[1],"to":[0,2],"both":true,"groups":[[0,1],[2,3,4]],"rate":0.25},{"kind":"purge","at_ms":0}]}`
	if got := goldenSchedule.String(); got != want {
		t.Errorf("encoded as\n%s\nwant\n%s", got, want)
	}
	goldentest.JSON(t, goldenSchedule, want)
	if got, want := (Schedule{}).String(), `{"seed":0,"number":0,"directors":0,"length_ms":0,"faults":null}`; got != want {
		t.Errorf("empty: %s, want %s", got, want)
	}
}

// TestGoldenKinds guards against changes of the names of faults, which appear in schedules and
// messages, and of their order.
func TestGoldenKinds(t *testing.T) {
	want := []Kind{"cut", "groups", "poor", "flap", "kill", "stop", "term", "restart", "twin", "liar", "cold", "purge", "drain", "busy", "zone", "away",
		"service", "followers", "move", "roll", "replace", "rubbish", "forget",
		"planned", "reloads", "crowd", "hang", "reset", "crash", "late", "idle"}
	if !reflect.DeepEqual(kinds, want) {
		t.Errorf("kinds %v", kinds)
	}
}

// TestGoldenDraw guards against changes of random schedules: the same seed and number must give the
// same schedule in every version.
func TestGoldenDraw(t *testing.T) {
	for _, c := range []struct {
		got  Schedule
		want string
	}{
		{RandomSchedule(3, 5, 9, 8000), `{"seed":3,"number":5,"directors":9,"length_ms":8000,"faults":[{"kind":"cold","at_ms":1103,"for_ms":1124,"who":[0,1,2]}]}`},
		{RandomSchedule(7, 0, 5, 5000), `{"seed":7,"number":0,"directors":5,"length_ms":5000,"faults":[{"kind":"kill","at_ms":340,"for_ms":3656,"who":[0,1,3]},{"kind":"stop","at_ms":749,"for_ms":668,"who":[4]},{"kind":"groups","at_ms":1135,"for_ms":3652,"groups":[[2,3],[4,0],[1]]}]}`},
		{RandomSchedule(7, 1, 5, 5000), `{"seed":7,"number":1,"directors":5,"length_ms":5000,"faults":[{"kind":"stop","at_ms":1686,"for_ms":3168,"who":[1,2]},{"kind":"cut","at_ms":2006,"for_ms":314,"who":[2],"to":[1,2,3,4],"both":true}]}`},
		{RandomSchedule(1, 42, 6, 3000), `{"seed":1,"number":42,"directors":6,"length_ms":3000,"faults":[{"kind":"groups","at_ms":778,"for_ms":378,"groups":[[4,1],[0,5],[3,2]]}]}`},
	} {
		if c.got.String() != c.want {
			t.Errorf("drawn\n%v\nwant\n%s", c.got, c.want)
		}
	}
}

// TestGoldenOutcome guards against changes of the JSON of outcomes, which --json prints and
// journals contain.
func TestGoldenOutcome(t *testing.T) {
	outcome := Outcome{
		Schedule: Schedule{Directors: 2}, Lost: 1, LostReasons: "a", LostToPauses: 2, DuplicateAnswers: 3, WrongBodies: 4, RepeatedEffects: 5, ConcurrentAttempts: 6, DrainViolations: 7, PurgeViolations: 8, OverloadedNodes: 9,
		Crashes: 10, Panics: 11, CrashDetail: "b", QuotaPeak: [2]float64{1.5, 2.5}, QuotaViolations: 12, Incomplete: true, ConvergenceMS: 13.5, DetectionMS: []float64{14, 15},
		FalseFailures: 16, FalseSuspicions: 17, ColdPeakLoad: 18.5, Requests: 19, SuccessRate: 0.5, RecoveryMS: 20.5, SuccessSeries: []float64{0.25, 1}, MemoryMB: 21.5, PacketsPerSecond: 22.5,
		BytesPerSecond: 23.5, DirectorHours: 24.5, NameConflicts: 25, HintProbes: 26, UpdatesReceived: 27, ListsRelayed: 28, CallsPerSecond: 29.5,
	}
	const want = `{"schedule":{"seed":0,"number":0,"directors":2,"length_ms":0,"faults":null},"lost":1,"lost_how":"a","lost_paused":2,"double_final":3,"wrong_bytes":4,"effects_twice":5,"pulls_together":6,"drains_broken":7,"purges_broken":8,"fallen":9,"crashes":10,"panics":11,"why":"b","parts_peak":[1.5,2.5],"parts_over":12,"unended":true,"one_view_ms":13.5,"know_death_ms":[14,15],"wrongly_failed":16,"wrongly_suspected":17,"cold_peak_load":18.5,"asked":19,"fulfilled_share":0.5,"recovery_ms":20.5,"series":[0.25,1],"memory_mb":21.5,"packets_per_s":22.5,"bytes_per_s":23.5,"director_hours":24.5,"name_taken_lines":25,"questions":26,"words_bound":27,"lists_taken":28,"calls_per_s":29.5}`
	goldentest.JSON(t, outcome, want)
	text, err := json.Marshal(Outcome{History: &History{}})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"schedule":{"seed":0,"number":0,"directors":0,"length_ms":0,"faults":null},"lost":0,"lost_paused":0,"double_final":0,"wrong_bytes":0,"effects_twice":0,"pulls_together":0,"drains_broken":0,"purges_broken":0,"fallen":0,"crashes":0,"panics":0,"parts_peak":[0,0],"parts_over":0,"unended":false,"one_view_ms":0,"know_death_ms":null,"wrongly_failed":0,"wrongly_suspected":0,"cold_peak_load":0,"asked":0,"fulfilled_share":0,"recovery_ms":0,"series":null,"memory_mb":0,"packets_per_s":0,"bytes_per_s":0,"director_hours":0,"name_taken_lines":0,"questions":0,"words_bound":0,"lists_taken":0,"calls_per_s":0}`; string(text) != want {
		t.Errorf("empty encoded as\n%s\nwant\n%s", text, want)
	}
}

// TestGoldenBroken guards against changes of the names under which broken rules are reported, and
// of their order.
func TestGoldenBroken(t *testing.T) {
	outcome := Outcome{Lost: 1, DuplicateAnswers: 2, WrongBodies: 3, RepeatedEffects: 4, ConcurrentAttempts: 5, DrainViolations: 6, PurgeViolations: 7, OverloadedNodes: 8, Crashes: 9, Panics: 10, QuotaViolations: 11, Incomplete: true}
	want := []string{"lost 1", "double_final 2", "wrong_bytes 3", "effects_twice 4", "pulls_together 5", "drains_broken 6", "purges_broken 7", "fallen 8",
		"crashes 9", "panics 10", "parts_over 11", "unended 1"}
	if got := outcome.Violations(); !reflect.DeepEqual(got, want) {
		t.Errorf("%q", got)
	}
	if got := outcome.RuleViolations(); got != 46 {
		t.Errorf("%d", got)
	}
}
