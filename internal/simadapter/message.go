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

// Largest numbers that a float64 holds exactly, or nearly so after the conversion to microseconds.
const (
	maxInteger      = 1 << 53
	maxMilliseconds = 1 << 52
)

// message is one line, cut into its name and its fields.
type message struct {
	name   string
	fields map[string]string
}

// lineReader cuts the input into messages.
type lineReader struct {
	in   *bufio.Reader
	line int // number of the last line read, from 1
}

// next reads one message; blank lines are passed over. It returns io.EOF at the end of the input.
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

// parseMessage cuts a line: a name, then key=value fields. The field "params" is JSON and goes on to the line's end.
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

// number reads a field into to, which stays as it is where the message has no such field.
func (m message) number(key string, to *float64) error {
	text, ok := m.fields[key]
	if !ok {
		return nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		return fmt.Errorf("%s: %s=%q is not a number", m.name, key, text)
	}
	*to = v
	return nil
}

// integer is as number, for whole numbers.
func (m message) integer(key string, to *int) error {
	v := float64(*to)
	err := m.number(key, &v)
	if err == nil && (v != math.Trunc(v) || math.Abs(v) > maxInteger) {
		return fmt.Errorf("%s: %s=%q is not a whole number", m.name, key, m.fields[key])
	}
	*to = int(v)
	return err
}

// micros is as number, for times in milliseconds.
func (m message) micros(key string, to *policy.Micros) error {
	v := float64(*to) / 1000
	err := m.number(key, &v)
	if err == nil && math.Abs(v) > maxMilliseconds {
		return fmt.Errorf("%s: %s=%q is out of range", m.name, key, m.fields[key])
	}
	*to = policy.Micros(math.Round(v * 1000))
	return err
}

// seed reads a field that has to be there; its sign is dropped.
func (m message) seed(key string) (uint64, error) {
	v, err := strconv.ParseUint(strings.TrimPrefix(m.fields[key], "-"), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %s=%q is not a whole number", m.name, key, m.fields[key])
	}
	return v, nil
}

// xid reads a request's id, which has to be there.
func (m message) xid(key string) (uint64, error) {
	v, err := strconv.ParseUint(m.fields[key], 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%s: %s=%q is not an id", m.name, key, m.fields[key])
	}
	return v, nil
}

// firstError is the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
