package simadapter

import (
	"testing"

	"tallyproxy/policy"
)

// TestRemarksKeepTheirNumbers guards against renumbered cache statuses: the protocol's field
// "remark" holds the number of a policy.CacheStatus.
func TestRemarksKeepTheirNumbers(t *testing.T) {
	for remark, status := range map[int]policy.CacheStatus{
		0: policy.Unknown, 1: policy.Hit, 2: policy.Filled, 3: policy.FilledByOrigin, 4: policy.Coalesced, 5: policy.Stale,
		6: policy.SourceRejected, 7: policy.SourceUnavailable, 8: policy.SourceMiss, 9: policy.CacheFull, 10: policy.OriginFailed,
	} {
		if int(status) != remark {
			t.Errorf("cache status is %d, want %d as in the protocol", status, remark)
		}
	}
}
