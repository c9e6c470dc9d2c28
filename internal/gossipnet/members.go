package gossipnet

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/hashicorp/memberlist"

	"tallyproxy/internal/logevent"
	"tallyproxy/membership"
	"tallyproxy/policy"
)

// reportedAge is the age of the latest answer from another director's channel, at the time when
// that director reported it.
type reportedAge struct{ age, reportedAt policy.Micros }

// loggedState is a member's state as last logged.
type loggedState struct {
	incarnation uint64
	state       membership.State
}

// loggedView is the view as last logged; zero if it was never logged.
type loggedView struct {
	digest    uint64
	partition membership.PartitionState
}

// memberChanged handles a change of memberlist's list: a member is up, or has failed or left.
func (d *Driver) memberChanged(n *memberlist.Node, state membership.State) {
	d.update(func(now policy.Micros, _ *membership.View) map[string]message {
		if state == membership.Failed {
			delete(d.live, n.Name)
			delete(d.channelAges, n.Name)
		} else if n.Name != d.settings.Name {
			d.live[n.Name] = *n
		}
		d.observe(now, n, state)
		return nil
	})
}

// observeLiveMembers updates the view for each live member that has become a suspect, is no longer
// a suspect, or was forgotten. The caller holds the lock.
func (d *Driver) observeLiveMembers(now policy.Micros) {
	for name, n := range d.live {
		state := membership.Up
		if until, suspected := d.suspects[name]; suspected && now < until {
			state = membership.Suspected
		}
		if current, known := d.view.State(name); !known || current != state {
			d.observe(now, &n, state)
		}
	}
}

// observe passes the state of a member to the view and logs changes. The caller holds the lock.
func (d *Driver) observe(now policy.Micros, n *memberlist.Node, state membership.State) {
	var meta nodeMeta
	if json.Unmarshal(n.Meta, &meta) != nil || n.Name == d.settings.Name {
		return
	}
	if state >= membership.Failed {
		delete(d.suspects, n.Name)
	}
	if meta.Leaving {
		state = membership.Left
	}
	d.view.UpdatePeer(now, n.Name, meta.Incarnation, meta.Zone, state)
	if state == membership.Left {
		delete(d.addresses, n.Name)
	} else {
		d.addresses[n.Name] = n.Address()
	}
	d.memberCount.Store(int64(d.view.Count(now, membership.ScopeFleet)))
	d.logState(n.Name, loggedState{meta.Incarnation, state})
	d.logView(now)
}

// logState logs a member's state if it changed. It does not log a member that is first seen as a
// suspect, because there is no earlier state from which it changed.
func (d *Driver) logState(name string, current loggedState) {
	last, logged := d.loggedStates[name]
	if logged && last == current || !logged && current.state == membership.Suspected {
		return
	}
	d.loggedStates[name] = current
	if len(d.loggedStates) > 2*d.settings.MaxEntries {
		clear(d.loggedStates)
	}
	slog.Info(logevent.PeerState, "name", name, "incarnation", current.incarnation, "state", current.state.String())
}

// logView logs the view if it changed.
func (d *Driver) logView(now policy.Micros) {
	current := loggedView{d.view.Digest(), d.view.PartitionState()}
	if current == d.loggedView {
		return
	}
	d.loggedView = current
	slog.Info(logevent.MembershipView, "digest", fmt.Sprintf("%016x", current.digest), "quorum", current.partition.String(),
		"zone_count", d.view.Count(now, membership.ScopeZone), "fleet_count", d.view.Count(now, membership.ScopeFleet))
}

// suspect records that a member did not answer a probe, which memberlist reports only in its log.
func (d *Driver) suspect(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.view.Knows(name) && len(d.suspects) < d.settings.MaxEntries {
		d.suspects[name] = d.now() + d.maxSuspicion()
	}
}

// maxSuspicion returns the longest time in which memberlist lets a suspect refute the suspicion. A
// suspect that has not failed by then has refuted it. memberlist does not report the refutation,
// and its next probe of the member may be as many probes away as there are members.
func (d *Driver) maxSuspicion() policy.Micros {
	nodeScale := math.Max(1, math.Log10(float64(max(1, d.memberCount.Load()))))
	interval := d.settings.ProbeInterval
	return interval + policy.Micros(float64(interval)*float64(d.settings.SuspicionMultiplier)*nodeScale*suspicionMaxMultiplier)
}

// liveNames returns the sorted names of the live members. The caller holds the lock.
func (d *Driver) liveNames() []string { return slices.Sorted(maps.Keys(d.live)) }

// Report returns the view for the status report; nil for a nil Driver.
func (d *Driver) Report() *membership.Report {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.view.Report(d.now())
	return &r
}

// State returns a member's state in the view; false if the member is unknown.
func (d *Driver) State(name string) (membership.State, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.State(name)
}

// ViewDigest returns the digest of the view in hexadecimal digits and the number of directors
// present, including this one.
func (d *Driver) ViewDigest() (digest string, members int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return strconv.FormatUint(d.view.Digest(), 16), d.view.NumMembers()
}

// ZonePeers returns the names of the other directors in this director's zone that are up; none for
// a nil Driver.
func (d *Driver) ZonePeers() []string {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.view.ZonePeers()
}

// NewestChannelAge returns the shortest time since the command channel last answered a live member,
// according to the members' reports; negative if there is no report, and for a nil Driver.
func (d *Driver) NewestChannelAge() policy.Micros {
	if d == nil {
		return -1
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now, newest := d.now(), policy.Micros(-1)
	for _, r := range d.channelAges {
		if age := r.age + now - r.reportedAt; newest < 0 || age < newest {
			newest = age
		}
	}
	return newest
}
