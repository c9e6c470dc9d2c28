package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"tallyproxy/director"
)

// params are the start-up settings in the wire's words; keys that are not named here are skipped.
type params struct {
	Contract struct {
		Cold     float64 `json:"cold"`
		ColdFrom float64 `json:"cold-from"`
		Window   float64 `json:"overload-for"`
		Multiple float64 `json:"tip-multiple"`
	} `json:"contract"`
	Lanes []struct {
		Aim         float64 `json:"aim"`
		Stretch     float64 `json:"aim-stretch"`
		HardLimit   float64 `json:"hard-limit"`
		Repeat      string  `json:"repeat"`
		DedupScope  string  `json:"dedup-scope"`
		DedupWindow float64 `json:"dedup-window"`
		Value       float64 `json:"value"`
		LateWorth   float64 `json:"late-worth"`
	} `json:"lanes"`
	Limits struct {
		Cancel        bool    `json:"cancel"`
		SecondCopies  bool    `json:"second-copies"`
		TryLimit      int     `json:"try-limit"`
		RetryAfter    bool    `json:"retry-after"`
		MaxRetryAfter float64 `json:"max-retry-after"`
	} `json:"limits"`
	Specifics struct {
		GoesThrough    []bool    `json:"goes-through"`
		GoneEverywhere float64   `json:"gone-everywhere"`
		MaxAge         []float64 `json:"max-age"`
		OlderBy        []float64 `json:"older-by"`
		OldCopyWorth   []float64 `json:"old-copy-worth"`
		NoteLevel      string    `json:"note-level"`
		OriginKind     *int      `json:"origin-kind"`
		ShieldKind     *int      `json:"shield-kind"`
		Pace           float64   `json:"pace-kb-per-s"`
		Links          []float64 `json:"pipe-kb-per-s"`
		CountByZone    []int     `json:"count-by-zone"`
		ColdFrom       float64   `json:"parent-cold-from"`
		FallMultiple   float64   `json:"parent-fall-multiple"`
		WarmsIn        float64   `json:"parent-warms-in"`
		SharesFills    bool      `json:"shares-fills"`
		Straight       bool      `json:"straight"`
	} `json:"specifics"`
	Zone int `json:"zone"`
}

var repeats = map[string]director.Repeat{
	"free": director.Retriable, "guarded": director.Deduped, "single_shot": director.NonRetriable,
}

var scopes = map[string]director.Scope{
	"": director.ScopeAll, "all": director.ScopeAll, "zone": director.ScopeZone, "cell": director.ScopeCell,
}

func settings(msg message) (director.Settings, error) {
	var p params
	var s director.Settings
	seed, err := strconv.ParseInt(msg.fields["salt"], 10, 64)
	if err != nil {
		if s.Seed, err = strconv.ParseUint(msg.fields["salt"], 10, 64); err != nil {
			return s, fmt.Errorf("salt=%q is not a whole number", msg.fields["salt"])
		}
	} else {
		s.Seed = uint64(seed)
	}
	if err := json.Unmarshal([]byte(msg.fields["params"]), &p); err != nil {
		return s, fmt.Errorf("params: %w", err)
	}
	sp, c := p.Specifics, p.Contract
	s.Zone, s.ParentKind, s.OriginKind = p.Zone, -1, -1
	if sp.ShieldKind != nil {
		s.ParentKind = *sp.ShieldKind
	}
	if sp.OriginKind != nil {
		s.OriginKind = *sp.OriginKind
	}
	s.Direct, s.JoinFills, s.SourcesTold = sp.Straight, sp.SharesFills, sp.NoteLevel == "all"
	s.CanCancel, s.TwoAtOnce = p.Limits.Cancel, p.Limits.SecondCopies
	s.Instances, s.LinkKB = at(sp.CountByZone, p.Zone), at(sp.Links, p.Zone)
	s.MostPulls, s.PaceKB = p.Limits.TryLimit, sp.Pace
	s.Edge = director.Warming{From: c.ColdFrom, Time: span(c.Cold), Multiple: c.Multiple, Window: span(c.Window)}
	s.Parent = director.Warming{
		From: sp.ColdFrom, Time: span(sp.WarmsIn), Multiple: sp.FallMultiple, Window: span(c.Window),
	}
	s.PurgeKept = span(sp.GoneEverywhere)
	if p.Limits.RetryAfter {
		s.MaxComeBack = span(p.Limits.MaxRetryAfter)
	}
	for i, lane := range p.Lanes {
		repeat, ok := repeats[lane.Repeat]
		if !ok {
			return s, fmt.Errorf("params: repeat %q is not known", lane.Repeat)
		}
		scope, ok := scopes[lane.DedupScope]
		if !ok {
			return s, fmt.Errorf("params: dedup-scope %q is not known", lane.DedupScope)
		}
		s.Types = append(s.Types, &director.ContentType{
			TargetTime: span(lane.Aim), Stretch: lane.Stretch, Expiry: span(lane.HardLimit),
			Repeat: repeat, Scope: scope, Window: span(lane.DedupWindow),
			Benefit: lane.Value, LateBenefit: lane.LateWorth,
			Fresh: span(at(sp.MaxAge, i)), Grace: span(at(sp.OlderBy, i)), StaleBenefit: at(sp.OldCopyWorth, i),
			PassThrough: at(sp.GoesThrough, i),
		})
	}
	return s, nil
}

func span(ms float64) director.Micros { return director.Micros(math.Round(ms * 1000)) }

// at gives a list's entry, or the zero value where the list is shorter.
func at[T any](list []T, i int) (value T) {
	if i < len(list) {
		value = list[i]
	}
	return value
}
