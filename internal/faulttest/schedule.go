package faulttest

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"tallyproxy/internal/boolean"
)

// Kind names a kind of fault. Schedule files and the flags of tallybench use the same names.
type Kind string

// Faults of links.
const (
	// CutLinks lets Targets receive nothing from Peers and, with Both, Peers nothing from Targets.
	CutLinks Kind = "cut"
	// Partition lets processes of different Groups receive nothing from each other.
	Partition Kind = "groups"
	// LossyLinks makes all links lose the share Rate of packets, duplicate a tenth of that share,
	// and delay each packet by up to Rate seconds.
	LossyLinks Kind = "poor"
	// FlappingLinks cuts and restores the links between Targets and Peers alternately, for 300 ms
	// each.
	FlappingLinks Kind = "flap"
)

// Faults of processes.
const (
	// Kill ends Targets with SIGKILL and starts them again at its end.
	Kill Kind = "kill"
	// Pause sends SIGSTOP to Targets, and SIGCONT at its end.
	Pause Kind = "stop"
	// Terminate ends Targets with SIGTERM and starts them again at its end.
	Terminate Kind = "term"
	// Restart ends Targets with SIGKILL and starts them again at once.
	Restart Kind = "restart"
	// RollingRestart ends all directors with SIGTERM and starts them again, a tenth at a time.
	RollingRestart Kind = "roll"
	// KillDelegates purges groups, kills all relay delegates shortly afterwards, and starts them
	// again at its end.
	KillDelegates Kind = "followers"
	// DuplicateInstance runs another process under the name of Targets[0].
	DuplicateInstance Kind = "twin"
	// FalseHints adds a member that reports all caches as unreachable, restarted and overloaded.
	FalseHints Kind = "liar"
	// MalformedRelay adds a member that ranks as a delegate and sends malformed messages and
	// another fleet's endpoint list.
	MalformedRelay Kind = "rubbish"
	// BusyCores runs Rate busy loops that compete for the processor cores.
	BusyCores Kind = "busy"
)

// Faults of cache nodes, zones and the command channel.
const (
	// ZoneLoss kills directors and caches of the zones Targets and starts them again at its end,
	// with cold caches.
	ZoneLoss Kind = "zone"
	// ColdCaches restarts the caches Targets, cold.
	ColdCaches Kind = "cold"
	// ReplaceCaches replaces half of the caches one after another.
	ReplaceCaches Kind = "replace"
	// Purge purges half of the groups.
	Purge Kind = "purge"
	// Drain announces the first cache as draining, and as up at its end.
	Drain Kind = "drain"
	// ChannelUnreachable disconnects directors with odd numbers from the command channel.
	ChannelUnreachable Kind = "away"
	// ChannelOutage makes the command channel unavailable (Rate 1), hang (2) or truncate its
	// answers (3).
	ChannelOutage Kind = "service"
	// ChannelMove gives the channel a new address, which all directors reload within a second.
	ChannelMove Kind = "move"
	// ChannelRollback restarts the channel without its last event.
	ChannelRollback Kind = "forget"
)

// Faults of planned restarts, of the director's limits, and of single nodes. TestSoak draws them.
const (
	// PlannedRestart sends Targets a series of signals, SIGTERM among them, and SIGKILL at the
	// earliest allowed time, and starts them again.
	PlannedRestart Kind = "planned"
	// Reloads sends Targets SIGHUP several times and replaces their files; with Rate 1 the channel
	// moves first.
	Reloads Kind = "reloads"
	// IdleClients connects Rate idle clients to each of Targets.
	IdleClients Kind = "crowd"
	// HangingNode makes the nodes Targets accept requests without answering.
	HangingNode Kind = "hang"
	// ResettingNode makes the nodes Targets reset connections with requests in flight.
	ResettingNode Kind = "reset"
	// CrashedNode kills the nodes Targets and starts them at its end, cold.
	CrashedNode Kind = "crash"
	// LateNode announces the nodes Targets as up while nothing listens there, and starts them at
	// its end.
	LateNode Kind = "late"
	// IdleCloses makes the nodes Targets close idle connections, every 50 ms.
	IdleCloses Kind = "idle"
)

// Fault is a fault of a schedule. The documentation of its kind says which fields it uses.
// Directors, caches and zones are given by number.
type Fault struct {
	Kind    Kind    `json:"kind"`             // kind of fault
	AtMS    int     `json:"at_ms"`            // start, relative to the start of the schedule
	ForMS   int     `json:"for_ms,omitempty"` // duration; 0 lasts until the end of the schedule
	Targets []int   `json:"who,omitempty"`    // directors; caches or zones if the kind says so
	Peers   []int   `json:"to,omitempty"`     // directors at the other ends of links
	Both    bool    `json:"both,omitempty"`   // affects links in both directions
	Groups  [][]int `json:"groups,omitempty"` // directors in each group of a partition
	Rate    float64 `json:"rate,omitempty"`   // severity, in the unit of the kind
}

// Schedule is a list of faults for a number of directors. As plain data, it can be printed, stored,
// replayed and shrunk.
type Schedule struct {
	Seed      uint64  `json:"seed"`      // seed of all random draws during the run
	Number    int     `json:"number"`    // number among the random schedules of the seed
	Directors int     `json:"directors"` // number of directors, which are numbered from 0
	LengthMS  int     `json:"length_ms"` // upper bound for the end of all faults
	Faults    []Fault `json:"faults"`    // in any order
}

// Limits of a schedule.
const (
	maxDirectors = 300
	maxLengthMS  = 10 * 60 * 1000
)

// String returns the schedule as JSON in the format that tallybench reads.
func (s Schedule) String() string {
	text, _ := json.Marshal(s) // can't fail for numbers and strings
	return string(text)
}

// nodeKinds are the kinds whose Targets are numbers of cache nodes or zones.
var nodeKinds = []Kind{ColdCaches, Drain, ZoneLoss, HangingNode, ResettingNode, CrashedNode, LateNode, IdleCloses}

// Validate returns an error if the schedule can't be played.
func (s Schedule) Validate() error {
	if s.Directors < 1 || s.Directors > maxDirectors || s.LengthMS < 0 || s.LengthMS > maxLengthMS {
		return fmt.Errorf("directors %d, length_ms %d: want 1 to %d directors and at most ten minutes", s.Directors, s.LengthMS, maxDirectors)
	}
	for i, f := range s.Faults {
		if !slices.Contains(kinds, f.Kind) {
			return fmt.Errorf("faults[%d].kind: unknown kind %q, want one of %v", i, f.Kind, kinds)
		}
		if f.AtMS < 0 || f.ForMS < 0 || f.AtMS+f.ForMS > s.LengthMS {
			return fmt.Errorf("faults[%d]: at_ms %d, for_ms %d: fault is not within length_ms %d", i, f.AtMS, f.ForMS, s.LengthMS)
		}
		if slices.Contains(nodeKinds, f.Kind) {
			continue // their Targets are not numbers of directors
		}
		for _, director := range slices.Concat(slices.Concat(f.Groups...), f.Targets, f.Peers) {
			if director < 0 || director >= s.Directors {
				return fmt.Errorf("faults[%d]: director %d does not exist, the schedule has %d", i, director, s.Directors)
			}
		}
	}
	return nil
}

// Zones returns the number of zones of the fleet: two if the schedule contains a ZoneLoss.
func (s Schedule) Zones() int { return 1 + boolean.Int(s.has(ZoneLoss)) }

// has reports whether the schedule contains a fault of the given kind.
func (s Schedule) has(kind Kind) bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == kind })
}

// length returns LengthMS as a duration.
func (s Schedule) length() time.Duration { return millis(s.LengthMS) }

// endMS returns when a fault ends, in milliseconds from the start of the schedule.
func (s Schedule) endMS(f Fault) int {
	if f.ForMS == 0 {
		return s.LengthMS
	}
	return f.AtMS + f.ForMS
}

// lastFaultAt returns the start of the last fault, relative to the start of the schedule.
func (s Schedule) lastFaultAt() time.Duration {
	last := 0
	for _, f := range s.Faults {
		last = max(last, f.AtMS)
	}
	return millis(last)
}

// millis converts a number of milliseconds to a duration.
func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
