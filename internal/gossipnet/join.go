package gossipnet

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"tallyproxy/backoff"
	"tallyproxy/internal/logevent"
)

const (
	bootstrapPeers  = 2 // directors that are joined per round at the start
	bootstrapRounds = 4 // maximum rounds until a director has sent its state
	bootstrapChecks = 8 // checks per round whether a director has sent its state
)

// joinLoop joins missing members: seeds and directors that were present before. memberlist itself
// does not keep trying to reach either.
func (d *Driver) joinLoop(ctx context.Context) {
	d.bootstrap(ctx)
	probeInterval := d.settings.ProbeInterval.Duration()
	wait := probeInterval
	for {
		if address := d.nextRejoinAddress(); address != "" {
			if d.join(address) {
				wait = 4 * probeInterval
			} else {
				wait = min(2*wait, 16*probeInterval)
			}
		}
		if !sleep(ctx, wait) {
			return
		}
	}
}

// join exchanges full member lists with the director at an address and reports whether this
// succeeded.
func (d *Driver) join(address string) bool {
	_, err := d.memberlist.Join([]string{address})
	if err != nil {
		slog.Debug(logevent.PeerJoinFailed, "address", address, "err", err)
	}
	return err == nil
}

// bootstrap joins other directors at the start, a few at a time, until one has sent its state. A
// director that is starting too knows no more than this one, and joining an unreachable one takes
// as long as the connection timeout. Therefore no join waits for another.
func (d *Driver) bootstrap(ctx context.Context) {
	if d.handlers.MergeSnapshot == nil {
		return
	}
	var tried []string
	for range bootstrapRounds {
		for _, address := range d.nextBootstrapAddresses(tried) {
			tried = append(tried, address)
			d.running.Go(func() { d.join(address) })
		}
		for range bootstrapChecks {
			if !sleep(ctx, d.settings.ProbeInterval.Duration()/(2*bootstrapChecks)) || d.snapshotReceived.Load() {
				return
			}
		}
	}
}

// nextBootstrapAddresses returns the next addresses to join: first the seeds, beginning at a
// different one for each director, then members that have become known.
func (d *Driver) nextBootstrapAddresses(tried []string) (next []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	candidates := slices.Clone(d.seeds)
	if len(candidates) > 0 {
		first := int(backoff.Seed(0, d.settings.Name) % uint64(len(candidates)))
		candidates = append(candidates[first:], candidates[:first]...)
	}
	for _, name := range d.liveNames() {
		n := d.live[name]
		candidates = append(candidates, n.Address())
	}
	for _, address := range candidates {
		if len(next) < bootstrapPeers && address != d.advertised && !slices.Contains(tried, address) && !slices.Contains(next, address) {
			next = append(next, address)
		}
	}
	return next
}

// nextRejoinAddress returns the address of a missing director, or of a live one whose view has
// differed for some time; empty if there is none. The exchange of full member lists makes two views
// equal. It repairs promptly what gossip has missed, although full lists are rarely exchanged
// otherwise.
func (d *Driver) nextRejoinAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	missing := d.missingAddresses()
	if peer := d.divergentPeer; peer != "" && d.view.StableFor(d.now()) > 5*d.settings.ProbeInterval {
		d.divergentPeer = "" // takes precedence over missing members, which may be many
		return peer
	}
	if len(missing) == 0 {
		return ""
	}
	d.rejoinAttempts++
	return missing[d.rejoinAttempts%len(missing)]
}

// missingAddresses returns the addresses of seeds, and of directors that the view remembers, that
// are not live. The caller holds the lock.
func (d *Driver) missingAddresses() (missing []string) {
	live := map[string]bool{d.advertised: true}
	for _, n := range d.live {
		live[n.Address()] = true
	}
	for _, seed := range d.seeds {
		if !live[seed] {
			missing = append(missing, seed)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(d.addresses)) {
		address := d.addresses[name]
		if !d.view.Knows(name) {
			delete(d.addresses, name)
		} else if !live[address] && !slices.Contains(missing, address) {
			missing = append(missing, address)
		}
	}
	return missing
}

// sleep waits for the given duration. It returns false if ctx ends before.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
