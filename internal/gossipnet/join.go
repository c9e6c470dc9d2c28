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
	bootstrapPeers  = 2 // directors that are joined at a time at the start
	bootstrapRounds = 4 // and how often, until one has sent its state
	bootstrapChecks = 8 // looks in each round whether one has
)

// joinLoop joins members that are missing: seeds, and directors that were there before. memberlist itself gives up on both.
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

// join exchanges whole lists with the director at an address, and says whether that worked.
func (d *Driver) join(address string) bool {
	_, err := d.memberlist.Join([]string{address})
	if err != nil {
		slog.Debug(logevent.PeerJoinFailed, "address", address, "err", err)
	}
	return err == nil
}

// bootstrap joins other directors at the start, some at a time, until one has sent its state. One that starts as well knows no more, and one
// that can't be reached takes as long as a connection may: so no join waits for another.
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

// nextBootstrapAddresses are the next to join: seeds, each director beginning at another one, then members that have become known.
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

// nextRejoinAddress is the address of a director that is missing, or of a live one whose view has differed for a while: to exchange whole
// lists makes the two views alike. So what gossip has missed is repaired at once, while whole lists are exchanged seldom otherwise. Empty
// where there is none.
func (d *Driver) nextRejoinAddress() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	missing := d.missingAddresses()
	if peer := d.divergentPeer; peer != "" && d.view.StableFor(d.now()) > 5*d.settings.ProbeInterval {
		d.divergentPeer = "" // it goes before the missing ones, which may be many
		return peer
	}
	if len(missing) == 0 {
		return ""
	}
	d.rejoinAttempts++
	return missing[d.rejoinAttempts%len(missing)]
}

// missingAddresses are those of seeds, and of directors that the view remembers, that are not live. The caller holds the lock.
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

// sleep waits, and says whether it was for the whole time: false where the context ended.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}
