package relays

import (
	"cmp"

	"tallyproxy/policy"
)

// Settings are those of one director. All times are derived from the platform's settings.
type Settings struct {
	Name          string        // of this director
	Delegates     int           // directors of a zone that poll the channel for the others; 0 where every director polls
	ZoneCount     int           // zones that the platform's settings name
	KindCount     int           // machine kinds that they name
	QueryInterval policy.Micros // time between two queries to one source, in a zone of CrowdSize directors or fewer
	DirectorsPerInterval     int           // the interval grows by itself with each further CrowdSize directors
	StaleAfter    policy.Micros // a source that has not heard from the channel for this long is stale
	StartupWait   policy.Micros // a director that has started looks for others for this long before it polls the channel itself
	DemandWindow  policy.Micros // a director that was queried polls the channel for this long
}

const crowdSize = 128

// DeriveSettings derives the settings from the platform's. The time within which a purge must be obeyed covers two queries without an
// answer, two more to other sources, and a poll.
func DeriveSettings(name string, delegates, zoneCount, kindCount int, settings policy.Settings) Settings {
	propagation := cmp.Or(settings.PurgePropagation, settings.ConnectTimeout)
	return Settings{
		Name:          name,
		Delegates:     delegates,
		ZoneCount:     zoneCount,
		KindCount:     kindCount,
		QueryInterval: propagation / 4,
		DirectorsPerInterval:     crowdSize,
		StaleAfter:    2 * propagation,
		StartupWait:   settings.ConnectTimeout,
		DemandWindow:  propagation,
	}
}
