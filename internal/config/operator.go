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

// Operator is the operator's own settings of a director: a Starlark script that calls each section's function at most once.
// What the script does not name has its default.
type Operator struct {
	Overload     overload.Settings // storm(...)
	Dedup        dedup.Settings    // keys(...); MaxRecords is negative where the script has none: see DedupSettings
	LogLevel     slog.Level        // log(level)
	QuietPeriod  policy.Micros     // door(settle): the director ends once no client has come for so long after the signal to stop; 0 for the timeouts' figure
	Cores        int               // machine(cores): shards asked for; 0 where not told
	AvoidNodes   []string          // avoid(boxes): names of nodes that are treated as draining, whatever the list says
	StatusSocket string            // state(socket): path of the socket of the status report; empty for none
	Peers        *Peers            // peers(...): gossip with other directors; nil for none
	Digest       string            // Digest of the script's bytes
}

const (
	defaultRetainWindows = 20

	// unknownRecords as dedup.Settings.MaxRecords says that the script does not tell the number.
	unknownRecords    = -1
	dedupRecordBytes  = 320 // that a record takes, about
	dedupMemoryShare  = 16  // one part in so many of the memory is for records where the script does not tell how many
	maxDedupRecords   = 1 << 20
	maxCores          = 256
	minQuietPeriod    = time.Millisecond
	maxQuietPeriod    = 10 * time.Second
	minOverloadMemory = 64
	maxOverloadMemory = 1 << 20
)

// DefaultOperator is what holds without a script.
func DefaultOperator() Operator {
	return Operator{
		Overload: overload.DefaultSettings(),
		Dedup:    dedup.Settings{MaxRecords: unknownRecords, RetainWindows: defaultRetainWindows},
	}
}

// LoadOperator reads the script at path; an empty path gives the defaults. Errors are those of ParseOperator and of the file
// system.
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

// ParseOperator runs a script; path is for its errors, which are of type ScriptError where they have a place in the text.
func ParseOperator(path string, raw []byte) (Operator, error) {
	o := DefaultOperator()
	o.Digest = Digest(raw)
	err := runScript(path, raw, o.sections())
	return o, err
}

// sections are the functions of an operator's script.
func (o *Operator) sections() map[string]section {
	peers := Peers{Delegates: defaultDelegates}
	return map[string]section{
		"storm": {settings: overloadSettings(&o.Overload)},
		"keys": {settings: []setting{
			integerSetting("marks", &o.Dedup.MaxRecords, 0, maxDedupRecords),
			numberSetting("remember", &o.Dedup.RetainWindows, 1, 1000),
			choiceSetting("strangers", &o.Dedup.FailUnknownRetries, map[string]bool{"send": false, "abandon": true}),
		}, done: func() error {
			if o.Dedup.FailUnknownRetries && o.Dedup.MaxRecords == 0 {
				return keyErrorf("keys.strangers", "\"abandon\" with no marks would fail every retry with a key")
			}
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

// overloadSettings are the arguments of storm(...).
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

// CheckAllowed says whether the platform lets directors do what the script asks for.
func (o Operator) CheckAllowed(s Site) error {
	if o.Peers != nil && !s.AllowPeers {
		return keyErrorf("peers", "the platform's settings don't permit talk between directors (limits.peers)")
	}
	return nil
}

// CheckReload says whether a director that runs on o can go on with next, under limits that were and are now. An error wraps
// ErrNeedsRestart.
func (o Operator) CheckReload(next Operator, was, is Limits) error {
	if o.StatusSocket != next.StatusSocket {
		return keyErrorf("state.socket", "a change from %q to %q %w", o.StatusSocket, next.StatusSocket, ErrNeedsRestart)
	}
	if !reflect.DeepEqual(o.Peers, next.Peers) {
		return keyErrorf("peers", "a change %w", ErrNeedsRestart)
	}
	if before, after := o.ShardCount(was), next.ShardCount(is); before != after {
		return keyErrorf("machine.cores", "a change from %d to %d %w", before, after, ErrNeedsRestart)
	}
	return nil
}

// DedupSettings is the settings of idempotency keys, with as many records as fit into their share of the memory where the
// script does not tell how many.
func (o Operator) DedupSettings(l Limits) dedup.Settings {
	settings := o.Dedup
	if settings.MaxRecords < 0 {
		settings.MaxRecords = int(l.MemoryLimit() / dedupMemoryShare / dedupRecordBytes)
	}
	return settings
}

// ShardCount is how many shards, each on a core, a director has: one, unless the script asks for more, and no more than the
// platform allows.
func (o Operator) ShardCount(l Limits) int { return max(1, min(o.Cores, l.MaxProcs())) }
