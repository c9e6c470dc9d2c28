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

// heart drives a director's watch over its own time: it gives it the clock, and beats.
type heart struct {
	*stall.Detector
	start time.Time
	every time.Duration
}

func newHeart(s policy.Settings, m policy.Timeouts, hurry func(), settled func(stall.Resolution)) *heart {
	h := &heart{start: time.Now(), every: span(m.Heartbeat)}
	// A call may take the channel's time, and be given up only after that of its connection; then comes a pause.
	cycle := m.LongPoll + 2*m.Connect + backoff.DeriveIntervals(s, m).MaxPause + m.StallThreshold
	h.Detector = stall.New(stall.Thresholds{Stall: m.StallThreshold, PollCycle: cycle, SuspectTimeout: m.SuspectTimeout}, h.Now(), func(gap policy.Micros) {
		slog.Warn(logevent.ClockStall, "gap", span(gap))
		hurry()
	}, func(how stall.Resolution, took policy.Micros) {
		slog.Info(logevent.ClockStallResolved, "result", how.String(), "duration", span(took))
		settled(how)
	})
	return h
}

// Now reads both clocks at once.
func (h *heart) Now() stall.Reading { return h.at(time.Now()) }

func (h *heart) at(t time.Time) stall.Reading {
	return stall.Reading{Monotonic: policy.Micros(t.Sub(h.start) / time.Microsecond), Wall: policy.Micros(t.UnixMicro())}
}

// StaleBy is how long before it was read something may have come.
func (h *heart) StaleBy(read time.Time) time.Duration { return span(h.Detector.StaleBy(h.at(read))) }

// heard is a heart that has what others say reckoned with too, by the calls that the channel answers.
type heard struct {
	*heart
	g *gossipDriver
}

// PollDone takes how a call of the channel ended.
func (h heard) PollDone(began, now stall.Reading, ok bool) {
	if h.heart.PollDone(began, now, ok); ok {
		h.g.answered(began.Monotonic)
	}
}

// Trusted says whether what is known may be acted on now.
func (h *heart) Trusted() bool { return h.Detector.Trusted(h.Now()) }

// run beats until the end.
func (h *heart) run(ctx context.Context) {
	tick := time.NewTicker(h.every)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			h.Heartbeat(h.Now())
		case <-ctx.Done():
			return
		}
	}
}
