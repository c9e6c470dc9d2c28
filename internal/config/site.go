package config

import (
	"fmt"
	"math"

	"tallyproxy/policy"
)

// Site is the platform's settings of a director's location, with the names that the protocols use for content types, zones and
// kinds of machines.
type Site struct {
	policy.Settings
	TypeNames  []string // of content types, by their index in ContentTypes
	ZoneNames  []string // by number
	KindNames  []string // of machines, by number
	Weights    string   // the key "weights" as it was given
	NoteLevel  string   // the key "specifics.note-level" as it was given
	AllowPeers bool     // directors may talk to each other
}

// shape is the format of a deployment's endpoint lists and answers. Both must be of one shape: with half of a move to the new
// one, a director would place objects by sizes and learn from notes that are not there, or the other way round.
type shape string

const (
	oldShape shape = "old" // nodes count as equal, answers tell of hits
	newShape shape = "new" // nodes have their registered sizes, answers tell nothing
)

// The shapes by the words of the two keys that tell them.
var (
	weightsShapes   = map[string]shape{"": oldShape, "silent": oldShape, "nominal": newShape, "rough": newShape}
	noteLevelShapes = map[string]shape{"": oldShape, "all": oldShape, "hit": oldShape, "silent": newShape}
)

// noteLevelAll is the note level at which answers tell how a fill went and why it failed.
const noteLevelAll = "all"

var retrySafeties = map[string]policy.RetrySafety{
	"free": policy.Idempotent, "guarded": policy.IdempotentWithKey, "single_shot": policy.NotIdempotent,
}

var dedupScopes = map[string]policy.DedupScope{
	"": policy.DedupScopeAll, "all": policy.DedupScopeAll, "zone": policy.DedupScopeZone, "cell": policy.DedupScopeCell,
}

// noKind is the number of a kind of machine that there is none of.
const noKind = -1

// ParseSite reads the JSON of the platform's settings: the key "settings" of a director's file, and what the simulator sends.
// Values that only sockets need are not checked. Errors are of type KeyError, or of the JSON syntax.
func ParseSite(raw []byte) (Site, error) {
	var p platformSettings
	if err := unmarshal(raw, &p); err != nil {
		return Site{}, err
	}
	s := Site{
		Settings: p.policySettings(), ZoneNames: p.Zones, KindNames: p.Kinds,
		Weights: p.Weights, NoteLevel: p.Specifics.NoteLevel, AllowPeers: p.Limits.AllowPeers,
	}
	for i, lane := range p.Lanes {
		contentType, err := p.contentType(i)
		if err != nil {
			return s, err
		}
		s.TypeNames = append(s.TypeNames, lane.Name)
		s.ContentTypes = append(s.ContentTypes, contentType)
	}
	return s, nil
}

// policySettings translates all but the content types.
func (p *platformSettings) policySettings() policy.Settings {
	contract, limits, specifics := p.Contract, p.Limits, p.Specifics
	s := policy.Settings{
		Zone:                p.Zone,
		ZoneDirectors:       elementOrZero(specifics.DirectorsByZone, p.Zone),
		FillLinkKBPerSecond: elementOrZero(specifics.FillLinkKBPerSecond, p.Zone),
		ParentKind:          kindOrNone(specifics.ParentKind),
		OriginKind:          kindOrNone(specifics.OriginKind),
		AllowDirect:         specifics.AllowDirect,
		CoalesceFills:       specifics.CoalesceFills,
		ReportsCacheStatus:  specifics.NoteLevel == noteLevelAll,
		WeightsAreSizes:     weightsShapes[p.Weights] == newShape,
		CanCancel:           limits.CanCancel,
		ConcurrentAttempts:  limits.ConcurrentAttempts,
		MaxAttempts:         limits.MaxAttempts,
		TransferKBPerSecond: specifics.TransferKBPerSecond,
		EdgeSlowStart: policy.SlowStart{
			InitialShare: contract.SlowStartInitialShare, Duration: micros(contract.SlowStartDuration),
			OverloadFactor: contract.OverloadFactor, OverloadWindow: micros(contract.OverloadWindow),
		},
		ParentSlowStart: policy.SlowStart{
			InitialShare: specifics.ParentInitialShare, Duration: micros(specifics.ParentSlowStart),
			OverloadFactor: specifics.ParentOverloadFactor, OverloadWindow: micros(contract.OverloadWindow),
		},
		PurgeRetention:       micros(specifics.PurgeRetention),
		PurgePropagation:     micros(specifics.PurgePropagation),
		DrainPropagation:     micros(contract.DrainPropagation),
		AnswerGrace:          micros(contract.AnswerGrace),
		ConnectTimeout:       micros(limits.ConnectTimeout),
		KeepAliveTimeout:     micros(limits.KeepAliveTimeout),
		MaxConcurrentStreams: limits.MaxConcurrentStreams,
	}
	for _, directors := range specifics.DirectorsByZone {
		s.TotalDirectors += directors
	}
	if limits.RetryAfter {
		s.MaxRetryAfter = micros(limits.MaxRetryAfter)
	}
	return s
}

// contentType translates the content type of a number.
func (p *platformSettings) contentType(number int) (*policy.ContentType, error) {
	lane, specifics := p.Lanes[number], p.Specifics
	safety, ok := retrySafeties[lane.RetrySafety]
	if !ok {
		return nil, keyErrorf(laneKey(number, "repeat"), "%q is not known", lane.RetrySafety)
	}
	scope, ok := dedupScopes[lane.DedupScope]
	if !ok {
		return nil, keyErrorf(laneKey(number, "dedup-scope"), "%q is not known", lane.DedupScope)
	}
	return &policy.ContentType{
		LatencyObjective: micros(lane.LatencyObjective),
		TransferFactor:   lane.TransferFactor,
		Timeout:          micros(lane.Timeout),
		RetrySafety:      safety,
		DedupScope:       scope,
		DedupWindow:      micros(lane.DedupWindow),
		PriorityWeight:   lane.PriorityWeight,
		LateWeight:       lane.LateWeight,
		TTL:              micros(elementOrZero(specifics.TTL, number)),
		Uncacheable:      elementOrZero(specifics.Uncacheable, number),
		Unsplit:          number < len(specifics.Split) && !specifics.Split[number],
	}, nil
}

// check names the first key that a director with sockets can't do without.
func (s Site) check() error {
	if err := s.checkShape(); err != nil {
		return err
	}
	for i, name := range s.TypeNames {
		if name == "" {
			return &KeyError{laneKey(i, "name"), ErrMissing}
		}
		if s.ContentTypes[i].Timeout <= 0 {
			return &KeyError{laneKey(i, "hard-limit"), errNotPositive}
		}
	}
	switch {
	case len(s.TypeNames) == 0:
		return &KeyError{"lanes", ErrMissing}
	case s.Zone < 0 || s.Zone >= len(s.ZoneNames):
		return keyErrorf("zone", "%d is not in zones", s.Zone)
	case s.OriginKind < 0 || s.OriginKind >= len(s.KindNames):
		return keyErrorf("specifics.origin-kind", "%d is not in machine-types", s.OriginKind)
	case s.ConnectTimeout <= 0:
		return &KeyError{"limits.connect-timeout", errNotPositive}
	case s.KeepAliveTimeout <= 0:
		return &KeyError{"limits.keepalive", errNotPositive}
	case s.MaxAttempts <= 0:
		return &KeyError{"limits.try-limit", errNotPositive}
	case s.PurgeRetention <= 0:
		return &KeyError{"specifics.gone-everywhere", errNotPositive}
	}
	return nil
}

// checkShape says whether both keys that tell a shape are known and tell the same one.
func (s Site) checkShape() error {
	weights, ok := weightsShapes[s.Weights]
	if !ok {
		return keyErrorf("weights", "%q is not silent, nominal or rough", s.Weights)
	}
	notes, ok := noteLevelShapes[s.NoteLevel]
	if !ok {
		return keyErrorf("specifics.note-level", "%q is not all, hit or silent", s.NoteLevel)
	}
	if weights != notes {
		return keyErrorf("specifics.note-level", "%q is of the %s shape, but weights %q of the %s one",
			s.NoteLevel, notes, s.Weights, weights)
	}
	return nil
}

// laneKey is the full name of a key of the content type of a number.
func laneKey(number int, key string) string { return fmt.Sprintf("lanes[%d].%s", number, key) }

// micros converts milliseconds, rounded to the nearest microsecond.
func micros(milliseconds float64) policy.Micros {
	return policy.Micros(math.Round(milliseconds * 1000))
}

// kindOrNone is the number of a kind of machine, or noKind where the settings name none.
func kindOrNone(kind *int) int {
	if kind == nil {
		return noKind
	}
	return *kind
}

// elementOrZero gives a list's element, or the zero value where the list is shorter.
func elementOrZero[T any](list []T, i int) (value T) {
	if i >= 0 && i < len(list) {
		value = list[i]
	}
	return value
}
