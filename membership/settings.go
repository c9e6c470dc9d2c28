package membership

import (
	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// Settings holds the identity of one director, and its intervals and bounds.
type Settings struct {
	Name        string // unique among the directors
	Zone        int    // index in the platform's settings
	Incarnation uint64 // identifies this process; higher for a later process of this name
	// ConfiguredDirectors is the number of directors in the platform's settings, by Scope. The
	// fixed quota is a limit divided by that number.
	ConfiguredDirectors [2]int

	LeaseDuration       policy.Micros // validity of a quota above the fixed one without a renewal
	RenewInterval       policy.Micros // time between two lease requests to the same peer
	StabilizationWindow policy.Micros // the view must be unchanged this long before a quota rises
	RequiredGrants      int           // number of peers that must have granted a lease
	FailedRetention     policy.Micros // a failed or left peer is forgotten after this time
	ProbeInterval       policy.Micros // failure detector: time between two probes
	ProbeTimeout        policy.Micros // failure detector: time to wait for the response to a probe
	// SuspicionMultiplier sets the least time that a suspected peer has to refute the failure
	// detector's suspicion: ProbeInterval times SuspicionMultiplier times log10 of the number of
	// members, with 1 in place of a lower logarithm.
	SuspicionMultiplier int

	MaxHintAge policy.Micros // hints older than this are ignored
	// HintInterval is the least time between two probes of the same node because of hints, and
	// between two hints that this director sends about the same condition of a node.
	HintInterval     policy.Micros
	HintsPerInterval int // hints sent, and hints accepted per peer, in HintInterval
	MaxEntries       int // bound on remembered peers, and on nodes remembered for hints
}

// largeFleetSize is the number of directors from which the suspicion multiplier is lower by one.
// The logarithm of the fleet size then gives a suspected peer as much time to refute as in a small
// fleet, and all 300 members of a large fleet learn of a failure within three seconds.
const largeFleetSize = 32

// Derive returns the settings of the director with the given name and incarnation, derived from the
// platform's settings.
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
		SuspicionMultiplier: 3 + boolean.Int(s.TotalDirectors < largeFleetSize),
		MaxHintAge:          window,
		HintInterval:        window,
		HintsPerInterval:    16,
		MaxEntries:          4096,
	}
}
