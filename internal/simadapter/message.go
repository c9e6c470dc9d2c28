package simadapter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	"tallyproxy/policy"
)

// Largest accepted numbers. A float64 holds integers up to maxInteger exactly, and times up to
// maxMilliseconds nearly exactly after the conversion to microseconds.
const (
	maxInteger      = 1 << 53
	maxMilliseconds = 1 << 52
)

// message is one input line, split into its name and its fields.
type message struct {
	name   string
	fields map[string]string
}

// lineReader splits the input into messages.
type lineReader struct {
	in   *bufio.Reader
	line int // number of the last line read, counted from 1
}

// next reads the next message and skips blank lines. It returns io.EOF at the end of the input.
func (r *lineReader) next() (message, error) {
	for {
		text, err := r.in.ReadString('\n')
		if err != nil && (!errors.Is(err, io.EOF) || text == "") {
			return message{}, err
		}
		r.line++
		if text = strings.TrimRight(text, "\r\n"); text != "" {
			return parseMessage(text), nil
		}
	}
}

// parseMessage splits a line into a name and key=value fields, which are separated by spaces. The
// field "params" is JSON and extends to the end of the line.
func parseMessage(text string) message {
	name, rest, _ := strings.Cut(text, " ")
	msg := message{name, make(map[string]string, 12)}
	for rest != "" {
		key, value, ok := strings.Cut(rest, "=")
		if !ok {
			break
		}
		if key == "params" {
			msg.fields[key] = value
			break
		}
		value, rest, _ = strings.Cut(value, " ")
		msg.fields[key] = value
	}
	return msg
}

// number stores a field in target. It leaves target unchanged if the message has no such field.
func (m message) number(key string, target *float64) error {
	text, ok := m.fields[key]
	if !ok {
		return nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Errorf("%s: %s=%q is not a number", m.name, key, text)
	}
	*target = v
	return nil
}

// integer is like number, but accepts only whole numbers.
func (m message) integer(key string, target *int) error {
	v := float64(*target)
	err := m.number(key, &v)
	if err == nil && (v != math.Trunc(v) || math.Abs(v) > maxInteger) {
		return fmt.Errorf("%s: %s=%q is not a whole number", m.name, key, m.fields[key])
	}
	*target = int(v)
	return err
}

// micros is like number, but converts a time from milliseconds to microseconds.
func (m message) micros(key string, target *policy.Micros) error {
	v := float64(*target) / 1000
	err := m.number(key, &v)
	if err == nil && math.Abs(v) > maxMilliseconds {
		return fmt.Errorf("%s: %s=%q is out of range", m.name, key, m.fields[key])
	}
	*target = policy.Micros(math.Round(v * 1000))
	return err
}

// seed returns a required field as a seed. It ignores the sign.
func (m message) seed(key string) (uint64, error) {
	v, err := strconv.ParseUint(strings.TrimPrefix(m.fields[key], "-"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %s=%q is not a whole number", m.name, key, m.fields[key])
	}
	return v, nil
}

// xid returns a required field as a request ID.
func (m message) xid(key string) (uint64, error) {
	v, err := strconv.ParseUint(m.fields[key], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %s=%q is not an id", m.name, key, m.fields[key])
	}
	return v, nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
