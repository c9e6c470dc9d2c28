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
	startTimeout        = 10 * time.Second // until a started director has to serve
	servingPollInterval = 5 * time.Millisecond
	statusTimeout       = time.Second      // for a director's answer whether it serves
	stopTimeout         = 15 * time.Second // until a director has to end after SIGTERM
)

// Errors of a director's process.
var (
	errNotServing = errors.New("director does not serve in time")
	errNotStopped = errors.New("director did not end on SIGTERM")
)

// Director is a director as a process. Its methods may be called by any goroutine; Start not while the process runs.
type Director struct {
	fakes.Target // as clients see it

	argv       []string             // the command line
	env        []string             // of the process
	configPath string               // of the platform's configuration
	log        io.Writer            // gets the process's standard output and error
	now        func() time.Duration // the fake cluster's clock

	mu     sync.Mutex
	cmd    *exec.Cmd  // the process that was started last; nil before the first
	exited chan error // holds the exit status of that process once it has ended; each reader puts it back
	peakKB int        // see PeakMemoryMB
}

// Limits are those of a director's machine, as its configuration states them.
type Limits struct {
	Sockets  int     // descriptors that it may use
	MemoryMB int     // memory that it may use, in MB
	Cores    float64 // processor cores that it may use
}

// NewDirector writes a director's configuration, and the operator's settings where script is not empty, into a folder under its name.
// Argv is the command line without the settings' flag. Start starts the process.
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

// writeConfig writes the platform's configuration for a director of a name.
func (d *Director) writeConfig(cluster *fakes.Cluster, name string, limits Limits) error {
	return replaceFile(d.configPath, cluster.Config(name, d.Addr, limits.Sockets, limits.MemoryMB, limits.Cores))
}

// Start starts the process and waits until it serves. The process inherits the processors of the calling goroutine's thread. A process
// that ended, or does not serve in time, is an error; it is not left running.
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
			return fmt.Errorf("director at %s ended while it started: %w", d.Addr, exitError(err))
		default:
		}
	}
	d.Signal(syscall.SIGKILL) // nobody waits for it any more
	return fmt.Errorf("director at %s: %w", d.Addr, errNotServing)
}

// exitError makes a process's end an error also where its exit status is 0.
func exitError(err error) error {
	if err == nil {
		return errors.New("exit status 0")
	}
	return err
}

// startProcess starts the process and returns the channel on which its end is reported.
func (d *Director) startProcess() (exited chan error, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	cmd := exec.Command(d.argv[0], d.argv[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = d.env, d.log, d.log
	exited = make(chan error, 1)
	d.cmd, d.exited = cmd, exited
	if err := cmd.Start(); err != nil {
		exited <- err // nobody is to wait for a process that there is not
		return nil, err
	}
	go func() { exited <- cmd.Wait() }()
	return exited, nil
}

// serving says whether the director answers STATUS with "serving".
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

// Signal sends the process a signal, where it was started.
func (d *Director) Signal(s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if process := d.process(); process != nil {
		_ = process.Signal(s) // it may have ended by itself, which Wait tells
	}
}

// process returns the process that was started last, nil before the first. The caller holds the lock.
func (d *Director) process() *os.Process {
	if d.cmd == nil {
		return nil
	}
	return d.cmd.Process
}

// Pause stops the process where it stands, as a pause of its machine does, or has it go on.
func (d *Director) Pause(stop bool) {
	if stop {
		d.SetPaused(true, d.now())
		d.Signal(syscall.SIGSTOP)
		return
	}
	d.Signal(syscall.SIGCONT)
	d.SetPaused(false, d.now())
}

// Kill ends the process with SIGKILL and waits for its end. Clients no longer count on what it held.
func (d *Director) Kill() {
	d.SetKilled(true)
	d.PeakMemoryMB() // while it can be read
	d.Signal(syscall.SIGKILL)
	_ = d.Wait() // "signal: killed"
}

// Restart waits for the process's end and starts it again, unless the context is done. A director that does not come back is seen by
// the clients that it loses.
func (d *Director) Restart(ctx context.Context) {
	_ = d.Wait() // however it ended
	if ctx.Err() == nil {
		_ = d.Start(context.WithoutCancel(ctx))
	}
}

// lastExited returns the channel on which the end of the process that was started last is reported.
func (d *Director) lastExited() chan error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// Wait waits for the end of the process and returns its exit status; nil where that is 0. The process must have been started.
func (d *Director) Wait() error {
	exited := d.lastExited()
	err := <-exited
	exited <- err
	return err
}

// endedWithin waits for the end of the process for a time at the most, and says whether it has ended.
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

// Stop ends the process with SIGTERM and returns its exit status, nil where that is 0. One that does not end in time is killed, and
// that is an error.
func (d *Director) Stop() error {
	d.PeakMemoryMB() // while it can be read
	d.Signal(syscall.SIGTERM)
	exited := d.lastExited()
	select {
	case err := <-exited:
		exited <- err
		return err
	case <-time.After(stopTimeout):
		d.Signal(syscall.SIGKILL)
		_ = d.Wait() // "signal: killed"
		return fmt.Errorf("director at %s: %w", d.Addr, errNotStopped)
	}
}

// PID returns the process's number; 0 before it was started.
func (d *Director) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if process := d.process(); process != nil {
		return process.Pid
	}
	return 0
}

// DescriptorCount returns how many descriptors the process holds, by Linux's /proc; 0 where that does not tell.
func (d *Director) DescriptorCount() int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.PID())) // none for a process that has ended
	return len(names)
}

// PeakMemoryMB returns the most resident memory, in MB, that any of the director's processes was seen to hold so far. It reads Linux's
// /proc, where a process that has ended no longer stands: Kill and Stop call it before they end one.
func (d *Director) PeakMemoryMB() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	process := d.process()
	if process == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Pid)) // empty for one that has ended
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(fields[1])
			d.peakKB = max(d.peakKB, kb)
		}
	}
	return float64(d.peakKB) / 1024
}
