package gossip

import (
	"maps"
	"slices"

	"tallyproxy/policy"
)

// ChannelAnswered records that the own channel has answered a poll that began at a time: by then it has published all that others received
// before. What only they said is no longer in force; changed is true where nodes are no longer avoided that were.
func (s *Store) ChannelAnswered(began policy.Micros) (changed bool) {
	s.answeredAt = max(s.answeredAt, began)
	maps.DeleteFunc(s.unconfirmed, func(_ Update, at policy.Micros) bool { return at <= began })
	for node, at := range s.avoided {
		if at <= began {
			delete(s.avoided, node)
			changed = true
		}
	}
	return changed
}

// ShouldPoll says whether to poll the own channel now, because it has not published an update that others sent ConfirmTimeout ago, and counts
// the poll. A channel that fails is polled by its own backoff instead.
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

// AvoidedNodes are the ids of the nodes that get no requests because of others' updates alone, in order.
func (s *Store) AvoidedNodes() []string { return slices.Sorted(maps.Keys(s.avoided)) }

// ChannelAge is the time since the latest poll began that the own channel answered.
func (s *Store) ChannelAge(now policy.Micros) policy.Micros { return now - s.answeredAt }

// Confirms says whether the state of a director whose channel's age is given is new enough for one that starts to trust it.
func (s *Store) Confirms(channelAge policy.Micros) bool {
	return channelAge >= 0 && channelAge <= s.settings.Retention/2
}

// ConfirmsReply says whether a director's state is new enough, given how long its reply took. A reply that took longer than ConfirmTimeout
// may have been held up somewhere while the channel published more.
func (s *Store) ConfirmsReply(took, channelAge policy.Micros) bool {
	return took >= 0 && took <= s.settings.ConfirmTimeout && s.Confirms(channelAge)
}

// Report is the state of a director's channel for the state socket.
type Report struct {
	ChannelAge int64    `json:"own_age_us"`    // of the own channel's latest answer, µs
	NewestAge  int64    `json:"newest_age_us"` // of the newest answer that any reachable director had, µs
	Avoided    []string `json:"avoided"`       // nodes that get no requests because of others' updates alone
	Received   int      `json:"heard"`         // new updates from others
}

// Report gives the state as it is now. newestOfOthers is the least channel age that another director has reported, negative for none.
func (s *Store) Report(now, newestOfOthers policy.Micros) Report {
	own := s.ChannelAge(now)
	newest := own
	if newestOfOthers >= 0 {
		newest = min(own, newestOfOthers)
	}
	return Report{ChannelAge: int64(own), NewestAge: int64(newest), Avoided: s.AvoidedNodes(), Received: s.received}
}
