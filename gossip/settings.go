package gossip

import (
	"cmp"

	"tallyproxy/policy"
)

// Settings holds the intervals and bounds of a Store.
type Settings struct {
	Retention       policy.Micros // updates older than this are ignored and dropped
	ConfirmTimeout  policy.Micros // the channel is polled for updates unconfirmed for this long
	MinPollInterval policy.Micros // least time between two such polls
	MaxUpdates      int           // accepted per sender in MinPollInterval, and sent per snapshot
	MaxEntries      int           // bound on each table: updates, nodes, senders
}

// Derive returns the settings derived from the platform's settings.
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
