// Package rollout changes the operator's scripts of several directors together. A change is
// prepared at every agent, decided once, and then applied wave by wave.
//
// The package does no I/O and takes the time as a parameter, in microseconds of a monotonic clock.
// Agent is the state machine of the agent of one machine, Coordinator that of the operator's tool,
// and Recovery an agent's own coordinator for changes that a tool left undecided. Their drivers are
// in internal/agent and internal/ctl. Messages may be lost, repeated, delayed and reordered, and
// either side may crash between any two steps. None of the types is safe for concurrent use: the
// driver that owns a value calls it from one goroutine at a time.
//
// The decision is a single value in a register that the agents replicate with Paxos, in one round
// for each ballot. The outcome that a majority has accepted is chosen, and every holder that asks a
// majority finds it. A tool that crashes after the outcome was chosen has therefore decided the
// change, and a tool that crashes before that has not, regardless of the messages that it has sent.
// A ballot is the right to change the fleet while its lease lasts. A higher ballot takes over the
// right and fences off the messages of the lower one.
package rollout
