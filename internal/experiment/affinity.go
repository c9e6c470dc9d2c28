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

const clockTick = 10 * time.Millisecond // unit of CPU time in /proc/PID/stat

// cpuSet converts core numbers to the bit set that sched_setaffinity(2) takes.
func cpuSet(cores []int) *unix.CPUSet {
	var set unix.CPUSet
	for _, core := range cores {
		set.Set(core)
	}
	return &set
}

// pinThread restricts the calling thread to the given cores.
func pinThread(cores []int) error { return unix.SchedSetaffinity(0, cpuSet(cores)) }

// pinProcess restricts all threads of this process to the given cores.
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
		if err != nil && !errors.Is(err, unix.ESRCH) { // ESRCH: the thread has ended
			return err
		}
	}
	return nil
}

// allowedCores returns the cores that this process may run on.
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

// startOn starts a director on the given cores: a process inherits the CPU affinity of the thread
// that starts it.
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

// cpuTime returns the sum of the CPU time, user and system, that the directors have used. A
// director whose process has ended does not count.
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
