package membership

import (
	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// Settings are one director's identity, and its intervals and bounds.
type Settings struct {
	Name                string // unique among the directors
	Zone                int    // index in the platform's settings
	Incarnation         uint64 // identifies this process: a later process of the same name has a higher one
	ConfiguredDirectors [2]int // number of directors in the platform's settings, by Scope: the fixed quota is one of so many

	LeaseDuration       policy.Micros // a quota above the fixed one is held for so long without a renewal
	RenewInterval       policy.Micros // time between two requests for a lease to the same peer
	StabilizationWindow policy.Micros // the view must have been unchanged for so long before the quota is raised
	RequiredGrants      int           // peers that must have granted a lease
	FailedRetention     policy.Micros // a peer that has failed or left is forgotten after so long
	ProbeInterval       policy.Micros // failure detector: time between two probes
	ProbeTimeout        policy.Micros // failure detector: time to wait for the answer to a probe
	SuspicionMultiplier int           // failure detector: a suspect may refute for ProbeInterval times this times log10 of the number of members

	MaxHintAge       policy.Micros // older hints are ignored
	HintInterval     policy.Micros // a node is probed because of a hint, and a hint about it sent, at most once in this time
	HintsPerInterval int           // hints sent, and hints accepted from each peer, in HintInterval
	MaxEntries       int           // bound on peers remembered, and on nodes remembered for hints
}

// manyDirectors is the fleet size from which the suspicion multiplier is one lower: the logarithm gives a suspect as long as in a small
// fleet by then, and all 300 members of a large fleet know of a death within three seconds.
const manyDirectors = 32

// Derive gives the settings of a director with a name and an incarnation that follow from the platform's.
func Derive(name string, incarnation uint64, s policy.Settings) Settings {
	window := max(s.EdgeSlowStart.OverloadWindow, 4*s.ConnectTimeout)
	return Settings{
		Name:                name,
		Zone:                s.Zone,
		Incarnation:         incarnation,
		ConfiguredDirectors: [2]int{ScopeZone: max(1, s.ZoneDirectors), ScopeFleet: max(1, s.TotalDirectors)},
		LeaseDuration:       window / 4,
		RenewInterval:       window / 12,
		StabilizationWindow: window / 8,
		RequiredGrants:      2,
		FailedRetention:     400 * window,
		ProbeInterval:       s.ConnectTimeout / 2,
		ProbeTimeout:        s.ConnectTimeout / 4,
		SuspicionMultiplier: 3 + boolean.Int(s.TotalDirectors < manyDirectors),
		MaxHintAge:          window,
		HintInterval:        window,
		HintsPerInterval:    16,
		MaxEntries:          4096,
	}
}
