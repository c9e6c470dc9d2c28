package downstream

import (
	"errors"
	"fmt"
	"strconv"

	"github.com/tidwall/redcon"
)

// Commands of the platform's protocol. A message is an array in RESP, the Redis serialization
// protocol: the command, the tag that identifies its response, and the command's own elements.
const (
	// followed by the content type's name, the fields and, for a write, the body
	commandRequest = "ASK"
	commandCancel  = "NEVERMIND" // cancels a request; it has no response
	commandStatus  = "STATUS"    // asks whether the director serves; an extra element is ignored
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
	fieldRetryAfter = "later" // in milliseconds
	fieldUnchanged  = "still" // 1 if the copy that the client holds is still valid
)

// Limits of a message.
const (
	maxElements     = 5
	maxElementBytes = 512
	maxBodyBytes    = 48_000 // of the element at bodyIndex

	tagIndex  = 1
	bodyIndex = maxElements - 1
)

// message is a message from a client. The command is empty if the protocol does not define it in
// this form.
type message struct {
	command string
	tag     uint64
	request Request // set for commandRequest
}

// parseMessage parses the elements of a message. It returns an error only for a message without a
// valid tag, which cannot be answered.
func parseMessage(elements [][]byte) (message, error) {
	if len(elements) <= tagIndex {
		return message{}, errors.New("message has no tag")
	}
	tag, err := strconv.ParseUint(string(elements[tagIndex]), 10, 64)
	if err != nil || tag == 0 {
		return message{}, fmt.Errorf("tag is not a positive number: %.20q", elements[tagIndex])
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

// appendResponseHeader appends a response up to the first byte of its body. The caller must append
// the body, of bodyBytes bytes, and a line end.
func appendResponseHeader(to []byte, tag uint64, status, fields string, bodyBytes int) []byte {
	to = redcon.AppendArray(to, 4)
	to = redcon.AppendBulkString(to, strconv.FormatUint(tag, 10))
	to = redcon.AppendBulkString(to, status)
	to = redcon.AppendBulkString(to, fields)
	to = append(to, '$')
	to = strconv.AppendInt(to, int64(bodyBytes), 10)
	return append(to, '\r', '\n')
}
