package relays

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"tallyproxy/policy"
)

// maxListLength is the maximum number of endpoints in a list accepted from another director.
const maxListLength = 8192

// maxEndpointBytes is the maximum length of the ID and the address of such an endpoint together, in
// bytes.
const maxEndpointBytes = 512

// sumBytes is the number of bytes of the SHA-256 hash that a sum keeps.
const sumBytes = 12

// Endpoint is an endpoint as listed by the channel. Directors exchange its JSON form, and Sum
// hashes it.
type Endpoint struct {
	ID      string  `json:"i"`           // equal at every director
	Address string  `json:"a"`           // host and port
	Zone    int     `json:"z"`           // index in the settings' zones
	Kind    int     `json:"k"`           // index in the settings' machine kinds
	Cell    int     `json:"c,omitempty"` // cell of the zone
	Weight  float64 `json:"w"`           // size; not negative
	// Started is the latest start in microseconds since 1970, or 0 if that was long ago.
	Started policy.Micros        `json:"s,omitempty"`
	State   policy.EndpointState `json:"x,omitempty"` // ready or draining; removed only in changes
}

// Merge applies changes to a list that is keyed by ID. A snapshot replaces the whole list. Removed
// endpoints are deleted.
func Merge(list map[string]Endpoint, changes []Endpoint, snapshot bool) {
	if snapshot {
		clear(list)
	}
	for _, endpoint := range changes {
		if endpoint.State == policy.Removed {
			delete(list, endpoint.ID)
		} else {
			list[endpoint.ID] = endpoint
		}
	}
}

// SortedEndpoints returns the endpoints of a list in ascending order of ID, or nil if the list is
// empty.
func SortedEndpoints(list map[string]Endpoint) (endpoints []Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(list)) {
		endpoints = append(endpoints, list[id])
	}
	return endpoints
}

// Diff returns the changes that turn list into to: first the endpoints that are new or different,
// in the order of to, then the endpoints that to lacks, marked as removed, in ascending order of
// ID.
func Diff(list map[string]Endpoint, to []Endpoint) (changes []Endpoint) {
	present := make(map[string]bool, len(to))
	for _, endpoint := range to {
		present[endpoint.ID] = true
		if list[endpoint.ID] != endpoint {
			changes = append(changes, endpoint)
		}
	}
	for _, endpoint := range SortedEndpoints(list) {
		if !present[endpoint.ID] {
			endpoint.State = policy.Removed
			changes = append(changes, endpoint)
		}
	}
	return changes
}

// Sum identifies a list. Lists with equal endpoints in equal order have the same sum at every
// director.
func Sum(endpoints []Endpoint) string {
	// Marshal fails only for infinite weights, which the channel's JSON cannot contain.
	raw, _ := json.Marshal(endpoints)
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:sumBytes])
}

// valid reports whether a list can be used with the settings. The list of another fleet may contain
// zones and kinds that the settings do not name.
func (s Settings) valid(endpoints []Endpoint) bool {
	if len(endpoints) > maxListLength {
		return false
	}
	for _, endpoint := range endpoints {
		if !s.validEndpoint(endpoint) {
			return false
		}
	}
	return true
}

// validEndpoint reports whether an endpoint can be used with the settings.
func (s Settings) validEndpoint(e Endpoint) bool {
	return e.ID != "" && len(e.ID)+len(e.Address) <= maxEndpointBytes &&
		e.Zone >= 0 && e.Zone < s.ZoneCount &&
		e.Kind >= 0 && e.Kind < s.KindCount &&
		(e.State == policy.Ready || e.State == policy.Draining) &&
		e.Weight >= 0
}
