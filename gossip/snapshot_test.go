package gossip

import (
	"slices"
	"testing"

	"tallyproxy/policy"
)

// A director that has just come is told what is in force, and nothing else.
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
		t.Errorf("in force: %+v", got)
	}
	late := New(now, testSettings())
	if late.Confirms(late.ChannelAge(now)) {
		t.Error("one that has just come confirms what its files say")
	}
	late.RecordNodes(now-policy.Second, readyNodes(4), true)
	for _, u := range got {
		if apply, _ := late.Received(now, "n1", u); !apply {
			t.Errorf("%+v is not applied at one that has just come", u)
		}
	}
	if !store.Confirms(3*policy.Second) || store.Confirms(3*policy.Second+1) || store.Confirms(-1) {
		t.Error("another age confirms")
	}
	for _, x := range []struct {
		took, age policy.Micros
		want      bool
	}{{0, 0, true}, {testSettings().ConfirmTimeout, 3 * policy.Second, true}, {testSettings().ConfirmTimeout + 1, 0, false}, {-1, 0, false}, {0, 3*policy.Second + 1, false}, {0, -1, false}} {
		if store.ConfirmsReply(x.took, x.age) != x.want {
			t.Errorf("an answer after %d of age %d: want %v", x.took, x.age, x.want)
		}
	}
}

// Guards against a snapshot that is cut in map order: updates of one age are told in one order, and the same ones.
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
			t.Fatalf("%+v, then %+v", first, got)
		}
	}
}

// The digest of recent purges is the same for those who have received all, in whatever order, and shows who has not. What was told long ago
// is no part of it: one that starts later must not be sent it for ever.
func TestRecentPurges(t *testing.T) {
	s := Settings{Retention: 600, MaxUpdates: 10, MaxEntries: 100}
	informed, other := New(0, s), New(0, s)
	first, second := Update{Object: "x", Group: -1, PurgedAt: 5}, Update{Group: 3, PurgedAt: 6}
	informed.RecordPurge(100, first)
	informed.RecordPurge(110, second)
	if _, digest := informed.RecentPurges(120); digest == 0 {
		t.Error("no digest")
	}
	sameDigest := func(now policy.Micros) bool {
		_, x := informed.RecentPurges(now)
		_, y := other.RecentPurges(now)
		return x == y
	}
	if sameDigest(120) {
		t.Error("one that has heard nothing has the same digest")
	}
	purges, _ := informed.RecentPurges(130)
	if len(informed.RepairPurges(112)) != 1 || len(informed.RepairPurges(240)) != 0 {
		t.Errorf("%v just now, %v a while ago", informed.RepairPurges(112), informed.RepairPurges(240))
	}
	for _, u := range informed.RepairPurges(130) {
		other.Received(130, "a", u)
		if u.Age != 30 && u.Age != 20 {
			t.Errorf("%+v", u)
		}
	}
	if !sameDigest(130) || len(purges) != 2 {
		t.Errorf("%v", purges)
	}
	if purges, _ := informed.RecentPurges(305); len(purges) != 1 {
		t.Errorf("%v of late", purges)
	}
	late := New(400, s)
	_, x := informed.RecentPurges(400)
	if _, y := late.RecentPurges(400); x != y {
		t.Error("one that started long after lacks something")
	}
}
