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

// Fields of a request, sent as NAME=VALUE and separated by commas.
const (
	fieldTransactionID  = "txn"
	fieldTimeout        = "limit"  // in milliseconds
	fieldIsRetry        = "second" // always 1
	fieldIdempotencyKey = "unique"
	fieldObject         = "item"
	fieldPart           = "n"
	fieldGroup          = "shard"
	fieldIfNoneMatch    = "mine"
)

// requiredFields are the fields that every request must have.
var requiredFields = []string{fieldTransactionID, fieldTimeout, fieldObject, fieldPart, fieldGroup}

// Limits of a request's fields.
const (
	idDigits   = 16 // hexadecimal, of transaction, object and copy IDs
	keyDigits  = 32 // hexadecimal, of idempotency keys
	maxTimeout = 1 << 30
	maxParts   = 1 << 16
	maxGroups  = 256
)

// Request is a request from a client.
type Request struct {
	Type           *policy.ContentType // the settings of TypeName
	TypeName       string              // as sent by the client
	TransactionID  string              // 16 hexadecimal digits, unique among open requests
	IdempotencyKey string              // 32 hexadecimal digits, for types with IdempotentWithKey
	Object         string              // 16 hexadecimal digits
	Part           int                 // index within the object, from 0
	Group          int                 // group of the object, from 0; the protocol's shard
	IfNoneMatch    string              // tag of the copy that the client holds; empty for none
	IsRetry        bool                // the client has sent this request before
	Timeout        time.Duration       // how long the client waits after sending the request
	Body           *bufpool.Body       // body of a write; freed by the owner of the request
	ArrivedAt      time.Time           // when the request was read
	ClientHash     uint64              // hash of the client's address without its port
	ClientConn     uint64              // number of the client's connection, from 1
	ClientSuspect  bool                // see Conn.MarkSuspect

	rawBody  []byte // body in the parser's buffer, until it is copied to Body
	parseErr error  // the first invalid field, or the last missing one
}

// parseRequest parses the elements that follow the tag. Any error is stored in parseErr, which
// validate returns.
func parseRequest(elements [][]byte) (request Request) {
	if len(elements) < 2 || len(elements) > 3 {
		request.parseErr = fmt.Errorf("request has %d elements after the tag, want 2 or 3", len(elements))
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
			request.parseErr = fmt.Errorf("%.20s: unknown or repeated field, or invalid value %.20q", name, value)
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

// setField sets a field and reports whether its name is known and its value is valid.
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

// validate checks the request against the content types, which are keyed by name, and sets its
// Type.
func (r *Request) validate(contentTypes map[string]*policy.ContentType) error {
	contentType := contentTypes[r.TypeName]
	switch {
	case r.parseErr != nil:
		return r.parseErr
	case contentType == nil:
		return errors.New("unknown content type")
	case policy.Micros(r.Timeout/time.Microsecond) > contentType.Timeout:
		return errors.New("limit: exceeds the timeout of the content type")
	case r.Part > 0 && contentType.Unsplit:
		return errors.New("n: the content type has no parts")
	case (contentType.RetrySafety == policy.IdempotentWithKey) != (r.IdempotencyKey != ""):
		return errors.New("unique: missing, or not allowed for the content type")
	}
	r.Type = contentType
	return nil
}

// parseBounded parses a decimal number without a sign or leading zeros and reports whether it is
// valid and in the range from minimum to maximum.
func parseBounded(value string, minimum, maximum int) (n int, ok bool) {
	n, err := strconv.Atoi(value)
	return n, err == nil && n >= minimum && n <= maximum && strconv.Itoa(n) == value
}

// isHex reports whether value consists of the given number of hexadecimal digits.
func isHex(value string, digits int) bool {
	return len(value) == digits && strings.Trim(value, "0123456789abcdefABCDEF") == ""
}
