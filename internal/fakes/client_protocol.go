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
)

// clientAnswer is a director's answer.
type clientAnswer struct {
	status     string
	retryAfter time.Duration // the time to stay away; 0 where it tells none
	body       string
}

// requestMessage is the message of the attempt with the present tag.
func (c *Client) requestMessage(o Object, timeout time.Duration, isRetry bool, key string) []byte {
	fields := fmt.Sprintf("txn=%016x,limit=%d,item=%s,n=0,shard=%d", c.Rand.Uint64(), max(1, timeout.Milliseconds()), o.ID, o.Group)
	if isRetry && !c.UnmarkedRetries {
		fields += ",second=1"
	}
	if key != "" {
		fields += ",unique=" + key
	}
	message := redcon.AppendArray(nil, 4)
	for _, word := range []string{"ASK", strconv.Itoa(c.tag), o.Type.Name, fields} {
		message = redcon.AppendBulkString(message, word)
	}
	return message
}

// readAnswer waits for the answer to a tag. Answers to other tags are counted as duplicates.
func (c *Client) readAnswer(tag int, atMost time.Duration) (clientAnswer, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(atMost)); err != nil {
		return clientAnswer{}, errConnectionClosed
	}
	for {
		complete, words, _, rest, err := redcon.ReadNextCommand(c.unread, nil)
		if err != nil {
			return clientAnswer{}, err
		}
		if !complete {
			if err := c.readMore(); err != nil {
				return clientAnswer{}, err
			}
			continue
		}
		answered, _ := strconv.Atoi(string(words[0])) // what is no number is the answer to no tag
		answer := parseAnswer(string(words[1]), string(words[2]), string(words[3]))
		c.unread = append([]byte(nil), rest...)
		if answered == tag {
			return answer, nil
		}
		c.Cluster.Clients.WithLock(func(s *ClientStats) { s.Duplicates++ })
	}
}

// readMore reads once from the connection.
func (c *Client) readMore() error {
	n, err := c.conn.Read(c.buffer[:])
	if n > 0 {
		c.unread = append(c.unread, c.buffer[:n]...)
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
