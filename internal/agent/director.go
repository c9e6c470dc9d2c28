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
	shutdownTimeout = 20 * time.Second      // for a director to answer all requests that it has taken
)

// Why a director's process can't be started, stopped or signalled.
var (
	errNotRunning   = errors.New("it is not running")
	errNoCommand    = errors.New("it does not run, and its inventory has no command")
	errExited       = errors.New("it ended")
	errDidNotExit   = errors.New("it does not end on SIGTERM")
	errNoReport     = errors.New("it does not tell how it is")
	errScriptUnread = errors.New("it did not take the script")
)

// Director is a director that an agent looks after. Its methods may be called from any goroutine; the zero value with a DirectorEntry is
// ready to use.
type Director struct {
	config.DirectorEntry
	starting sync.Mutex // held over a start: a change and the supervisor may want one at once

	mu      sync.Mutex
	command *exec.Cmd     // guarded by mu; nil where this agent has not started it
	exited  chan struct{} // guarded by mu; closed once command has exited
}

// pid returns the director's process: the one that this agent started, the one that the pidfile names, or the one that the status names.
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
	if report, err := status.Read(context.Background(), d.StatusSocket); err == nil { // an earlier run of the agent started it
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

// process reports whether the process that this agent started is running and, where it is not, whether it exited as one does that was
// told to stop. Nothing is known of a process that an earlier run of the agent started.
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

// Start starts the director unless it is running, and waits until it reports its status. The process outlives the agent.
func (d *Director) Start(ctx context.Context) error {
	d.starting.Lock()
	defer d.starting.Unlock()
	if _, err := d.Report(ctx); err == nil {
		return nil
	}
	if running, _ := d.process(); running { // a second process would find its address in use
		return d.waitForReport(ctx)
	}
	if len(d.Command) == 0 {
		return errNoCommand
	}
	command := exec.Command(d.Command[0], append(append([]string(nil), d.Command[1:]...), "--config", d.PlatformFile, "--settings", d.SettingsFile)...)
	command.Env, command.Stderr = os.Environ(), os.Stderr
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a signal to the agent's group does not reach it
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // how it exited is in ProcessState
		close(exited)
	}()
	d.mu.Lock()
	d.command, d.exited = command, exited
	d.mu.Unlock()
	return d.waitForReport(ctx)
}

// Stop tells the director to shut down and waits until it has answered all requests that it has taken. It returns errDidNotExit where
// the director takes too long, and the context's error where that ends before.
func (d *Director) Stop(ctx context.Context) error {
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	for end := time.Now().Add(shutdownTimeout); time.Now().Before(end); time.Sleep(reportInterval) {
		_, err := d.Report(ctx)
		switch {
		case ctx.Err() != nil: // whether the director has ended is not known
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

// waitUntil reads the director's status until the condition is met, the condition fails with an error, the process exits, or startTimeout
// has passed.
func (d *Director) waitUntil(ctx context.Context, condition func(status.Report) (met bool, err error)) error {
	timeoutError := errNoReport
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(reportInterval) {
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
			timeoutError = errScriptUnread
			continue
		}
		select {
		case <-exited: // nil, and so never ready, where this agent has not started it
			return errExited
		default:
		}
	}
	return timeoutError
}
