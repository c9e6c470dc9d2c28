package rollout

import (
	"fmt"
	"strings"
	"testing"

	"tallyproxy/internal/goldentest"
	"tallyproxy/policy"
)

// goldenChange returns a change with all fields set. Agents and tools of different versions
// communicate during an upgrade, and an agent's store outlives the agent's version. Therefore, the
// encoded forms below must not change.
func goldenChange() *Change {
	return &Change{ID: "c1", Author: "op/1", Note: "why", Reverts: "c0", Targets: []Target{{"n0", "a0", "sum", "log()", 2}}}
}

func goldenEntry() Entry {
	return Entry{
		Change: goldenChange(), Vote: &Vote{Ballot{7, "op/1"}, Abort}, Outcome: Commit, AllowedWaves: 2, Final: true,
		TargetStates: map[string]*TargetState{"n0": {PhaseFailed, "bad", "old()"}},
	}
}

// TestGoldenJSON guards against changes of the JSON forms that are stored, sent and printed.
func TestGoldenJSON(t *testing.T) {
	entry := goldenEntry()
	cases := []struct {
		name  string
		value any
		want  string
	}{
		{"state", State{
			Promised: Ballot{7, "op/1"}, Entries: []*Entry{&entry}, ActiveScripts: map[string]string{"n0": "log()"}, Completed: []CompletedChange{{"c0", Abort, 3, true}},
		}, `{"promised":{"n":7,"holder":"op/1"},"entries":[{"change":{"id":"c1","by":"op/1","note":"why","undoes":"c0","targets":[{"instance":"n0","agent":"a0","base":"sum","script":"log()","wave":2}]},"vote":{"ballot":{"n":7,"holder":"op/1"},"outcome":2},"outcome":1,"waves":2,"final":true,"local":{"n0":{"phase":4,"why":"bad","before":"old()"}}}],"in_force":{"n0":"log()"},"past":[{"id":"c0","outcome":2,"waves":3,"final":true}]}`},
		{"empty state", State{}, `{"promised":{"n":0,"holder":""},"entries":null,"in_force":null}`},
		{"message", Message{
			Type: Accept, Seq: 4, Ballot: Ballot{7, "op/1"}, Lease: 3 * policy.Second, Change: goldenChange(), ChangeID: "c1", Outcome: Abort, AllowedWaves: 2, Final: true,
		}, `{"verb":4,"seq":4,"ballot":{"n":7,"holder":"op/1"},"lease":3000000,"change":{"id":"c1","by":"op/1","note":"why","undoes":"c0","targets":[{"instance":"n0","agent":"a0","base":"sum","script":"log()","wave":2}]},"id":"c1","outcome":2,"waves":2,"final":true}`},
		{"empty message", Message{}, `{"verb":0,"seq":0,"ballot":{"n":0,"holder":""}}`},
		{"reply", Reply{
			Type: Query, Seq: 4, OK: true, Reason: "held by op/2", Promised: Ballot{8, "op/2"}, HeldFor: 11, LeaseLeft: 12, Entries: []Entry{entry},
		}, `{"verb":6,"seq":4,"ok":true,"why":"held by op/2","ballot":{"n":8,"holder":"op/2"},"held":11,"left":12,"entries":[{"change":{"id":"c1","by":"op/1","note":"why","undoes":"c0","targets":[{"instance":"n0","agent":"a0","base":"sum","script":"log()","wave":2}]},"vote":{"ballot":{"n":7,"holder":"op/1"},"outcome":2},"outcome":1,"waves":2,"final":true,"local":{"n0":{"phase":4,"why":"bad","before":"old()"}}}]}`},
		{"empty reply", Reply{}, `{"verb":0,"seq":0,"ok":false,"ballot":{"n":0,"holder":""}}`},
		{"result", Result{
			ID: "c1", Outcome: Abort, RefusalReason: "no", Holder: "op/2", HeldFor: 11, LeaseLeft: 12, StopReason: "worse", NeedsResume: true,
			Targets: []TargetResult{{"n0", "a0", "changed", "bad"}}, MessagesSent: 9,
		}, `{"id":"c1","outcome":2,"refused":"no","holder":"op/2","held":11,"left":12,"stopped":"worse","resume":true,"ends":[{"instance":"n0","agent":"a0","state":"changed","why":"bad"}],"sent":9}`},
		{"empty result", Result{}, `{"id":"","outcome":0,"ends":null,"sent":0}`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			goldentest.JSON(t, c.value, c.want)
		})
	}
}

// TestGoldenNumbers guards against changes of the numbers, which are sent and stored, and of the
// names, which are printed and are part of audit records.
func TestGoldenNumbers(t *testing.T) {
	var got []string
	for _, v := range []fmt.Stringer{
		Undecided, Commit, Abort, PhasePrepared, PhaseRefused, PhaseApplying, PhaseApplied, PhaseFailed, PhaseUnchanged, Promise, Renew, Release, Prepare, Accept, Learn, Query,
		StepPromise, StepRecover, StepPrepare, StepDecide, StepApply, StepQuery, StepDone,
	} {
		got = append(got, fmt.Sprintf("%d=%s", v, v))
	}
	const want = "0=open 1=go 2=drop 0=waiting 1=refused 2=going 3=in force 4=failed 5=untouched " +
		"0=promise 1=renew 2=release 3=prepare 4=accept 5=learn 6=ask " +
		"0=promising 1=settling 2=preparing 3=deciding 4=putting in force 5=finding out 6=ended"
	if s := strings.Join(got, " "); s != want {
		t.Errorf("got  %s\nwant %s", s, want)
	}
}
