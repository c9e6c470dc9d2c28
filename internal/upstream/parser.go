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
	maxLineLength = 4096    // bytes of a response's first line
	maxBodySize   = 240_000 // bytes of a response's body
	lineEnd       = "\r\n"
)

// parser cuts the bytes that a node sends into responses and probe answers. It does no I/O: the caller passes the bytes to parse as
// they come. One goroutine uses it.
type parser struct {
	buffers       *bufpool.Pool                                    // for bodies
	onStart       func(id string) (wanted bool)                    // a response starts; the body of one that is not wanted is skipped
	onResponse    func(id string, r Response, failure error) error // a wanted response has ended, or its body found no buffer
	onProbeAnswer func(id string)                                  // a probe was answered

	line []byte // the beginning of a line, of which the end has not come yet

	// The response whose body is being read.
	inBody       bool
	id           string
	response     Response
	wanted       bool
	outOfBuffers bool
	bodyLeft     int // bytes of the body that have not come yet
	lineEndRead  int // bytes of the line end after the body that have come
}

// parse takes the next bytes. After an error the rest can't be parsed.
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

// parseBody takes bytes of a body and of the line end after it, and returns what is left of data.
func (p *parser) parseBody(data []byte) (rest []byte, err error) {
	n := min(p.bodyLeft, len(data))
	if n > 0 && p.wanted && !p.outOfBuffers {
		p.outOfBuffers = !p.response.Body.Append(data[:n])
	}
	p.bodyLeft -= n
	data = data[n:]
	for p.bodyLeft == 0 && p.lineEndRead < len(lineEnd) && len(data) > 0 {
		if data[0] != lineEnd[p.lineEndRead] {
			return nil, errors.New("body is longer than its length")
		}
		p.lineEndRead++
		data = data[1:]
	}
	if p.bodyLeft == 0 && p.lineEndRead == len(lineEnd) {
		return data, p.finishResponse()
	}
	return data, nil
}

// parseLine takes bytes up to a line's end, and returns what is left of data.
func (p *parser) parseLine(data []byte) (rest []byte, err error) {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		p.line = append(p.line, data...)
		if len(p.line) > maxLineLength {
			return nil, fmt.Errorf("line of more than %d bytes", maxLineLength)
		}
		return nil, nil
	}
	line := data[:end]
	if len(p.line) > 0 {
		p.line = append(p.line, line...)
		line = p.line
	}
	if len(line) > maxLineLength {
		return nil, fmt.Errorf("line of more than %d bytes", maxLineLength)
	}
	if err := p.parseHead(line); err != nil {
		return nil, err
	}
	p.line = p.line[:0]
	return data[end+1:], nil
}

// parseHead parses the line that is a probe answer, or the beginning of a response: its id, status, fields and the body's length.
func (p *parser) parseHead(line []byte) error {
	text, terminated := strings.CutSuffix(string(line), "\r")
	words := strings.Split(text, " ")
	if terminated && len(words) >= 2 && Status(words[1]).isProbeAnswer() {
		p.onProbeAnswer(words[0])
		if len(words) < 4 { // with four words it has a body as a response has
			return nil
		}
	}
	if !terminated || len(words) != 4 {
		return fmt.Errorf("malformed line: %.60q", line)
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

// parseBodySize parses the length of the body of a response with a status.
func parseBodySize(status Status, length string) (int, error) {
	size, err := strconv.Atoi(length)
	if err != nil || size < 0 || size > maxBodySize {
		return 0, fmt.Errorf("malformed body length: %.20q", length)
	}
	if !status.isKnown() {
		return 0, fmt.Errorf("unknown status: %.20q", string(status))
	}
	if size > 0 && status != StatusData {
		return 0, fmt.Errorf("body of %d bytes with status %s", size, status)
	}
	return size, nil
}

// startResponse prepares for a response's body of so many bytes.
func (p *parser) startResponse(id string, response Response, size int) {
	p.id, p.response = id, response
	p.inBody, p.bodyLeft, p.lineEndRead, p.outOfBuffers = true, size, 0, false
	p.wanted = p.onStart(id)
	if p.wanted && size > 0 {
		p.response.Body = p.buffers.NewBody(size)
	}
}

// finishResponse passes a whole response on.
func (p *parser) finishResponse() error {
	p.inBody = false
	response := p.response
	p.response = Response{}
	if !p.wanted {
		return nil
	}
	if p.outOfBuffers {
		response.Body.Free()
		return p.onResponse(p.id, Response{}, errNoBuffer)
	}
	return p.onResponse(p.id, response, nil)
}

// midResponse reports whether a response, or a line, has come in part.
func (p *parser) midResponse() bool { return p.inBody || len(p.line) > 0 }

// close frees what has come of a response that did not end.
func (p *parser) close() {
	p.response.Body.Free()
	p.response = Response{}
}
