package faulttest

import (
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
)

// splitLostAtEnds divides the requests that were open when a director closed their connection. A
// request crossed the close if it was sent while the machine delayed the director between its last
// read of the socket and the half-close: the director can't have read it. All other requests are
// lost.
func splitLostAtEnds(entries []Entry, requests []fakes.LostAtEnd) (lost, crossed []fakes.LostAtEnd) {
	for _, r := range requests {
		if sentInHalfClose(entries, r) {
			crossed = append(crossed, r)
		} else {
			lost = append(lost, r)
		}
	}
	return lost, crossed
}

// sentInHalfClose reports whether a request was sent between the director's last read of the
// request's connection and the half-close, according to the director's log.
func sentInHalfClose(entries []Entry, r fakes.LostAtEnd) bool {
	for _, e := range entries {
		if e.Event != logevent.HalfCloseDelayed || e.Attributes["client"] != r.Client {
			continue
		}
		lookedAt, timeErr := time.Parse(time.RFC3339Nano, e.Attributes["looked_at"])
		gap, gapErr := time.ParseDuration(e.Attributes["gap"])
		if timeErr == nil && gapErr == nil && r.SentAt.After(lookedAt) && r.SentAt.Before(lookedAt.Add(gap)) {
			return true
		}
	}
	return false
}
