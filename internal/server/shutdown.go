package server

import (
	"context"
	"log/slog"
	"time"

	"tallyproxy/internal/logevent"
)

// quietChecks is the number of times per accept period that awaitQuiet checks whether clients still
// connect.
const quietChecks = 100

// shutdown answers all accepted requests and then stops all parts. It returns within the drain
// deadline plus the time to write the answers. cancel ends the context that was passed to start.
func (d *director) shutdown(cancel context.CancelFunc) {
	signaledAt := time.Now()
	slog.Info(logevent.Stopping, "open", d.routers.openRequests())
	d.clients.SetNotServing()
	d.reporter.setStopping()
	d.awaitQuiet(signaledAt)
	// Loses no connection if the quiet period has passed: the listener's queue is then empty.
	_ = d.listener.Close()
	d.routers.drainBy(signaledAt.Add(d.timeouts.DrainDeadline.Duration()))
	// Shutdown returns after all requests, even late ones, are answered and the connections have
	// ended, or after WriteFlush at the latest.
	d.clients.Shutdown()
	d.gossip.stop()
	cancel()
	d.nodes.Close()
	d.routers.stop()
	slog.Info(logevent.Stopped)
}

// awaitQuiet keeps accepting connections for the accept period, since connections in the listener's
// queue count as accepted and need time to send a request. After that it returns as soon as no
// client has connected for the quiet period, and at the latest after a second accept period even if
// clients still connect.
func (d *director) awaitQuiet(signaledAt time.Time) {
	quietPeriod := d.operator.QuietPeriod
	if quietPeriod == 0 {
		quietPeriod = d.timeouts.CancelConfirm
	}
	accept := d.timeouts.DrainAccept.Duration()
	earliest := signaledAt.Add(accept)
	latest := earliest.Add(accept)
	for time.Now().Before(latest) {
		if time.Now().After(earliest) && d.clients.QuietFor(quietPeriod.Duration()) {
			return
		}
		time.Sleep(accept / quietChecks)
	}
}
