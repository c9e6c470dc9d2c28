package gossip

import (
	"slices"
	"testing"

	"tallyproxy/policy"
)

// TestSnapshot guards against a newly started director with wrong state: a snapshot must contain
// all updates that are in force, and no others.
func TestSnapshot(t *testing.T) {
	now := 100 * policy.Second
	store := New(now, testSettings())
	store.RecordNodes(now, readyNodes(4), true)
	store.RecordNodes(now, []NodeState{{"box-1", 7, policy.Draining}, {"box-2", 7, policy.Draining}}, false)
	store.RecordPurge(now, Update{Object: "old", Group: -1, PurgedAt: 1})
	now += 7 * policy.Second
	store.RecordPurge(now-policy.Second, Update{Group: 3, PurgedAt: 2})
	store.RecordNodes(now, []NodeState{{"box-2", 7, policy.Ready}}, false)
	want := []Update{drain(1), {Group: 3, PurgedAt: 2, Age: policy.Second}}
	got := store.Snapshot(now)
	if !slices.Equal(got, want) {
		t.Errorf("snapshot is %+v", got)
	}
	newDirector := New(now, testSettings())
	if newDirector.Confirms(newDirector.ChannelAge(now)) {
		t.Error("a newly started director confirms the state from its files")
	}
	newDirector.RecordNodes(now-policy.Second, readyNodes(4), true)
	for _, u := range got {
		if apply, _ := newDirector.Received(now, "n1", u); !apply {
			t.Errorf("%+v is not applied by a newly started director", u)
		}
	}
	if !store.Confirms(3*policy.Second) || store.Confirms(3*policy.Second+1) || store.Confirms(-1) {
		t.Error("Confirms accepts or rejects the wrong channel ages")
	}
	for _, x := range []struct {
		roundTrip, age policy.Micros
		want           bool
	}{{0, 0, true}, {testSettings().ConfirmTimeout, 3 * policy.Second, true}, {testSettings().ConfirmTimeout + 1, 0, false}, {-1, 0, false}, {0, 3*policy.Second + 1, false}, {0, -1, false}} {
		if store.ConfirmsReply(x.roundTrip, x.age) != x.want {
			t.Errorf("reply after %d µs with a channel age of %d µs: want %v", x.roundTrip, x.age, x.want)
		}
	}
}

// TestSnapshotOrder guards against a snapshot that is truncated in map order: updates of the same
// age must always come in the same order, and the same ones must be kept.
func TestSnapshotOrder(t *testing.T) {
	settings := testSettings()
	settings.MaxUpdates = 3
	var first []Update
	for range 50 {
		store := New(0, settings)
		for n := range policy.Micros(6) {
			store.RecordPurge(policy.Second, Update{Group: 3, PurgedAt: 1 + n})
		}
		got := store.Snapshot(policy.Second)
		if first == nil {
			first = got
		}
		if len(got) != settings.MaxUpdates || !slices.Equal(got, first) {
			t.Fatalf("first snapshot is %+v, a later one %+v", first, got)
		}
	}
}

// TestRecentPurges guards against a digest of recent purges that depends on the order in which they
// arrived, or that hides missing purges. Old purges must be excluded: a director that starts later
// would otherwise be sent them forever.
func TestRecentPurges(t *testing.T) {
	s := Settings{Retention: 600, MaxUpdates: 10, MaxEntries: 100}
	informed, other := New(0, s), New(0, s)
	first, second := Update{Object: "x", Group: -1, PurgedAt: 5}, Update{Group: 3, PurgedAt: 6}
	informed.RecordPurge(100, first)
	informed.RecordPurge(110, second)
	if _, digest := informed.RecentPurges(120); digest == 0 {
		t.Error("digest is 0")
	}
	sameDigest := func(now policy.Micros) bool {
		_, x := informed.RecentPurges(now)
		_, y := other.RecentPurges(now)
		return x == y
	}
	if sameDigest(120) {
		t.Error("a director without purges has the same digest")
	}
	purges, _ := informed.RecentPurges(130)
	if len(informed.RepairPurges(112)) != 1 || len(informed.RepairPurges(240)) != 0 {
		t.Errorf("purges to repair are %v for recent purges, %v for old ones", informed.RepairPurges(112), informed.RepairPurges(240))
	}
	for _, u := range informed.RepairPurges(130) {
		other.Received(130, "a", u)
		if u.Age != 30 && u.Age != 20 {
			t.Errorf("wrong age in %+v", u)
		}
	}
	if !sameDigest(130) || len(purges) != 2 {
		t.Errorf("digests differ or purges are missing: %v", purges)
	}
	if purges, _ := informed.RecentPurges(305); len(purges) != 1 {
		t.Errorf("recent purges are %v", purges)
	}
	late := New(400, s)
	_, x := informed.RecentPurges(400)
	if _, y := late.RecentPurges(400); x != y {
		t.Error("a director that started later has a different digest")
	}
}
