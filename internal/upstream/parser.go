package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"tallyproxy/internal/bufpool"
)

const (
	maxLineLength = 4096    // bytes, of the first line of a response
	maxBodySize   = 240_000 // bytes, of the body of a response
	lineEnd       = "\r\n"
)

// parser splits the byte stream from a node into responses and probe answers. It does no I/O: the
// caller passes the bytes as they are read. It must be used by one goroutine only.
type parser struct {
	buffers *bufpool.Pool // for bodies

	// onStart is called when a response starts. The parser skips the response unless it is wanted.
	onStart func(id string) (wanted bool)
	// onResponse is called when a wanted response has ended. failure is set if there was no buffer
	// for the body.
	onResponse func(id string, r Response, failure error) error
	// onProbeAnswer is called when a probe was answered.
	onProbeAnswer func(id string)

	line []byte // start of a line that is not complete yet

	// State of the response whose body is being read.
	inBody       bool
	id           string
	response     Response
	wanted       bool
	outOfBuffers bool
	bodyLeft     int // bytes of the body still to be read
	lineEndRead  int // bytes read of the line end that follows the body
}

// parse parses the next bytes of the stream. After an error, the rest of the stream cannot be
// parsed.
func (p *parser) parse(data []byte) error {
	for len(data) > 0 {
		var err error
		if p.inBody {
			data, err = p.parseBody(data)
		} else {
			data, err = p.parseLine(data)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// parseBody consumes bytes of a body and of the line end that follows it, and returns the rest of
// data.
func (p *parser) parseBody(data []byte) (rest []byte, err error) {
	n := min(p.bodyLeft, len(data))
	if n > 0 && p.wanted && !p.outOfBuffers {
		p.outOfBuffers = !p.response.Body.Append(data[:n])
	}
	p.bodyLeft -= n
	data = data[n:]
	for p.bodyLeft == 0 && p.lineEndRead < len(lineEnd) && len(data) > 0 {
		if data[0] != lineEnd[p.lineEndRead] {
			return nil, errors.New("response body is longer than its declared length")
		}
		p.lineEndRead++
		data = data[1:]
	}
	if p.bodyLeft == 0 && p.lineEndRead == len(lineEnd) {
		return data, p.finishResponse()
	}
	return data, nil
}

// parseLine consumes bytes up to the end of a line and returns the rest of data.
func (p *parser) parseLine(data []byte) (rest []byte, err error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		p.line = append(p.line, data...)
		if len(p.line) > maxLineLength {
			return nil, fmt.Errorf("response line is longer than %d bytes", maxLineLength)
		}
		return nil, nil
	}
	line := data[:end]
	if len(p.line) > 0 {
		p.line = append(p.line, line...)
		line = p.line
	}
	if len(line) > maxLineLength {
		return nil, fmt.Errorf("response line is longer than %d bytes", maxLineLength)
	}
	if err := p.parseHead(line); err != nil {
		return nil, err
	}
	p.line = p.line[:0]
	return data[end+1:], nil
}

// parseHead parses a line that is either a probe answer or the head of a response: its ID, status,
// fields and body length.
func (p *parser) parseHead(line []byte) error {
	text, terminated := strings.CutSuffix(string(line), "\r")
	words := strings.Split(text, " ")
	if terminated && len(words) >= 2 && Status(words[1]).isProbeAnswer() {
		p.onProbeAnswer(words[0])
		if len(words) < 4 { // an answer of four words has a body, like a response
			return nil
		}
	}
	if !terminated || len(words) != 4 {
		return fmt.Errorf("malformed response line: %.60q", line)
	}
	id, status := words[0], Status(words[1])
	size, err := parseBodySize(status, words[3])
	if err != nil {
		return err
	}
	cacheStatus, err := parseFields(words[2])
	if err != nil {
		return err
	}
	p.startResponse(id, Response{Status: status, CacheStatus: cacheStatus}, size)
	return nil
}

// parseBodySize parses the body length of a response that has the given status.
func parseBodySize(status Status, length string) (int, error) {
	size, err := strconv.Atoi(length)
	if err != nil || size < 0 || size > maxBodySize {
		return 0, fmt.Errorf("malformed body length: %.20q", length)
	}
	if !status.isKnown() {
		return 0, fmt.Errorf("unknown response status: %.20q", string(status))
	}
	if size > 0 && status != StatusData {
		return 0, fmt.Errorf("unexpected body of %d bytes with status %s", size, status)
	}
	return size, nil
}

// startResponse prepares the parser for a response with a body of size bytes.
func (p *parser) startResponse(id string, response Response, size int) {
	p.id, p.response = id, response
	p.inBody, p.bodyLeft, p.lineEndRead, p.outOfBuffers = true, size, 0, false
	p.wanted = p.onStart(id)
	if p.wanted && size > 0 {
		p.response.Body = p.buffers.NewBody(size)
	}
}

// finishResponse passes a complete response to onResponse if it is wanted.
func (p *parser) finishResponse() error {
	p.inBody = false
	response := p.response
	p.response = Response{}
	if !p.wanted {
		return nil
	}
	if p.outOfBuffers {
		response.Body.Free()
		return p.onResponse(p.id, Response{}, ErrNoBuffer)
	}
	return p.onResponse(p.id, response, nil)
}

// midResponse reports whether a response or a line was read only in part.
func (p *parser) midResponse() bool { return p.inBody || len(p.line) > 0 }

// close frees the body of a response that was read only in part.
func (p *parser) close() {
	p.response.Body.Free()
	p.response = Response{}
}
