package faulttest

import (
	"context"
	"slices"
	"time"

	"tallyproxy/internal/fakes"
)

// flapInterval is how long a flapping link is down, and then up again.
const flapInterval = 300 * time.Millisecond

// AffectsLink reports whether a link fault affects the directed link from one director to another.
func AffectsLink(f Fault, from, to int) bool {
	switch f.Kind {
	case Partition:
		return groupOf(f, from) != groupOf(f, to)
	case LossyLinks:
		return from != to
	}
	if from == to {
		return false
	}
	bothWays := f.Both || f.Kind == FlappingLinks
	return f.receives(to, from) || bothWays && f.receives(from, to)
}

// groupOf returns the index of the partition group that contains a director, or -1 if none does.
func groupOf(f Fault, director int) int {
	return slices.IndexFunc(f.Groups, func(group []int) bool { return slices.Contains(group, director) })
}

// receives reports whether the fault affects what receiver, as a target, receives from sender, as a
// peer.
func (f Fault) receives(receiver, sender int) bool {
	return slices.Contains(f.Targets, receiver) && slices.Contains(f.Peers, sender)
}

// setLinks sets the state of all links that the fault affects.
func (r faultRun) setLinks(link Link) {
	for from := range r.processes {
		for to := range r.processes {
			if AffectsLink(r.Fault, from, to) {
				r.harness.Network.SetLink(from, to, link)
			}
		}
	}
}

// cutLinks cuts links in one or both directions, or between the groups of a partition.
type cutLinks struct{ faultRun }

func (f cutLinks) apply(context.Context) {
	f.recordDisruption(disruptionOn)
	f.setLinks(Link{Cut: true})
}

func (f cutLinks) undo(context.Context) {
	f.setLinks(Link{})
	f.recordDisruption(disruptionOff)
}

// lossyLinks makes all links lose, duplicate and delay packets.
type lossyLinks struct{ faultRun }

func (f lossyLinks) apply(context.Context) {
	f.setLinks(Link{Loss: f.Rate, Duplicate: f.Rate / 10, Delay: time.Millisecond, Jitter: time.Duration(f.Rate * float64(time.Second))})
}

func (f lossyLinks) undo(context.Context) { f.setLinks(Link{}) }

// flappingLinks alternately cuts and restores links.
type flappingLinks struct{ faultRun }

func (f flappingLinks) apply(ctx context.Context) {
	f.recordDisruption(disruptionOn)
	for until := time.Now().Add(f.duration); time.Now().Before(until); {
		f.setLinks(Link{Cut: true})
		fakes.Sleep(ctx, flapInterval)
		f.setLinks(Link{})
		fakes.Sleep(ctx, flapInterval)
	}
	f.recordDisruption(disruptionOff)
}
