package relays

import (
	"maps"
	"slices"

	"tallyproxy/policy"
)

// Report is the state of a Relay for operators.
type Report struct {
	Polls     bool     `json:"calls"`   // this director polls the channel itself
	Delegate  bool     `json:"chosen"`  // because it is a delegate
	Sources   []string `json:"sources"` // that have answered of late and are not stale, by name
	AgeMicros int64    `json:"age_us"`  // how long ago the list in force is known to have been the channel's
	ListSum   string   `json:"sum"`     // of that list
}

// Report returns the state now.
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
