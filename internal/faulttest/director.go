package faulttest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tallyproxy/internal/fakes"
)

const (
	startTimeout        = 10 * time.Second // for a started director until it serves
	servingPollInterval = 5 * time.Millisecond
	statusTimeout       = time.Second      // for a director's answer to STATUS
	stopTimeout         = 15 * time.Second // for a director to exit after SIGTERM
)

// Errors of a director's process.
var (
	errNotServing = errors.New("director did not serve in time")
	errNotStopped = errors.New("director did not exit in time after SIGTERM")
)

// Director is a director that runs as a process. Its methods are safe for concurrent use, except
// that Start must not be called while the process runs.
type Director struct {
	fakes.Target // the director in the form that clients use

	argv       []string             // command line
	env        []string             // environment of the process
	configPath string               // file with the platform's configuration
	log        io.Writer            // receives standard output and standard error of the process
	now        func() time.Duration // clock of the fake cluster

	mu     sync.Mutex
	cmd    *exec.Cmd  // process started last; nil before the first start
	exited chan error // holds the exit status of cmd once it has exited; each reader puts it back
	peakKB int        // see PeakMemoryMB
}

// Limits are the limits of a director's machine, as given in its configuration.
type Limits struct {
	Sockets  int     // descriptors
	MemoryMB int     // memory in MB
	Cores    float64 // processor cores
}

// NewDirector writes the configuration of a director to a folder, under the director's name,
// together with the operator's settings if script is not empty. argv is the command line without
// the flag for the settings. The process is started by Start.
func NewDirector(cluster *fakes.Cluster, folder, name string, argv []string, script string, limits Limits, log io.Writer) (*Director, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	d := &Director{argv: argv, log: log, now: cluster.Now, configPath: filepath.Join(folder, name+".json")}
	d.Addr = address
	if err := d.writeConfig(cluster, name, limits); err != nil {
		return nil, err
	}
	if script != "" {
		path := filepath.Join(folder, name+".star")
		if err := os.WriteFile(path, []byte(script), 0o600); err != nil {
			return nil, err
		}
		d.argv = append(append([]string(nil), argv...), "--settings", path)
	}
	d.env = append(os.Environ(), "NODE_CONFIG="+d.configPath)
	return d, nil
}

// writeConfig writes the platform's configuration for a director with the given name.
func (d *Director) writeConfig(cluster *fakes.Cluster, name string, limits Limits) error {
	return replaceFile(d.configPath, cluster.Config(name, d.Addr, limits.Sockets, limits.MemoryMB, limits.Cores))
}

// Start starts the process and waits until it serves. The process inherits the processor affinity
// of the calling goroutine's thread. Start returns an error if the process exits or does not serve
// in time; in that case it leaves no process running.
func (d *Director) Start(ctx context.Context) error {
	exited, err := d.startProcess()
	if err != nil {
		return err
	}
	for startedAt := time.Now(); time.Since(startedAt) < startTimeout && ctx.Err() == nil; time.Sleep(servingPollInterval) {
		if d.serving() {
			d.SetKilled(false)
			return nil
		}
		select {
		case err := <-exited:
			exited <- err
			return fmt.Errorf("director at %s exited during its start: %w", d.Addr, exitError(err))
		default:
		}
	}
	d.Signal(syscall.SIGKILL) // the caller gets an error and does not wait for the process
	return fmt.Errorf("director at %s: %w", d.Addr, errNotServing)
}

// exitError returns an error for the end of a process even if its exit status is 0.
func exitError(err error) error {
	if err == nil {
		return errors.New("exit status 0")
	}
	return err
}

// startProcess starts the process and returns the channel that receives its exit status.
func (d *Director) startProcess() (exited chan error, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(d.argv[0], d.argv[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = d.env, d.log, d.log
	exited = make(chan error, 1)
	d.cmd, d.exited = cmd, exited
	if err := cmd.Start(); err != nil {
		exited <- err // lets Wait return although there is no process
		return nil, err
	}
	go func() { exited <- cmd.Wait() }()
	return exited, nil
}

// serving reports whether the director answers STATUS with "serving".
func (d *Director) serving() bool {
	conn, err := net.Dial("tcp", d.Addr)
	if err != nil {
		return false
	}
	defer closeQuietly(conn)
	if conn.SetDeadline(time.Now().Add(statusTimeout)) != nil {
		return false
	}
	if _, err := fmt.Fprint(conn, "*2\r\n$6\r\nSTATUS\r\n$1\r\n1\r\n"); err != nil {
		return false
	}
	in := bufio.NewReader(conn)
	for range 5 {
		line, err := in.ReadString('\n')
		if err != nil {
			return false
		}
		if strings.HasPrefix(line, "serving") {
			return true
		}
	}
	return false
}

// Signal sends a signal to the process, if one has been started.
func (d *Director) Signal(s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if process := d.process(); process != nil {
		_ = process.Signal(s) // the process may have exited, which Wait reports
	}
}

// process returns the process that was started last, or nil before the first start. The caller
// holds the lock.
func (d *Director) process() *os.Process {
	if d.cmd == nil {
		return nil
	}
	return d.cmd.Process
}

// Pause suspends the process, as a pause of its machine would, or resumes it.
func (d *Director) Pause(stop bool) {
	if stop {
		d.SetPaused(true, d.now())
		d.Signal(syscall.SIGSTOP)
		return
	}
	d.Signal(syscall.SIGCONT)
	d.SetPaused(false, d.now())
}

// Kill ends the process with SIGKILL and waits for its exit. Clients no longer expect answers to
// the requests that it held.
func (d *Director) Kill() {
	d.SetKilled(true)
	d.PeakMemoryMB() // before /proc loses the process
	d.Signal(syscall.SIGKILL)
	_ = d.Wait() // always "signal: killed"
	d.SetKillCompleted(d.now())
}

// Restart waits for the exit of the process and starts it again, unless the context is done. If the
// start fails, the clients notice by their lost requests.
func (d *Director) Restart(ctx context.Context) {
	_ = d.Wait() // the exit status does not matter
	if ctx.Err() == nil {
		_ = d.Start(context.WithoutCancel(ctx))
	}
}

// lastExited returns the channel that receives the exit status of the process started last.
func (d *Director) lastExited() chan error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// Wait waits for the exit of the process and returns its exit status, or nil if that is 0. The
// process must have been started.
func (d *Director) Wait() error {
	exited := d.lastExited()
	err := <-exited
	exited <- err
	return err
}

// endedWithin waits for the exit of the process for at most the given time, and reports whether it
// has exited.
func (d *Director) endedWithin(timeout time.Duration) bool {
	exited := d.lastExited()
	timer := time.NewTimer(max(0, timeout))
	defer timer.Stop()
	select {
	case err := <-exited:
		exited <- err
		return true
	case <-timer.C:
		return false
	}
}

// Stop ends the process with SIGTERM and returns its exit status, or nil if that is 0. If the
// process does not exit in time, Stop kills it and returns an error.
func (d *Director) Stop() error {
	d.PeakMemoryMB() // before /proc loses the process
	d.Signal(syscall.SIGTERM)
	exited := d.lastExited()
	select {
	case err := <-exited:
		exited <- err
		return err
	case <-time.After(stopTimeout):
		d.Signal(syscall.SIGKILL)
		_ = d.Wait() // always "signal: killed"
		return fmt.Errorf("director at %s: %w", d.Addr, errNotStopped)
	}
}

// PID returns the process ID, or 0 before the first start.
func (d *Director) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if process := d.process(); process != nil {
		return process.Pid
	}
	return 0
}

// DescriptorCount returns the number of descriptors that the process holds, read from /proc on
// Linux. It returns 0 if /proc has no information.
func (d *Director) DescriptorCount() int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.PID())) // empty if the process has exited
	return len(names)
}

// PeakMemoryMB returns the largest resident memory, in MB, observed so far over all processes of
// the director. It reads /proc on Linux, which has no entry for a process that has exited; Kill and
// Stop therefore call it before they end the process.
func (d *Director) PeakMemoryMB() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	process := d.process()
	if process == nil {
		return 0
	}
	// Empty if the process has exited.
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(fields[1])
			d.peakKB = max(d.peakKB, kb)
		}
	}
	return float64(d.peakKB) / 1024
}
