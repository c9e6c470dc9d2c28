package downstream

import (
	"errors"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/internal/logevent"
)

// Limits of the buffers that hold incomplete messages of all clients, as fractions of the pool's
// limit. Above the first one the oldest incomplete message is given up for each buffer that is taken.
// Above the second one the message that needs the buffer is given up itself.
const (
	inputFraction    = 8
	maxInputFraction = 4
)

var errInputShed = errors.New("too much memory is held by incomplete messages")

// inputState is what the server knows of a connection's input buffer. Conn.mu guards it.
type inputState struct {
	heldBytes int  // size of the pool buffer that holds an incomplete message; 0 for none
	shedding  bool // the reader is to give up the incomplete message
}

// reserveInput prepares the parser's buffer for the next read. It returns false if the incomplete
// message must be given up, to limit the memory that such messages hold together. Only the reader
// may call it.
func (c *Conn) reserveInput(p *parser) bool {
	if !p.hasPartial() {
		p.release()
	}
	needed := p.pooledBytes()
	if p.isFull() {
		needed = c.server.pool.SizeFor(len(p.buffer) + 1)
	}
	if !c.holdInput(needed) {
		return false
	}
	return !p.isFull() || p.grow()
}

// holdInput records the size of the buffer that holds the connection's incomplete message. It
// returns false if the message must be given up instead.
func (c *Conn) holdInput(bytes int) bool {
	s := c.server
	_, buffers := s.pool.InUse()
	limit := int64(buffers * bufpool.BufferSize)
	c.mu.Lock()
	more := int64(bytes - c.inputBuffer.heldBytes)
	shed := c.inputBuffer.shedding && bytes > 0 || more > 0 && s.inputBytes.Load()+more > limit/maxInputFraction
	if shed {
		c.mu.Unlock()
		return false
	}
	c.inputBuffer = inputState{heldBytes: bytes}
	c.mu.Unlock()
	if total := s.inputBytes.Add(more); more > 0 && total > limit/inputFraction {
		s.shedOldestInput(c)
	}
	return true
}

// releaseInput records that the connection holds no incomplete message any more.
func (c *Conn) releaseInput() { c.holdInput(0) }

// shedOldestInput makes the reader of the connection whose incomplete message is the oldest give it
// up, except the given connection.
func (s *Server) shedOldestInput(except *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest *Conn
	var oldestStart time.Time
	for c := range s.conns {
		c.mu.Lock()
		start, holds := c.messageStart, c.inputBuffer.heldBytes > 0 && !c.inputBuffer.shedding
		c.mu.Unlock()
		if holds && c != except && (oldest == nil || start.Before(oldestStart)) {
			oldest, oldestStart = c, start
		}
	}
	if oldest == nil {
		return
	}
	oldest.mu.Lock()
	defer oldest.mu.Unlock()
	oldest.inputBuffer.shedding = oldest.inputBuffer.heldBytes > 0
	oldest.wakeReader()
}

// shedInput gives up the incomplete message, answers its request if the tag was read, and ignores all
// further input, whose message boundaries are unknown.
func (c *Conn) shedInput(p *parser, now time.Time) {
	c.server.logClientError(logevent.DownstreamInputShed, errInputShed)
	if msg := p.partialMessage(); msg.tag > 0 {
		if admission, ok := c.register(&msg, now); ok && !admission.tagInUse {
			c.answerShed(msg)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restrictInputLocked(inputDiscarded)
}

// answerShed answers an incomplete request. It may only be rejected if it is known what it repeats.
func (c *Conn) answerShed(msg message) {
	if msg.command == commandRequest && msg.request.validate(c.server.contentTypes) == nil {
		c.RejectUnsent(msg.tag, msg.request)
		return
	}
	c.Fail(msg.tag)
}
