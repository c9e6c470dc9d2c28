package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"tallyproxy/policy"
)

// params are the start-up settings in the wire's words; keys that are not named here are skipped.
type params struct {
	Contract struct {
		Cold     float64 `json:"cold"`
		ColdFrom float64 `json:"cold-from"`
		Window   float64 `json:"overload-for"`
		Multiple float64 `json:"tip-multiple"`
		Grace    float64 `json:"grace-to-answer"`
		Drain    float64 `json:"stop-sending-within"`
	} `json:"contract"`
	Lanes []struct {
		Name        string  `json:"name"`
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
		Connect       float64 `json:"connect-timeout"`
		KeepAlive     float64 `json:"keepalive"`
		Streams       int     `json:"max-streams"`
		Peers         bool    `json:"peers"`
	} `json:"limits"`
	Specifics struct {
		GoesThrough    []bool    `json:"goes-through"`
		GoneEverywhere float64   `json:"gone-everywhere"`
		PurgeGrace     float64   `json:"purge-grace"`
		MaxAge         []float64 `json:"max-age"`
		InPieces       []bool    `json:"in-pieces"`
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
	Zone    int      `json:"zone"`
	Zones   []string `json:"zones"`
	Kinds   []string `json:"machine-types"`
	Weights string   `json:"weights"`
}

// Site is the settings with the names that the protocols use for what is counted there.
type Site struct {
	policy.Settings
	TypeNames, ZoneNames, KindNames []string
	Weights, NoteLevel              string // as they were given, for the check of the shape
	AllowPeers                      bool   // directors may talk to each other
}

// The two shapes of a deployment, by the words of the two keys that tell them apart: the old one with nodes of one
// size and answers that tell hits, the new one with nodes of their registered sizes and answers that tell nothing.
var (
	weightsShape = map[string]string{"": "old", "silent": "old", "nominal": "new", "rough": "new"}
	notesShape   = map[string]string{"": "old", "all": "old", "hit": "old", "silent": "new"}
)

var repeats = map[string]policy.RetrySafety{
	"free": policy.Idempotent, "guarded": policy.IdempotentWithKey, "single_shot": policy.NotIdempotent,
}

var scopes = map[string]policy.DedupScope{
	"": policy.DedupScopeAll, "all": policy.DedupScopeAll, "zone": policy.DedupScopeZone, "cell": policy.DedupScopeCell,
}

// ParseSite reads the settings' JSON, the same for the bench's wire and for sockets.
func ParseSite(raw []byte) (Site, error) {
	var p params
	var s Site
	if err := unmarshal(raw, &p); err != nil {
		return s, err
	}
	sp, c := p.Specifics, p.Contract
	s.Zone, s.ParentKind, s.OriginKind = p.Zone, -1, -1
	if sp.ShieldKind != nil {
		s.ParentKind = *sp.ShieldKind
	}
	if sp.OriginKind != nil {
		s.OriginKind = *sp.OriginKind
	}
	s.AllowDirect, s.CoalesceFills, s.ReportsCacheStatus = sp.Straight, sp.SharesFills, sp.NoteLevel == "all"
	s.Weights, s.NoteLevel, s.WeightsAreSizes = p.Weights, sp.NoteLevel, weightsShape[p.Weights] == "new"
	s.AllowPeers = p.Limits.Peers
	s.CanCancel, s.ConcurrentAttempts = p.Limits.Cancel, p.Limits.SecondCopies
	s.ZoneDirectors, s.FillLinkKBPerSecond = at(sp.CountByZone, p.Zone), at(sp.Links, p.Zone)
	for _, n := range sp.CountByZone {
		s.TotalDirectors += n
	}
	s.MaxAttempts, s.TransferKBPerSecond = p.Limits.TryLimit, sp.Pace
	s.EdgeSlowStart = policy.SlowStart{InitialShare: c.ColdFrom, Duration: span(c.Cold), OverloadFactor: c.Multiple, OverloadWindow: span(c.Window)}
	s.ParentSlowStart = policy.SlowStart{
		InitialShare: sp.ColdFrom, Duration: span(sp.WarmsIn), OverloadFactor: sp.FallMultiple, OverloadWindow: span(c.Window),
	}
	s.AnswerGrace, s.ConnectTimeout = span(c.Grace), span(p.Limits.Connect)
	s.KeepAliveTimeout, s.MaxConcurrentStreams = span(p.Limits.KeepAlive), p.Limits.Streams
	s.ZoneNames, s.KindNames = p.Zones, p.Kinds
	s.PurgeRetention, s.PurgePropagation, s.DrainPropagation = span(sp.GoneEverywhere), span(sp.PurgeGrace), span(c.Drain)
	if p.Limits.RetryAfter {
		s.MaxRetryAfter = span(p.Limits.MaxRetryAfter)
	}
	for i, lane := range p.Lanes {
		repeat, ok := repeats[lane.Repeat]
		if !ok {
			return s, fmt.Errorf("lanes[%d].repeat: %q is not known", i, lane.Repeat)
		}
		scope, ok := scopes[lane.DedupScope]
		if !ok {
			return s, fmt.Errorf("lanes[%d].dedup-scope: %q is not known", i, lane.DedupScope)
		}
		s.TypeNames = append(s.TypeNames, lane.Name)
		s.Settings.ContentTypes = append(s.Settings.ContentTypes, &policy.ContentType{
			LatencyObjective: span(lane.Aim), TransferFactor: lane.Stretch, Timeout: span(lane.HardLimit),
			RetrySafety: repeat, DedupScope: scope, DedupWindow: span(lane.DedupWindow),
			PriorityWeight: lane.Value, LateWeight: lane.LateWorth,
			TTL:         span(at(sp.MaxAge, i)),
			Uncacheable: at(sp.GoesThrough, i), Unsplit: i < len(sp.InPieces) && !sp.InPieces[i],
		})
	}
	return s, nil
}

func span(ms float64) policy.Micros { return policy.Micros(math.Round(ms * 1000)) }

// at gives a list's entry, or the zero value where the list is shorter.
func at[T any](list []T, i int) (value T) {
	if i < len(list) {
		value = list[i]
	}
	return value
}

// unmarshal reads JSON; its errors name the faulty key.
func unmarshal(raw []byte, to any) error {
	err := json.Unmarshal(raw, to)
	if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) && wrong.Field != "" {
		return fmt.Errorf("%s: a %s can't be used here", wrong.Field, wrong.Value)
	}
	return err
}
