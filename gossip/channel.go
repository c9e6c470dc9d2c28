package gossip

import (
	"maps"
	"slices"

	"tallyproxy/policy"
)

// ChannelAnswered records that this director's channel has answered a poll that started at
// pollStartedAt. By then the channel had published every update that other directors received from
// it earlier. Restrictions that this director received before that time only from other directors
// are therefore no longer in force. changed reports whether this released any avoided nodes.
func (s *Store) ChannelAnswered(pollStartedAt policy.Micros) (changed bool) {
	s.answeredAt = max(s.answeredAt, pollStartedAt)
	maps.DeleteFunc(s.unconfirmed, func(_ Update, at policy.Micros) bool { return at <= pollStartedAt })
	for node, at := range s.avoided {
		if at <= pollStartedAt {
			delete(s.avoided, node)
			changed = true
		}
	}
	return changed
}

// ShouldPoll reports whether to poll this director's channel now because the channel has not
// published an update that another director sent at least ConfirmTimeout ago. If so, it records the
// poll. It returns true at most once per MinPollInterval, and never while the channel is failing,
// because the channel's own backoff then schedules the polls.
func (s *Store) ShouldPoll(now policy.Micros, failing bool) bool {
	if failing || now-s.lastPoll < s.settings.MinPollInterval {
		return false
	}
	for _, receivedAt := range s.unconfirmed {
		if now-receivedAt >= s.settings.ConfirmTimeout {
			s.lastPoll = now
			return true
		}
	}
	return false
}

// AvoidedNodes returns the ids of the nodes that get no requests only because of other directors'
// updates, in ascending order.
func (s *Store) AvoidedNodes() []string { return slices.Sorted(maps.Keys(s.avoided)) }

// ChannelAge returns the time since the start of the latest poll that this director's channel
// answered.
func (s *Store) ChannelAge(now policy.Micros) policy.Micros { return now - s.answeredAt }

// Confirms reports whether the state of a director with the given channel age is recent enough for
// a newly started director to trust it.
func (s *Store) Confirms(channelAge policy.Micros) bool {
	return channelAge >= 0 && channelAge <= s.settings.Retention/2
}

// ConfirmsReply reports whether the state in another director's reply is recent enough, given the
// reply's round-trip time. A reply that took longer than ConfirmTimeout may have been delayed while
// the channel published more updates.
func (s *Store) ConfirmsReply(roundTrip, channelAge policy.Micros) bool {
	return roundTrip >= 0 && roundTrip <= s.settings.ConfirmTimeout && s.Confirms(channelAge)
}

// Report is the state of a director's channel in the form that the state socket serves.
type Report struct {
	ChannelAge int64    `json:"own_age_us"`    // µs since the latest answered poll started
	NewestAge  int64    `json:"newest_age_us"` // least such age of any reachable director
	Avoided    []string `json:"avoided"`       // nodes avoided only due to others' updates
	Received   int      `json:"heard"`         // new updates from other directors
}

// Report returns the report at the given time. newestOfOthers is the lowest channel age that
// another director has reported, or negative if there is none.
func (s *Store) Report(now, newestOfOthers policy.Micros) Report {
	own := s.ChannelAge(now)
	newest := own
	if newestOfOthers >= 0 {
		newest = min(own, newestOfOthers)
	}
	return Report{ChannelAge: int64(own), NewestAge: int64(newest), Avoided: s.AvoidedNodes(), Received: s.received}
}
