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

// Errors of a connection that ended before an answer.
var (
	errConnectionClosed = errors.New("closed")
	errConnectionReset  = errors.New("reset")
	errMalformedAnswer  = errors.New("answer that can't be read")
)

const answerParts = 4 // tag, status, fields, body

// clientAnswer is an answer of a director to a client.
type clientAnswer struct {
	status     string
	retryAfter time.Duration // retry-after time; 0 if none is given
	body       string
}

// requestParameters holds the parameters of a request message, apart from its object.
type requestParameters struct {
	tag           int
	transactionID string // 16 hexadecimal digits, new for every attempt
	timeout       time.Duration
	isRetry       bool
	key           string // idempotency key; empty if the content type needs none
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
	return encodeMessage("ASK", strconv.Itoa(p.tag), o.Type.Name, fields)
}

// cancelMessage returns the message by which a client cancels the request with the given tag.
func cancelMessage(tag int) []byte { return encodeMessage("NEVERMIND", strconv.Itoa(tag)) }

func encodeMessage(parts ...string) []byte {
	message := redcon.AppendArray(nil, len(parts))
	for _, part := range parts {
		message = redcon.AppendBulkString(message, part)
	}
	return message
}

// answerReader reads answers of a director. It must be used by one goroutine only.
type answerReader struct {
	conn   net.Conn
	unread []byte // input not parsed yet
	buffer [4096]byte
}

// next waits for the next answer. It returns errNoAnswer when the read deadline of the connection
// expires.
func (r *answerReader) next() (tag int, answer clientAnswer, err error) {
	for {
		complete, parts, _, rest, err := redcon.ReadNextCommand(r.unread, nil)
		if err != nil {
			return 0, clientAnswer{}, err
		}
		if complete {
			return r.consume(parts, rest)
		}
		if err := r.readMore(); err != nil {
			return 0, clientAnswer{}, err
		}
	}
}

// consume decodes a complete answer and keeps the input that follows it.
func (r *answerReader) consume(parts [][]byte, rest []byte) (tag int, answer clientAnswer, err error) {
	if len(parts) != answerParts {
		return 0, answer, errMalformedAnswer
	}
	tag, _ = strconv.Atoi(string(parts[0])) // an invalid tag reads as 0, which no request has
	answer = parseAnswer(string(parts[1]), string(parts[2]), string(parts[3]))
	r.unread = append([]byte(nil), rest...)
	return tag, answer, nil
}

// readMore reads once from the connection and maps its errors to those of this package.
func (r *answerReader) readMore() error {
	n, err := r.conn.Read(r.buffer[:])
	if n > 0 {
		r.unread = append(r.unread, r.buffer[:n]...)
		return nil
	}
	var netErr net.Error
	switch {
	case errors.As(err, &netErr) && netErr.Timeout():
		return errNoAnswer
	case errors.Is(err, io.EOF):
		return errConnectionClosed
	case err != nil:
		return errConnectionReset
	}
	return nil
}

// readAnswer waits for the answer with the given tag. Answers with other tags are counted as
// duplicates.
func (c *Client) readAnswer(tag int, timeout time.Duration) (clientAnswer, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
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

// parseAnswer decodes the parts of an answer. The field "later" is the retry-after time in
// milliseconds.
func parseAnswer(status, fields, body string) clientAnswer {
	answer := clientAnswer{status: status, body: body}
	if text, ok := strings.CutPrefix(fields, "later="); ok {
		ms, _ := strconv.Atoi(text) // an invalid number means no retry-after time
		answer.retryAfter = time.Duration(ms) * time.Millisecond
	}
	return answer
}

// parseBody parses the body of a node's answer: the object's ID, and when the origin issued the
// copy, in milliseconds of Unix time.
func parseBody(body string) (id string, born int64, ok bool) {
	id, rest, _ := strings.Cut(body, "/0 born ")
	_, err := fmt.Sscan(rest, &born)
	return id, born, err == nil
}
