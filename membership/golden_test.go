package membership

import (
	"slices"
	"testing"

	"tallyproxy/internal/goldentest"
	"tallyproxy/internal/hash"
)

// TestGoldenMessages guards against changes of the encoded messages, which directors of different
// versions exchange during a rolling upgrade. The expected texts were recorded from a version in
// service.
func TestGoldenMessages(t *testing.T) {
	goldentest.JSON(t, LeaseRequest{RequestedAt: 1, Incarnation: 18446744073709551615, Zone: 3, Digest: 9223372036854775809},
		`{"Number":1,"Born":18446744073709551615,"Zone":3,"Sum":9223372036854775809}`)
	goldentest.JSON(t, LeaseRequest{}, `{"Number":0,"Born":0,"Zone":0,"Sum":0}`)
	goldentest.JSON(t, LeaseGrant{RequestedAt: -1, Counts: [2]int{4, 5}, Digest: 6}, `{"Number":-1,"Count":[4,5],"Sum":6}`)
	goldentest.JSON(t, LeaseGrant{}, `{"Number":0,"Count":[0,0],"Sum":0}`)
	goldentest.JSON(t, Hint{Node: "box-1", Condition: Restarted, Age: 1500}, `{"Node":"box-1","What":"warms","Age":1500}`)
	goldentest.JSON(t, Hint{}, `{"Node":"","What":"","Age":0}`)
	goldentest.JSON(t, []Condition{Unreachable, Recovered, Restarted, Overloaded}, `["gone","back","warms","full"]`)
}

// TestGoldenReport guards against changes of the report's JSON, which the state socket serves.
func TestGoldenReport(t *testing.T) {
	goldentest.JSON(t, Report{Name: "n0", Incarnation: 7, PartitionState: "few", Digest: "00000000000000ff", StableFor: 12, AgreeingPeers: 2, NameConflict: "127.0.0.1:1",
		ZoneQuota: 1.25, FleetQuota: 0.5, Peers: []PeerReport{{Name: "n1", Incarnation: 8, State: "up", StateAge: 9, Agrees: true}}},
		`{"name":"n0","born":7,"standing":"few","sum":"00000000000000ff","since":12,"sharing":2,"clash":"127.0.0.1:1",`+
			`"zone_part":1.25,"fleet_part":0.5,"peers":[{"name":"n1","born":8,"state":"up","since":9,"alike":true}]}`)
	goldentest.JSON(t, Report{}, `{"name":"","born":0,"standing":"","sum":"","since":0,"sharing":0,"zone_part":0,"fleet_part":0,"peers":null}`)

	view := New(0, Settings{Name: "n0", Incarnation: 7, ConfiguredDirectors: [2]int{3, 4}, MaxEntries: 9})
	view.UpdatePeer(5, "n1", 8, 0, Up)
	view.UpdatePeer(6, "n2", 9, 1, Failed)
	view.SetNameConflict("127.0.0.1:1")
	goldentest.JSON(t, view.Report(10), `{"name":"n0","born":7,"standing":"few","sum":"49d447cd1d96caba","since":5,"sharing":0,"clash":"127.0.0.1:1",`+
		`"zone_part":1,"fleet_part":1,"peers":[{"name":"n1","born":8,"state":"up","since":5,"alike":false},{"name":"n2","born":9,"state":"failed","since":4,"alike":false}]}`)
	var states, partitionStates []string
	for s := Up; s <= Left; s++ {
		states = append(states, s.String())
	}
	for s := Majority; s <= Isolated; s++ {
		partitionStates = append(partitionStates, s.String())
	}
	if !slices.Equal(states, []string{"up", "suspected", "failed", "left"}) || !slices.Equal(partitionStates, []string{"most", "few", "alone"}) {
		t.Errorf("states are %q, partition states %q", states, partitionStates)
	}
	if ScopeZone != 0 || ScopeFleet != 1 {
		t.Errorf("ScopeZone is %d and ScopeFleet is %d", ScopeZone, ScopeFleet)
	}
}

// TestGoldenDigests guards against changes of a view's digest and of the choice of grantors. Both
// follow from hashes that must be the same in all versions.
func TestGoldenDigests(t *testing.T) {
	for text, want := range map[string]uint64{"": 0xc3817c016ba4ff30, "n0": 0x6401c4a877e40bdc, "director-17": 0x614f8dfaa02db980} {
		if got := hash.String(text); got != want {
			t.Errorf("hash.String(%q) is %#x", text, got)
		}
	}
	for x, want := range map[uint64]uint64{0: 0xe220a8397b1dcdaf, 1: 0x910a2dec89025cc1, 1 << 63: 0x481ec0a212a9f3db} {
		if got := hash.Mix(x); got != want {
			t.Errorf("hash.Mix(%d) is %#x", x, got)
		}
	}
	view := New(0, Settings{Name: "n0", Incarnation: 7, RequiredGrants: 3, MaxEntries: 99})
	if view.Digest() != 0x56266a736aea3e1e {
		t.Errorf("digest of a view without peers is %#x", view.Digest())
	}
	for i, name := range []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"} {
		view.UpdatePeer(5, name, uint64(8+i), i%2, Up)
	}
	if view.Digest() != 0x5d0350a96e725886 {
		t.Errorf("digest of a view with eight peers is %#x", view.Digest())
	}
	var names []string
	for _, p := range view.currentGrantors() {
		names = append(names, p.name)
	}
	if !slices.Equal(names, []string{"n6", "n8", "n2"}) {
		t.Errorf("grantors are %q", names)
	}
	if text := formatDigest(0x1234567890abcdef); text != "1234567890abcdef" || formatDigest(15) != "000000000000000f" {
		t.Errorf("formatted digests are %q and %q", text, formatDigest(15))
	}
}
