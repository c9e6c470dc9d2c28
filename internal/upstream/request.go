package upstream

import (
	"fmt"
	"time"

	"tallyproxy/internal/bufpool"
)

// maxRequestHead is the most bytes of a request apart from its body. The downstream package bounds the values.
const maxRequestHead = 1024

// Request is a request to a node. It must not change once it is sent.
type Request struct {
	ID             string        // unique among the requests that are open on a connection
	ContentType    string        // the name of the content type
	Object         string        // the name of the object
	Part           int           // of the object; the node keeps and fills each part on its own
	Timeout        time.Duration // how long the node may take; it is sent as at least a millisecond
	IdempotencyKey string        // the same for all attempts of a request that is idempotent by its key; empty for others
	SourceID       string        // the node that a cache miss is filled from; empty for no fill
	CacheRank      int           // the rank of the copy that the node keeps; 0 to keep none
	MaxAge         time.Duration // no copy older than this serves; 0 for the time that the content type sets
	Coalesce       bool          // a miss joins a fill that is under way
	OnlyIfCached   bool          // the fill takes what its source has cached, and nothing from further on
	Revalidate     bool          // an ageing copy serves, and the node renews it afterwards
	ClientTag      string        // the version tag of the client's copy; empty where it has none
	Body           *bufpool.Body // the sender's, who may free it once the attempt has ended or was cancelled

	Source     *Endpoint   // the endpoint of SourceID, which must not be draining when the request is written; nil where not known
	Superseded func() bool // reports whether the request must not be written any more; nil for never. Safe for concurrent use
}

// appendRequest appends a request as it is written.
func appendRequest(to []byte, r *Request) []byte {
	to = fmt.Appendf(to, "want %s sort=%s,asset=%s,slice=%d,patience=%d", r.ID, r.ContentType, r.Object, r.Part, atLeastOneMillisecond(r.Timeout))
	to = appendField(to, ",op=", r.IdempotencyKey)
	to = appendField(to, ",from=", r.SourceID)
	if r.CacheRank > 0 {
		to = fmt.Appendf(to, ",rank=%d", r.CacheRank)
	}
	if r.MaxAge > 0 {
		to = fmt.Appendf(to, ",oldest=%d", atLeastOneMillisecond(r.MaxAge))
	}
	to = appendModes(to, r)
	to = appendField(to, ",seen=", r.ClientTag)
	to = fmt.Appendf(to, " %d\r\n", r.Body.Len())
	for _, part := range r.Body.Parts() {
		to = append(to, part...)
	}
	return append(to, "\r\n"...)
}

// appendModes appends the modes that are set. It runs for each request under the endpoint's lock, so it makes no slice of them.
func appendModes(to []byte, r *Request) []byte {
	separator := ",mode="
	for _, mode := range [...]struct {
		name string
		set  bool
	}{{"join", r.Coalesce}, {"held", r.OnlyIfCached}, {"renew", r.Revalidate}} {
		if mode.set {
			to = append(to, separator...)
			to = append(to, mode.name...)
			separator = "+"
		}
	}
	return to
}

// appendField appends a field's name and value, unless the value is empty.
func appendField(to []byte, name, value string) []byte {
	if value == "" {
		return to
	}
	return append(append(to, name...), value...)
}

// atLeastOneMillisecond returns a duration in whole milliseconds, of which the protocol wants one at least.
func atLeastOneMillisecond(d time.Duration) int64 { return max(1, d.Milliseconds()) }

// appendCancel appends the cancelling of the request with an id.
func appendCancel(to []byte, id string) []byte { return fmt.Appendf(to, "never_mind %s\r\n", id) }

// appendProbe appends a probe. The node answers it under the same id, after it has read what was written before.
func appendProbe(to []byte, id string) []byte { return fmt.Appendf(to, "there %s\r\n", id) }
