package fakes

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// zoneName returns the name of zone i. Directors hash zone names, so the names must not change.
func zoneName(i int) string {
	if i == 0 {
		return "town"
	}
	return fmt.Sprint("town-", i)
}

// trailingNumber returns the number at the end of a name, or 0 if there is none.
func trailingNumber(name string) int {
	n, _ := strconv.Atoi(name[len(strings.TrimRight(name, "0123456789")):])
	return n
}

// ZoneOf returns the zone of the named cache node or director, which follows from the number at the
// end of the name.
func (c *Cluster) ZoneOf(name string) int { return trailingNumber(name) % len(c.links) }

// transferKBPerSecond is the full rate of one transfer in the settings of directors. Capacities are
// counted in transfers at this rate.
const transferKBPerSecond = 2000.0

// Config returns the platform's JSON configuration for the named director, which listens at the
// given address.
func (c *Cluster) Config(name, listen string, sockets, memoryMB int, cores float64) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, err := json.Marshal(map[string]any{
		"name": name, "listen": listen, "seed": fmt.Sprintf("%016x", c.Seed), "channel": c.channelAddress(name),
		"limits":   map[string]any{"cores": cores, "memory_mb": memoryMB, "sockets": sockets},
		"known":    map[string]any{"cursor": len(c.events), "cmds": c.events},
		"settings": c.settings(name),
	})
	if err != nil {
		panic(err) // cannot happen: all values are encodable as JSON
	}
	return text
}

func (c *Cluster) settings(name string) map[string]any {
	zones, links, counts := []string{hubZone}, []float64{0}, []int{0}
	for i := range c.links {
		zones = append(zones, zoneName(i))
		links = append(links, c.LinkCapacity*transferKBPerSecond)
		counts = append(counts, (c.Directors+len(c.links)-1-i)/len(c.links))
	}
	var lanes, maxAge, passesThrough, inParts []any
	for _, t := range c.ContentTypes {
		lanes = append(lanes, t.lane())
		maxAge = append(maxAge, 0)
		passesThrough = append(passesThrough, t.Uncacheable)
		inParts = append(inParts, false)
	}
	return map[string]any{
		"zone": 1 + c.ZoneOf(name), "zones": zones, "machine-types": []string{"edge", "parent", "origin"}, "lanes": lanes,
		"contract": map[string]any{"cold": c.EdgeSlowStart.Milliseconds(), "cold-from": c.EdgeInitialShare, "grace-to-answer": 8,
			"overload-for": c.OverloadWindow.Milliseconds(), "tip-multiple": c.EdgeOverloadFactor, "stop-sending-within": 1000},
		"limits": map[string]any{"cancel": true, "try-limit": 8, "retry-after": true, "peers": true,
			"max-retry-after": c.MaxRetryAfter.Milliseconds(), "connect-timeout": 400, "keepalive": 30000,
			"max-streams": 100},
		"specifics": map[string]any{"origin-kind": 2, "shield-kind": 1, "max-age": maxAge, "goes-through": passesThrough,
			"in-pieces": inParts, "note-level": "all", "shares-fills": true, "purge-grace": 500,
			"gone-everywhere": purgeRetention.Milliseconds(), "pace-kb-per-s": transferKBPerSecond,
			"pipe-kb-per-s": links, "count-by-zone": counts,
			"parent-cold-from": c.ParentInitialShare, "parent-warms-in": c.ParentSlowStart.Milliseconds(),
			"parent-fall-multiple": c.ParentOverloadFactor},
	}
}

// lane returns the settings of a content type.
func (t *ContentType) lane() map[string]any {
	lane := map[string]any{
		"name": t.Name, "aim": t.LatencyObjective.Milliseconds(), "aim-stretch": t.TransferFactor,
		"hard-limit": t.Timeout.Milliseconds(), "repeat": "free", "value": t.PriorityWeight, "late-worth": 0.1,
	}
	if t.IdempotentWithKey {
		lane["repeat"], lane["dedup-window"], lane["dedup-scope"] = "guarded", t.DedupWindow.Milliseconds(), "all"
	}
	return lane
}
