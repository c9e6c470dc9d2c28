package config

import (
	"log/slog"
	"os"
	"reflect"
	"time"

	"tallyproxy/dedup"
	"tallyproxy/overload"
	"tallyproxy/policy"
)

// Operator is the operator's settings of a director. They come from a Starlark script that calls
// the function of each section at most once. Settings that the script does not name have their
// defaults.
type Operator struct {
	// storm(...): overload control.
	Overload overload.Settings
	// keys(...): idempotency keys. MaxRecords is negative if the script does not set it; see
	// DedupSettings.
	Dedup dedup.Settings
	// log(level): minimum level of logged events.
	LogLevel slog.Level
	// door(settle): after the stop signal, the director stops once no client has connected for this
	// long; 0 for the default from the timeouts.
	QuietPeriod policy.Micros
	// machine(cores): requested shards; 0 if not set.
	Cores int
	// avoid(boxes): names of nodes to treat as draining, regardless of the endpoint list.
	AvoidNodes []string
	// state(socket): path of the status report's socket; empty for none.
	StatusSocket string
	// peers(...): gossip with other directors; nil for none.
	Peers *Peers
	// Digest of the script.
	Digest string
}

const (
	defaultRetainWindows = 20

	// unsetMaxRecords, as dedup.Settings.MaxRecords, means that the script does not set the number.
	unsetMaxRecords  = -1
	dedupRecordBytes = 320 // approximate memory of one record
	dedupMemoryShare = 16  // 1/16 of the memory is for records if the script sets no number
	recordsPerKey    = 4   // records for each key that is known without a record

	// recordsClientFraction limits the records of one connection, see dedup.Settings.
	recordsClientFraction = 16

	maxDedupRecords   = 1 << 20
	maxCores          = 256
	minQuietPeriod    = time.Millisecond
	maxQuietPeriod    = 10 * time.Second
	minOverloadMemory = 64
	maxOverloadMemory = 1 << 20
)

// DefaultOperator returns the settings that apply without a script.
func DefaultOperator() Operator {
	return Operator{
		Overload: overload.DefaultSettings(),
		Dedup:    dedup.Settings{MaxRecords: unsetMaxRecords, RetainWindows: defaultRetainWindows, FailUnknownRetries: true},
	}
}

// LoadOperator reads the script at path; an empty path gives the defaults. It returns the errors of
// ParseOperator and of the file system.
func LoadOperator(path string) (Operator, error) {
	o := DefaultOperator()
	o.Digest = Digest(nil)
	if path == "" {
		return o, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return o, err
	}
	return ParseOperator(path, raw)
}

// ParseOperator runs a script. path is used in errors, which are of type ScriptError if they have a
// position in the script.
func ParseOperator(path string, raw []byte) (Operator, error) {
	o := DefaultOperator()
	o.Digest = Digest(raw)
	err := runScript(path, raw, o.sections())
	return o, err
}

// unknownRetryAction is what keys(strangers = ...) says about marked retries with an unknown key.
type unknownRetryAction int

const (
	defaultUnknownRetries unknownRetryAction = iota // they fail, unless no keys are recorded
	sendUnknownRetries
	failUnknownRetries
)

// sections returns the functions that an operator's script may call.
func (o *Operator) sections() map[string]section {
	peers := Peers{Delegates: defaultDelegates}
	unknownRetries := defaultUnknownRetries
	return map[string]section{
		"storm": {settings: overloadSettings(&o.Overload)},
		"keys": {settings: []setting{
			integerSetting("marks", &o.Dedup.MaxRecords, 0, maxDedupRecords),
			numberSetting("remember", &o.Dedup.RetainWindows, 1, 1000),
			choiceSetting("strangers", &unknownRetries, map[string]unknownRetryAction{"send": sendUnknownRetries, "abandon": failUnknownRetries}),
		}, done: func() error {
			if unknownRetries == failUnknownRetries && o.Dedup.MaxRecords == 0 {
				return keyErrorf("keys.strangers", "\"abandon\" with no marks would fail every retry with a key")
			}
			o.Dedup.FailUnknownRetries = unknownRetries != sendUnknownRetries && o.Dedup.MaxRecords != 0
			return nil
		}},
		"door":    {settings: []setting{durationSetting("settle", &o.QuietPeriod, minQuietPeriod, maxQuietPeriod)}},
		"machine": {settings: []setting{integerSetting("cores", &o.Cores, 1, maxCores)}},
		"avoid":   {settings: []setting{textListSetting("boxes", &o.AvoidNodes)}},
		"state":   {settings: []setting{textSetting("socket", &o.StatusSocket)}},
		"log": {settings: []setting{choiceSetting("level", &o.LogLevel, map[string]slog.Level{
			"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
		})}},
		"peers": {settings: peers.settings(), done: func() error {
			if err := peers.check(); err != nil {
				return err
			}
			o.Peers = &peers
			return nil
		}},
	}
}

// overloadSettings returns the arguments of storm(...).
func overloadSettings(s *overload.Settings) []setting {
	return []setting{
		choiceSetting("mode", &s.Mode, map[string]overload.Mode{
			"guard": overload.ModeReserve, "fixed": overload.ModeFixed, "silent": overload.ModeSilent,
		}),
		numberSetting("reach", &s.Horizon, 0.1, 1),
		integerSetting("windows", &s.Windows, 2, 1000),
		numberSetting("rise", &s.DemandThreshold, 0.1, 100),
		numberSetting("surge", &s.ConnectionSurge, 1, 1000),
		numberSetting("repeats", &s.RetryShare, 0, 1),
		numberSetting("cold", &s.ColdThreshold, 0, 1),
		numberSetting("promise", &s.ReservableShare, 0.05, 1),
		integerSetting("clients", &s.MaxReservations, minOverloadMemory, maxOverloadMemory),
	}
}

// CheckAllowed returns an error if the platform does not permit what the script asks for.
func (o Operator) CheckAllowed(s Site) error {
	if o.Peers != nil && !s.AllowPeers {
		return keyErrorf("peers", "the platform's settings don't permit talk between directors (limits.peers)")
	}
	return nil
}

// CheckReload returns an error that wraps ErrNeedsRestart if a director that runs on o can't switch
// to next. The machine's limits change from previous to current.
func (o Operator) CheckReload(next Operator, previous, current Limits) error {
	if o.StatusSocket != next.StatusSocket {
		return keyErrorf("state.socket", "a change from %q to %q %w", o.StatusSocket, next.StatusSocket, ErrNeedsRestart)
	}
	if !reflect.DeepEqual(o.Peers, next.Peers) {
		return keyErrorf("peers", "a change %w", ErrNeedsRestart)
	}
	if before, after := o.ShardCount(previous), next.ShardCount(current); before != after {
		return keyErrorf("machine.cores", "a change from %d to %d %w", before, after, ErrNeedsRestart)
	}
	return nil
}

// DedupSettings returns the settings for idempotency keys. If the script does not set the number of
// records, it is the number that fits into the records' share of the memory. The number of known
// keys follows from it.
func (o Operator) DedupSettings(l Limits) dedup.Settings {
	settings := o.Dedup
	if settings.MaxRecords < 0 {
		settings.MaxRecords = int(l.MemoryLimit() / dedupMemoryShare / dedupRecordBytes)
	}
	if settings.FailUnknownRetries {
		settings.MaxKnownKeys = max(1, settings.MaxRecords/recordsPerKey)
	}
	settings.EvictPastWindow, settings.ClientFraction = true, recordsClientFraction
	return settings
}

// ShardCount returns the number of shards of a director, each of which uses one core: one by
// default, or as many as the script requests and the platform allows.
func (o Operator) ShardCount(l Limits) int { return max(1, min(o.Cores, l.MaxProcs())) }
