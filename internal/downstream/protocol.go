package downstream

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/redcon"
)

// Commands of the platform's protocol. A message is an array of RESP, the Redis serialization protocol: the command, the tag by which its
// response names it, and the command's own elements.
const (
	commandRequest = "ASK"       // then the content type's name, the fields and, for a write, the body
	commandCancel  = "NEVERMIND" // takes a request back; it has no response
	commandStatus  = "STATUS"    // asks whether the director is serving; an element that follows means nothing
)

// Statuses of responses. A response is an array of the tag, the status, the fields and the body.
const (
	statusSucceeded  = "200"
	statusRejected   = "503"
	statusFailed     = "500"
	statusServing    = "serving"
	statusNotServing = "not_serving"
)

// Fields of responses.
const (
	fieldRetryAfter = "later" // milliseconds
	fieldUnchanged  = "still" // 1: the copy that the client holds is valid
)

// Bounds of a message.
const (
	maxElements     = 5
	maxElementBytes = 512
	maxBodyBytes    = 48_000 // of the element at bodyIndex

	tagIndex  = 1
	bodyIndex = maxElements - 1
)

// message is one that a client sent. Its command is empty where the protocol has none of that form.
type message struct {
	command string
	tag     uint64
	request Request // for commandRequest
}

// parseMessage reads a message's elements. Its error is for a message without a usable tag, which can't be answered.
func parseMessage(elements [][]byte) (message, error) {
	if len(elements) <= tagIndex {
		return message{}, errors.New("a message without a tag")
	}
	tag, err := strconv.ParseUint(string(elements[tagIndex]), 10, 64)
	if err != nil || tag == 0 {
		return message{}, fmt.Errorf("a tag that is no number from 1 up: %.20q", elements[tagIndex])
	}
	msg := message{tag: tag}
	switch command := string(elements[0]); {
	case command == commandRequest:
		msg.command, msg.request = command, parseRequest(elements[2:])
	case command == commandCancel && len(elements) == 2, command == commandStatus && len(elements) <= 3:
		msg.command = command
	}
	return msg, nil
}

// appendResponseHeader appends a response up to the first byte of its body, which has bodyBytes and is followed by a line end.
func appendResponseHeader(to []byte, tag uint64, status, fields string, bodyBytes int) []byte {
	to = redcon.AppendArray(to, 4)
	to = redcon.AppendBulkString(to, strconv.FormatUint(tag, 10))
	to = redcon.AppendBulkString(to, status)
	to = redcon.AppendBulkString(to, fields)
	to = append(to, '$')
	to = strconv.AppendInt(to, int64(bodyBytes), 10)
	return append(to, '\r', '\n')
}
