package membership

import (
	"fmt"
	"maps"
	"slices"

	"tallyproxy/internal/boolean"
	"tallyproxy/policy"
)

// Report is a director's view in the form that the state socket serves.
type Report struct {
	Name           string       `json:"name"`            // name of this director
	Incarnation    uint64       `json:"born"`            // of this process
	PartitionState string       `json:"standing"`        // most, few or alone
	Digest         string       `json:"sum"`             // 16 hex digits, equal for equal views
	StableFor      int64        `json:"since"`           // µs since the present peers changed
	AgreeingPeers  int          `json:"sharing"`         // present peers with an equal digest
	NameConflict   string       `json:"clash,omitempty"` // address of a process of the same name
	ZoneQuota      float64      `json:"zone_part"`       // as a multiple of the fixed quota
	FleetQuota     float64      `json:"fleet_part"`      // as a multiple of the fixed quota
	Peers          []PeerReport `json:"peers"`           // by name
}

// PeerReport is the state of one peer as seen by this director.
type PeerReport struct {
	Name        string `json:"name"`  // of the peer
	Incarnation uint64 `json:"born"`  // of the peer's process
	State       string `json:"state"` // up, suspected, failed or left
	StateAge    int64  `json:"since"` // µs since the state changed
	Agrees      bool   `json:"alike"` // the peer is present, and its last received digest is equal
}

// Report returns the report at the given time.
func (v *View) Report(now policy.Micros) Report {
	r := Report{
		Name:           v.settings.Name,
		Incarnation:    v.settings.Incarnation,
		PartitionState: v.PartitionState().String(),
		Digest:         formatDigest(v.digest),
		StableFor:      int64(v.StableFor(now)),
		NameConflict:   v.nameConflict,
	}
	r.ZoneQuota, _ = v.Quota(now, ScopeZone)
	r.FleetQuota, _ = v.Quota(now, ScopeFleet)
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.peers[name]
		agrees := p.present() && p.digestReceivedAt > 0 && p.digest == v.digest
		r.AgreeingPeers += boolean.Int(agrees)
		r.Peers = append(r.Peers, PeerReport{
			Name: name, Incarnation: p.incarnation, State: p.state.String(), StateAge: int64(now - p.stateSince), Agrees: agrees,
		})
	}
	return r
}

// formatDigest formats a digest as 16 hexadecimal digits.
func formatDigest(digest uint64) string { return fmt.Sprintf("%016x", digest) }
