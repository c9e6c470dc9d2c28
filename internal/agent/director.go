package agent

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tallyproxy/internal/config"
	"tallyproxy/internal/status"
)

const (
	reportInterval  = 20 * time.Millisecond // between two reads of a director's status
	startTimeout    = 10 * time.Second      // for a director to start, or to read its files
	shutdownTimeout = 20 * time.Second      // for a director to answer all accepted requests
)

// Errors of starting, stopping and signaling a director's process. The errors of Apply are stored
// and sent to tools as the reason for a failed target.
var (
	errNotRunning      = errors.New("it is not running")
	errNoCommand       = errors.New("it does not run, and its inventory has no command")
	errExited          = errors.New("it ended")
	errDidNotExit      = errors.New("it did not exit after SIGTERM")
	errNoReport        = errors.New("it does not tell how it is")
	errScriptNotLoaded = errors.New("it did not take the script")
)

// Director is a director that an agent manages. Its methods are safe for concurrent use. The zero
// value with a DirectorEntry is ready to use.
type Director struct {
	config.DirectorEntry
	starting sync.Mutex // held during a start, since a change and the supervisor may both want one

	mu      sync.Mutex
	command *exec.Cmd     // guarded by mu; nil if this agent has not started it
	exited  chan struct{} // guarded by mu; closed once command has exited
}

// pid returns the director's process ID. The sources, in this order, are a running process that
// this agent started, the PID file if one is configured, and the director's status.
func (d *Director) pid() (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.command != nil && d.command.Process != nil {
		select {
		case <-d.exited:
		default:
			return d.command.Process.Pid, nil
		}
	}
	if d.PIDFile != "" {
		return readPidfile(d.PIDFile)
	}
	// An earlier run of the agent started the director.
	if report, err := status.Read(context.Background(), d.StatusSocket); err == nil {
		return report.PID, nil
	}
	return 0, errNotRunning
}

func readPidfile(path string) (int, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil || pid <= 1 {
		return 0, fmt.Errorf("%s: %q is no process", path, raw)
	}
	return pid, nil
}

// process reports whether the process that this agent started is running and, if it is not, whether
// it exited successfully, as a director does after a request to stop. Nothing is known about a
// process that an earlier run of the agent started.
func (d *Director) process() (running, stopped bool) {
	d.mu.Lock()
	command, exited := d.command, d.exited
	d.mu.Unlock()
	if command == nil {
		return false, false
	}
	select {
	case <-exited:
		return false, command.ProcessState != nil && command.ProcessState.Success()
	default:
		return true, false
	}
}

// Signal sends a signal to the director's process.
func (d *Director) Signal(s syscall.Signal) error {
	pid, err := d.pid()
	if err != nil {
		return err
	}
	return syscall.Kill(pid, s)
}

// Report reads the director's status.
func (d *Director) Report(ctx context.Context) (status.Report, error) {
	return status.Read(ctx, d.StatusSocket)
}

// Start starts the director unless it is running, and waits until it reports its status. The
// process continues to run after the agent has exited.
func (d *Director) Start(ctx context.Context) error {
	d.starting.Lock()
	defer d.starting.Unlock()
	if _, err := d.Report(ctx); err == nil {
		return nil
	}
	if running, _ := d.process(); running { // a second process could not use the same address
		return d.waitForReport(ctx)
	}
	if len(d.Command) == 0 {
		return errNoCommand
	}
	command := exec.Command(d.Command[0], append(append([]string(nil), d.Command[1:]...), "--config", d.PlatformFile, "--settings", d.SettingsFile)...)
	command.Env, command.Stderr = os.Environ(), os.Stderr
	// A signal to the agent's process group must not reach the director.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // the exit status is in ProcessState
		close(exited)
	}()
	d.mu.Lock()
	d.command, d.exited = command, exited
	d.mu.Unlock()
	return d.waitForReport(ctx)
}

// Stop asks the director to shut down and waits until it has answered all accepted requests. It
// returns errDidNotExit if the director takes longer than shutdownTimeout, and the context's error
// if the context ends first.
func (d *Director) Stop(ctx context.Context) error {
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	for deadline := time.Now().Add(shutdownTimeout); time.Now().Before(deadline); time.Sleep(reportInterval) {
		_, err := d.Report(ctx)
		switch {
		case ctx.Err() != nil: // it is unknown whether the director has exited
			return ctx.Err()
		case err != nil:
			return nil
		}
	}
	return errDidNotExit
}

func (d *Director) waitForReport(ctx context.Context) error {
	return d.waitUntil(ctx, func(status.Report) (bool, error) { return true, nil })
}

// waitUntil reads the director's status until the condition is met or returns an error, the process
// exits, or startTimeout has passed.
func (d *Director) waitUntil(ctx context.Context, condition func(status.Report) (met bool, err error)) error {
	timeoutError := errNoReport
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(reportInterval) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		d.mu.Lock()
		exited := d.exited
		d.mu.Unlock()
		report, err := d.Report(ctx)
		if err == nil {
			if met, err := condition(report); met || err != nil {
				return err
			}
			timeoutError = errScriptNotLoaded
			continue
		}
		select {
		case <-exited: // nil, and therefore never ready, if this agent has not started it
			return errExited
		default:
		}
	}
	return timeoutError
}
