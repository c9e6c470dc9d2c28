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

// flags are the arguments of the command. Names of flags follow from the fields'.
type flags struct {
	// Config is the path of the platform's configuration.
	Config string `env:"NODE_CONFIG" placeholder:"FILE" help:"The platform's configuration, JSON."`
	// Settings is the path of the operator's script; empty for none.
	Settings string `placeholder:"FILE" help:"The operator's own settings, a Starlark script. Without it the defaults hold."`
	// Divided gives each shard a router of its own; see routerGroup.
	Divided bool `hidden:"" help:"An experiment: a routing state for each core. Idempotency keys are not kept over connections then."`
	// Profile is the path that profiles are written to; empty for none.
	Profile string `placeholder:"FILE" help:"Write a profile of the processor time, and one of waiting for locks beside it, to the end."`
	// Check has both files read and checked, nothing more.
	Check bool `help:"Read both files, say what is wrong with them, and end."`
}

// Exit codes of the command.
const (
	exitOK     = 0
	exitFailed = 1 // a file is faulty, or the director could not start
	exitUsage  = 2 // the arguments can't be used
)

// Main runs the command with its arguments, without the program's name, and returns the exit code. It returns once the director
// has ended.
func Main(args []string) int {
	var f flags
	parser, err := kong.New(&f, kong.Name("tallyproxy"),
		kong.Description("A director: routes requests to cache nodes. NODE_NAME and NODE_LISTEN stand in for what the "+
			"configuration lacks; SIGHUP reads both files again, SIGTERM ends it once all is answered."))
	if err != nil {
		panic(err) // the flags' tags are faulty
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
		end, err := startProfile(f.Profile)
		if err != nil {
			printError(fmt.Errorf("--profile: %w", err))
			return exitUsage
		}
		defer func() {
			if err := end(); err != nil {
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

// printError prints what ended the command before it served.
func printError(err error) { fmt.Fprintln(os.Stderr, "tallyproxy:", err) }

// check reads both files and prints what is wrong with them.
func check(f flags) (exitCode int) {
	if _, err := load(f, os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Println("ok")
	return exitOK
}

// mutexProfileRate is the number of waits for locks of which one is in the profile.
const mutexProfileRate = 100

// startProfile writes a profile of the processor time to path, and one of waiting for locks beside it, until end is called.
func startProfile(path string) (end func() error, err error) {
	processor, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	locks, err := os.Create(path + ".locks")
	if err != nil {
		return nil, errors.Join(err, processor.Close())
	}
	runtime.SetMutexProfileFraction(mutexProfileRate)
	if err := pprof.StartCPUProfile(processor); err != nil {
		return nil, errors.Join(err, processor.Close(), locks.Close())
	}
	return func() error {
		pprof.StopCPUProfile()
		return errors.Join(pprof.Lookup("mutex").WriteTo(locks, 0), processor.Close(), locks.Close())
	}, nil
}

// newLogHandler writes log lines of key=value pairs whose message is the event, with the time in UTC to the microsecond.
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
