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

// setting is a named argument of a section. set stores its value, or returns an error if the value
// is invalid.
type setting struct {
	name string
	set  func(value starlark.Value) error
}

// numberSetting accepts a number from minimum to maximum.
func numberSetting(name string, target *float64, minimum, maximum float64) setting {
	return setting{name, func(value starlark.Value) error {
		number, ok := starlark.AsFloat(value)
		if !ok {
			return fmt.Errorf("%v is no number", value)
		}
		if !(number >= minimum && number <= maximum) { // also rejects NaN
			return fmt.Errorf("%v is not from %v to %v", value, minimum, maximum)
		}
		*target = number
		return nil
	}}
}

// integerSetting accepts an integer from minimum to maximum.
func integerSetting(name string, target *int, minimum, maximum int) setting {
	return setting{name, func(value starlark.Value) error {
		number, err := starlark.AsInt32(value)
		if err != nil {
			return fmt.Errorf("%v is no whole number", value)
		}
		if number < minimum || number > maximum {
			return fmt.Errorf("%v is not from %d to %d", value, minimum, maximum)
		}
		*target = number
		return nil
	}}
}

// booleanSetting accepts True or False.
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

// durationSetting accepts a duration from minimum to maximum. It rejects a number without a unit.
func durationSetting(name string, target *policy.Micros, minimum, maximum time.Duration) setting {
	return setting{name, func(value starlark.Value) error {
		t, ok := value.(duration)
		if !ok {
			return fmt.Errorf("%v has no unit: ms(), seconds() or minutes()", value)
		}
		if d := time.Duration(t); d < minimum || d > maximum {
			return fmt.Errorf("%v is not from %v to %v", d, minimum, maximum)
		}
		*target = policy.MicrosOf(time.Duration(t))
		return nil
	}}
}

// choiceSetting accepts one of the keys of choices and stores its value.
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

// textSetting accepts a string without control characters.
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

// textListSetting accepts a list of distinct, non-empty strings without control characters.
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

// addressSetting accepts an IPv4 address with a port.
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

// addressListSetting accepts a list of distinct IPv4 addresses with ports.
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

// checkAddress returns an error if text is not an IPv4 address with a port.
func checkAddress(text string) error {
	if address, err := netip.ParseAddrPort(text); err != nil || !address.Addr().Is4() || address.Port() == 0 {
		return fmt.Errorf("%q is no IPv4 address with a port", text)
	}
	return nil
}

// duration is the Starlark value of a duration.
type duration time.Duration

var _ starlark.Value = duration(0)

// String formats the duration as Go does.
func (d duration) String() string { return time.Duration(d).String() }

// Type returns the result of the script function type().
func (d duration) Type() string { return "duration" }

// Freeze does nothing, since durations are immutable.
func (d duration) Freeze() {}

// Truth returns false for a zero duration.
func (d duration) Truth() starlark.Bool { return d != 0 }

// Hash allows durations as dictionary keys.
func (d duration) Hash() (uint32, error) { return uint32(d) ^ uint32(d>>32), nil }

// unitFunction returns the script function that converts a number of units to a duration.
func unitFunction(name string, unit time.Duration) *starlark.Builtin {
	return starlark.NewBuiltin(name, func(_ *starlark.Thread, _ *starlark.Builtin, args starlark.Tuple,
		named []starlark.Tuple) (starlark.Value, error) {
		if len(args) != 1 || len(named) > 0 {
			return nil, fmt.Errorf("%s: takes one number", name)
		}
		number, ok := starlark.AsFloat(args[0])
		if !ok || !(number >= 0 && number*float64(unit) < 1<<62) { // also rejects NaN
			return nil, fmt.Errorf("%s: %v can't be used here", name, args[0])
		}
		return duration(number * float64(unit)), nil
	})
}
