package gossip

import (
	"testing"

	"tallyproxy/internal/goldentest"
)

// TestGoldenUpdate guards against changes of the encoded update, which directors of different
// versions exchange during a rolling upgrade. The expected texts were recorded from a version in
// service.
func TestGoldenUpdate(t *testing.T) {
	goldentest.JSON(t, Update{Object: "o", Group: 1, PurgedAt: 2, Node: "n", Started: 3, Removed: true, Age: 4},
		`{"o":"o","g":1,"t":2,"n":"n","s":3,"x":true,"a":4}`)
	goldentest.JSON(t, Update{}, `{"a":0}`)
	goldentest.JSON(t, Update{Object: "a", Group: -1, PurgedAt: 1500000}, `{"o":"a","g":-1,"t":1500000,"a":0}`)
	goldentest.JSON(t, Update{Node: "box-1", Started: 7, Age: 20}, `{"n":"box-1","s":7,"a":20}`)
}

// TestGoldenReport guards against changes of the report's JSON, which the state socket serves.
func TestGoldenReport(t *testing.T) {
	goldentest.JSON(t, Report{ChannelAge: 1, NewestAge: 2, Avoided: []string{"box-1"}, Received: 3}, `{"own_age_us":1,"newest_age_us":2,"avoided":["box-1"],"heard":3}`)
	goldentest.JSON(t, Report{}, `{"own_age_us":0,"newest_age_us":0,"avoided":null,"heard":0}`)
}

// TestGoldenRecentPurges guards against changes of the digest of recent purges, which directors of
// different versions compare.
func TestGoldenRecentPurges(t *testing.T) {
	store := New(0, Settings{Retention: 600, MaxUpdates: 10, MaxEntries: 100})
	if _, digest := store.RecentPurges(50); digest != 0xcbf29ce484222325 {
		t.Errorf("digest of no purges is %#x", digest)
	}
	store.RecordPurge(100, Update{Object: "x", Group: -1, PurgedAt: 5})
	store.RecordPurge(110, Update{Group: 3, PurgedAt: 6})
	if _, digest := store.RecentPurges(120); digest != 0xdad473e0ab7a47b5 {
		t.Errorf("digest of two purges is %#x", digest)
	}
}
