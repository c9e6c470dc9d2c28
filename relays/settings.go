package relays

import (
	"cmp"

	"tallyproxy/policy"
)

// Settings holds the settings of one director. All times are derived from the platform's settings.
type Settings struct {
	Name string // name of this director
	// Delegates is the number of directors of a zone that poll the channel for the others. If it
	// is 0, every director polls.
	Delegates int
	ZoneCount int // number of zones in the platform's settings
	KindCount int // number of machine kinds in the platform's settings
	// QueryInterval is the time between two queries to one source in a zone of up to
	// DirectorsPerInterval directors. It grows by its own length with each further
	// DirectorsPerInterval directors.
	QueryInterval        policy.Micros
	DirectorsPerInterval int // number of directors in a zone that one QueryInterval is for
	// StaleAfter is the age of a source's state of the channel beyond which the source is
	// stale.
	StaleAfter policy.Micros
	// StartupWait is how long a newly started director waits for others to appear before it
	// polls the channel itself.
	StartupWait  policy.Micros
	DemandWindow policy.Micros // a director that was queried polls the channel for this long
}

const directorsPerInterval = 128

// DeriveSettings derives the settings from the platform's. The time within which a purge must take
// effect covers two unanswered queries, two more to other sources, and a poll.
func DeriveSettings(name string, delegates, zoneCount, kindCount int, settings policy.Settings) Settings {
	propagation := cmp.Or(settings.PurgePropagation, settings.ConnectTimeout)
	return Settings{
		Name:                 name,
		Delegates:            delegates,
		ZoneCount:            zoneCount,
		KindCount:            kindCount,
		QueryInterval:        propagation / 4,
		DirectorsPerInterval: directorsPerInterval,
		StaleAfter:           2 * propagation,
		StartupWait:          settings.ConnectTimeout,
		DemandWindow:         propagation,
	}
}
