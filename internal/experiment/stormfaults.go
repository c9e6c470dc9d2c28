package experiment

import (
	"context"
	"syscall"
	"time"

	"tallyproxy/internal/fakes"
)

const purgedGroups = 128 // every second group, half of all groups

// stormFaults maps the fault names of --trouble to functions that schedule the faults.
var stormFaults = map[string]func(*faultInjector){
	"drain":    (*faultInjector).drainNode,
	"purge":    (*faultInjector).purgeSlowly,
	"pause":    (*faultInjector).pauseDirector,
	"restart":  (*faultInjector).killDirector,
	"roll":     (*faultInjector).rollDirector,
	"reload":   (*faultInjector).reloadDirector,
	"die":      (*faultInjector).killNode,
	"second":   (*faultInjector).secondStorm,
	"slow":     (*faultInjector).slowNode,
	"turnover": (*faultInjector).flapNodeStatus,
	"mute":     func(f *faultInjector) { f.breakNode(0, fakes.FaultNoAnswer) },
	"spoil":    func(f *faultInjector) { f.breakNode(2, fakes.FaultMalformed) },
	"reset":    func(f *faultInjector) { f.breakNode(4, fakes.FaultReset) },
}

// injectFaults schedules the requested faults.
func (r *stormRun) injectFaults(ctx context.Context) {
	injector := &faultInjector{r, ctx}
	for _, name := range r.Faults {
		if schedule := stormFaults[name]; schedule != nil {
			schedule(injector)
		}
	}
}

// faultInjector schedules the steps of faults until its context ends.
type faultInjector struct {
	*stormRun
	ctx context.Context
}

// at calls a function at an offset from the start of the storm, in a separate goroutine.
func (f *faultInjector) at(offset time.Duration, inject func()) {
	f.running.Go(func() {
		select {
		case <-time.After(f.begin + offset - f.cluster.Now()):
			inject()
		case <-f.ctx.Done():
		}
	})
}

// drainNode announces a cache node as draining, and removes it later.
func (f *faultInjector) drainNode() {
	node := f.cluster.Nodes[0]
	f.at(1500*time.Millisecond, func() { node.Announce("draining") })
	f.at(6*time.Second, func() {
		node.Announce("removed")
		node.Kill()
	})
}

// purgeSlowly purges half of the groups, one every 10 ms.
func (f *faultInjector) purgeSlowly() {
	for i := range purgedGroups {
		f.at(1500*time.Millisecond+time.Duration(i)*10*time.Millisecond, func() { f.cluster.Purge("", 2*i) })
	}
}

// pauseDirector stops a director and, while it is stopped, announces a cache node as draining and
// purges half of the groups.
func (f *faultInjector) pauseDirector() {
	director := f.directors[0]
	f.at(2*time.Second, func() { director.Pause(true) })
	f.at(2*time.Second+f.PauseDuration/4, func() {
		f.cluster.Nodes[0].Announce("draining")
		for i := range purgedGroups {
			f.cluster.Purge("", 2*i)
		}
	})
	f.at(2*time.Second+f.PauseDuration, func() { director.Pause(false) })
}

// killDirector kills a director and restarts it two seconds later.
func (f *faultInjector) killDirector() {
	director := f.directors[0]
	f.at(2*time.Second, func() { director.Kill() })
	f.at(4*time.Second, func() { director.Restart(f.ctx) })
}

// rollDirector sends a director SIGTERM and restarts it immediately.
func (f *faultInjector) rollDirector() {
	director := f.directors[len(f.directors)-1]
	f.at(3*time.Second, func() {
		director.Signal(syscall.SIGTERM)
		director.Restart(f.ctx)
	})
}

// reloadDirector makes a director reload its script five times.
func (f *faultInjector) reloadDirector() {
	for i := range 5 {
		f.at(time.Duration(i+1)*time.Second, func() { f.directors[0].Signal(syscall.SIGHUP) })
	}
}

// killNode kills a cache node and restarts it three seconds later.
func (f *faultInjector) killNode() {
	node := f.cluster.Nodes[1]
	f.at(3*time.Second, func() { node.Kill() })
	f.at(6*time.Second, func() { _ = node.Restart() }) // a node that stays down shows in the result
}

// flapNodeStatus announces a cache node alternately as draining and as up, ten times a second.
func (f *faultInjector) flapNodeStatus() {
	node := f.cluster.Nodes[3%f.CacheNodes]
	for i := range int(f.Duration / (100 * time.Millisecond)) {
		status := []string{"draining", "up"}[i%2]
		f.at(time.Duration(i+5)*100*time.Millisecond, func() { node.Announce(status) })
	}
}

// breakNode injects a fault into a cache node for two seconds.
func (f *faultInjector) breakNode(index int, fault fakes.Fault) {
	node := f.cluster.Nodes[index%f.CacheNodes]
	f.at(2*time.Second, func() { node.SetFault(fault, 1) })
	f.at(4*time.Second, func() { node.SetFault(fakes.FaultNone, 1) })
}

// slowNode makes a cache node four times slower.
func (f *faultInjector) slowNode() {
	f.at(2*time.Second, func() { f.cluster.Nodes[2%f.CacheNodes].SetFault(fakes.FaultNone, 4) })
}

// secondStorm starts half as many additional clients, which all connect at the same time later on
// and send one request each.
func (f *faultInjector) secondStorm() {
	for i := range f.Clients / 2 {
		client := f.newClient(f.Clients + f.IdleClients + i)
		f.running.Go(func() { client.Run(f.ctx, f.begin+f.Duration/3, f.Duration) })
	}
}
