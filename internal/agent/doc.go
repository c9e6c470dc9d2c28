// Package agent manages the directors of one machine. It stores prepared and decided changes,
// applies them, verifies what the directors run, and continues after its own crash. Package rollout
// makes the decisions; this package is its driver, with the store, the gRPC service and the
// directors' processes.
//
// One mutex guards the state machine and its recovery. Their changes are stored before the mutex is
// released, and therefore before any reply is sent or any command is carried out.
package agent
