package downstream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"tallyproxy/internal/bufpool"
	"tallyproxy/policy"
)

// The protocol's words.
const (
	wordFulfilled = "200"
	wordThrottled = "503"
	wordAbandoned = "500"
	wordServing   = "serving"
	wordStopping  = "not_serving"
)

const (
	mostWords   = 5
	longestWord = 512
	largestBody = 48_000 // of a client's write, the fifth word
	mostParts   = 1 << 16
	mostGroups  = 256
)

// Request is a download that a client asks for.
type Request struct {
	Type           *policy.ContentType
	TypeName       string // its name
	TransactionID  string
	IdempotencyKey string // of a deduped download
	Object         string
	Part           int
	Group          int
	IfNoneMatch    string // the tag of the client's copy
	IsRetry        bool
	Timeout        time.Duration
	Body           *bufpool.Body
	ArrivedAt      time.Time
	ClientHash     uint64 // its address, as a hash
	ClientSuspect  bool   // what it asked for of late was of use to no node
	bytes          []byte // the body, as it lies in the parser's buffer
	malformed      error
}

// message is one of a client's; verb is empty where it is none of the protocol's.
type message struct {
	verb string
	tag  uint64
	ask  Request
}

// parser cuts what a client sends into messages. It is fed bytes and knows no socket.
type parser struct {
	pool  *bufpool.Pool
	small [1 << 10]byte
	buf   []byte // small, or one of the pool's while a message does not fit there
	from  int    // what lies before is done with
	to    int
	args  [][]byte
}

// space is where the next bytes go; the messages of before are void from here on.
func (p *parser) space() []byte {
	rest := p.buf[p.from:p.to]
	switch {
	case len(rest) == 0:
		p.close()
		p.buf = p.small[:]
	case len(rest) == len(p.small) && len(p.buf) == len(p.small):
		p.buf = p.pool.Get()
	}
	p.from, p.to = 0, copy(p.buf, rest)
	return p.buf[p.to:]
}

// fed says that so many bytes were put there.
func (p *parser) fed(n int) { p.to += n }

// begun says whether a message has come in part.
func (p *parser) begun() bool { return p.from < p.to }

// close gives the buffer back.
func (p *parser) close() {
	if len(p.buf) == bufpool.BufferSize {
		p.pool.Put(p.buf)
	}
	p.buf, p.from, p.to = nil, 0, 0
}

// next is the next message, where there is a whole one. After an error nothing more can be read; the message has the
// tag then, if that had come.
func (p *parser) next() (msg message, ok bool, err error) {
	defer func() {
		if bad := recover(); bad != nil { // the library trusts what it reads
			err = fmt.Errorf("a frame that can't be cut: %v", bad)
		}
	}()
	data := p.buf[p.from:p.to]
	whole, tag, err := check(data)
	if err != nil || !whole {
		return message{tag: tag}, false, err
	}
	complete, args, _, rest, err := redcon.ReadNextCommand(data, p.args)
	if err != nil || !complete {
		return message{tag: tag}, false, fmt.Errorf("a frame that can't be cut: %w", err)
	}
	p.args, p.from = args, p.to-len(rest)
	msg, err = parse(args)
	return msg, err == nil, err
}

// check walks along a frame as far as it has come, so that lengths that can't be are found before what they announce.
func check(data []byte) (whole bool, tag uint64, err error) {
	words, data, whole, err := number(data, '*', mostWords)
	if err != nil || !whole {
		return false, 0, err
	}
	for i := range words {
		most, n := longestWord, 0
		if i == mostWords-1 {
			most = largestBody
		}
		if n, data, whole, err = number(data, '$', most); err != nil || !whole || len(data) < n+2 {
			return false, tag, err
		}
		if data[n] != '\r' || data[n+1] != '\n' {
			return false, tag, errors.New("a word that does not end where it said")
		}
		if i == 1 {
			tag, _ = strconv.ParseUint(string(data[:n]), 10, 64)
		}
		data = data[n+2:]
	}
	return true, tag, nil
}

// number reads a line that is a mark and a number up to most.
func number(data []byte, mark byte, most int) (n int, rest []byte, whole bool, err error) {
	for i, b := range data {
		switch {
		case i == 0 && b == mark:
		case i > 0 && b >= '0' && b <= '9' && n*10+int(b-'0') <= most && i <= 8:
			n = n*10 + int(b-'0')
		case i > 1 && b == '\r':
			if len(data) == i+1 {
				return 0, nil, false, nil
			}
			if data[i+1] == '\n' {
				return n, data[i+2:], true, nil
			}
			fallthrough
		default:
			return 0, nil, false, fmt.Errorf("no %c and a number up to %d: %.12q", mark, most, data)
		}
	}
	return 0, nil, false, nil
}

// parse reads a message's words; its error is for one that can't be answered.
func parse(args [][]byte) (message, error) {
	if len(args) < 2 {
		return message{}, errors.New("a message without a tag")
	}
	tag, err := strconv.ParseUint(string(args[1]), 10, 64)
	if err != nil || tag == 0 {
		return message{}, fmt.Errorf("a tag that is no number from 1 up: %.20q", args[1])
	}
	msg := message{tag: tag}
	switch verb := string(args[0]); {
	case verb == "ASK":
		msg.verb, msg.ask = verb, parseAsk(args[2:])
	case verb == "NEVERMIND" && len(args) == 2, verb == "STATUS" && len(args) <= 3:
		msg.verb = verb
	}
	return msg, nil
}

// parseAsk reads the words of a download; what one word can tell of itself is checked.
func parseAsk(args [][]byte) (a Request) {
	if len(args) < 2 || len(args) > 3 {
		a.malformed = fmt.Errorf("%d words", len(args))
		return a
	}
	a.TypeName = string(args[0])
	if len(args) == 3 {
		a.bytes = args[2]
	}
	seen := map[string]bool{}
	for field := range strings.SplitSeq(string(args[1]), ",") {
		name, value, _ := strings.Cut(field, "=")
		ok := !seen[name]
		switch seen[name] = true; name {
		case "txn":
			a.TransactionID, ok = value, ok && hex(value, 16)
		case "limit":
			var ms int
			ms, ok = whole(value, ok, 1, 1<<30)
			a.Timeout = time.Duration(ms) * time.Millisecond
		case "second":
			a.IsRetry, ok = true, ok && value == "1"
		case "unique":
			a.IdempotencyKey, ok = value, ok && hex(value, 32)
		case "item":
			a.Object, ok = value, ok && hex(value, 16)
		case "n":
			a.Part, ok = whole(value, ok, 0, mostParts-1)
		case "shard":
			a.Group, ok = whole(value, ok, 0, mostGroups-1)
		case "mine":
			a.IfNoneMatch, ok = value, ok && hex(value, 16)
		default:
			ok = false
		}
		if !ok {
			a.malformed = fmt.Errorf("%.20s: %.20q can't be used here", name, value)
			return a
		}
	}
	for _, name := range []string{"txn", "limit", "item", "n", "shard"} {
		if !seen[name] {
			a.malformed = fmt.Errorf("%s: missing", name)
		}
	}
	return a
}

// admit checks a download against the settings and gives it its content type.
func (a *Request) admit(types map[string]*policy.ContentType) error {
	t := types[a.TypeName]
	switch {
	case a.malformed != nil:
		return a.malformed
	case t == nil:
		return errors.New("an unknown content type")
	case policy.Micros(a.Timeout/time.Microsecond) > t.Timeout:
		return errors.New("limit: over the content type's")
	case a.Part > 0 && t.Unsplit:
		return errors.New("n: the content type has no parts")
	case (t.RetrySafety == policy.IdempotentWithKey) != (a.IdempotencyKey != ""):
		return errors.New("unique: missing, or not for the content type")
	}
	a.Type = t
	return nil
}

// whole reads a number in its bounds, written as numbers are.
func whole(value string, ok bool, least, most int) (int, bool) {
	n, err := strconv.Atoi(value)
	return n, ok && err == nil && n >= least && n <= most && strconv.Itoa(n) == value
}

// hex says whether a value is so many hex digits.
func hex(s string, digits int) bool {
	return len(s) == digits && strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// appendHead writes an answer up to its body's bytes.
func appendHead(to []byte, tag uint64, word, fields string, body int) []byte {
	to = redcon.AppendArray(to, 4)
	to = redcon.AppendBulkString(to, strconv.FormatUint(tag, 10))
	to = redcon.AppendBulkString(to, word)
	to = redcon.AppendBulkString(to, fields)
	to = append(to, '$')
	to = strconv.AppendInt(to, int64(body), 10)
	return append(to, '\r', '\n')
}
