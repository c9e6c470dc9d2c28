package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"tallyproxy/internal/config"
	"tallyproxy/internal/fleetpb"
	"tallyproxy/internal/status"
	"tallyproxy/policy"
	"tallyproxy/rollout"
)

// Snapshot is the status of a fleet at one point in time. Its JSON form is the output of `tallyctl
// show --json`.
type Snapshot struct {
	Agents    []AgentStatus    `json:"agents"`           // in the inventory's order
	Directors []DirectorStatus `json:"directors"`        // in the inventory's order
	Changes   []ChangeStatus   `json:"changes"`          // by ID, and therefore by creation time
	Holder    string           `json:"holder,omitempty"` // lease holder; empty if there is none
	HeldFor   time.Duration    `json:"held,omitempty"`   // time since Holder acquired the lease
	LeaseLeft time.Duration    `json:"left,omitempty"`   // remaining time of the lease
	entries   []rollout.Entry  // of all agents, in the inventory's order
}

// AgentStatus is the status of one agent.
type AgentStatus struct {
	Name      string            `json:"name"`              // name in the inventory
	Depot     string            `json:"depot"`             // the agent's site
	Reachable bool              `json:"answers"`           // the agent answered the status request
	Reason    string            `json:"why,omitempty"`     // why the agent is not reachable
	Members   map[string]string `json:"members,omitempty"` // states of the other agents, by name
}

// DirectorStatus is the status of one director.
type DirectorStatus struct {
	Name           string        `json:"name"`          // name in the inventory
	Agent          string        `json:"agent"`         // the agent that manages the director
	Depot          string        `json:"depot"`         // the agent's site
	Up             bool          `json:"up"`            // the agent received its status report
	Reason         string        `json:"why,omitempty"` // why the director is not known to be up
	Script         string        `json:"script"`        // script that the agent has applied
	Drifted        bool          `json:"drifted"`       // it runs a script other than Script
	AgentReachable bool          `json:"known"`         // if not, the status is unknown
	Report         status.Report `json:"report"`        // the director's report; set only if Up
	Settings       string        `json:"settings"`      // digest of the running script
}

// ChangeStatus is the status of a change, merged from all reachable agents. The phase of a director
// is "not known" if its agent is not reachable.
type ChangeStatus struct {
	ID         string            `json:"id"`               // unique among all changes
	Author     string            `json:"by"`               // who proposed the change
	Note       string            `json:"note"`             // the author's description of the change
	Reverts    string            `json:"undoes,omitempty"` // ID of the reverted change
	Outcome    string            `json:"outcome"`          // "open", "go" or "drop"
	InProgress bool              `json:"open"`             // an agent has not completed it
	Directors  map[string]string `json:"directors"`        // phase by director, or "not known"
	Reasons    map[string]string `json:"whys,omitempty"`   // cause of failure or refusal, by name
}

// agentReply is an agent's reply to a status request.
type agentReply struct {
	status *fleetpb.StatusReply // nil if err is set
	err    error
}

// Snapshot queries all agents concurrently and returns the status that they report within three
// seconds.
func (f *Fleet) Snapshot(ctx context.Context) Snapshot {
	replies := make([]agentReply, len(f.Inventory.Agents))
	var calls sync.WaitGroup
	for i, a := range f.Inventory.Agents {
		calls.Go(func() { replies[i] = f.agentStatus(ctx, a.Name) })
	}
	calls.Wait()
	var s Snapshot
	directors := s.addAgents(f.Inventory, replies)
	for _, entry := range f.Inventory.Directors {
		s.Directors = append(s.Directors, directorStatus(f.Inventory, entry, directors[entry.Name]))
	}
	s.mergeChanges()
	return s
}

// agentStatus requests the status of one agent.
func (f *Fleet) agentStatus(ctx context.Context, name string) agentReply {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	client, err := f.clients.Client(name)
	if err != nil {
		return agentReply{err: err}
	}
	reply, err := client.Status(ctx, &fleetpb.StatusRequest{})
	return agentReply{reply, err}
}

// addAgents adds the agents, their entries and the lease holder with the highest ballot to the
// snapshot. It returns the directors that the agents reported, by name.
func (s *Snapshot) addAgents(inventory *config.Inventory, replies []agentReply) (directors map[string]*fleetpb.DirectorStatus) {
	directors = map[string]*fleetpb.DirectorStatus{}
	var promised rollout.Ballot
	for i, a := range inventory.Agents {
		reply, err := replies[i].status, replies[i].err
		if err != nil {
			s.Agents = append(s.Agents, AgentStatus{Name: a.Name, Depot: a.Depot, Reason: err.Error()})
			continue
		}
		s.Agents = append(s.Agents, AgentStatus{Name: a.Name, Depot: a.Depot, Reachable: true, Members: reply.GetMembers()})
		for _, director := range reply.GetDirectors() {
			directors[director.GetName()] = director
		}
		s.entries = append(s.entries, fleetpb.ToEntries(reply.GetEntries())...)
		if b := fleetpb.ToBallot(reply.GetPromised()); promised.Less(b) && reply.GetLeftUs() > 0 {
			promised = b
			s.Holder = b.Holder
			s.HeldFor, s.LeaseLeft = policy.Micros(reply.GetHeldUs()).Duration(), policy.Micros(reply.GetLeftUs()).Duration()
		}
	}
	return directors
}

// directorStatus combines a director's inventory entry with the status reported by its agent. The
// reported status is nil if the agent is not reachable.
func directorStatus(inventory *config.Inventory, entry config.DirectorEntry, reported *fleetpb.DirectorStatus) DirectorStatus {
	s := DirectorStatus{Name: entry.Name, Agent: entry.Agent, Depot: inventory.Agent(entry.Agent).Depot, Reason: "its agent does not answer"}
	if reported == nil {
		return s
	}
	s.AgentReachable, s.Up, s.Reason, s.Script, s.Settings = true, reported.GetUp(), reported.GetWhy(), reported.GetScript(), reported.GetSettings()
	if s.Up {
		// A report that can't be fully decoded is shown as far as it was decoded.
		_ = json.Unmarshal(reported.GetReport(), &s.Report)
		s.Drifted = s.Settings != config.Digest([]byte(s.Script))
	}
	return s
}

// mergeChanges merges the agents' entries into one status for each change.
func (s *Snapshot) mergeChanges() {
	index := map[string]int{}
	for _, e := range s.entries {
		i, seen := index[e.Change.ID]
		if !seen {
			i = len(s.Changes)
			index[e.Change.ID] = i
			s.Changes = append(s.Changes, newChangeStatus(e.Change))
		}
		s.Changes[i].merge(e)
	}
	slices.SortStableFunc(s.Changes, func(a, b ChangeStatus) int { return cmp.Compare(a.ID, b.ID) })
}

// newChangeStatus returns the status of a change before any agent's entry is merged into it.
func newChangeStatus(change *rollout.Change) ChangeStatus {
	c := ChangeStatus{
		ID: change.ID, Author: change.Author, Note: change.Note, Reverts: change.Reverts, Outcome: rollout.Undecided.String(),
		Directors: map[string]string{}, Reasons: map[string]string{},
	}
	for _, t := range change.Targets {
		c.Directors[t.Instance] = "not known"
	}
	return c
}

// merge adds one agent's entry to the status.
func (c *ChangeStatus) merge(e rollout.Entry) {
	if e.Outcome != rollout.Undecided {
		c.Outcome = e.Outcome.String()
	}
	c.InProgress = c.InProgress || !e.IsComplete()
	for instance, state := range e.TargetStates {
		c.Directors[instance] = state.Phase.String()
		if state.Reason != "" {
			c.Reasons[instance] = state.Reason
		}
	}
}

// Change returns the change with the given ID, or nil if no reachable agent knows it. For each
// director that has applied the change, previous holds the script that was active before.
func (s *Snapshot) Change(id string) (change *rollout.Change, previous map[string]string) {
	previous = map[string]string{}
	for _, e := range s.entries {
		if e.Change.ID != id {
			continue
		}
		change = e.Change
		for instance, state := range e.TargetStates {
			if state.Phase == rollout.PhaseApplied {
				previous[instance] = state.PreviousScript
			}
		}
	}
	return change, previous
}

// Candidates returns all directors as candidates for a change. It returns an error that names a
// director if that director's agent is not reachable.
func (s *Snapshot) Candidates() (candidates []rollout.Candidate, err error) {
	for _, d := range s.Directors {
		if !d.AgentReachable {
			return nil, fmt.Errorf("%s: %s", d.Name, d.Reason)
		}
		candidates = append(candidates, rollout.Candidate{Instance: d.Name, Agent: d.Agent, Depot: d.Depot, Script: d.Script})
	}
	return candidates, nil
}

// FailureRate returns the share of unsuccessful answers among all answers that the directors sent
// since an earlier snapshot, and the number of those answers. It ignores directors that are down or
// were restarted in between.
func (s *Snapshot) FailureRate(since Snapshot) (rate float64, answers int64) {
	before := map[string]status.Report{}
	for _, d := range since.Directors {
		before[d.Name] = d.Report
	}
	var successes int64
	for _, d := range s.Directors {
		earlier := before[d.Name]
		if !d.Up || earlier.PID != d.Report.PID {
			continue
		}
		for _, name := range []string{"fulfilled", "throttled", "abandoned"} {
			n := d.Report.Counters[name] - earlier.Counters[name]
			answers += n
			if name == "fulfilled" {
				successes += n
			}
		}
	}
	if answers == 0 {
		return 0, 0
	}
	return 1 - float64(successes)/float64(answers), answers
}
