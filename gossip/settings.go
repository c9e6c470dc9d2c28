package gossip

import (
	"cmp"

	"tallyproxy/policy"
)

// Settings are the intervals and bounds of a Store.
type Settings struct {
	Retention       policy.Micros // older updates are ignored and forgotten
	ConfirmTimeout  policy.Micros // the own channel is polled for an update that it has not confirmed for so long
	MinPollInterval policy.Micros // time between two such polls
	MaxUpdates      int           // accepted from each director in MinPollInterval, and sent in one snapshot
	MaxEntries      int           // bound on each table: updates, nodes, senders
}

// Derive gives the settings that follow from the platform's.
func Derive(s policy.Settings) Settings {
	retention := cmp.Or(s.PurgeRetention, 16*s.ConnectTimeout)
	return Settings{
		Retention:       retention,
		ConfirmTimeout:  cmp.Or(s.PurgePropagation, s.ConnectTimeout) / 2,
		MinPollInterval: retention / 4,
		MaxUpdates:      1024,
		MaxEntries:      8192,
	}
}
