package membership

import "testing"

func TestPartitionState(t *testing.T) {
	cluster := newTestCluster(5)
	for i, want := range []PartitionState{Majority, Majority, Majority, Minority, Isolated} {
		if i > 0 {
			cluster.setState(i, Failed)
		}
		if got := cluster.views[0].PartitionState(); got != want {
			t.Errorf("%d failed: %v, want %v", i, got, want)
		}
	}
	if r := cluster.views[0].Report(cluster.now); len(r.Peers) != 4 || r.PartitionState != "alone" || r.ZoneQuota != 1 {
		t.Errorf("%+v", r)
	}
}
