package server

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/pprof"
	"syscall"

	"github.com/alecthomas/kong"

	"tallyproxy/internal/logevent"
)

// flags are the command-line arguments. kong derives the name of each flag from its field.
type flags struct {
	// Config is the path of the platform's configuration file.
	Config string `env:"NODE_CONFIG" placeholder:"FILE" help:"Path of the platform's configuration file (JSON)."`
	// Settings is the path of the operator's script; empty for none.
	Settings string `placeholder:"FILE" help:"Path of the operator's settings, a Starlark script. Without it, the defaults apply."`
	// Divided gives each shard its own router; see routerGroup.
	Divided bool `hidden:"" help:"Experimental: keep a separate routing state for each core. Idempotency keys are then not shared between connections."`
	// Profile is the path to which CPU and mutex profiles are written; empty for none.
	Profile string `placeholder:"FILE" help:"Write a CPU profile to this file, and a mutex profile to the same path with the suffix .locks, until the director exits."`
	// Check makes the command read and check both files and then exit.
	Check bool `help:"Check both files, print any error and exit."`
}

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1 // a file is invalid, or the director could not start
	exitUsage  = 2 // the arguments are invalid
)

// Main runs the command with its arguments, without the program's name, and returns the exit code.
// It returns after the director has stopped.
func Main(args []string) int {
	var f flags
	parser, err := kong.New(&f, kong.Name("tallyproxy"),
		kong.Description("Runs a director, which routes requests to cache nodes. NODE_NAME and NODE_LISTEN supply the name and address if the "+
			"configuration has none. SIGHUP reloads both files; SIGTERM stops the director after all requests are answered."))
	if err != nil {
		panic(err) // a struct tag of flags is invalid
	}
	if _, err := parser.Parse(args); err != nil {
		printError(err)
		return exitUsage
	}
	level := new(slog.LevelVar)
	slog.SetDefault(slog.New(newLogHandler(os.Stderr, level)))
	if f.Check {
		return check(f)
	}
	if f.Profile != "" {
		stopProfile, err := startProfile(f.Profile)
		if err != nil {
			printError(fmt.Errorf("--profile: %w", err))
			return exitUsage
		}
		defer func() {
			if err := stopProfile(); err != nil {
				printError(fmt.Errorf("--profile: %w", err))
			}
		}()
	}
	stop, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	if err := run(f, os.Getenv, level, stop, reload); err != nil {
		slog.Error(logevent.StartFailed, "err", err)
		return exitFailed
	}
	return exitOK
}

// printError prints an error that occurred before the director started.
func printError(err error) { fmt.Fprintln(os.Stderr, "tallyproxy:", err) }

// check reads both files and prints the first error found in them.
func check(f flags) (exitCode int) {
	if _, err := load(f, os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Println("ok")
	return exitOK
}

// mutexProfileFraction is the sampling rate of lock contention: one event in this many is recorded.
const mutexProfileFraction = 100

// startProfile writes a CPU profile to path, and a mutex profile to path with the suffix ".locks",
// until stop is called.
func startProfile(path string) (stop func() error, err error) {
	cpuFile, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	mutexFile, err := os.Create(path + ".locks")
	if err != nil {
		return nil, errors.Join(err, cpuFile.Close())
	}
	runtime.SetMutexProfileFraction(mutexProfileFraction)
	if err := pprof.StartCPUProfile(cpuFile); err != nil {
		return nil, errors.Join(err, cpuFile.Close(), mutexFile.Close())
	}
	return func() error {
		pprof.StopCPUProfile()
		return errors.Join(pprof.Lookup("mutex").WriteTo(mutexFile, 0), cpuFile.Close(), mutexFile.Close())
	}, nil
}

// newLogHandler returns a handler that writes log lines as key=value pairs. The message is written
// under the key "event", and times are in UTC with microseconds.
func newLogHandler(to io.Writer, level slog.Leveler) slog.Handler {
	return slog.NewTextHandler(to, &slog.HandlerOptions{
		Level: level,
		ReplaceAttr: func(groups []string, attribute slog.Attr) slog.Attr {
			switch {
			case attribute.Key == slog.MessageKey && len(groups) == 0:
				attribute.Key = "event"
			case attribute.Key == slog.TimeKey && len(groups) == 0:
				attribute.Value = slog.StringValue(attribute.Value.Time().UTC().Format("2006-01-02T15:04:05.000000Z"))
			}
			return attribute
		},
	})
}
