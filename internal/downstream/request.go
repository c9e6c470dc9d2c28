package downstream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"tallyproxy/internal/bufpool"
	"tallyproxy/policy"
)

// Fields of a request, as NAME=VALUE with commas between them.
const (
	fieldTransactionID  = "txn"
	fieldTimeout        = "limit"  // milliseconds
	fieldIsRetry        = "second" // 1
	fieldIdempotencyKey = "unique"
	fieldObject         = "item"
	fieldPart           = "n"
	fieldGroup          = "shard"
	fieldIfNoneMatch    = "mine"
)

// requiredFields are those without which a request can't be used.
var requiredFields = []string{fieldTransactionID, fieldTimeout, fieldObject, fieldPart, fieldGroup}

// Bounds of a request's fields.
const (
	idDigits   = 16 // hexadecimal, of transactions, objects and copies
	keyDigits  = 32 // hexadecimal
	maxTimeout = 1 << 30
	maxParts   = 1 << 16
	maxGroups  = 256
)

// Request is what a client asks for.
type Request struct {
	Type           *policy.ContentType // of TypeName, as the settings have it
	TypeName       string              // as the client sent it
	TransactionID  string              // 16 hexadecimal digits; one request that is open at a time has it
	IdempotencyKey string              // 32 hexadecimal digits, where the type's RetrySafety is IdempotentWithKey
	Object         string              // 16 hexadecimal digits
	Part           int                 // of the object, from 0
	Group          int                 // of the object: the protocol's shard, from 0
	IfNoneMatch    string              // the tag of the copy that the client holds; empty for none
	IsRetry        bool                // the client has sent this request before
	Timeout        time.Duration       // the client waits no longer, from when it sent the request
	Body           *bufpool.Body       // what a write carries; freed by who holds the request
	ArrivedAt      time.Time           // when it was read
	ClientHash     uint64              // a hash of the client's address without its port
	ClientSuspect  bool                // see Conn.MarkSuspect

	rawBody  []byte // the body in the parser's buffer, until it is copied to Body
	parseErr error  // the first field that can't be used, or the last one that is missing
}

// parseRequest reads the elements that follow the tag. What can't be used is in parseErr, which validate returns.
func parseRequest(elements [][]byte) (request Request) {
	if len(elements) < 2 || len(elements) > 3 {
		request.parseErr = fmt.Errorf("%d words", len(elements))
		return request
	}
	request.TypeName = string(elements[0])
	if len(elements) == 3 {
		request.rawBody = elements[2]
	}
	seen := map[string]bool{}
	for field := range strings.SplitSeq(string(elements[1]), ",") {
		name, value, _ := strings.Cut(field, "=")
		if seen[name] || !request.setField(name, value) {
			request.parseErr = fmt.Errorf("%.20s: %.20q can't be used here", name, value)
			return request
		}
		seen[name] = true
	}
	for _, name := range requiredFields {
		if !seen[name] {
			request.parseErr = fmt.Errorf("%s: missing", name)
		}
	}
	return request
}

// setField takes one field over, and reports whether its name is known and its value in bounds.
func (r *Request) setField(name, value string) (ok bool) {
	switch name {
	case fieldTransactionID:
		r.TransactionID, ok = value, isHex(value, idDigits)
	case fieldTimeout:
		var milliseconds int
		milliseconds, ok = parseBounded(value, 1, maxTimeout)
		r.Timeout = time.Duration(milliseconds) * time.Millisecond
	case fieldIsRetry:
		r.IsRetry, ok = true, value == "1"
	case fieldIdempotencyKey:
		r.IdempotencyKey, ok = value, isHex(value, keyDigits)
	case fieldObject:
		r.Object, ok = value, isHex(value, idDigits)
	case fieldPart:
		r.Part, ok = parseBounded(value, 0, maxParts-1)
	case fieldGroup:
		r.Group, ok = parseBounded(value, 0, maxGroups-1)
	case fieldIfNoneMatch:
		r.IfNoneMatch, ok = value, isHex(value, idDigits)
	}
	return ok
}

// validate checks the request against the content types, which are given by name, and sets its own.
func (r *Request) validate(contentTypes map[string]*policy.ContentType) error {
	contentType := contentTypes[r.TypeName]
	switch {
	case r.parseErr != nil:
		return r.parseErr
	case contentType == nil:
		return errors.New("an unknown content type")
	case policy.Micros(r.Timeout/time.Microsecond) > contentType.Timeout:
		return errors.New("limit: over the content type's")
	case r.Part > 0 && contentType.Unsplit:
		return errors.New("n: the content type has no parts")
	case (contentType.RetrySafety == policy.IdempotentWithKey) != (r.IdempotencyKey != ""):
		return errors.New("unique: missing, or not for the content type")
	}
	r.Type = contentType
	return nil
}

// parseBounded reads a decimal number without a sign or leading zeros, and reports whether it is from minimum to maximum.
func parseBounded(value string, minimum, maximum int) (n int, ok bool) {
	n, err := strconv.Atoi(value)
	return n, err == nil && n >= minimum && n <= maximum && strconv.Itoa(n) == value
}

// isHex reports whether a value is that many hexadecimal digits.
func isHex(value string, digits int) bool {
	return len(value) == digits && strings.Trim(value, "0123456789abcdefABCDEF") == ""
}
