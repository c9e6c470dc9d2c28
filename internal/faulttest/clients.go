package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tallyproxy/internal/fakes"
)

// Second seeds of the clients' random number streams.
const (
	clientStartStream = 31  // start times of clients
	clientStream      = 100 // first client; each further client has the next number
)

const (
	clientMaxRetries = 12
	clientRetryPause = 100 * time.Millisecond
	clientStartSpan  = time.Second // all clients start within this time
)

// targets returns the directors in the form that clients use.
func (h *Harness) targets() (targets []*fakes.Target) {
	for _, p := range h.Processes() {
		targets = append(targets, &p.Target)
	}
	return targets
}

// StartClients starts the clients. It may be called only once.
func (h *Harness) StartClients() {
	targets := h.targets()
	pause := h.meanPause()
	random := rand.New(rand.NewPCG(h.Cluster.Seed, clientStartStream))
	for i := range h.spec.Clients {
		client := &fakes.Client{
			Cluster: h.Cluster, Targets: targets, Current: i % len(targets), LocalAddress: fmt.Sprintf("127.1.%d.%d", i/250%250, 1+i%250),
			MaxRetries: clientMaxRetries, RetryPause: clientRetryPause,
			Rand: rand.New(rand.NewPCG(h.Cluster.Seed, uint64(i)+clientStream)), Zipf: h.popularity,
		}
		from := h.Cluster.Now() + time.Duration(random.Float64()*float64(clientStartSpan))
		h.clients.Go(func() { client.Run(h.clientsCtx, from, pause) })
	}
}

// meanPause returns the mean time between two requests of a client at which the load of all clients
// is LoadFactor times what warm caches can serve.
func (h *Harness) meanPause() time.Duration {
	work := 0.0 // seconds of transfer for a mean request
	for _, t := range h.Cluster.ContentTypes {
		work += t.RequestShare * t.MeanTransfer.Seconds()
	}
	rate := h.spec.LoadFactor * h.Cluster.CacheCapacity * float64(h.spec.CacheNodes) / work
	return time.Duration(float64(h.spec.Clients) / rate * float64(time.Second))
}

// StopClients stops the load and waits until all clients have stopped.
func (h *Harness) StopClients() {
	h.cancelClients()
	h.clients.Wait()
}

// runIdleClients connects clients that send nothing, until the context ends.
func (h *Harness) runIdleClients(ctx context.Context, clients []*fakes.Client) {
	var running sync.WaitGroup
	for _, client := range clients {
		running.Go(func() { client.Idle(ctx) })
	}
	running.Wait()
}

// StartPipelined starts clients that use their connections as behavior describes. They stop
// together with those of StartClients.
func (h *Harness) StartPipelined(count int, behavior fakes.Behavior, random *rand.Rand) {
	targets := h.targets()
	for i := range count {
		client := &fakes.PipelinedClient{
			Cluster: h.Cluster, Targets: targets, Current: i % len(targets), LocalAddress: fmt.Sprintf("127.1.%d.%d", 1+random.IntN(250), 1+i%250),
			Behavior: behavior, Moments: &h.Moments, Rand: newStream(random), Zipf: h.popularity,
		}
		h.clients.Go(func() { client.Run(h.clientsCtx) })
	}
}
