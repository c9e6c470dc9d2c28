package fakes

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

// Ends of a connection before the answer.
var (
	errConnectionClosed = errors.New("closed")
	errConnectionReset  = errors.New("reset")
	errMalformedAnswer  = errors.New("answer that can't be read")
)

const answerWords = 4 // tag, status, fields, body

// clientAnswer is a director's answer.
type clientAnswer struct {
	status     string
	retryAfter time.Duration // the time to stay away; 0 where it tells none
	body       string
}

// requestParameters are what a request's message says, but for its object.
type requestParameters struct {
	tag           int
	transactionID string // 16 hexadecimal digits, new with every attempt
	timeout       time.Duration
	isRetry       bool
	key           string // empty where the content type needs none
}

// requestMessage returns the message that requests an object.
func requestMessage(o Object, p requestParameters) []byte {
	fields := fmt.Sprintf("txn=%s,limit=%d,item=%s,n=0,shard=%d", p.transactionID, max(1, p.timeout.Milliseconds()), o.ID, o.Group)
	if p.isRetry {
		fields += ",second=1"
	}
	if p.key != "" {
		fields += ",unique=" + p.key
	}
	return messageOf("ASK", strconv.Itoa(p.tag), o.Type.Name, fields)
}

// cancelMessage returns the message that says that the client no longer waits for a tag's answer.
func cancelMessage(tag int) []byte { return messageOf("NEVERMIND", strconv.Itoa(tag)) }

func messageOf(words ...string) []byte {
	message := redcon.AppendArray(nil, len(words))
	for _, word := range words {
		message = redcon.AppendBulkString(message, word)
	}
	return message
}

// answerReader reads a director's answers. One goroutine uses it.
type answerReader struct {
	conn   net.Conn
	unread []byte // input that is not parsed yet
	buffer [4096]byte
}

// next waits for the next answer, until the connection's read deadline at the most; errAnswerOwed then.
func (r *answerReader) next() (tag int, answer clientAnswer, err error) {
	for {
		complete, words, _, rest, err := redcon.ReadNextCommand(r.unread, nil)
		if err != nil {
			return 0, clientAnswer{}, err
		}
		if complete {
			return r.take(words, rest)
		}
		if err := r.readMore(); err != nil {
			return 0, clientAnswer{}, err
		}
	}
}

// take reads a complete answer, and keeps what follows it.
func (r *answerReader) take(words [][]byte, rest []byte) (tag int, answer clientAnswer, err error) {
	if len(words) != answerWords {
		return 0, answer, errMalformedAnswer
	}
	tag, _ = strconv.Atoi(string(words[0])) // what is no number is the answer to no tag
	answer = parseAnswer(string(words[1]), string(words[2]), string(words[3]))
	r.unread = append([]byte(nil), rest...)
	return tag, answer, nil
}

// readMore reads once from the connection.
func (r *answerReader) readMore() error {
	n, err := r.conn.Read(r.buffer[:])
	if n > 0 {
		r.unread = append(r.unread, r.buffer[:n]...)
		return nil
	}
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return errAnswerOwed
	case errors.Is(err, io.EOF):
		return errConnectionClosed
	case err != nil:
		return errConnectionReset
	}
	return nil
}

// readAnswer waits for the answer to a tag. Answers to other tags are counted as duplicates.
func (c *Client) readAnswer(tag int, atMost time.Duration) (clientAnswer, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(atMost)); err != nil {
		return clientAnswer{}, errConnectionClosed
	}
	for {
		answered, answer, err := c.answers.next()
		if err != nil || answered == tag {
			return answer, err
		}
		c.Cluster.Clients.WithLock(func(s *ClientStats) { s.Duplicates++ })
	}
}

// parseAnswer reads an answer's words. The field "later" is the time to stay away, in milliseconds.
func parseAnswer(status, fields, body string) clientAnswer {
	answer := clientAnswer{status: status, body: body}
	if text, ok := strings.CutPrefix(fields, "later="); ok {
		ms, _ := strconv.Atoi(text) // what is no number tells no time
		answer.retryAfter = time.Duration(ms) * time.Millisecond
	}
	return answer
}

// parseBody reads what a node's body tells: the object's id, and when the origin gave the copy out, in milliseconds of Unix time.
func parseBody(body string) (id string, born int64, ok bool) {
	id, rest, _ := strings.Cut(body, "/0 born ")
	_, err := fmt.Sscan(rest, &born)
	return id, born, err == nil
}
