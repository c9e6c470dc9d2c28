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
	maxLengthDigits = 8 // digits of a length line, including leading zeros
)

// parser splits a client's input into messages. It does no I/O: its owner reads into readBuffer,
// calls advance, and then calls next until no message is left. Only the connection's reader uses
// it.
type parser struct {
	pool     *bufpool.Pool
	small    [smallBufferSize]byte
	buffer   []byte // small, or a pool buffer while a message does not fit into it; nil for none
	start    int    // the bytes before it are parsed
	end      int    // the bytes from here on are free
	elements [][]byte
}

// readBuffer returns the buffer to read the next bytes into. Messages returned by next must not be
// used after this call, because their bytes may move.
func (p *parser) readBuffer() []byte {
	unparsed := p.buffer[p.start:p.end]
	switch {
	case len(unparsed) == 0:
		p.release()
		p.buffer = p.small[:]
		unparsed = nil
	case p.isFull() && p.grow():
		return p.buffer[p.end:]
	}
	p.start, p.end = 0, copy(p.buffer, unparsed)
	return p.buffer[p.end:]
}

// isFull reports whether the buffer is full of unparsed bytes, so that readBuffer takes a larger one.
func (p *parser) isFull() bool { return p.end-p.start == len(p.buffer) && p.end > p.start }

// grow moves the unparsed bytes to a pool buffer of the next larger size. It returns false if the
// pool has none left; the buffer is then still full.
func (p *parser) grow() bool {
	larger := p.pool.TryGet(len(p.buffer) + 1)
	if larger == nil {
		return false
	}
	end := copy(larger, p.buffer[p.start:p.end])
	p.release()
	p.buffer, p.end = larger, end
	return true
}

// pooledBytes returns the size of the pool buffer in use; 0 for none.
func (p *parser) pooledBytes() int {
	if len(p.buffer) <= smallBufferSize {
		return 0
	}
	return len(p.buffer)
}

// partialMessage returns what can be told of the incomplete message, which must not be malformed:
// its tag, or 0 if the tag was not read, and its request if all elements before the body were read.
func (p *parser) partialMessage() (msg message) {
	data := p.buffer[p.start:p.end]
	_, msg.tag, _ = checkFrame(data)
	_, data, _, _ = parseLength(data, '*', maxElements)
	var elements [][]byte
	for len(elements) < bodyIndex {
		length, rest, complete, err := parseLength(data, '$', maxElementBytes)
		if err != nil || !complete || len(rest) < length+len(lineEnd) {
			return msg
		}
		elements, data = append(elements, rest[:length]), rest[length+len(lineEnd):]
	}
	if string(elements[0]) == commandRequest {
		msg.command, msg.request = commandRequest, parseRequest(elements[tagIndex+1:])
	}
	return msg
}

// advance records that n bytes were read into the buffer returned by readBuffer.
func (p *parser) advance(n int) { p.end += n }

// hasPartial reports whether bytes are left that next has not returned in a message.
func (p *parser) hasPartial() bool { return p.start < p.end }

// release returns the buffer to the pool.
func (p *parser) release() {
	if p.pooledBytes() > 0 {
		p.pool.Put(p.buffer)
	}
	p.buffer, p.start, p.end = nil, 0, 0
}

// next returns the next message if a complete one has been read. After an error nothing more can be
// parsed; the message then contains the tag if the tag was read.
func (p *parser) next() (msg message, ok bool, err error) {
	defer func() {
		if cause := recover(); cause != nil { // redcon does not validate the lengths that it reads
			err = fmt.Errorf("malformed frame: %v", cause)
		}
	}()
	complete, tag, err := checkFrame(p.buffer[p.start:p.end])
	if err != nil || !complete {
		return message{tag: tag}, false, err
	}
	complete, elements, _, rest, err := redcon.ReadNextCommand(p.buffer[p.start:p.end], p.elements)
	if err != nil {
		return message{tag: tag}, false, fmt.Errorf("malformed frame: %w", err)
	}
	if !complete {
		return message{tag: tag}, false, errors.New("malformed frame: incomplete")
	}
	p.elements, p.start = elements, p.end-len(rest)
	msg, err = parseMessage(elements)
	return msg, err == nil, err
}

// checkFrame scans the part of a frame that has been read and reports whether the frame is
// complete. An invalid length is an error even before the announced data arrives. The tag is 0 if
// it was not read.
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
			return false, tag, errors.New("element does not end after its announced length")
		}
		if i == tagIndex {
			// parseMessage refuses a tag that is not a number
			tag, _ = strconv.ParseUint(string(data[:length]), 10, 64)
		}
		data = data[length+len(lineEnd):]
	}
	return true, tag, nil
}

// parseLength parses a line that consists of a type byte and a decimal number up to maximum, and
// returns the data that follows it. If it returns no error, the line may still be incomplete.
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
			return 0, nil, false, fmt.Errorf("expected %c and a number up to %d, got %.12q", typeByte, maximum, data)
		}
	}
	return 0, nil, false, nil
}
