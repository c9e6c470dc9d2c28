package upstream

import (
	"fmt"
	"time"

	"tallyproxy/internal/bufpool"
)

// maxRequestHead is the maximum size of an encoded request without its body, in bytes. The
// downstream package limits the length of the values.
const maxRequestHead = 1024

// Request is a request to a node. It must not be modified after Send.
type Request struct {
	ID             string        // unique among the requests that are open on a connection
	ContentType    string        // name of the content type
	Object         string        // name of the object
	Part           int           // part of the object; the node caches each part separately
	Timeout        time.Duration // time allowed for the node; at least 1 ms is sent
	IdempotencyKey string        // same for all attempts of an idempotent request, or empty
	SourceID       string        // node that a cache miss is filled from; empty for no fill
	CacheRank      int           // rank of the copy that the node caches; 0 to cache none
	MaxAge         time.Duration // maximum age of the copy; 0 for the default of the content type
	Coalesce       bool          // a miss joins a fill that is in progress
	OnlyIfCached   bool          // the fill uses only what its source has cached
	Revalidate     bool          // the node may serve an ageing copy and renew it afterwards
	ClientTag      string        // version tag of the client's copy; empty if it has none
	Body           *bufpool.Body // owned by the sender, which may free it after the end or Cancel

	// Source is the endpoint of SourceID; nil if it is not known. The request is withdrawn if
	// Source is draining when the request is to be written.
	Source *Endpoint
	// Superseded reports whether the request must no longer be written; nil for never. It must be
	// safe for concurrent use.
	Superseded func() bool
}

// appendRequest appends the encoding of a request.
func appendRequest(dst []byte, r *Request) []byte {
	dst = fmt.Appendf(dst, "want %s sort=%s,asset=%s,slice=%d,patience=%d", r.ID, r.ContentType, r.Object, r.Part, atLeastOneMillisecond(r.Timeout))
	dst = appendField(dst, ",op=", r.IdempotencyKey)
	dst = appendField(dst, ",from=", r.SourceID)
	if r.CacheRank > 0 {
		dst = fmt.Appendf(dst, ",rank=%d", r.CacheRank)
	}
	if r.MaxAge > 0 {
		dst = fmt.Appendf(dst, ",oldest=%d", atLeastOneMillisecond(r.MaxAge))
	}
	dst = appendModes(dst, r)
	dst = appendField(dst, ",seen=", r.ClientTag)
	dst = fmt.Appendf(dst, " %d\r\n", r.Body.Len())
	for _, part := range r.Body.Parts() {
		dst = append(dst, part...)
	}
	return append(dst, "\r\n"...)
}

// appendModes appends the names of the modes that are set. It runs for each request with the
// endpoint's lock held, so it allocates no slice for them.
func appendModes(dst []byte, r *Request) []byte {
	separator := ",mode="
	for _, mode := range [...]struct {
		name string
		set  bool
	}{{"join", r.Coalesce}, {"held", r.OnlyIfCached}, {"renew", r.Revalidate}} {
		if mode.set {
			dst = append(dst, separator...)
			dst = append(dst, mode.name...)
			separator = "+"
		}
	}
	return dst
}

// appendField appends a field's name and value, unless the value is empty.
func appendField(dst []byte, name, value string) []byte {
	if value == "" {
		return dst
	}
	return append(append(dst, name...), value...)
}

// atLeastOneMillisecond returns a duration in whole milliseconds, but at least 1, the minimum of
// the protocol.
func atLeastOneMillisecond(d time.Duration) int64 { return max(1, d.Milliseconds()) }

// appendCancel appends a cancel message for the request with the given ID.
func appendCancel(dst []byte, id string) []byte { return fmt.Appendf(dst, "never_mind %s\r\n", id) }

// appendProbe appends a probe. The node answers it with the same ID, after it has read everything
// that was written before it.
func appendProbe(dst []byte, id string) []byte { return fmt.Appendf(dst, "there %s\r\n", id) }
