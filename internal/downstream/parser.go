package downstream

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/redcon"

	"tallyproxy/internal/bufpool"
)

const (
	smallBufferSize = 1 << 10
	maxLengthDigits = 8 // of a length line, leading zeros included
)

// parser cuts a client's bytes into messages. It does no I/O: its owner reads into readBuffer, tells advance, and calls next until it
// has no message left. It is the reader's own.
type parser struct {
	pool     *bufpool.Pool
	small    [smallBufferSize]byte
	buffer   []byte // small, or one of the pool's while a message does not fit there; nil for none
	start    int    // the bytes before it are parsed
	end      int    // the bytes from here on are free
	elements [][]byte
}

// readBuffer returns where the next bytes are to be read to. Messages that next returned must not be used any more: their bytes may move.
func (p *parser) readBuffer() []byte {
	unparsed := p.buffer[p.start:p.end]
	switch {
	case len(unparsed) == 0:
		p.release()
		p.buffer = p.small[:]
	case len(unparsed) == len(p.small) && len(p.buffer) == len(p.small):
		p.buffer = p.pool.Get()
	}
	p.start, p.end = 0, copy(p.buffer, unparsed)
	return p.buffer[p.end:]
}

// advance says that n bytes were read to readBuffer.
func (p *parser) advance(n int) { p.end += n }

// hasPartial reports whether bytes are left that next has not returned.
func (p *parser) hasPartial() bool { return p.start < p.end }

// release gives the buffer back to the pool.
func (p *parser) release() {
	if len(p.buffer) == bufpool.BufferSize {
		p.pool.Put(p.buffer)
	}
	p.buffer, p.start, p.end = nil, 0, 0
}

// next returns the next message, if a complete one was read. After an error nothing more can be parsed; the message then has the tag,
// where that was read.
func (p *parser) next() (msg message, ok bool, err error) {
	defer func() {
		if cause := recover(); cause != nil { // redcon trusts the lengths that it reads
			err = fmt.Errorf("a frame that can't be cut: %v", cause)
		}
	}()
	complete, tag, err := checkFrame(p.buffer[p.start:p.end])
	if err != nil || !complete {
		return message{tag: tag}, false, err
	}
	complete, elements, _, rest, err := redcon.ReadNextCommand(p.buffer[p.start:p.end], p.elements)
	if err != nil {
		return message{tag: tag}, false, fmt.Errorf("a frame that can't be cut: %w", err)
	}
	if !complete {
		return message{tag: tag}, false, errors.New("a frame that can't be cut: its end is missing")
	}
	p.elements, p.start = elements, p.end-len(rest)
	msg, err = parseMessage(elements)
	return msg, err == nil, err
}

// checkFrame walks along a frame as far as it was read, and reports whether it is complete. A length out of bounds is an error before
// what it announces has come. The tag is 0 where it was not read.
func checkFrame(data []byte) (complete bool, tag uint64, err error) {
	elements, data, complete, err := parseLength(data, '*', maxElements)
	if err != nil || !complete {
		return false, 0, err
	}
	for i := range elements {
		maxBytes, length := maxElementBytes, 0
		if i == bodyIndex {
			maxBytes = maxBodyBytes
		}
		if length, data, complete, err = parseLength(data, '$', maxBytes); err != nil || !complete || len(data) < length+len(lineEnd) {
			return false, tag, err
		}
		if data[length] != '\r' || data[length+1] != '\n' {
			return false, tag, errors.New("a word that does not end where it said")
		}
		if i == tagIndex {
			tag, _ = strconv.ParseUint(string(data[:length]), 10, 64) // parseMessage refuses what is no number
		}
		data = data[length+len(lineEnd):]
	}
	return true, tag, nil
}

// parseLength reads a line that is a type byte and a decimal number up to maximum, and returns what follows it. Without an error the line
// may still be incomplete.
func parseLength(data []byte, typeByte byte, maximum int) (n int, rest []byte, complete bool, err error) {
	for i, b := range data {
		switch {
		case i == 0 && b == typeByte:
		case i > 0 && b >= '0' && b <= '9' && n*10+int(b-'0') <= maximum && i <= maxLengthDigits:
			n = n*10 + int(b-'0')
		case i > 1 && b == '\r':
			if len(data) == i+1 {
				return 0, nil, false, nil
			}
			if data[i+1] == '\n' {
				return n, data[i+2:], true, nil
			}
			fallthrough
		default:
			return 0, nil, false, fmt.Errorf("no %c and a number up to %d: %.12q", typeByte, maximum, data)
		}
	}
	return 0, nil, false, nil
}
