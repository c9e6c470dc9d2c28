package server

import (
	"context"
	"log/slog"
	"time"

	"tallyproxy/internal/logevent"
)

// quietPolls is how often it is looked during the time to accept whether clients have ceased to come.
const quietPolls = 100

// shutdown answers all that was accepted, and ends all parts. It returns within the drain deadline and the time to write.
// cancel ends the context of start.
func (d *director) shutdown(cancel context.CancelFunc) {
	signalled := time.Now()
	slog.Info(logevent.Stopping, "open", d.routers.openRequests())
	d.clients.SetNotServing()
	d.reporter.setStopping()
	d.awaitQuiet(signalled)
	_ = d.listener.Close() // no connection is lost: those that wait in its queue were accepted
	d.routers.drainBy(signalled.Add(d.timeouts.DrainDeadline.Duration()))
	d.clients.Shutdown() // returns once all is answered, also what still comes, and the clients are told to leave
	d.gossip.stop()
	cancel()
	d.nodes.Close()
	d.routers.stop()
	slog.Info(logevent.Stopped)
}

// awaitQuiet goes on accepting connections for the time to accept, since those in the listener's queue count as accepted and must
// have a moment to ask. After that it returns as soon as no client has come for the quiet period, and no later than after the time
// to accept once more, whoever still comes.
func (d *director) awaitQuiet(signalled time.Time) {
	quietPeriod := d.operator.QuietPeriod
	if quietPeriod == 0 {
		quietPeriod = d.timeouts.CancelConfirm
	}
	accept := d.timeouts.DrainAccept.Duration()
	earliest := signalled.Add(accept)
	latest := earliest.Add(accept)
	for time.Now().Before(latest) {
		if time.Now().After(earliest) && d.clients.QuietFor(quietPeriod.Duration()) {
			return
		}
		time.Sleep(accept / quietPolls)
	}
}
