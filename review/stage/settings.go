package stage

import "encoding/json"

// Map is a JSON object.
type Map = map[string]any

// Settings returns settings like those of a small deployment of depot-caches: two hubs, one depot
// and three classes. A case may change them before it makes a configuration of them.
func Settings(directors int) Map {
	return Map{
		"me": 0, "n-instances": directors, "tier": 0, "tiers": []string{"cache-boxes"}, "counted-by": "request", "domain-type": "edge",
		"membership-mode": "pushed", "weights": "silent", "tick": 2, "over-share-worth": 0.1, "accounts": []any{},
		"zone": 2, "zones": []string{"north", "south", "depot-1"}, "machine-types": []string{"compact", "standard", "parent", "origin"},
		"callers": Map{"marks-retry": true},
		"contract": Map{"cold": 12000, "cold-from": 0.18, "grace-to-answer": 8, "must-ask-in": 10000, "overload-for": 3000,
			"stop-sending-within": 1000, "tip-multiple": 4},
		"lanes": []Map{
			{"name": "preview-clip", "aim": 400, "aim-stretch": 2, "hard-limit": 6000, "repeat": "free", "stream": false, "value": 2, "late-worth": 0.1},
			{"name": "thumbnail", "aim": 250, "aim-stretch": 2, "hard-limit": 3000, "repeat": "free", "stream": false, "value": 1, "late-worth": 0.1},
			{"name": "cover-pick", "aim": 700, "aim-stretch": 0, "hard-limit": 3000, "repeat": "guarded", "dedup-scope": "all", "dedup-window": 3000,
				"stream": false, "value": 3, "late-worth": 0.1},
		},
		"limits": Map{"cancel": true, "connect-timeout": 400, "cpu-us-per-request": 0, "cpu-us-per-s": 500000, "keepalive": 30000,
			"max-retry-after": 2000, "max-streams": 100, "may-probe": true, "most-held": 20000, "peers": false, "retry-after": true,
			"second-copies": false, "try-limit": 8},
		"telemetry":   Map{"fields": []string{}, "how": "silent"},
		"scoring-mix": Map{"whole": 0.65, "worst-class": 0.2, "worst-tenant": 0, "worst-window": 0.15},
		"specifics": Map{"count-by-zone": []int{0, 0, directors}, "goes-through": []bool{false, false, true}, "gone-everywhere": 6000,
			"hub-of": []int{0, 1, 0}, "in-pieces": []bool{true, false, false}, "max-age": []int{0, 0, 0}, "older-by": []int{0, 0, 0},
			"note-level": "all", "old-copy-worth": []float64{0, 0, 0}, "origin-kind": 3, "shield-kind": 2, "origin-limit-factor": 0,
			"pace-kb-per-s": 8000, "parent-cold-from": 0.064, "parent-fall-multiple": 2, "parent-warms-in": 21000,
			"pipe-kb-per-s": []int{0, 0, 90000}, "purge-grace": 500, "root-fall": 3000, "shares-fills": false, "siblings": "any",
			"straight": false, "transit-price": 0.02},
	}
}

// Lane returns the settings of a class.
func Lane(settings Map, name string) Map {
	for _, lane := range settings["lanes"].([]Map) {
		if lane["name"] == name {
			return lane
		}
	}
	return nil
}

// Limits are the limits of a director's machine.
type Limits struct {
	Cores    float64
	MemoryMB int
	Sockets  int
}

// Config returns the platform's file of a director.
func Config(name, listen, channel string, known, settings Map, limits Limits) []byte {
	raw, err := json.Marshal(Map{
		"name": name, "listen": listen, "seed": Hex(16), "channel": channel, "known": known, "settings": settings,
		"limits":           Map{"cores": limits.Cores, "memory_mb": limits.MemoryMB, "sockets": limits.Sockets},
		"flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
	})
	if err != nil {
		panic(err) // all values can be encoded
	}
	return raw
}
