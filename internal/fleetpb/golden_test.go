package fleetpb

import (
	"encoding/hex"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"tallyproxy/policy"
	"tallyproxy/rollout"
)

// goldenChange returns a change that has every field set.
func goldenChange() *rollout.Change {
	return &rollout.Change{ID: "c1", Author: "op/1", Note: "why", Reverts: "c0", Targets: []rollout.Target{
		{Instance: "n0", Agent: "a0", Base: "sum", Script: "log()", Wave: 2},
	}}
}

// goldenEntries returns one entry that has every field set.
func goldenEntries() []rollout.Entry {
	return []rollout.Entry{{
		Change: goldenChange(), Vote: &rollout.Vote{Ballot: rollout.Ballot{Number: 7, Holder: "op/1"}, Outcome: rollout.Abort}, Outcome: rollout.Commit,
		AllowedWaves: 2, Final: true, TargetStates: map[string]*rollout.TargetState{"n0": {Phase: rollout.PhaseFailed, Reason: "bad", PreviousScript: "old()"}},
	}}
}

// TestGoldenBytes guards against changes of the encoded bytes. Agents and tools of different
// versions exchange these messages during a rollout.
func TestGoldenBytes(t *testing.T) {
	message := rollout.Message{
		Type: rollout.Accept, Seq: 4, Ballot: rollout.Ballot{Number: 7, Holder: "op/1"}, Lease: 3 * policy.Second, Change: goldenChange(), ChangeID: "c1",
		Outcome: rollout.Abort, AllowedWaves: 2, Final: true,
	}
	reply := rollout.Reply{
		Type: rollout.Query, Seq: 4, OK: true, Reason: "held by op/2", Promised: rollout.Ballot{Number: 8, Holder: "op/2"}, HeldFor: 11, LeaseLeft: 12,
		Entries: goldenEntries(),
	}
	cases := []struct {
		name   string
		value  any
		wire   proto.Message
		want   string
		empty  proto.Message
		decode func(m proto.Message) any
	}{
		{"message", message, FromMessage(message), "080410041a08080712046f702f3120c08db7012a2b0a02633112046f702f311a03776879220263302a160a026e30120261301a0373756d22056c6f672829280232026331380240024801", &SayRequest{},
			func(m proto.Message) any { decoded, _ := ToMessage(m.(*SayRequest)); return decoded }},
		{"empty message", rollout.Message{}, FromMessage(rollout.Message{}), "1a00", &SayRequest{},
			func(m proto.Message) any { decoded, _ := ToMessage(m.(*SayRequest)); return decoded }},
		{"reply", reply, FromReply(reply), "080610041801220c68656c64206279206f702f322a08080812046f702f32300b380c42570a2b0a02633112046f702f311a03776879220263302a160a026e30120261301a0373756d22056c6f6728292802120c0a08080712046f702f31100218012002280132140a026e30120e080412036261641a056f6c642829", &SayReply{},
			func(m proto.Message) any { return ToReply(m.(*SayReply)) }},
		{"empty reply", rollout.Reply{}, FromReply(rollout.Reply{}), "2a00", &SayReply{},
			func(m proto.Message) any { return ToReply(m.(*SayReply)) }},
		{"entries", goldenEntries(), &StatusReply{Entries: FromEntries(goldenEntries())}, "1a570a2b0a02633112046f702f311a03776879220263302a160a026e30120261301a0373756d22056c6f6728292802120c0a08080712046f702f31100218012002280132140a026e30120e080412036261641a056f6c642829", &StatusReply{},
			func(m proto.Message) any { return ToEntries(m.(*StatusReply).GetEntries()) }},
		{"ballot", rollout.Ballot{Number: 8, Holder: "op/2"}, FromBallot(rollout.Ballot{Number: 8, Holder: "op/2"}), "080812046f702f32", &Ballot{},
			func(m proto.Message) any { return ToBallot(m.(*Ballot)) }},
		{"status", nil, &StatusReply{
			Name: "a0", Promised: FromBallot(rollout.Ballot{Number: 8, Holder: "op/2"}), HeldUs: 11, LeftUs: 12, Members: map[string]string{"a1": "up"},
			Directors: []*DirectorStatus{{Name: "n0", Up: true, Why: "bad", Script: "log()", Settings: "sum", Report: []byte("{}")}},
		}, "0a026130121b0a026e3010011a0362616422056c6f6728292a0373756d32027b7d2208080812046f702f32280b300c3a080a02613112027570", nil, nil},
		{"audit", nil, &AuditReply{Records: []*AuditRecord{{Number: 3, UnixMs: 4, Who: "op", What: "take", Hash: "ff"}}}, "0a12080310041a026f70220474616b652a026666", nil, nil},
		{"probe", nil, &ProbeRequest{Of: "a1"}, "0a026131", nil, nil},
		{"probe reply", nil, &ProbeReply{Ok: true}, "0801", nil, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(c.wire)
			if err != nil {
				t.Fatal(err)
			}
			if got := hex.EncodeToString(raw); got != c.want {
				t.Errorf("got  %s\nwant %s", got, c.want)
			}
			if c.empty == nil {
				return
			}
			if raw, err = hex.DecodeString(c.want); err == nil {
				err = proto.Unmarshal(raw, c.empty)
			}
			if err != nil {
				t.Fatal(err)
			}
			if decoded := c.decode(c.empty); !reflect.DeepEqual(decoded, c.value) {
				t.Errorf("decoded as %+v, want %+v", decoded, c.value)
			}
		})
	}
}

// TestGoldenService guards against changes of the service and method names, by which gRPC
// dispatches calls.
func TestGoldenService(t *testing.T) {
	var got []string
	for _, m := range Agent_ServiceDesc.Methods {
		got = append(got, m.MethodName)
	}
	if want := []string{"Say", "Status", "Probe", "Audit"}; Agent_ServiceDesc.ServiceName != "tallyproxy.fleet.Agent" || !reflect.DeepEqual(got, want) {
		t.Errorf("service %s has methods %v, want %v", Agent_ServiceDesc.ServiceName, got, want)
	}
}
