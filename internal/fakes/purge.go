package fakes

import (
	"fmt"
	"strconv"
	"time"
)

// Purge voids the copies of an object, or where it is empty those of a group, and publishes that.
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

// mayKeep says whether a node may still hold a copy. Nodes drop what was purged longer than purgeRetention ago, which is what directors
// are told of them. The caller holds the lock.
func (c *Cluster) mayKeep(object string, born time.Time) bool {
	number, _ := strconv.ParseUint(object, 16, 64) // an object that is no number is of group 0
	for _, key := range []string{objectKey(object), groupKey(groupOf(number))} {
		if at := c.purgedAt[key]; at > 0 && c.now() > at+purgeRetention && born.Before(c.startedAt.Add(at)) {
			return false
		}
	}
	return true
}

// bindingPurge returns when copies of an object were last purged of which directors had to know at a time; 0 for never.
func (c *Cluster) bindingPurge(object string, group int, asked time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := time.Duration(0)
	for _, key := range []string{objectKey(object), groupKey(group)} {
		if at := c.purgedAt[key]; at > 0 && c.channelState.knownFrom(at)+purgeDeadline <= asked {
			latest = max(latest, at)
		}
	}
	return latest
}
