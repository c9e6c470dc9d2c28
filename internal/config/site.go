package config

import (
	"fmt"
	"math"

	"tallyproxy/policy"
)

// Site is the platform's settings for a director, with the names that the protocols use for content
// types, zones and kinds of machines.
type Site struct {
	policy.Settings
	TypeNames  []string // of content types, by index in ContentTypes
	ZoneNames  []string // by number
	KindNames  []string // of machines, by number
	Weights    string   // value of the key "weights"
	NoteLevel  string   // value of the key "specifics.note-level"
	AllowPeers bool     // directors may communicate with each other
}

// shape is the format of a deployment's endpoint lists and answers. Lists and answers must have the
// same shape. Otherwise, halfway through a migration, a director would place objects by node sizes
// and still expect cache notes that answers no longer carry, or get neither sizes nor notes.
type shape string

const (
	oldShape shape = "old" // nodes count as equal, answers report cache hits
	newShape shape = "new" // nodes have their registered sizes, answers report nothing
)

// The shape that each value of the two keys stands for.
var (
	weightsShapes   = map[string]shape{"": oldShape, "silent": oldShape, "nominal": newShape, "rough": newShape}
	noteLevelShapes = map[string]shape{"": oldShape, "all": oldShape, "hit": oldShape, "silent": newShape}
)

// noteLevelAll is the note level at which answers report how a fill went and why it failed.
const noteLevelAll = "all"

var retrySafeties = map[string]policy.RetrySafety{
	"free": policy.Idempotent, "guarded": policy.IdempotentWithKey, "single_shot": policy.NotIdempotent,
}

var dedupScopes = map[string]policy.DedupScope{
	"": policy.DedupScopeAll, "all": policy.DedupScopeAll, "zone": policy.DedupScopeZone, "cell": policy.DedupScopeCell,
}

// noKind stands for a kind of machine that the deployment does not have.
const noKind = -1

// ParseSite reads the JSON of the platform's settings, which is the value of the key "settings" of
// a director's file and is also sent by the simulator. It does not check values that only a
// director with sockets needs. Errors are of type KeyError or JSON syntax errors.
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

// policySettings converts all settings except the content types.
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

// contentType converts the content type with the given number.
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

// check returns an error for the first key without which a director with sockets can't run.
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

// checkShape returns an error unless both keys that determine the shape have known values and
// agree.
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

// laneKey returns the full name of a key of the content type with the given number.
func laneKey(number int, key string) string { return fmt.Sprintf("lanes[%d].%s", number, key) }

// micros converts milliseconds, rounded to the nearest microsecond.
func micros(milliseconds float64) policy.Micros {
	return policy.Micros(math.Round(milliseconds * 1000))
}

// kindOrNone returns the number of a kind of machine, or noKind if the settings name none.
func kindOrNone(kind *int) int {
	if kind == nil {
		return noKind
	}
	return *kind
}

// elementOrZero returns the element at index i, or the zero value if the list is shorter.
func elementOrZero[T any](list []T, i int) (value T) {
	if i >= 0 && i < len(list) {
		value = list[i]
	}
	return value
}
