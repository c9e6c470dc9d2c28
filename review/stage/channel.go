package stage

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Channel is the command channel.
type Channel struct {
	Address string

	record  *Record
	mux     *http.ServeMux
	mu      sync.Mutex
	server  *http.Server
	events  []map[string]any
	changed chan struct{}
	latency time.Duration
}

// NewChannel starts a command channel without events.
func NewChannel(record *Record, host string) (*Channel, error) {
	listener, err := net.Listen("tcp4", host+":0")
	if err != nil {
		return nil, err
	}
	c := &Channel{Address: listener.Addr().String(), record: record, changed: make(chan struct{})}
	c.mux = http.NewServeMux()
	c.mux.HandleFunc("GET /cmd/next", c.next)
	c.serve(listener)
	return c, nil
}

func (c *Channel) serve(listener net.Listener) {
	server := &http.Server{Handler: c.mux}
	c.mu.Lock()
	c.server = server
	c.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
}

// Down closes all connections, and takes no new ones.
func (c *Channel) Down() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.server.Close()
}

// Up takes connections again.
func (c *Channel) Up() error {
	listener, err := net.Listen("tcp4", c.Address)
	if err == nil {
		c.serve(listener)
	}
	return err
}

// Close ends the channel.
func (c *Channel) Close() { _ = c.Down() }

// SetLatency makes each later answer take that much longer than it would.
func (c *Channel) SetLatency(latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = latency
}

func (c *Channel) publish(event map[string]any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	event["cursor"] = len(c.events) + 1
	c.events = append(c.events, event)
	close(c.changed)
	c.changed = make(chan struct{})
}

// PublishNodes publishes the state of nodes. The first event has the whole list.
func (c *Channel) PublishNodes(status string, nodes ...*Node) {
	var endpoints []any
	for _, n := range nodes {
		endpoints = append(endpoints, map[string]any{
			"name": n.Name, "address": n.Address, "zone": n.Zone, "type": n.Type, "group": n.Group, "status": status, "weight": 1, "since_ms": n.Since,
		})
		c.record.Add("channel: %s at %s is %s", n.Name, n.Address, status)
	}
	c.mu.Lock()
	first := len(c.events) == 0
	c.mu.Unlock()
	c.publish(map[string]any{"nodes": map[string]any{"index": 1, "snapshot": first, "endpoints": endpoints}})
}

// Known returns the events so far in the form of the configuration.
func (c *Channel) Known() map[string]any {
	c.mu.Lock()
	defer c.mu.Unlock()
	return map[string]any{"cursor": len(c.events), "cmds": append([]map[string]any{}, c.events...)}
}

func (c *Channel) next(out http.ResponseWriter, r *http.Request) {
	resume, _ := strconv.Atoi(r.FormValue("resume"))
	block, _ := strconv.Atoi(r.FormValue("block"))
	c.record.Add("channel: asked for events after %d, wait of %d ms", resume, block)
	timer := time.NewTimer(time.Duration(min(block, 5000)) * time.Millisecond)
	defer timer.Stop()
	c.mu.Lock()
	for expired := false; len(c.events) <= resume && !expired; {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			c.record.Add("channel: the asker of events after %d has left", resume)
			return
		}
		c.mu.Lock()
	}
	latency := c.latency
	c.mu.Unlock()
	select {
	case <-time.After(latency):
	case <-r.Context().Done():
		c.record.Add("channel: the asker of events after %d has left before its answer", resume)
		return
	}
	c.mu.Lock()
	answer := map[string]any{"cursor": len(c.events), "cmds": append([]map[string]any{}, c.events[min(resume, len(c.events)):]...)}
	c.mu.Unlock()
	raw, err := json.Marshal(answer)
	if err != nil {
		http.Error(out, err.Error(), http.StatusInternalServerError)
		return
	}
	out.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	_, _ = out.Write(raw)
	c.record.Add("channel: answered events after %d: %s", resume, fmt.Sprint(len(answer["cmds"].([]map[string]any))))
}
