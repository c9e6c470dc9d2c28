package relays

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"tallyproxy/policy"
)

// maxListLength bounds the endpoints of a list that is taken from another director.
const maxListLength = 8192

// maxEndpointBytes bounds the name and the address of such an endpoint together.
const maxEndpointBytes = 512

// sumBytes is how much of the SHA-256 hash a sum keeps.
const sumBytes = 12

// Endpoint is an endpoint as the channel lists it. Its JSON is exchanged by directors, and Sum hashes it.
type Endpoint struct {
	ID      string               `json:"i"`           // the same at every director
	Address string               `json:"a"`           // host and port
	Zone    int                  `json:"z"`           // index of the settings' zones
	Kind    int                  `json:"k"`           // index of the settings' machine kinds
	Cell    int                  `json:"c,omitempty"` // cell of its zone
	Weight  float64              `json:"w"`           // size; not negative
	Started policy.Micros        `json:"s,omitempty"` // latest start, in microseconds since 1970; 0 for long ago
	State   policy.EndpointState `json:"x,omitempty"` // ready or draining; removed in changes only
}

// Merge applies changes to a list, which is keyed by ID. A snapshot replaces the whole list. Removed endpoints are deleted.
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

// SortedEndpoints returns a list's endpoints by ascending ID; nil where there are none.
func SortedEndpoints(list map[string]Endpoint) (endpoints []Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(list)) {
		endpoints = append(endpoints, list[id])
	}
	return endpoints
}

// Diff returns the changes that turn a list into another: endpoints that are new or differ, in the other's order, then those that are
// gone, as removed ones by ascending ID.
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

// Sum identifies a list: two lists have the same sum if their endpoints are the same in the same order, whichever director computes it.
func Sum(endpoints []Endpoint) string {
	raw, _ := json.Marshal(endpoints) // fails for infinite weights only, which the channel's JSON can't hold
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:sumBytes])
}

// valid reports whether a list can be used with the settings. A list of another fleet has zones and kinds that they don't name.
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

func (s Settings) validEndpoint(e Endpoint) bool {
	return e.ID != "" && len(e.ID)+len(e.Address) <= maxEndpointBytes &&
		e.Zone >= 0 && e.Zone < s.ZoneCount &&
		e.Kind >= 0 && e.Kind < s.KindCount &&
		(e.State == policy.Ready || e.State == policy.Draining) &&
		e.Weight >= 0
}
