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

// stallMonitor drives a stall.Detector: it reads the clocks and beats. It is safe for concurrent use.
type stallMonitor struct {
	*stall.Detector
	start     time.Time // the zero of the monotonic readings
	heartbeat time.Duration
}

// newStallMonitor makes a monitor that calls pollNow when it notices a stall, and resolved when what is known is trusted again.
func newStallMonitor(settings policy.Settings, timeouts policy.Timeouts, pollNow func(), resolved func(stall.Resolution)) *stallMonitor {
	m := &stallMonitor{start: time.Now(), heartbeat: timeouts.Heartbeat.Duration()}
	thresholds := stall.Thresholds{
		Stall: timeouts.StallThreshold, SuspectTimeout: timeouts.SuspectTimeout,
		// A poll may take the channel's time, and be given up only after that of its connection; then comes a pause.
		PollCycle: timeouts.LongPoll + 2*timeouts.Connect + backoff.DeriveIntervals(settings, timeouts).MaxPause + timeouts.StallThreshold,
	}
	m.Detector = stall.New(thresholds, m.Now(), func(stalled policy.Micros) {
		slog.Warn(logevent.ClockStall, "gap", stalled.Duration())
		pollNow()
	}, func(how stall.Resolution, took policy.Micros) {
		slog.Info(logevent.ClockStallResolved, "result", how.String(), "duration", took.Duration())
		resolved(how)
	})
	return m
}

// Now reads both clocks at once.
func (m *stallMonitor) Now() stall.Reading { return m.reading(time.Now()) }

// reading converts a time that was read in this process.
func (m *stallMonitor) reading(t time.Time) stall.Reading {
	return stall.Reading{Monotonic: policy.MicrosOf(t.Sub(m.start)), Wall: policy.Micros(t.UnixMicro())}
}

// StaleBy is how long before it was read, at a time, something may have come.
func (m *stallMonitor) StaleBy(read time.Time) time.Duration {
	return m.Detector.StaleBy(m.reading(read)).Duration()
}

// Trusted says whether what is known may be acted on now.
func (m *stallMonitor) Trusted() bool { return m.Detector.Trusted(m.Now()) }

// run beats until the context ends.
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

// pollMonitor is the stall monitor of the command channel's client: gossip hears of polls, too.
type pollMonitor struct {
	*stallMonitor
	gossip *gossipDriver
}

// PollDone takes how a poll ended that began at a time.
func (m pollMonitor) PollDone(began, now stall.Reading, ok bool) {
	m.stallMonitor.PollDone(began, now, ok)
	if ok {
		m.gossip.pollSucceeded(began.Monotonic)
	}
}
