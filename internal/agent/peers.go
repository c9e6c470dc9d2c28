package agent

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"

	"tallyproxy/internal/authority"
	"tallyproxy/internal/config"
	"tallyproxy/internal/fleetpb"
	"tallyproxy/rollout"
)

// Clients calls agents by their names in the inventory, over one connection each.
type Clients struct {
	inv   *config.Inventory
	id    *authority.Identity
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // one for each agent of the inventory at the most
}

// NewClients makes one; nothing is called yet.
func NewClients(inv *config.Inventory, id *authority.Identity) *Clients {
	return &Clients{inv: inv, id: id, conns: map[string]*grpc.ClientConn{}}
}

// Client is the one for an agent.
func (p *Clients) Client(name string) (fleetpb.AgentClient, error) {
	entry := p.inv.Agent(name)
	if entry == nil {
		return nil, fmt.Errorf("there is no agent %q", name)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.conns[name]
	if conn == nil {
		var err error
		conn, err = grpc.NewClient("passthrough:///"+entry.Address,
			grpc.WithTransportCredentials(credentials.NewTLS(p.id.ClientTLS(name))),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
				MinConnectTimeout: 2 * time.Second,
			}), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(32<<20)))
		if err != nil {
			return nil, err
		}
		p.conns[name] = conn
	}
	return fleetpb.NewAgentClient(conn), nil
}

// Send says a message to an agent.
func (p *Clients) Send(ctx context.Context, to string, m rollout.Message) (rollout.Reply, error) {
	c, err := p.Client(to)
	if err != nil {
		return rollout.Reply{}, err
	}
	r, err := c.Say(ctx, fleetpb.FromMessage(m))
	if err != nil {
		return rollout.Reply{}, err
	}
	return fleetpb.ToReply(r), nil
}

// Close ends all connections.
func (p *Clients) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, c := range p.conns {
		c.Close()
		delete(p.conns, name)
	}
}
