// Package rollout changes the operator's scripts of several directors together: a change is prepared at every agent, decided once, and
// then applied wave by wave.
//
// The package does no I/O and takes the time as a value, in microseconds of a monotonic clock: Agent is the state machine of one
// machine, Coordinator that of the operator's tool, and Recovery the agent's own coordinator for changes that a tool left undecided.
// Their drivers are in internal/agent and internal/ctl. Messages may be lost, repeated, delayed and reordered, and either side may
// crash between any two steps. None of the types is safe for concurrent use: the driver that owns one calls it from one goroutine at a
// time.
//
// The decision is a single value in a register that the agents replicate (Paxos, one round for each ballot): the outcome that a majority
// has accepted is chosen, and whoever asks a majority finds it. A tool that crashes after the decision has therefore decided, and one
// that crashes before it has not, whatever it sent to whom. A ballot is the right to change the fleet while its lease lasts; a higher
// ballot takes the right over and fences off the messages of the lower one.
package rollout
