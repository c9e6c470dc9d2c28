package faulttest

import (
	"time"

	"tallyproxy/internal/fakes"
	"tallyproxy/internal/logevent"
)

// splitLostAtEnds divides requests that were open as a director ended their connection. Those that were sent while the machine held the
// director up between its last look into the socket and the half-close have crossed the end: it can't have read them. The others are lost.
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

// sentInHalfClose says whether a request was sent between the look and the half-close of its connection, as the director logged them.
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
