package server

import (
	"os"
	"sync"
	"time"

	"tallyproxy/internal/dispatch"
	"tallyproxy/internal/downstream"
	"tallyproxy/internal/status"
	"tallyproxy/internal/upstream"
	"tallyproxy/routing"
)

// statusReporter creates the status report. It is safe for concurrent use.
type statusReporter struct {
	started time.Time
	routers *routerGroup
	clients *downstream.Server
	nodes   *upstream.Pool
	gossip  *gossipDriver

	mu            sync.Mutex // guards all fields below
	configuration configuration
	reloads       int    // reloads that took effect
	reloadError   string // why the last reload was rejected; empty if it took effect
	stopping      bool
}

// newStatusReporter returns the reporter of a director, whose parts must exist.
func newStatusReporter(d *director) *statusReporter {
	return &statusReporter{
		started: time.Now(), routers: d.routers, clients: d.clients, nodes: d.nodes, gossip: d.gossip, configuration: d.configuration,
	}
}

// reloaded records the configuration that a reload has put in force.
func (r *statusReporter) reloaded(c configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.configuration, r.reloadError = c, ""
	r.reloads++
}

// reloadRejected records why a reload was rejected.
func (r *statusReporter) reloadRejected(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reloadError = err.Error()
}

// setStopping records that the stop signal has arrived.
func (r *statusReporter) setStopping() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// report returns the director's current status.
func (r *statusReporter) report() status.Report {
	report := r.configurationReport()
	report.ClientConnections, report.NodeConnections = r.clients.ConnCount(), r.nodes.Connections()
	report.OpenRequests = r.routers.openRequests()
	report.Membership, report.Gossip, report.Relay = r.gossip.membershipReport(), r.gossip.report(), r.gossip.relay.report()
	report.Counters = map[string]int64{}
	for _, router := range r.routers.routers {
		for name, n := range router.Counts() {
			report.Counters[name] += n
		}
		report.EventsReceived, report.EventsApplied = router.Epochs()
	}
	r.routers.withPolicies(func(router *dispatch.Router, routingPolicy *routing.Router) {
		now := router.Now()
		records, rejected := routingPolicy.DedupCounts()
		report.DedupRecords, report.DedupRejected = report.DedupRecords+records, report.DedupRejected+rejected
		report.Overload, report.NodeViews = routingPolicy.OverloadReport(now), routingPolicy.Endpoints(now)
	})
	return report
}

// configurationReport returns the part of the report that depends only on the configuration and on
// signals.
func (r *statusReporter) configurationReport() status.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	platform, operator := r.configuration.platform, r.configuration.operator
	return status.Report{
		Name: platform.Name, PID: os.Getpid(), Started: r.started, Stopping: r.stopping,
		SettingsDigest: operator.Digest, PlatformDigest: platform.Digest, Reloads: r.reloads, ReloadError: r.reloadError,
		Cores: operator.ShardCount(platform.Limits), AvoidedNodes: operator.AvoidNodes,
		MaxClientConnections: platform.Limits.MaxClientConnections(),
	}
}
