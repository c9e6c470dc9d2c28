package server

import (
	"context"
	"log/slog"
	"time"

	"tallyproxy/backoff"
	"tallyproxy/internal/logevent"
	"tallyproxy/policy"
	"tallyproxy/stall"
)

// stallMonitor drives a stall.Detector: it reads the clocks and calls the detector at each
// heartbeat. It is safe for concurrent use.
type stallMonitor struct {
	*stall.Detector
	start     time.Time // zero of the monotonic readings
	heartbeat time.Duration
}

// newStallMonitor returns a monitor that calls pollNow when it detects a stall, and resolved when
// the director's state can be trusted again.
func newStallMonitor(settings policy.Settings, timeouts policy.Timeouts, pollNow func(), resolved func(stall.Resolution)) *stallMonitor {
	m := &stallMonitor{start: time.Now(), heartbeat: timeouts.Heartbeat.Duration()}
	thresholds := stall.Thresholds{
		Stall: timeouts.StallThreshold, SuspectTimeout: timeouts.SuspectTimeout,
		// A poll may last as long as the channel's long poll. It fails only after the connection
		// timeouts, and a pause follows it.
		PollCycle: timeouts.LongPoll + 2*timeouts.Connect + backoff.DeriveIntervals(settings, timeouts).MaxPause + timeouts.StallThreshold,
	}
	m.Detector = stall.New(thresholds, m.Now(), func(stalled policy.Micros) {
		slog.Warn(logevent.ClockStall, "gap", stalled.Duration())
		pollNow()
	}, func(resolution stall.Resolution, elapsed policy.Micros) {
		slog.Info(logevent.ClockStallResolved, "result", resolution.String(), "duration", elapsed.Duration())
		resolved(resolution)
	})
	return m
}

// Now reads both clocks at once.
func (m *stallMonitor) Now() stall.Reading { return m.reading(time.Now()) }

// reading converts a time that was read in this process.
func (m *stallMonitor) reading(t time.Time) stall.Reading {
	return stall.Reading{Monotonic: policy.MicrosOf(t.Sub(m.start)), Wall: policy.Micros(t.UnixMicro())}
}

// StaleBy returns the longest time that data read at the given time may have waited before it was
// read.
func (m *stallMonitor) StaleBy(read time.Time) time.Duration {
	return m.Detector.StaleBy(m.reading(read)).Duration()
}

// Trusted reports whether the director may act on its state now.
func (m *stallMonitor) Trusted() bool { return m.Detector.Trusted(m.Now()) }

// run sends heartbeats to the detector until ctx ends.
func (m *stallMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(m.heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			m.Heartbeat(m.Now())
		case <-ctx.Done():
			return
		}
	}
}

// pollMonitor is the stall monitor of the command channel's client. It also reports successful
// polls to gossip.
type pollMonitor struct {
	*stallMonitor
	gossip *gossipDriver
}

// PollDone records the result of a poll that began at the given time.
func (m pollMonitor) PollDone(began, now stall.Reading, ok bool) {
	m.stallMonitor.PollDone(began, now, ok)
	if ok {
		m.gossip.pollSucceeded(began.Monotonic)
	}
}
