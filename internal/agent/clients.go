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

const (
	maxReplyBytes     = 32 << 20
	minConnectTimeout = 2 * time.Second
)

// reconnectBackoff is the backoff between attempts to connect to an agent.
var reconnectBackoff = backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second}

// Clients calls agents by their names in the inventory, with one connection for each agent. It is
// safe for concurrent use.
type Clients struct {
	inventory *config.Inventory
	identity  *authority.Identity

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // by name; at most one for each agent of the inventory
}

// NewClients returns clients of an inventory's agents. The clients authenticate with the given
// identity. NewClients does not connect to any agent.
func NewClients(inventory *config.Inventory, identity *authority.Identity) *Clients {
	return &Clients{inventory: inventory, identity: identity, conns: map[string]*grpc.ClientConn{}}
}

// Client returns the client of the named agent, or an error if the inventory does not have this
// agent.
func (c *Clients) Client(name string) (fleetpb.AgentClient, error) {
	entry := c.inventory.Agent(name)
	if entry == nil {
		return nil, fmt.Errorf("there is no agent %q", name)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[name]
	if conn == nil {
		var err error
		conn, err = grpc.NewClient("passthrough:///"+entry.Address,
			grpc.WithTransportCredentials(credentials.NewTLS(c.identity.ClientTLS(name))),
			grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnectBackoff, MinConnectTimeout: minConnectTimeout}),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxReplyBytes)))
		if err != nil {
			return nil, err
		}
		c.conns[name] = conn
	}
	return fleetpb.NewAgentClient(conn), nil
}

// Send sends a message about a change to an agent and returns the reply.
func (c *Clients) Send(ctx context.Context, to string, m rollout.Message) (rollout.Reply, error) {
	client, err := c.Client(to)
	if err != nil {
		return rollout.Reply{}, err
	}
	reply, err := client.Say(ctx, fleetpb.FromMessage(m))
	if err != nil {
		return rollout.Reply{}, err
	}
	return fleetpb.ToReply(reply), nil
}

// Close closes all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, conn := range c.conns {
		_ = conn.Close() // only a second close returns an error
		delete(c.conns, name)
	}
}
