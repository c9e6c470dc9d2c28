package config

import (
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"
	"unicode"

	"go.starlark.net/lib/math"
	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/syntax"

	"tallyproxy/internal/logevent"
)

// Limits of a script run.
const (
	maxScriptSteps = 1_000_000
	maxScriptTime  = 2 * time.Second
	maxScriptBytes = 1 << 20
)

// section is a function that a script calls with its settings as named arguments. A script may call
// it once or, if newEntry is set, any number of times, each time with a name as the first argument
// and separate settings.
type section struct {
	settings []setting
	done     func() error // called after all settings of a call are set; may be nil
	newEntry func(name string, position syntax.Position) ([]setting, error)
}

// script is one run of a script.
type script struct {
	path      string
	sections  map[string]section
	arguments map[argument]syntax.Position // position of each named argument of a call
	calls     map[string]syntax.Position   // the first call of each section
}

// argument identifies a named argument by the opening parenthesis of its call.
type argument struct {
	line, column int32
	name         string
}

// runScript runs a script that calls section functions to change settings. Apart from the changes
// that the settings' set functions make, the run has no lasting effect, and the script can't load
// another file. Errors are of type ScriptError unless they have no position in the script.
func runScript(path string, raw []byte, sections map[string]section) error {
	if len(raw) > maxScriptBytes {
		return fmt.Errorf("%s: over %d bytes", path, maxScriptBytes)
	}
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, Set: true}
	file, err := options.Parse(path, raw, 0)
	if err != nil {
		return locate(path, err)
	}
	s := &script{path: path, sections: sections, arguments: findArguments(file), calls: map[string]syntax.Position{}}
	environment := s.environment()
	program, err := starlark.FileProgram(file, environment.Has)
	if err != nil {
		return locate(path, err)
	}
	thread := &starlark.Thread{Name: path, Print: func(_ *starlark.Thread, text string) {
		slog.Info(logevent.SettingsPrint, "file", path, "text", text)
	}}
	thread.SetMaxExecutionSteps(maxScriptSteps)
	timer := time.AfterFunc(maxScriptTime, func() { thread.Cancel(fmt.Sprintf("script ran longer than %v", maxScriptTime)) })
	defer timer.Stop()
	_, err = program.Init(thread, environment)
	return locate(path, err)
}

// environment returns the predeclared names of a script: the sections, the units of time and the
// module math.
func (s *script) environment() starlark.StringDict {
	environment := starlark.StringDict{
		"ms": unitFunction("ms", time.Millisecond), "seconds": unitFunction("seconds", time.Second),
		"minutes": unitFunction("minutes", time.Minute), "math": math.Module,
	}
	for name := range s.sections {
		environment[name] = starlark.NewBuiltin(name, func(thread *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
			named []starlark.Tuple) (starlark.Value, error) {
			return starlark.None, s.call(name, thread.CallFrame(1).Pos, args, named)
		})
	}
	return environment
}

// call handles one call of a section.
func (s *script) call(name string, position syntax.Position, args starlark.Tuple, named []starlark.Tuple) error {
	section := s.sections[name]
	settings := section.settings
	if section.newEntry != nil {
		var err error
		if settings, err = section.entry(name, position, args); err != nil {
			return &ScriptError{position, err}
		}
		args = nil
	} else if first, called := s.calls[name]; called {
		return &ScriptError{position, keyErrorf(name, "said before, in line %d", first.Line)}
	}
	s.calls[name] = position
	if len(args) > 0 {
		return &ScriptError{position, keyErrorf(name, "a value without its key: %v", args[0])}
	}
	for _, pair := range named {
		if err := s.set(name, settings, position, pair); err != nil {
			return err
		}
	}
	if section.done != nil {
		if err := section.done(); err != nil {
			return &ScriptError{position, err}
		}
	}
	return nil
}

// entry returns the settings of a new entry, whose name is the only positional argument of the
// call.
func (s section) entry(section string, position syntax.Position, args starlark.Tuple) ([]setting, error) {
	name, ok := "", len(args) == 1
	if ok {
		name, ok = starlark.AsString(args[0])
	}
	if !ok || name == "" || strings.ContainsFunc(name, unicode.IsControl) {
		return nil, keyErrorf(section, "its name comes first")
	}
	return s.newEntry(name, position)
}

// set handles a named argument of the call at the given position. pair holds its name and value.
func (s *script) set(section string, settings []setting, call syntax.Position, pair starlark.Tuple) error {
	name := string(pair[0].(starlark.String))
	position := call
	if p, ok := s.arguments[argument{call.Line, call.Col, name}]; ok {
		position = p
	}
	key := section + "." + name
	i := slices.IndexFunc(settings, func(s setting) bool { return s.name == name })
	if i < 0 {
		return &ScriptError{position, keyErrorf(key, "an unknown key; there are %s", settingNames(settings))}
	}
	if err := settings[i].set(pair[1]); err != nil {
		return &ScriptError{position, &KeyError{key, err}}
	}
	return nil
}

// settingNames lists the names of the settings, in their order.
func settingNames(settings []setting) string {
	var names []string
	for _, s := range settings {
		names = append(names, s.name)
	}
	return strings.Join(names, ", ")
}

// findArguments returns the position of each named argument of the calls in a file.
func findArguments(file *syntax.File) map[argument]syntax.Position {
	arguments := map[argument]syntax.Position{}
	syntax.Walk(file, func(node syntax.Node) bool {
		call, ok := node.(*syntax.CallExpr)
		if !ok {
			return true
		}
		for _, expr := range call.Args {
			if pair, ok := expr.(*syntax.BinaryExpr); ok && pair.Op == syntax.EQ {
				if name, ok := pair.X.(*syntax.Ident); ok {
					arguments[argument{call.Lparen.Line, call.Lparen.Col, name.Name}] = name.NamePos
				}
			}
		}
		return true
	})
	return arguments
}

// locate converts an error of the Starlark language that has a position to a ScriptError. It
// returns a ScriptError of a section unchanged.
func locate(path string, err error) error {
	var (
		located   *ScriptError
		evaluated *starlark.EvalError
		parsed    syntax.Error
		resolved  resolve.ErrorList
	)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &located):
		return located
	case errors.As(err, &evaluated):
		for i := range evaluated.CallStack {
			if frame := evaluated.CallStack.At(i); frame.Pos.Line > 0 {
				return &ScriptError{frame.Pos, errors.New(evaluated.Msg)}
			}
		}
		return fmt.Errorf("%s: %s", path, evaluated.Msg)
	case errors.As(err, &parsed):
		return &ScriptError{parsed.Pos, errors.New(parsed.Msg)}
	case errors.As(err, &resolved) && len(resolved) > 0:
		return &ScriptError{resolved[0].Pos, errors.New(resolved[0].Msg)}
	}
	return fmt.Errorf("%s: %w", path, err)
}
