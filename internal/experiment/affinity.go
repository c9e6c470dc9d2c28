package experiment

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"time"

	"golang.org/x/sys/unix"

	"tallyproxy/internal/faulttest"
)

const clockTick = 10 * time.Millisecond // the unit of processor time in /proc

func cpuSet(cores []int) *unix.CPUSet {
	var set unix.CPUSet
	for _, core := range cores {
		set.Set(core)
	}
	return &set
}

// pinThread lets the calling thread run on some cores only.
func pinThread(cores []int) error { return unix.SchedSetaffinity(0, cpuSet(cores)) }

// pinProcess lets all threads of this process run on some cores only.
func pinProcess(cores []int) error {
	threads, err := os.ReadDir("/proc/self/task")
	if err != nil {
		return err
	}
	set := cpuSet(cores)
	for _, thread := range threads {
		id, err := strconv.Atoi(thread.Name())
		if err != nil {
			return err
		}
		err = unix.SchedSetaffinity(id, set)
		if err != nil && !errors.Is(err, unix.ESRCH) { // a thread that has ended meanwhile
			return err
		}
	}
	return nil
}

// allowedCores are the cores that this process may use.
func allowedCores() (cores []int, err error) {
	var set unix.CPUSet
	if err := unix.SchedGetaffinity(0, &set); err != nil {
		return nil, err
	}
	for core := range 1024 {
		if set.IsSet(core) {
			cores = append(cores, core)
		}
	}
	return cores, nil
}

// startOn starts a director on some cores: a process inherits those of the thread that starts it.
func startOn(ctx context.Context, director *faulttest.Director, cores []int) error {
	started := make(chan error)
	go func() {
		runtime.LockOSThread() // never unlocked, so that the thread ends with the goroutine
		if err := pinThread(cores); err != nil {
			started <- err
			return
		}
		started <- director.Start(ctx)
	}()
	return <-started
}

// cpuTime is the processor time that directors have used together, in user and system mode. A director whose process is gone counts
// nothing.
func cpuTime(directors []*faulttest.Director) (sum time.Duration) {
	for _, director := range directors {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", director.PID()))
		if err != nil {
			continue
		}
		_, afterName, _ := strings.Cut(string(stat), ") ")
		fields := strings.Fields(afterName)
		if len(fields) < 13 {
			continue
		}
		for _, field := range fields[11:13] { // utime and stime of proc(5)
			ticks, _ := strconv.Atoi(field)
			sum += time.Duration(ticks) * clockTick
		}
	}
	return sum
}
