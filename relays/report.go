package relays

import (
	"maps"
	"slices"

	"tallyproxy/policy"
)

// Report is the state of a Relay for operators.
type Report struct {
	Polls     bool     `json:"calls"`   // this director polls the channel itself
	Delegate  bool     `json:"chosen"`  // this director is a delegate
	Sources   []string `json:"sources"` // responding sources that are not stale, by name
	AgeMicros int64    `json:"age_us"`  // µs since the list was last known to match the channel's
	ListSum   string   `json:"sum"`     // sum of the list in force
}

// Report returns the report at the given time.
func (r *Relay) Report(now policy.Micros) Report {
	report := Report{
		Polls:     r.ShouldPoll(now),
		Delegate:  r.isDelegate(),
		Sources:   []string{},
		AgeMicros: int64(now - r.inForce.at),
		ListSum:   r.inForce.sum,
	}
	for _, name := range slices.Sorted(maps.Keys(r.sources)) {
		s := r.sources[name]
		answers := s.answeredAt > 0 && now-s.answeredAt < maxMissed*r.queryInterval()
		if answers && !s.stale(now, r.settings.StaleAfter) {
			report.Sources = append(report.Sources, name)
		}
	}
	return report
}
