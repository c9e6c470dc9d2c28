// Package faulttest starts directors as processes on loopback, with a relay on every directed link between them and fakes of all else
// that they talk to, and plays schedules of faults on them. A schedule is written by hand, read from JSON or drawn from a seed; one that
// fails is printed, played again and shrunk. The History keeps, with times, what the processes logged and what the harness did to them;
// afterwards one checker a rule reads it, and Outcome has the results. Experiments on top of it are in internal/experiment.
//
// Directors may be the test program itself (see TestMain) or the program that is built for use.
package faulttest
