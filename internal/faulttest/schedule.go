package faulttest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
)

// Kinds of faults.
const (
	CutLinks           = "cut"     // Who hear nothing of To, both ways where Both
	Partition          = "groups"  // processes of different groups don't hear each other
	LossyLinks         = "poor"    // all links lose a share of Rate, send a tenth of it twice, and delay up to Rate seconds
	FlappingLinks      = "flap"    // the links between Who and To are cut and well in turn, every 300 ms
	Kill               = "kill"    // SIGKILL; back under the same name at the end, where it has one
	Pause              = "stop"    // SIGSTOP, and SIGCONT at the end
	Terminate          = "term"    // SIGTERM; back at the end
	ZoneLoss           = "zone"    // the locations of Who are lost, of two: their directors and caches; all back at the end, the caches cold
	ChannelUnreachable = "away"    // directors with odd numbers can't reach the command channel
	Restart            = "restart" // killed and started again at once
	DuplicateInstance  = "twin"    // another process under the name of Who[0], for a while
	FalseHints         = "liar"    // Who tell the others that all caches are dead
	ColdCaches         = "cold"    // the caches of Who restart cold
	Purge              = "purge"   // half of the groups are purged
	Drain              = "drain"   // the first cache of Who is told draining, and up again at the end
	BusyCores          = "busy"    // so many loops as Rate keep the cores busy

	ChannelOutage   = "service"   // the command channel is short (Rate 1), hangs (2) or breaks its answers off (3)
	KillDelegates   = "followers" // an event, and at once all who follow the channel by their place are killed; back at the end
	ChannelMove     = "move"      // the channel moves: all are told by SIGHUP within a second
	RollingRestart  = "roll"      // a tenth at a time is ended by SIGTERM and started again
	ReplaceCaches   = "replace"   // half of the caches are replaced, one after another
	MalformedRelay  = "rubbish"   // one joins that is among those to be heard, and tells rubbish and lists of another fleet
	ChannelRollback = "forget"    // the channel starts anew, the last event lost
)

var kinds = []string{CutLinks, Partition, LossyLinks, FlappingLinks, Kill, Pause, Terminate, Restart, DuplicateInstance, FalseHints, ColdCaches, Purge, Drain, BusyCores, ZoneLoss, ChannelUnreachable,
	ChannelOutage, KillDelegates, ChannelMove, RollingRestart, ReplaceCaches, MalformedRelay, ChannelRollback}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind    string  `json:"kind"`
	AtMS    int     `json:"at_ms"`
	ForMS   int     `json:"for_ms,omitempty"` // 0: to the end
	Targets []int   `json:"who,omitempty"`
	Peers   []int   `json:"to,omitempty"`
	Both    bool    `json:"both,omitempty"`
	Groups  [][]int `json:"groups,omitempty"`
	Rate    float64 `json:"rate,omitempty"`
}

// Schedule is what goes wrong with some directors, as data: it is printed, kept, played again and made shorter.
type Schedule struct {
	Seed      uint64  `json:"seed"`
	Number    int     `json:"number"`
	Directors int     `json:"directors"`
	LengthMS  int     `json:"length_ms"` // until the faults are over, at the most
	Faults    []Fault `json:"faults"`
}

func (s Schedule) String() string {
	text, _ := json.Marshal(s)
	return string(text)
}

// Validate says what is wrong with a schedule.
func (s Schedule) Validate() error {
	if s.Directors < 1 || s.Directors > 300 || s.LengthMS < 0 || s.LengthMS > 10*60*1000 {
		return fmt.Errorf("directors %d, length_ms %d: 1 to 300, and ten minutes at the most", s.Directors, s.LengthMS)
	}
	for i, f := range s.Faults {
		if !slices.Contains(kinds, f.Kind) {
			return fmt.Errorf("faults[%d].kind: %q is none of %v", i, f.Kind, kinds)
		}
		if f.AtMS < 0 || f.ForMS < 0 || f.AtMS+f.ForMS > s.LengthMS {
			return fmt.Errorf("faults[%d]: at_ms %d, for_ms %d: not within length_ms %d", i, f.AtMS, f.ForMS, s.LengthMS)
		}
		if f.Kind == ColdCaches || f.Kind == Drain || f.Kind == ZoneLoss {
			continue // of caches
		}
		for _, who := range append(slices.Concat(f.Groups...), append(slices.Clone(f.Targets), f.Peers...)...) {
			if who < 0 || who >= s.Directors {
				return fmt.Errorf("faults[%d]: there is no director %d of %d", i, who, s.Directors)
			}
		}
	}
	return nil
}

// Zones is how many locations there are.
func (s Schedule) Zones() int {
	return 1 + bit(slices.ContainsFunc(s.Faults, func(f Fault) bool { return f.Kind == ZoneLoss }))
}

// RandomSchedule makes schedule number so many of a seed: one to four faults in so many milliseconds, of kinds that processes can't help.
func RandomSchedule(seed uint64, number, directors, length int) Schedule {
	r := rand.New(rand.NewPCG(seed, uint64(number)))
	s := Schedule{Seed: seed, Number: number, Directors: directors, LengthMS: length}
	some := func(most int) []int {
		return slices.Sorted(slices.Values(r.Perm(directors)[:1+r.IntN(max(1, min(most, directors-1)))]))
	}
	for range 1 + r.IntN(4) {
		at := r.IntN(max(1, length/2))
		f := Fault{AtMS: at, ForMS: 200 + r.IntN(max(1, length-at-200)), Targets: some(directors / 2)}
		switch r.IntN(9) {
		case 0, 1:
			f.Kind, f.Peers, f.Both = CutLinks, some(directors-1), r.IntN(2) == 0
		case 2:
			f.Kind, f.Targets = Partition, nil
			f.Groups = make([][]int, 2+r.IntN(2))
			for i, who := range r.Perm(directors) {
				f.Groups[i%len(f.Groups)] = append(f.Groups[i%len(f.Groups)], who)
			}
		case 3:
			f.Kind, f.Targets, f.Rate = LossyLinks, nil, 0.01+0.1*r.Float64()
		case 4:
			f.Kind, f.Targets = Kill, some(directors*7/10)
		case 5:
			f.Kind = Pause
		case 6:
			f.Kind, f.ForMS = Restart, 0
		case 7:
			f.Kind, f.Targets = ColdCaches, []int{0, 1, 2}
		case 8:
			f.Kind, f.Peers = FlappingLinks, some(directors-1)
		}
		s.Faults = append(s.Faults, f)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return a.AtMS - b.AtMS })
	return s
}

// Shrink makes a schedule that fails shorter while it still does: without one fault, then with each half as long. It tries no
// more than so many times.
func Shrink(s Schedule, tries int, fails func(Schedule) bool) Schedule {
	for again := true; again && tries > 0; {
		again = false
		for i := 0; i < len(s.Faults) && tries > 0; i++ {
			less := s
			less.Faults = slices.Delete(slices.Clone(s.Faults), i, i+1)
			if tries--; fails(less) {
				s, again = less, true
				i--
			}
		}
		for i := 0; i < len(s.Faults) && tries > 0; i++ {
			if s.Faults[i].ForMS < 400 {
				continue
			}
			less := s
			less.Faults = slices.Clone(s.Faults)
			less.Faults[i].ForMS /= 2
			if tries--; fails(less) {
				s, again = less, true
			}
		}
	}
	return s
}
