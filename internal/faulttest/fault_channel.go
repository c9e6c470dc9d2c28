package faulttest

import (
	"context"
	"sync"
	"syscall"
	"time"

	"tallyproxy/internal/fakes"
)

// channelUnreachable disconnects the directors with odd numbers from the command channel.
type channelUnreachable struct{ faultRun }

func (f channelUnreachable) apply(context.Context) { f.setCut(true) }
func (f channelUnreachable) undo(context.Context)  { f.setCut(false) }

func (f channelUnreachable) setCut(cut bool) {
	f.harness.recordError("change of the second path to the channel", f.harness.Cluster.CutSecondPath(cut))
}

// channelOutage sets the command channel to the faulty mode that Rate selects.
type channelOutage struct{ faultRun }

func (f channelOutage) apply(context.Context) {
	f.harness.Cluster.SetChannelMode(fakes.ChannelMode(f.Rate), 0)
}

func (f channelOutage) undo(context.Context) {
	f.harness.Cluster.SetChannelMode(fakes.ChannelServing, 0)
}

// channelRollback restarts the command channel without its last event.
type channelRollback struct{ faultRun }

func (f channelRollback) apply(context.Context) { f.harness.Cluster.RollBackChannel(1) }

// channelMove adds a new address to the command channel. All directors reload their configuration
// with this address, each within a second.
type channelMove struct{ faultRun }

func (f channelMove) apply(ctx context.Context) {
	if err := f.harness.Cluster.MoveChannel(); err != nil {
		f.harness.recordError("move of the channel", err)
		return
	}
	var running sync.WaitGroup
	for _, p := range f.harness.Processes() {
		wait := time.Duration(f.rand.Float64() * float64(time.Second))
		running.Go(func() {
			fakes.Sleep(ctx, wait)
			if err := p.writeConfig(f.harness.Cluster, p.Name, f.harness.limits()); err == nil {
				p.Signal(syscall.SIGHUP)
			}
		})
	}
	running.Wait()
}
