package faulttest

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"tallyproxy/internal/boolean"
)

// Kind names a kind of fault. Schedules in files and flags of tallybench spell them as here.
type Kind string

// Kinds of faults of links.
const (
	CutLinks      Kind = "cut"    // Targets receive nothing from Peers, and with Both neither do Peers from Targets
	Partition     Kind = "groups" // processes of different Groups receive nothing from each other
	LossyLinks    Kind = "poor"   // all links lose a share Rate of packets, duplicate a tenth of that, and delay each by up to Rate seconds
	FlappingLinks Kind = "flap"   // the links between Targets and Peers are cut and sound in turn, 300 ms each
)

// Kinds of faults of processes.
const (
	Kill              Kind = "kill"      // Targets end by SIGKILL, and are started again at the end
	Pause             Kind = "stop"      // Targets get SIGSTOP, and SIGCONT at the end
	Terminate         Kind = "term"      // Targets end by SIGTERM, and are started again at the end
	Restart           Kind = "restart"   // Targets end by SIGKILL and are started again at once
	RollingRestart    Kind = "roll"      // a tenth of all at a time ends by SIGTERM and is started again
	KillDelegates     Kind = "followers" // groups are purged, and at once all relay delegates are killed; started again at the end
	DuplicateInstance Kind = "twin"      // another process runs under the name of Targets[0]
	FalseHints        Kind = "liar"      // a member tells the others that all caches are unreachable, restarted and overloaded
	MalformedRelay    Kind = "rubbish"   // a member that ranks as a delegate sends malformed messages and another fleet's endpoint list
	BusyCores         Kind = "busy"      // as many busy loops as Rate compete for the processors
)

// Kinds of faults of cache nodes, zones and the command channel.
const (
	ZoneLoss           Kind = "zone"    // directors and caches of the zones Targets are killed; all back at the end, the caches cold
	ColdCaches         Kind = "cold"    // the caches Targets restart cold
	ReplaceCaches      Kind = "replace" // half of the caches are replaced one after another
	Purge              Kind = "purge"   // half of the groups are purged
	Drain              Kind = "drain"   // the first cache is announced as draining, and as up at the end
	ChannelUnreachable Kind = "away"    // directors with odd numbers can't reach the command channel
	ChannelOutage      Kind = "service" // the command channel is unavailable (Rate 1), hangs (2) or truncates its answers (3)
	ChannelMove        Kind = "move"    // the channel has a new address, which all directors reload within a second
	ChannelRollback    Kind = "forget"  // the channel restarts without its last event
)

// Kinds of faults of planned restarts, of the director's limits, and of single nodes. TestSoak draws them.
const (
	PlannedRestart Kind = "planned" // Targets get signals in series, SIGTERM among them, SIGKILL at the earliest, and are started again
	Reloads        Kind = "reloads" // Targets get SIGHUP several times, with files that are replaced; with Rate 1 the channel moves first
	IdleClients    Kind = "crowd"   // as many idle clients as Rate connect to each of Targets
	HangingNode    Kind = "hang"    // the nodes Targets take requests and do not answer
	ResettingNode  Kind = "reset"   // the nodes Targets reset connections under requests
	CrashedNode    Kind = "crash"   // the nodes Targets are killed, and start cold at the end
	LateNode       Kind = "late"    // the nodes Targets are announced as up while nothing listens there; they start at the end
	IdleCloses     Kind = "idle"    // the nodes Targets close idle connections, every 50 ms
)

// Fault is one thing that goes wrong. Which fields a kind uses, stands with the kind.
type Fault struct {
	Kind    Kind    `json:"kind"`             // of the fault
	AtMS    int     `json:"at_ms"`            // its begin, from the begin of the schedule
	ForMS   int     `json:"for_ms,omitempty"` // its duration; 0 is until the end of the schedule
	Targets []int   `json:"who,omitempty"`    // numbers of directors; of caches or zones where the kind says so
	Peers   []int   `json:"to,omitempty"`     // numbers of directors at the other ends of links
	Both    bool    `json:"both,omitempty"`   // links are struck in both directions
	Groups  [][]int `json:"groups,omitempty"` // numbers of directors, by side of a partition
	Rate    float64 `json:"rate,omitempty"`   // how hard the fault is, in the kind's unit
}

// Schedule is what goes wrong with some directors, as data: it can be printed, kept, played again and made shorter.
type Schedule struct {
	Seed      uint64  `json:"seed"`      // of all that is drawn while it is played
	Number    int     `json:"number"`    // which of the seed's random schedules it is
	Directors int     `json:"directors"` // numbered from 0
	LengthMS  int     `json:"length_ms"` // until the faults are over, at the most
	Faults    []Fault `json:"faults"`    // in no order
}

// Bounds of a schedule.
const (
	maxDirectors = 300
	maxLengthMS  = 10 * 60 * 1000
)

// String returns the schedule as JSON, as tallybench reads it.
func (s Schedule) String() string {
	text, _ := json.Marshal(s) // of numbers and strings alone
	return string(text)
}

// nodeKinds are the kinds whose Targets are numbers of cache nodes or zones.
var nodeKinds = []Kind{ColdCaches, Drain, ZoneLoss, HangingNode, ResettingNode, CrashedNode, LateNode, IdleCloses}

// Validate returns what is wrong with a schedule; nil where it can be played.
func (s Schedule) Validate() error {
	if s.Directors < 1 || s.Directors > maxDirectors || s.LengthMS < 0 || s.LengthMS > maxLengthMS {
		return fmt.Errorf("directors %d, length_ms %d: 1 to %d, and ten minutes at the most", s.Directors, s.LengthMS, maxDirectors)
	}
	for i, f := range s.Faults {
		if !slices.Contains(kinds, f.Kind) {
			return fmt.Errorf("faults[%d].kind: %q is none of %v", i, f.Kind, kinds)
		}
		if f.AtMS < 0 || f.ForMS < 0 || f.AtMS+f.ForMS > s.LengthMS {
			return fmt.Errorf("faults[%d]: at_ms %d, for_ms %d: not within length_ms %d", i, f.AtMS, f.ForMS, s.LengthMS)
		}
		if slices.Contains(nodeKinds, f.Kind) {
			continue // their numbers are not of directors
		}
		for _, director := range slices.Concat(slices.Concat(f.Groups...), f.Targets, f.Peers) {
			if director < 0 || director >= s.Directors {
				return fmt.Errorf("faults[%d]: there is no director %d of %d", i, director, s.Directors)
			}
		}
	}
	return nil
}

// Zones returns how many zones the fleet has: two where one is to be lost.
func (s Schedule) Zones() int { return 1 + boolean.Int(s.has(ZoneLoss)) }

// has says whether the schedule has a fault of a kind.
func (s Schedule) has(kind Kind) bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == kind })
}

// length is LengthMS as a duration.
func (s Schedule) length() time.Duration { return millis(s.LengthMS) }

// endMS returns when a fault ends, in milliseconds from the begin of the schedule.
func (s Schedule) endMS(f Fault) int {
	if f.ForMS == 0 {
		return s.LengthMS
	}
	return f.AtMS + f.ForMS
}

// lastFaultAt returns when the last fault begins, from the begin of the schedule.
func (s Schedule) lastFaultAt() time.Duration {
	last := 0
	for _, f := range s.Faults {
		last = max(last, f.AtMS)
	}
	return millis(last)
}

// millis is a number of milliseconds as a duration.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
