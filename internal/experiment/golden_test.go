package experiment

import (
	"encoding/json"
	"reflect"
	"testing"
)

// fill sets every exported field of v, recursively, to a value that omitempty does not omit. It
// follows pointers to the given depth.
func fill(v reflect.Value, pointers int) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), pointers)
			}
		}
	case reflect.Pointer:
		if pointers > 0 {
			v.Set(reflect.New(v.Type().Elem()))
			fill(v.Elem(), pointers-1)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), pointers)
	case reflect.String:
		v.SetString("x")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(1.5)
	case reflect.Int, reflect.Int64:
		v.SetInt(2)
	}
}

// TestResultJSONGolden guards against changes of the JSON keys, or of their order, in the results
// that `tallybench SUB --json` prints.
func TestResultJSONGolden(t *testing.T) {
	cases := []struct {
		name   string
		result any
		want   string
	}{
		{"fleet", &RolloutRun{}, `{"instances":2,"schedules":2,"changed":2,"untouched":2,"partly":2,"neither":2,"unended":2,"p50_ms":1.5,"p99_ms":1.5,"lived_p99_ms":1.5,"messages":1.5,"between":1.5,"known_p50_ms":1.5,"known_p99_ms":1.5,"settled_ms":1.5,"events":2,"by_hand_ms":1.5,"stuck":["x"]}`},
		{"peers", &MembershipResult{}, `{"runs":[{"instances":2,"faults":"x","simulated":true,"schedules":2,"rules_broken":2,"lost":2,"parts_over":2,"fallen":2,"unended":2,"parts_peak":1.5,"know_death_ms_p50":1.5,"know_death_ms_p99":1.5,"one_view_ms_p99":1.5,"wrongly_failed_per_hour":1.5,"wrongly_suspected_per_hour":1.5,"packets_per_s":1.5,"bytes_per_s":1.5,"memory_mb":1.5,"fulfilled_share":1.5,"recovery_ms":1.5,"series":[1.5],"cold_peak_load":1.5,"fixed":{"instances":2,"faults":"x","simulated":true,"schedules":2,"rules_broken":2,"lost":2,"parts_over":2,"fallen":2,"unended":2,"parts_peak":1.5,"know_death_ms_p50":1.5,"know_death_ms_p99":1.5,"one_view_ms_p99":1.5,"wrongly_failed_per_hour":1.5,"wrongly_suspected_per_hour":1.5,"packets_per_s":1.5,"bytes_per_s":1.5,"memory_mb":1.5,"fulfilled_share":1.5,"recovery_ms":1.5,"series":[1.5],"cold_peak_load":1.5,"failing":["x"],"why":["x"]},"failing":["x"],"why":["x"]}],"rules_broken":2,"lost":2,"parts_over":2,"fallen":2,"schedules":2,"unended":2,"know_death_ms_p99":1.5}`},
		{"plan", &MaintenancePlanResult{}, `{"schedules":2,"over_planned_out":2,"never":2,"late_over_hand":1.5,"done_over_hand":1.5,"random_over_plan":1.5,"planner_ms":1.5,"gap_mean":1.5,"gap_most":1.5,"gap_none_share":1.5,"orders_looked_at":2}`},
		{"cores", &CoresResult{}, `{"division":"x","runs":[{"cores":2,"own_cores":true,"load_cores":2,"rate":1.5,"p50_ms":1.5,"p99_ms":1.5,"p999_ms":1.5,"cpu_us_per_answer":1.5,"rss_mb_peak":1.5,"throttled":2,"failed":2,"lost":2,"double_final":2,"wrong_bytes":2,"effects_twice":2}]}`},
		{"start", &StartupResult{}, `{"runs":[{"directors":2,"alone":true,"simulated":true,"phases":[{"name":"x","calls_per_s":1.5,"peak_share":1.5,"turned_away":2,"over_calm":1.5,"know_ms_p99":1.5}],"memory_mb":1.5,"know_list_ms_p99":1.5,"know_event_ms_p99":1.5,"unknown":2,"crashes":2,"why":"x","cold":{"rules_broken":2,"lost":2,"fallen":2,"unended":2,"asked":2,"fulfilled_share":1.5,"recovery_ms":1.5,"cold_peak_load":1.5}}],"outage_over_calm":1.5,"back_peak_share":1.5,"know_list_ms_p99":1.5,"know_event_ms_p99":1.5,"peak_calls_share":1.5,"cold_peak_load":1.5,"rules_broken":2,"lost":2,"fallen":2,"unended":2,"crashes":2}`},
		{"storm", &StormResult{}, `{"clients":2,"asked":2,"answered":2,"tries":2,"fulfilled":2,"throttled":2,"abandoned":2,"unanswered":2,"lost":2,"double_final":2,"wrong_bytes":2,"effects_twice":2,"pulls_together":2,"boxes_fallen":2,"drains_broken":2,"purges_broken":2,"peak_load":1.5,"settle_ms":2,"wasted_share":1.5,"benefit_share":1.5,"boxes_used":1.5,"early_tries":2,"heeders_served":1.5,"ignorers_served":1.5,"killed_tries":2,"lost_paused":2,"jumps_noticed":2,"crashes":2,"rss_mb_peak":1.5,"storms_noticed":2,"met":[1.5],"lost_how":"x"}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fill(reflect.ValueOf(c.result).Elem(), 2)
			encoded, err := json.Marshal(c.result)
			if err != nil {
				t.Fatal(err)
			}
			if string(encoded) != c.want {
				t.Errorf("encoded as\n%s\nwant\n%s", encoded, c.want)
			}
			decoded := reflect.New(reflect.TypeOf(c.result).Elem()).Interface()
			if err := json.Unmarshal([]byte(c.want), decoded); err != nil {
				t.Fatal(err)
			}
			if reencoded, err := json.Marshal(decoded); err != nil || string(reencoded) != c.want {
				t.Errorf("decoded and encoded again as\n%s, %v\nwant\n%s", reencoded, err, c.want)
			}
		})
	}
}
