package experiment

import (
	"fmt"
	"time"

	"tallyproxy/internal/boolean"
	"tallyproxy/internal/fakes"
)

// StormResult is what clients, cache nodes and directors counted in a storm. Shares are from 0 to
// 1. RecoveryMS is -1 if requests did not recover.
type StormResult struct {
	// Clients, not counting idle ones.
	Clients int `json:"clients"`
	// Requests that ended.
	Requests int `json:"asked"`
	// Requests with an answer to the first attempt, whether ended or not.
	FirstAnswered int `json:"answered"`
	// Attempts of requests that ended.
	Attempts int `json:"tries"`
	// Requests that succeeded.
	Succeeded int `json:"fulfilled"`
	// Requests whose last answer was a rejection.
	Rejected int `json:"throttled"`
	// Requests whose last answer had any other status.
	Failed int `json:"abandoned"`
	// Requests without an answer.
	Unanswered int `json:"unanswered"`
	// Attempts that a director should have answered but did not.
	Lost int `json:"lost"`
	// Further answers to an attempt that was already answered.
	DoubleFinal int `json:"double_final"`
	// Answers with another object's bytes.
	WrongBodies int `json:"wrong_bytes"`
	// Further effects of the same idempotency key.
	RepeatedEffects int `json:"effects_twice"`
	// Upstream attempts of a request while another one was open.
	ConcurrentAttempts int `json:"pulls_together"`
	// Cache nodes that were overloaded.
	OverloadedNodes int `json:"boxes_fallen"`
	// Attempts sent to a drained node.
	DrainedUses int `json:"drains_broken"`
	// Answers older than a purge.
	StaleCopies int `json:"purges_broken"`
	// Highest load of any cache node, relative to its overload threshold.
	PeakLoad float64 `json:"peak_load"`
	// Milliseconds until 95 % of the requests succeeded in two consecutive seconds.
	RecoveryMS int64 `json:"settle_ms"`
	// Share of attempts without success.
	WastedShare float64 `json:"wasted_share"`
	// Share of the requests' priority weight that succeeded; late answers count a tenth.
	WeightShare float64 `json:"benefit_share"`
	// Work completed in the first ten seconds, relative to the caches' capacity.
	CacheUtilization float64 `json:"boxes_used"`
	// Attempts before the advised retry time.
	EarlyRetries int `json:"early_tries"`
	// Share of successful requests, of clients that obey the advised retry time.
	ObeyingSuccess float64 `json:"heeders_served"`
	// Share of successful requests, of clients that ignore the advised retry time.
	IgnoringSuccess float64 `json:"ignorers_served"`
	// Attempts lost because their director was killed.
	LostToKills int `json:"killed_tries"`
	// Attempts that timed out while their director was paused.
	LostToPauses int `json:"lost_paused"`
	// Clock stalls that directors logged.
	ClockStalls int `json:"jumps_noticed"`
	// Directors that did not stop cleanly.
	Crashes int `json:"crashes"`
	// Peak memory of any director.
	PeakMemoryMB float64 `json:"rss_mb_peak"`
	// Overloads that directors logged.
	OverloadsDetected int `json:"storms_noticed"`
	// For the plot.
	Series StormSeries `json:"-"`
	// Share of requests that succeeded, by second of their start.
	SuccessBySecond []float64 `json:"met"`
	// Errors of the attempts in Lost, with counts.
	LostReasons string `json:"lost_how,omitempty"`
}

// StormSeries has counts over time, one value for each fakes.SeriesInterval.
type StormSeries struct {
	Attempts   []int     // attempts of clients
	RetryAfter []int     // advised retries, by the advised time
	Succeeded  []int     // answers that have the object
	Load       []float64 // peak load so far
}

// Broken returns the names of the rules that were broken.
func (r StormResult) Broken() (rules []string) {
	for _, rule := range []struct {
		name   string
		broken int
	}{
		{"lost", r.Lost}, {"double_final", r.DoubleFinal}, {"wrong_bytes", r.WrongBodies}, {"effects_twice", r.RepeatedEffects},
		{"pulls_together", r.ConcurrentAttempts}, {"boxes_fallen", r.OverloadedNodes}, {"drains_broken", r.DrainedUses},
		{"purges_broken", r.StaleCopies}, {"crashes", r.Crashes},
	} {
		if rule.broken > 0 {
			rules = append(rules, rule.name)
		}
	}
	return rules
}

const (
	recoveryWindow    = time.Second      // length of the windows in which requests are counted
	recoveredShare    = 0.95             // share of successful requests in a window after recovery
	unfinishedTail    = 7 * time.Second  // end of the run, where requests may still be open
	utilizationWindow = 10 * time.Second // from the start of the storm
	lateWeight        = 0.1              // weight of an answer later than the latency objective
)

// summarize adds the counts of clients and cache nodes to the result.
func (r *stormRun) summarize(result *StormResult) {
	result.Clients = r.Clients
	violations := r.cluster.Violations()
	result.RepeatedEffects, result.ConcurrentAttempts = violations.RepeatedEffects, violations.ConcurrentAttempts
	result.OverloadedNodes, result.DrainedUses = violations.OverloadedNodes, violations.DrainedUses
	result.PeakLoad = peakLoad(r.cluster)
	r.cluster.Clients.WithLock(func(stats *fakes.ClientStats) {
		result.addClientStats(stats)
		tally := requestTally{begin: r.begin}
		for i := range stats.Requests {
			tally.add(&stats.Requests[i], result)
		}
		for _, window := range tally.windows {
			result.SuccessBySecond = append(result.SuccessBySecond, window.successShare())
		}
		result.RecoveryMS = tally.recoveryMS(r.Duration)
		result.CacheUtilization = ratio(tally.earlyWork, r.cluster.EdgeWork(r.begin, r.begin+utilizationWindow))
		result.WeightShare = ratio(tally.weightGained, tally.weight)
		result.WastedShare = ratio(float64(result.Attempts-result.Succeeded), float64(result.Attempts))
		result.ObeyingSuccess = tally.obeying.successShare()
		result.IgnoringSuccess = tally.ignoring.successShare()
	})
}

// addClientStats copies the counts that clients keep themselves.
func (r *StormResult) addClientStats(stats *fakes.ClientStats) {
	r.Lost, r.DoubleFinal, r.WrongBodies, r.StaleCopies = stats.Lost, stats.Duplicates, stats.WrongBodies, stats.StaleCopies
	r.FirstAnswered = stats.FirstAnswered
	r.LostToKills, r.EarlyRetries, r.LostToPauses = stats.LostToKills, stats.EarlyRetries, stats.LostToPauses
	r.Series.Attempts, r.Series.RetryAfter, r.Series.Succeeded = stats.AttemptSeries, stats.RetryAfterSeries, stats.SuccessSeries
	if len(stats.LostReasons) > 0 {
		r.LostReasons = fmt.Sprint(stats.LostReasons)
	}
}

// requestCount counts requests and successful requests.
type requestCount struct{ requests, succeeded int }

func (c *requestCount) add(succeeded bool) {
	c.requests++
	c.succeeded += boolean.Int(succeeded)
}

func (c requestCount) successShare() float64 {
	return ratio(float64(c.succeeded), float64(c.requests))
}

// requestTally sums up the requests that ended.
type requestTally struct {
	begin        time.Duration
	windows      []requestCount // by recoveryWindow of the requests' start
	obeying      requestCount   // of clients that obey the advised retry time
	ignoring     requestCount   // of clients that ignore the advised retry time
	weight       float64        // priority weight of all requests
	weightGained float64        // priority weight of requests that succeeded
	// earlyWork is the transfer time, in µs, of successful requests that ended in
	// utilizationWindow.
	earlyWork float64
}

// add adds a request to the sums and to the result's counts of requests.
func (t *requestTally) add(request *fakes.ClientRequest, result *StormResult) {
	result.Requests++
	result.Attempts += request.Attempts
	t.weight += request.ContentType.PriorityWeight
	if request.IgnoresRetryAfter {
		t.ignoring.add(request.Succeeded)
	} else {
		t.obeying.add(request.Succeeded)
	}
	window := int(max(0, request.StartedAt-t.begin) / recoveryWindow)
	for len(t.windows) <= window {
		t.windows = append(t.windows, requestCount{})
	}
	t.windows[window].add(request.Succeeded)
	switch {
	case request.Succeeded:
		result.Succeeded++
		t.addSuccess(request)
	case request.LastStatus == "503":
		result.Rejected++
	case request.LastStatus == "":
		result.Unanswered++
	default:
		result.Failed++
	}
}

// addSuccess adds the work and the weight of a successful request.
func (t *requestTally) addSuccess(request *fakes.ClientRequest) {
	if request.StartedAt+request.Duration < t.begin+utilizationWindow {
		t.earlyWork += request.TransferMicros
	}
	contentType := request.ContentType
	objective := contentType.LatencyObjective + time.Duration(contentType.TransferFactor*float64(contentType.MeanTransfer))
	t.weightGained += contentType.PriorityWeight
	if request.Duration > objective {
		t.weightGained -= (1 - lateWeight) * contentType.PriorityWeight
	}
}

// recoveryMS returns the start, in ms, of the first two consecutive windows in which nearly all
// requests succeeded, or -1 if there are none.
func (t *requestTally) recoveryMS(duration time.Duration) int64 {
	recovered := func(window int) bool {
		return float64(t.windows[window].succeeded) >= recoveredShare*float64(t.windows[window].requests)
	}
	for i := range t.windows {
		start := time.Duration(i) * recoveryWindow
		if start <= duration-unfinishedTail && i+1 < len(t.windows) && recovered(i) && recovered(i+1) {
			return start.Milliseconds()
		}
	}
	return -1
}
