package membership

import "testing"

// TestPartitionState guards against a wrong partition state as one peer after another fails.
func TestPartitionState(t *testing.T) {
	cluster := newTestCluster(5)
	for i, want := range []PartitionState{Majority, Majority, Majority, Minority, Isolated} {
		if i > 0 {
			cluster.setState(i, Failed)
		}
		if got := cluster.views[0].PartitionState(); got != want {
			t.Errorf("%d peers failed: partition state is %v, want %v", i, got, want)
		}
	}
	if r := cluster.views[0].Report(cluster.now); len(r.Peers) != 4 || r.PartitionState != "alone" || r.ZoneQuota != 1 {
		t.Errorf("report after the failure of all peers is %+v", r)
	}
}
