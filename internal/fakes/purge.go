package fakes

import (
	"fmt"
	"strconv"
	"time"
)

// Purge invalidates the copies of an object, or of all objects of a group if object is empty, and
// publishes the purge.
func (c *Cluster) Purge(object string, group int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	drop := map[string]any{"when": time.Now().UnixMilli()}
	key := objectKey(object)
	if object != "" {
		drop["id"] = object
	} else {
		drop["family"] = group
		key = groupKey(group)
	}
	c.purgedAt[key] = c.now()
	c.publish(map[string]any{"drop": drop})
}

func objectKey(object string) string { return "object " + object }

func groupKey(group int) string { return fmt.Sprint("group ", group) }

// mayHoldCopy reports whether a node may still hold a copy issued by the origin at born. Nodes drop
// copies that were purged more than purgeRetention ago; the settings of directors state this time.
// The caller holds the lock.
func (c *Cluster) mayHoldCopy(object string, born time.Time) bool {
	number, _ := strconv.ParseUint(object, 16, 64) // an invalid object ID belongs to group 0
	for _, key := range []string{objectKey(object), groupKey(groupOf(number))} {
		if at := c.purgedAt[key]; at > 0 && c.now() > at+purgeRetention && born.Before(c.startedAt.Add(at)) {
			return false
		}
	}
	return true
}

// latestEnforceablePurge returns the time of the last purge of an object that a director must
// observe for a request sent at requestedAt; 0 if there is none.
func (c *Cluster) latestEnforceablePurge(object string, group int, requestedAt time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := time.Duration(0)
	for _, key := range []string{objectKey(object), groupKey(group)} {
		if at := c.purgedAt[key]; at > 0 && c.channelState.knownFrom(at)+purgeDeadline <= requestedAt {
			latest = max(latest, at)
		}
	}
	return latest
}
