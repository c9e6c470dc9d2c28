package relays

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"tallyproxy/policy"
)

const ms = policy.Second / 1000

// testSettings returns the settings of a director in a zone with three delegates.
func testSettings(name string) Settings {
	return DeriveSettings(name, 3, 2, 3, policy.Settings{PurgePropagation: 500 * ms, ConnectTimeout: 400 * ms})
}

// directorNames returns n0, n1 and so on.
func directorNames(n int) (names []string) {
	for i := range n {
		names = append(names, fmt.Sprint("n", i))
	}
	return names
}

// fakeFleet lets relays query each other in simulated time. The channel's list never changes.
type fakeFleet struct {
	now         policy.Micros
	relays      map[string]*Relay
	down        map[string]bool // directors that neither respond nor poll
	unreachable map[string]bool // directors that cannot reach the channel
	lastPoll    map[string]policy.Micros
	polls       int // by all directors, including those that cannot reach the channel
}

// newFakeFleet returns n directors that know each other.
func newFakeFleet(n int) *fakeFleet {
	f := &fakeFleet{
		now:         policy.Second,
		relays:      map[string]*Relay{},
		down:        map[string]bool{},
		unreachable: map[string]bool{},
		lastPoll:    map[string]policy.Micros{},
	}
	for _, name := range directorNames(n) {
		f.relays[name] = New(f.now, testSettings(name))
	}
	f.setMembers()
	return f
}

// setMembers makes all directors known to each other.
func (f *fakeFleet) setMembers() {
	for name, relay := range f.relays {
		relay.SetMembers(slices.DeleteFunc(directorNames(len(f.relays)), func(other string) bool { return other == name }))
	}
}

// run advances the simulated time in steps of 10 ms.
func (f *fakeFleet) run(duration policy.Micros) {
	for until := f.now + duration; f.now < until; f.now += 10 * ms {
		for _, name := range directorNames(len(f.relays)) {
			if !f.down[name] {
				f.step(name)
			}
		}
	}
}

// step lets one director query its sources, and poll the channel if it should.
func (f *fakeFleet) step(name string) {
	relay := f.relays[name]
	for _, to := range relay.Tick(f.now) {
		if !f.down[to] && to != name {
			relay.HandleResponse(f.now, to, f.relays[to].HandleQuery(f.now, Query{SentAt: f.now}))
		}
	}
	if relay.ShouldPoll(f.now) && f.now-f.lastPoll[name] >= 300*ms {
		f.lastPoll[name] = f.now
		if f.polls++; !f.unreachable[name] {
			relay.PollSucceeded(f.now, "list", f.now, false)
		}
	}
}

// pollers returns the number of running directors that poll the channel now.
func (f *fakeFleet) pollers() (n int) {
	for name, relay := range f.relays {
		if !f.down[name] && relay.ShouldPoll(f.now) {
			n++
		}
	}
	return n
}

// TestWhoPolls guards against too many or too few directors that poll the channel. In a fleet of
// any size, as many poll as there are delegates. When the delegates fail, others poll soon. While
// no director can reach the channel, only a few poll. If only the delegates and standby directors
// cannot reach it, another director discovers that it can.
func TestWhoPolls(t *testing.T) {
	for _, n := range []int{4, 40, 150} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFakeFleet(n)
			if f.run(3 * policy.Second); f.pollers() != 3 {
				t.Errorf("%d directors poll the channel", f.pollers())
			}
			delegates := f.relays["n0"].order[:3]
			for _, name := range delegates {
				f.down[name] = true
			}
			if f.run(f.relays["n0"].queryInterval() * 5); f.pollers() == 0 || n > 6 && f.pollers() > 6 {
				t.Errorf("%d directors poll the channel soon after the delegates failed", f.pollers())
			}
			clear(f.down)
			f.run(3 * policy.Second)
			normalPolls := f.polls
			if f.run(3 * policy.Second); f.pollers() != 3 {
				t.Errorf("%d directors poll the channel after the delegates recovered", f.pollers())
			}
			normalPolls = f.polls - normalPolls
			for name := range f.relays {
				f.unreachable[name] = true
			}
			f.run(4 * policy.Second)
			pollsBefore := f.polls
			if f.run(3 * policy.Second); f.polls-pollsBefore > 5*normalPolls {
				t.Errorf("%d polls while no director can reach the channel, %d before", f.polls-pollsBefore, normalPolls)
			}
			for name, relay := range f.relays {
				f.unreachable[name] = relay.position < standbyFactor*3
			}
			reached := false
			for range 20 {
				f.run(policy.Second)
				for name, relay := range f.relays {
					reached = reached || !f.unreachable[name] && f.now-relay.lastPoll < policy.Second
				}
			}
			if n > 6 && !reached {
				t.Error("no director that can reach the channel polled it")
			}
		})
	}
}

// TestSilentSources guards against stale state when all sources are silent: the director must poll
// the channel before the propagation time of a purge is over. A newly started director first waits
// for others to appear.
func TestSilentSources(t *testing.T) {
	f := newFakeFleet(10)
	f.run(2 * policy.Second)
	last := f.relays["n0"].order[9]
	for name := range f.relays {
		f.down[name] = name != last
	}
	if f.run(2 * f.relays[last].queryInterval()); f.relays[last].ShouldPoll(f.now) {
		t.Error("the director polls immediately")
	}
	if f.run(400*ms - 2*f.relays[last].queryInterval() + f.relays[last].queryInterval()); !f.relays[last].ShouldPoll(f.now) {
		t.Error("the director does not poll before the propagation time is over")
	}
	relay := New(policy.Second, testSettings("x"))
	if relay.ShouldPoll(policy.Second+399*ms) || !relay.ShouldPoll(policy.Second+400*ms) {
		t.Error("a newly started director that knows no others polls too early or too late")
	}
	s := testSettings("x")
	s.Delegates = 0
	if relay := New(0, s); !relay.ShouldPoll(0) || relay.Tick(0) != nil {
		t.Error("a director in a zone without delegates does not poll, or queries others")
	}
}

// TestMessagesInAnyOrder checks messages that are repeated, late, out of order, or from a stale or
// faulty source (named liar). The list in force must have matched the channel's at the time that
// the relay reports or later, and that time must never move back.
func TestMessagesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := func(version int) []Endpoint { return []Endpoint{{ID: fmt.Sprint("box-", version)}} }
		relay := New(1, testSettings("me"))
		others := []string{"a", "b", "c", "liar"}
		relay.SetMembers(others)
		if relay.isDelegate() { // depends on its name
			t.Fatal("the director under test is a delegate")
		}
		now, validFrom := policy.Second, []policy.Micros{0} // when each version was published
		type poll struct {
			began   policy.Micros
			version int
		}
		polls := map[string]poll{} // latest poll of each source
		type delivery struct {
			from string
			Response
		}
		var inFlight []delivery
		queriedAt := map[string]policy.Micros{}
		until := policy.Micros(0)
		for range rapid.IntRange(5, 120).Draw(t, "steps") {
			now += policy.Micros(rapid.IntRange(1, 200_000).Draw(t, "later"))
			switch rapid.IntRange(0, 5).Draw(t, "operation") {
			case 0:
				validFrom = append(validFrom, now)
			case 1:
				name := rapid.SampledFrom(others).Draw(t, "polls")
				polls[name] = poll{now, len(validFrom) - 1}
			case 2:
				for _, name := range relay.Tick(now) {
					queriedAt[name] = now
				}
			case 3: // a response to a query, which may be an old one
				name := rapid.SampledFrom(others).Draw(t, "answers")
				last, ok := polls[name]
				if sentAt := queriedAt[name]; sentAt > 0 && ok {
					response := Response{SentAt: sentAt, Age: now - last.began, ListSum: Sum(list(last.version))}
					if name == "liar" {
						response.Age, response.ListSum = 0, Sum(list(rapid.IntRange(0, len(validFrom)).Draw(t, "false version")))
					}
					inFlight = append(inFlight, delivery{name, response})
				}
			case 4, 5:
				if len(inFlight) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "which")
				received := inFlight[i]
				if rapid.Bool().Draw(t, "once") {
					inFlight = slices.Delete(inFlight, i, i+1)
				}
				if want := relay.HandleResponse(now, received.from, received.Response); want != "" {
					for version := range validFrom {
						if Sum(list(version)) == want {
							relay.AcceptList(list(version))
						}
					}
				}
			}
			at, sum := relay.InForce()
			if at < until {
				t.Fatalf("list in force until %d, previously until %d", at, until)
			}
			if until = at; sum == "" {
				continue
			}
			version := 0
			for version < len(validFrom) && Sum(list(version)) != sum {
				version++
			}
			if version == len(validFrom) || version+1 < len(validFrom) && validFrom[version+1] <= at {
				t.Fatalf("version %d of %v is reported as the channel's at %d", version, validFrom, at)
			}
		}
	})
}

// TestOwnDelay guards against a director that counts its own lack of CPU time against its sources
// and therefore polls the channel, or discards responses that waited unread. A director whose
// sources are silent while it runs must poll as early as without a delay.
func TestOwnDelay(t *testing.T) {
	for _, c := range []struct {
		name         string
		tickInterval policy.Micros
		polls        bool
	}{{"ticks in time", 50 * ms, true}, {"has no processor", 600 * ms, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeFleet(40)
			f.run(3 * policy.Second)
			relay := f.relays[f.relays["n0"].order[39]]
			queried := relay.Tick(f.now + 130*ms)
			if len(queried) != sourceCount || relay.ShouldPoll(f.now) {
				t.Fatalf("queries %v, polls %v", queried, relay.ShouldPoll(f.now))
			}
			last := f.now + 130*ms
			for now := last + c.tickInterval; now <= last+600*ms; now += c.tickInterval {
				if relay.ShouldPoll(now) && !c.polls {
					t.Error("the director polls before it has handled the responses")
				}
				relay.Tick(now)
			}
			if relay.ShouldPoll(last+600*ms) != c.polls {
				t.Errorf("ShouldPoll is %v", !c.polls)
			}
			for _, to := range queried { // their responses waited unread
				relay.HandleResponse(last+600*ms, to, Response{SentAt: last, Age: 0, ListSum: "list"})
				if !c.polls && relay.sources[to].answeredAt != last+600*ms {
					t.Errorf("the response of %s was not accepted", to)
				}
			}
		})
	}
}
