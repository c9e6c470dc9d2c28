// Package rig starts directors as processes on loopback, with a relay on every directed link between them, and plays faults: by
// seed or by script, printed, replayed and shrunk. What every process saw and did is kept with times, and checked afterwards by
// one checker a rule. internal/experiment has the experiments that are played on it.
package faulttest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"tallyproxy/internal/fakes"
)

// Director is a director as a process.
type Director struct {
	fakes.Target
	argv   []string
	env    []string
	config string
	log    io.Writer
	mu     sync.Mutex
	now    func() time.Duration // the world's clock
	cmd    *exec.Cmd
	ended  chan error
	peakKB int
}

// Limits are those of a director's machine.
type Limits struct {
	Sockets, MemoryMB int
	Cores             float64
}

// NewDirector writes a director's configuration into a folder; Start runs it. Argv starts it, with the path of the
// operator's script appended where there is one.
func NewDirector(w *fakes.Cluster, folder, name string, argv []string, script string, l Limits, log io.Writer) (*Director, error) {
	addr, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	d := &Director{argv: argv, log: log, now: w.Now}
	d.Addr = addr
	d.config = filepath.Join(folder, name+".json")
	if err := os.WriteFile(d.config, w.Config(name, addr, l.Sockets, l.MemoryMB, l.Cores), 0o600); err != nil {
		return nil, err
	}
	if script != "" {
		path := filepath.Join(folder, name+".star")
		if err := os.WriteFile(path, []byte(script), 0o600); err != nil {
			return nil, err
		}
		d.argv = append(append([]string(nil), argv...), "--settings", path)
	}
	d.env = append(os.Environ(), "NODE_CONFIG="+d.config)
	return d, nil
}

// Start runs it and waits until it serves.
func (d *Director) Start(ctx context.Context) error {
	d.mu.Lock()
	d.cmd = exec.Command(d.argv[0], d.argv[1:]...)
	d.cmd.Env, d.cmd.Stdout, d.cmd.Stderr = d.env, d.log, d.log
	err := d.cmd.Start()
	ended := make(chan error, 1)
	d.ended = ended
	if err == nil {
		cmd := d.cmd
		go func() { ended <- cmd.Wait() }()
	}
	d.mu.Unlock()
	if err != nil {
		return err
	}
	for begun := time.Now(); time.Since(begun) < 10*time.Second && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if d.serving() {
			d.SetKilled(false)
			return nil
		}
		select {
		case err := <-ended:
			ended <- err
			return fmt.Errorf("the director ended at its start: %v", err)
		default:
		}
	}
	d.Signal(syscall.SIGKILL) // nobody waits for it any more
	return fmt.Errorf("the director at %s does not serve", d.Addr)
}

func (d *Director) serving() bool {
	nc, err := net.Dial("tcp", d.Addr)
	if err != nil {
		return false
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(nc, "*2\r\n$6\r\nSTATUS\r\n$1\r\n1\r\n")
	in := bufio.NewReader(nc)
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

// Signal sends it a signal.
func (d *Director) Signal(s os.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.Process != nil {
		d.cmd.Process.Signal(s)
	}
}

// Pause stops it where it stands, as a machine's pause does, or has it go on.
func (d *Director) Pause(stop bool) {
	if stop {
		d.Target.SetPaused(true, d.now())
		d.Signal(syscall.SIGSTOP)
		return
	}
	d.Signal(syscall.SIGCONT)
	d.Target.SetPaused(false, d.now())
}

// Kill kills it outright.
func (d *Director) Kill() {
	d.SetKilled(true)
	d.PeakMemoryMB()
	d.Signal(syscall.SIGKILL)
	d.Wait()
}

// Restart starts it anew once it has ended, where the context allows.
func (d *Director) Restart(ctx context.Context) {
	if d.Wait(); ctx.Err() == nil {
		d.Start(context.WithoutCancel(ctx))
	}
}

// end is where its end is told; that of the process that was started last.
func (d *Director) end() chan error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// Wait waits for its end.
func (d *Director) Wait() error {
	ended := d.end()
	err := <-ended
	ended <- err
	return err
}

// Stop ends it with SIGTERM and waits; one that does not end in time is killed, and that is an error.
func (d *Director) Stop() error {
	d.PeakMemoryMB()
	d.Signal(syscall.SIGTERM)
	ended := d.end()
	select {
	case err := <-ended:
		ended <- err
		return err
	case <-time.After(15 * time.Second):
		d.Signal(syscall.SIGKILL)
		d.Wait()
		return fmt.Errorf("the director did not end on SIGTERM")
	}
}

// PID is its process; 0 before it was started.
func (d *Director) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.cmd.Process == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// PeakMemoryMB is the most that it has held so far, in MB.
func (d *Director) PeakMemoryMB() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil || d.cmd.Process == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(text), "\n") {
		if words := strings.Fields(line); len(words) == 3 && words[0] == "VmHWM:" {
			kb, _ := strconv.Atoi(words[1])
			d.peakKB = max(d.peakKB, kb)
		}
	}
	return float64(d.peakKB) / 1024
}

var addresses atomic.Int64

// FreeAddress is one where nothing listens. Each is on a loopback address of its own, where no connection that goes out takes
// the port before it is listened at.
func FreeAddress() (string, error) {
	n := addresses.Add(1)
	own := int64(os.Getpid()) // test programs that run beside each other count for themselves
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 2+(own+n/62500)%250, n/250%250, 1+n%250))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
