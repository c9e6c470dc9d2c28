package agent

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"tallyproxy/internal/config"
	"tallyproxy/internal/status"
)

// Director is one that an agent looks after.
type Director struct {
	config.DirectorEntry
	begin sync.Mutex // held by who starts it: a change and the keeper may want to at once
	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

const (
	lookEvery = 20 * time.Millisecond
	takes     = 10 * time.Second // for a director to read its files, or to start
	stops     = 20 * time.Second // for one to answer all it had taken
)

// write replaces the operator's script, whole or not at all, also over a crash.
func write(path, text string) error {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, ".script-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	if _, err := f.WriteString(text); err == nil {
		err = f.Sync()
	}
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// pid is the director's process: the one that this agent started, or the one that the file names.
func (d *Director) pid() (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.Process != nil {
		select {
		case <-d.ended:
		default:
			return d.cmd.Process.Pid, nil
		}
	}
	if d.PIDFile != "" {
		raw, err := os.ReadFile(d.PIDFile)
		if err != nil {
			return 0, err
		}
		pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
		if err != nil || pid <= 1 {
			return 0, fmt.Errorf("%s: %q is no process", d.PIDFile, raw)
		}
		return pid, nil
	}
	if r, err := status.Read(context.Background(), d.StatusSocket); err == nil { // an agent before this one started it
		return r.PID, nil
	}
	return 0, errors.New("it is not running")
}

// process says whether the process that this agent started still runs, and, where it does not, whether it ended as one that was
// told to stop. Of one that an agent before this one started nothing is known.
func (d *Director) process() (running, stopped bool) {
	d.mu.Lock()
	cmd, ended := d.cmd, d.ended
	d.mu.Unlock()
	if cmd == nil {
		return false, false
	}
	select {
	case <-ended:
		return false, cmd.ProcessState != nil && cmd.ProcessState.Success()
	default:
		return true, false
	}
}

// Signal sends it a signal.
func (d *Director) Signal(s syscall.Signal) error {
	pid, err := d.pid()
	if err != nil {
		return err
	}
	return syscall.Kill(pid, s)
}

// Report is what it tells of itself.
func (d *Director) Report(ctx context.Context) (status.Report, error) {
	return status.Read(ctx, d.StatusSocket)
}

// Start starts it, where it does not run, and waits until it tells how it is.
func (d *Director) Start(ctx context.Context) error {
	d.begin.Lock()
	defer d.begin.Unlock()
	if _, err := d.Report(ctx); err == nil {
		return nil
	}
	if running, _ := d.process(); running { // another one would only find its address taken
		return d.until(ctx, takes, func(status.Report) (bool, string) { return true, "" })
	}
	if len(d.Command) == 0 {
		return errors.New("it does not run, and its inventory has no command")
	}
	cmd := exec.Command(d.Command[0], append(append([]string(nil), d.Command[1:]...), "--config", d.PlatformFile, "--settings", d.SettingsFile)...)
	cmd.Env, cmd.Stderr = os.Environ(), os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // it outlives its agent
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		cmd.Wait()
		close(ended)
	}()
	d.mu.Lock()
	d.cmd, d.ended = cmd, ended
	d.mu.Unlock()
	return d.until(ctx, takes, func(status.Report) (bool, string) { return true, "" })
}

// Stop ends it once all it had taken is answered.
func (d *Director) Stop(ctx context.Context) error {
	if err := d.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	for end := time.Now().Add(stops); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(lookEvery) {
		if _, err := d.Report(ctx); err != nil {
			return nil
		}
	}
	return errors.New("it does not end on SIGTERM")
}

// until waits for the director to tell what is asked for, or why it can't be.
func (d *Director) until(ctx context.Context, within time.Duration, holds func(status.Report) (bool, string)) error {
	why := "it does not tell how it is"
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(lookEvery) {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		d.mu.Lock()
		ended := d.ended
		d.mu.Unlock()
		r, err := d.Report(ctx)
		if err == nil {
			ok, no := holds(r)
			if ok {
				return nil
			}
			if why = "it did not take the script"; no != "" {
				return errors.New(no)
			}
			continue
		}
		if ended != nil {
			select {
			case <-ended:
				return errors.New("it ended")
			default:
			}
		}
	}
	return errors.New(why)
}

// Apply has it run a script, read back from it. One that would not have it, and still runs, gets the script of before back.
func (d *Director) Apply(ctx context.Context, script, before string) error {
	if err := write(d.SettingsFile, script); err != nil {
		return err // the old file is there, and in force
	}
	err := d.take(ctx, script)
	if err == nil {
		return nil
	}
	if werr := write(d.SettingsFile, before); werr != nil {
		return fmt.Errorf("%w; and its old script could not be written: %v", err, werr)
	}
	if berr := d.take(ctx, before); berr != nil {
		return fmt.Errorf("%w; with its old script: %v", err, berr)
	}
	return err
}

// take has it read its files, or starts it where it does not run, and reads back what it runs.
func (d *Director) take(ctx context.Context, script string) error {
	want := config.Digest([]byte(script))
	r, err := d.Report(ctx)
	if err == nil && r.SettingsDigest == want {
		return nil // a crash of the agent came in between
	}
	if err != nil {
		if err := d.Start(ctx); err != nil {
			return err
		}
	} else if err := d.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	refused, reloads := r.ReloadError, r.Reloads
	signalled := time.Now()
	return d.until(ctx, takes, func(r status.Report) (bool, string) {
		if r.SettingsDigest == want {
			return true, ""
		}
		if r.ReloadError != "" && (r.ReloadError != refused || time.Since(signalled) > takes/10) && r.Reloads == reloads {
			return false, r.ReloadError
		}
		return false, ""
	})
}
