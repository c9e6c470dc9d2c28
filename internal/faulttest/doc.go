// Package faulttest tests fleets of directors under faults. It starts directors as processes on
// loopback, with a relay for every directed link between them and fakes of everything else that
// they communicate with, and plays schedules of faults on them. A schedule is written by hand, read
// from JSON or drawn from a seed. A failing schedule is printed, replayed and shrunk. The History
// records, with times, what the processes logged and what the harness did to them. After the run,
// one checker per rule evaluates the history, and Outcome holds the results. The experiments in
// internal/experiment are based on this package.
//
// Directors run either the test program itself (see TestMain) or the production program.
package faulttest
