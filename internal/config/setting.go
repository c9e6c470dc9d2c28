package config

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"

	"go.starlark.net/starlark"

	"tallyproxy/policy"
)

// setting is a named argument of a section: set takes its value or says why it can't.
type setting struct {
	name string
	set  func(value starlark.Value) error
}

// numberSetting takes a number from least to most.
func numberSetting(name string, target *float64, least, most float64) setting {
	return setting{name, func(value starlark.Value) error {
		number, ok := starlark.AsFloat(value)
		if !ok {
			return fmt.Errorf("%v is no number", value)
		}
		if !(number >= least && number <= most) { // false for NaN, too
			return fmt.Errorf("%v is not from %v to %v", value, least, most)
		}
		*target = number
		return nil
	}}
}

// integerSetting takes a whole number from least to most.
func integerSetting(name string, target *int, least, most int) setting {
	return setting{name, func(value starlark.Value) error {
		number, err := starlark.AsInt32(value)
		if err != nil {
			return fmt.Errorf("%v is no whole number", value)
		}
		if number < least || number > most {
			return fmt.Errorf("%v is not from %d to %d", value, least, most)
		}
		*target = number
		return nil
	}}
}

// booleanSetting takes True or False.
func booleanSetting(name string, target *bool) setting {
	return setting{name, func(value starlark.Value) error {
		boolean, ok := value.(starlark.Bool)
		if !ok {
			return fmt.Errorf("%v is neither True nor False", value)
		}
		*target = bool(boolean)
		return nil
	}}
}

// durationSetting takes a time with its unit, from least to most; a bare number is refused.
func durationSetting(name string, target *policy.Micros, least, most time.Duration) setting {
	return setting{name, func(value starlark.Value) error {
		t, ok := value.(duration)
		if !ok {
			return fmt.Errorf("%v has no unit: ms(), seconds() or minutes()", value)
		}
		if d := time.Duration(t); d < least || d > most {
			return fmt.Errorf("%v is not from %v to %v", d, least, most)
		}
		*target = policy.MicrosOf(time.Duration(t))
		return nil
	}}
}

// choiceSetting takes one of the words that choices names, and sets what it stands for.
func choiceSetting[T any](name string, target *T, choices map[string]T) setting {
	return setting{name, func(value starlark.Value) error {
		text, _ := starlark.AsString(value)
		choice, ok := choices[text]
		if !ok {
			return fmt.Errorf("%v is none of %s", value, strings.Join(slices.Sorted(maps.Keys(choices)), ", "))
		}
		*target = choice
		return nil
	}}
}

// textSetting takes a text without control characters.
func textSetting(name string, target *string) setting {
	return setting{name, func(value starlark.Value) error {
		text, ok := starlark.AsString(value)
		if !ok || strings.ContainsFunc(text, unicode.IsControl) {
			return fmt.Errorf("%v is no plain text", value)
		}
		*target = text
		return nil
	}}
}

// textListSetting takes a list of texts without control characters, none empty and none twice.
func textListSetting(name string, target *[]string) setting {
	return setting{name, func(value starlark.Value) error {
		list, ok := value.(*starlark.List)
		if !ok {
			return fmt.Errorf("%v is no list", value)
		}
		var texts []string
		for i := range list.Len() {
			text, ok := starlark.AsString(list.Index(i))
			if !ok || text == "" || strings.ContainsFunc(text, unicode.IsControl) || slices.Contains(texts, text) {
				return fmt.Errorf("%v: entry %d is empty, no text or there before", value, i+1)
			}
			texts = append(texts, text)
		}
		*target = texts
		return nil
	}}
}

// addressSetting takes an IPv4 address with a port.
func addressSetting(name string, target *string) setting {
	return setting{name, func(value starlark.Value) error {
		address, _ := starlark.AsString(value)
		if err := checkAddress(address); err != nil {
			return err
		}
		*target = address
		return nil
	}}
}

// addressListSetting takes a list of IPv4 addresses with ports, none twice.
func addressListSetting(name string, target *[]string) setting {
	return setting{name, func(value starlark.Value) error {
		if err := textListSetting(name, target).set(value); err != nil {
			return err
		}
		for _, address := range *target {
			if err := checkAddress(address); err != nil {
				return err
			}
		}
		return nil
	}}
}

// checkAddress says whether a text is an IPv4 address with a port.
func checkAddress(text string) error {
	if address, err := netip.ParseAddrPort(text); err != nil || !address.Addr().Is4() || address.Port() == 0 {
		return fmt.Errorf("%q is no IPv4 address with a port", text)
	}
	return nil
}

// duration is the Starlark value of a time with its unit.
type duration time.Duration

var _ starlark.Value = duration(0)

// String gives the time as Go writes it.
func (d duration) String() string { return time.Duration(d).String() }

// Type gives the name that a script's type() tells.
func (d duration) Type() string { return "duration" }

// Freeze does nothing: durations don't change.
func (d duration) Freeze() {}

// Truth is false for no time at all.
func (d duration) Truth() starlark.Bool { return d != 0 }

// Hash allows durations as keys of dictionaries.
func (d duration) Hash() (uint32, error) { return uint32(d) ^ uint32(d>>32), nil }

// unitFunction makes the function of a script that gives a number its unit.
func unitFunction(name string, unit time.Duration) *starlark.Builtin {
	return starlark.NewBuiltin(name, func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
		named []starlark.Tuple) (starlark.Value, error) {
		if len(args) != 1 || len(named) > 0 {
			return nil, fmt.Errorf("%s: takes one number", name)
		}
		number, ok := starlark.AsFloat(args[0])
		if !ok || !(number >= 0 && number*float64(unit) < 1<<62) { // false for NaN, too
			return nil, fmt.Errorf("%s: %v can't be used here", name, args[0])
		}
		return duration(number * float64(unit)), nil
	})
}
