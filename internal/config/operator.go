package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"
	"unicode"

	"go.starlark.net/lib/math"
	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"tallyproxy/dedup"
	"tallyproxy/internal/logevent"
	"tallyproxy/overload"
	"tallyproxy/policy"
)

// Operator is what the operator's own file says: a Starlark script that calls each section's function at most once. What
// it does not name has its default.
type Operator struct {
	Overload overload.Settings
	Dedup    dedup.Settings
	LogLevel slog.Level
	// Settle is how long nothing must have come after the signal to stop before the director ends; 0 for the margin's
	// figure.
	QuietPeriod  policy.Micros
	Cores        int      // 0: not said
	AvoidNodes   []string // boxes that are taken for draining, whatever the list says
	StatusSocket string   // path of the socket at which the director tells how it is; empty for none
	Peers        *Peers   // how it talks with other directors; nil for not at all
	Digest       string   // of the script's bytes
}

// Peers is how a director talks with others.
type Peers struct {
	Listen    string // address for TCP and UDP over IPv4
	Advertise string // at which others reach it, where that is another one
	Seeds     []string
	Fleet     string // directors of another fleet are not heard
	Delegates int    // directors of a location that follow the command channel for the rest; 0: each does for itself
	KeyFile   string // file of the key that all of them share: 64 hex digits
	SharedKey []byte
}

// keyBytes is the length of the key: AES-256.
const keyBytes = 32

// ReadKey reads the key that directors share.
func ReadKey(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(raw)))
	if err != nil || len(key) != keyBytes {
		return nil, fmt.Errorf("%s: not %d hex digits", path, 2*keyBytes)
	}
	return key, nil
}

// CheckAllowed says whether the platform lets directors do what the operator's file asks for.
func (o Operator) CheckAllowed(s Site) error {
	if o.Peers != nil && !s.AllowPeers {
		return errors.New("peers: the platform's settings don't permit talk between directors (limits.peers)")
	}
	return nil
}

const (
	markBytes = 320 // that a mark of a key takes, about
	markPart  = 16  // part of the memory that marks may take where the file does not say how many
)

// DedupSettings is the settings of keys, with as many marks as memory allows where the file says none.
func (o Operator) DedupSettings(l Limits) dedup.Settings {
	k := o.Dedup
	if k.MaxRecords < 0 {
		k.MaxRecords = int(l.MemoryLimit() / markPart / markBytes)
	}
	return k
}

// ShardCount is how many cores' shards a director has: one, but where the file says more, up to what the platform allows.
func (o Operator) ShardCount(l Limits) int { return max(1, min(o.Cores, l.MaxProcs())) }

// CheckReload says whether the settings that were read again can be taken by a director that runs on o.
func (o Operator) CheckReload(next Operator, was, is Limits) error {
	if o.StatusSocket != next.StatusSocket {
		return fmt.Errorf("state.socket: a change from %q to %q needs a restart", o.StatusSocket, next.StatusSocket)
	}
	if !reflect.DeepEqual(o.Peers, next.Peers) {
		return errors.New("peers: a change needs a restart")
	}
	if o.ShardCount(was) != next.ShardCount(is) {
		return fmt.Errorf("machine.cores: a change from %d to %d needs a restart", o.ShardCount(was), next.ShardCount(is))
	}
	return nil
}

// Bounds of the script.
const (
	mostSteps   = 1_000_000
	mostTime    = 2 * time.Second
	largestFile = 1 << 20
)

// DefaultOperator is what holds without a file: fixed advice, and marks of deduped downloads.
func DefaultOperator() Operator {
	return Operator{Overload: overload.DefaultSettings(), Dedup: dedup.Settings{MaxRecords: -1, RetainWindows: 20}}
}

// LoadOperator reads the file; with no path it gives the defaults. Errors name file, line and key.
func LoadOperator(path string) (Operator, error) {
	o := DefaultOperator()
	if o.Digest = Digest(nil); path == "" {
		return o, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return o, err
	}
	return ParseOperator(path, raw)
}

// Digest tells apart what a file says.
func Digest(raw []byte) string { return fmt.Sprintf("%x", sha256.Sum256(raw)) }

// ParseOperator reads a script; the path is for its errors.
func ParseOperator(path string, raw []byte) (Operator, error) {
	o := DefaultOperator()
	if o.Digest = Digest(raw); len(raw) > largestFile {
		return o, fmt.Errorf("%s: over %d bytes", path, largestFile)
	}
	p := Peers{Delegates: 3}
	err := runScript(path, raw, map[string]section{
		"peers": {keys: []key{
			socket("listen", &p.Listen), socket("advertise", &p.Advertise), text("fleet", &p.Fleet),
			count("followers", &p.Delegates, 0, 100),
			{"seeds", func(v starlark.Value) error {
				if err := words("", &p.Seeds).set(v); err != nil {
					return err
				}
				for _, seed := range p.Seeds {
					if err := ipv4(seed); err != nil {
						return err
					}
				}
				return nil
			}},
			{"key", func(v starlark.Value) (err error) {
				if err = text("", &p.KeyFile).set(v); err == nil {
					p.SharedKey, err = ReadKey(p.KeyFile)
				}
				return err
			}},
		}, done: func() error {
			switch {
			case p.Listen == "":
				return errors.New("peers.listen: missing")
			case p.KeyFile == "":
				return errors.New("peers.key: missing")
			}
			o.Peers = &p
			return nil
		}},
		"storm": {keys: []key{
			choice("mode", &o.Overload.Mode, map[string]overload.Mode{
				"guard": overload.ModeReserve, "fixed": overload.ModeFixed, "silent": overload.ModeSilent,
			}),
			ratio("reach", &o.Overload.Horizon, 0.1, 1),
			count("windows", &o.Overload.Windows, 2, 1000),
			ratio("rise", &o.Overload.DemandThreshold, 0.1, 100),
			ratio("surge", &o.Overload.ConnectionSurge, 1, 1000),
			ratio("repeats", &o.Overload.RetryShare, 0, 1),
			ratio("cold", &o.Overload.ColdThreshold, 0, 1),
			ratio("promise", &o.Overload.ReservableShare, 0.05, 1),
			count("clients", &o.Overload.MaxReservations, 64, 1<<20),
		}},
		"keys": {keys: []key{
			count("marks", &o.Dedup.MaxRecords, 0, 1<<20),
			ratio("remember", &o.Dedup.RetainWindows, 1, 1000),
			choice("strangers", &o.Dedup.FailUnknownRetries, map[string]bool{"send": false, "abandon": true}),
		}},
		"door":    {keys: []key{timed("settle", &o.QuietPeriod, time.Millisecond, 10*time.Second)}},
		"machine": {keys: []key{count("cores", &o.Cores, 1, 256)}},
		"avoid":   {keys: []key{words("boxes", &o.AvoidNodes)}},
		"state":   {keys: []key{text("socket", &o.StatusSocket)}},
		"log": {keys: []key{
			choice("level", &o.LogLevel, map[string]slog.Level{
				"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
			}),
		}},
	})
	return o, err
}

// key is one setting of a section: set takes its value, or says why it can't.
type key struct {
	name string
	set  func(v starlark.Value) error
}

func ratio(name string, to *float64, least, most float64) key {
	return key{name, func(v starlark.Value) error {
		f, ok := starlark.AsFloat(v)
		if !ok {
			return fmt.Errorf("%v is no number", v)
		}
		if !(f >= least && f <= most) {
			return fmt.Errorf("%v is not from %v to %v", v, least, most)
		}
		*to = f
		return nil
	}}
}

func count(name string, to *int, least, most int) key {
	return key{name, func(v starlark.Value) error {
		n, err := starlark.AsInt32(v)
		if err != nil {
			return fmt.Errorf("%v is no whole number", v)
		}
		if n < least || n > most {
			return fmt.Errorf("%v is not from %d to %d", v, least, most)
		}
		*to = n
		return nil
	}}
}

// timed takes a time with its unit; a bare number is refused.
func timed(name string, to *policy.Micros, least, most time.Duration) key {
	return key{name, func(v starlark.Value) error {
		t, ok := v.(duration)
		if !ok {
			return fmt.Errorf("%v has no unit: ms(), seconds() or minutes()", v)
		}
		if d := time.Duration(t); d < least || d > most {
			return fmt.Errorf("%v is not from %v to %v", d, least, most)
		}
		*to = policy.Micros(time.Duration(t) / time.Microsecond)
		return nil
	}}
}

func choice[T any](name string, to *T, of map[string]T) key {
	return key{name, func(v starlark.Value) error {
		s, _ := starlark.AsString(v)
		value, ok := of[s]
		if !ok {
			return fmt.Errorf("%v is none of %s", v, strings.Join(slices.Sorted(maps.Keys(of)), ", "))
		}
		*to = value
		return nil
	}}
}

// text takes a text without control characters.
func text(name string, to *string) key {
	return key{name, func(v starlark.Value) error {
		s, ok := starlark.AsString(v)
		if !ok || strings.ContainsFunc(s, unicode.IsControl) {
			return fmt.Errorf("%v is no plain text", v)
		}
		*to = s
		return nil
	}}
}

// ipv4 says what is wrong with an address of IPv4 and a port.
func ipv4(addr string) error {
	if a, err := netip.ParseAddrPort(addr); err != nil || !a.Addr().Is4() || a.Port() == 0 {
		return fmt.Errorf("%q is no IPv4 address with a port", addr)
	}
	return nil
}

// socket takes an address.
func socket(name string, to *string) key {
	return key{name, func(v starlark.Value) error {
		s, _ := starlark.AsString(v)
		if err := ipv4(s); err != nil {
			return err
		}
		*to = s
		return nil
	}}
}

// words takes a list of texts, none empty and none twice.
func words(name string, to *[]string) key {
	return key{name, func(v starlark.Value) error {
		list, ok := v.(*starlark.List)
		if !ok {
			return fmt.Errorf("%v is no list", v)
		}
		var all []string
		for i := range list.Len() {
			s, ok := starlark.AsString(list.Index(i))
			if !ok || s == "" || strings.ContainsFunc(s, unicode.IsControl) || slices.Contains(all, s) {
				return fmt.Errorf("%v: entry %d is empty, no text or there before", v, i+1)
			}
			all = append(all, s)
		}
		*to = all
		return nil
	}}
}

// duration is a time with its unit.
type duration time.Duration

func (t duration) String() string        { return time.Duration(t).String() }
func (t duration) Type() string          { return "duration" }
func (t duration) Freeze()               {}
func (t duration) Truth() starlark.Bool  { return t != 0 }
func (t duration) Hash() (uint32, error) { return uint32(t) ^ uint32(t>>32), nil }

// unit makes the function that gives a number its unit.
func unit(name string, of time.Duration) *starlark.Builtin {
	return starlark.NewBuiltin(name, func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
		named []starlark.Tuple) (starlark.Value, error) {
		if len(args) != 1 || len(named) > 0 {
			return nil, fmt.Errorf("%s: takes one number", name)
		}
		f, ok := starlark.AsFloat(args[0])
		if !ok || !(f >= 0 && f*float64(of) < 1<<62) {
			return nil, fmt.Errorf("%s: %v can't be used here", name, args[0])
		}
		return duration(f * float64(of)), nil
	})
}

// fault is an error with its place.
type fault struct {
	at  syntax.Position
	err error
}

func (f fault) Error() string { return fmt.Sprintf("%s:%d: %v", f.at.Filename(), f.at.Line, f.err) }
func (f fault) Unwrap() error { return f.err }

// section is a function that a script calls: once, with keys, or many times, each time with a name and keys of its own.
type section struct {
	keys []key
	done func() error // after the keys of a call
	many func(name string, at syntax.Position) ([]key, error)
}

// runScript runs a script whose calls of section functions set keys. Nothing that it does lasts but what the keys' set
// functions do; it may load no other file.
func runScript(path string, raw []byte, sections map[string]section) error {
	opts := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, Set: true}
	file, err := opts.Parse(path, raw, 0)
	if err != nil {
		return located(path, err)
	}
	places := keyPlaces(file)
	env := starlark.StringDict{
		"ms": unit("ms", time.Millisecond), "seconds": unit("seconds", time.Second),
		"minutes": unit("minutes", time.Minute), "math": math.Module,
	}
	seen := map[string]syntax.Position{}
	for name, section := range sections {
		env[name] = starlark.NewBuiltin(name, func(t *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
			named []starlark.Tuple) (starlark.Value, error) {
			at := t.CallFrame(1).Pos
			of := section.keys
			if section.many != nil {
				entry, ok := "", len(args) == 1
				if ok {
					entry, ok = starlark.AsString(args[0])
				}
				if !ok || entry == "" || strings.ContainsFunc(entry, unicode.IsControl) {
					return nil, fault{at, fmt.Errorf("%s: its name comes first", name)}
				}
				var err error
				if of, err = section.many(entry, at); err != nil {
					return nil, fault{at, err}
				}
				args = nil
			} else if before, twice := seen[name]; twice {
				return nil, fault{at, fmt.Errorf("%s: said before, in line %d", name, before.Line)}
			}
			seen[name] = at
			if len(args) > 0 {
				return nil, fault{at, fmt.Errorf("%s: a value without its key: %v", name, args[0])}
			}
			for _, pair := range named {
				word := string(pair[0].(starlark.String))
				where := at
				if p, ok := places[keyPlace{at.Line, at.Col, word}]; ok {
					where = p
				}
				i := slices.IndexFunc(of, func(k key) bool { return k.name == word })
				if i < 0 {
					return nil, fault{where, fmt.Errorf("%s.%s: an unknown key; there are %s", name, word, names(of))}
				}
				if err := of[i].set(pair[1]); err != nil {
					return nil, fault{where, fmt.Errorf("%s.%s: %w", name, word, err)}
				}
			}
			if section.done != nil {
				if err := section.done(); err != nil {
					return nil, fault{at, err}
				}
			}
			return starlark.None, nil
		})
	}
	program, err := starlark.FileProgram(file, env.Has)
	if err != nil {
		return located(path, err)
	}
	thread := &starlark.Thread{Name: path, Print: func(_ *starlark.Thread, text string) {
		slog.Info(logevent.SettingsPrint, "file", path, "text", text)
	}}
	thread.SetMaxExecutionSteps(mostSteps)
	timer := time.AfterFunc(mostTime, func() { thread.Cancel(fmt.Sprintf("it runs longer than %v", mostTime)) })
	defer timer.Stop()
	_, err = program.Init(thread, env)
	return located(path, err)
}

// located gives an error of the language its place.
func located(path string, err error) error {
	var f fault
	var evaluated *starlark.EvalError
	var parsed syntax.Error
	var several resolve.ErrorList
	switch {
	case err == nil, errors.As(err, &f):
		if err != nil {
			return f
		}
		return nil
	case errors.As(err, &evaluated):
		for i := range evaluated.CallStack {
			if frame := evaluated.CallStack.At(i); frame.Pos.Line > 0 {
				return fault{frame.Pos, errors.New(evaluated.Msg)}
			}
		}
		return fmt.Errorf("%s: %s", path, evaluated.Msg)
	case errors.As(err, &parsed):
		return fault{parsed.Pos, errors.New(parsed.Msg)}
	case errors.As(err, &several) && len(several) > 0:
		return fault{several[0].Pos, errors.New(several[0].Msg)}
	}
	return fmt.Errorf("%s: %w", path, err)
}

func names(of []key) string {
	var all []string
	for _, k := range of {
		all = append(all, k.name)
	}
	return strings.Join(all, ", ")
}

type keyPlace struct {
	line, col int32
	key       string
}

// keyPlaces finds where each named argument of a call stands, by the place of the call's parenthesis.
func keyPlaces(file *syntax.File) map[keyPlace]syntax.Position {
	places := map[keyPlace]syntax.Position{}
	syntax.Walk(file, func(n syntax.Node) bool {
		if call, ok := n.(*syntax.CallExpr); ok {
			for _, arg := range call.Args {
				if pair, ok := arg.(*syntax.BinaryExpr); ok && pair.Op == syntax.EQ {
					if name, ok := pair.X.(*syntax.Ident); ok {
						places[keyPlace{call.Lparen.Line, call.Lparen.Col, name.Name}] = name.NamePos
					}
				}
			}
		}
		return true
	})
	return places
}
