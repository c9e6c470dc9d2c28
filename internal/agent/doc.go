// Package agent looks after the directors of one machine: it stores prepared and decided changes, applies them, reads back what the
// directors run, and continues after its own crash. Package rollout decides; this package is its driver, with the store, the gRPC service
// and the directors' processes.
//
// One mutex guards the state machine and its recovery. Whatever they change is stored before the mutex is released, and so before any
// reply is sent or any command is carried out.
package agent
