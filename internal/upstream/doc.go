// Package upstream sends requests to cache nodes, parents and the origin over connections that requests share.
//
// A Pool holds the connections to all Endpoints and limits their number. An Endpoint is one process of a node; Send queues an
// Attempt on one of its connections. Each connection has a goroutine that reads and one that writes, and several attempts may be
// open on it at once: the node answers them by id, in any order.
//
// Locks: an endpoint's lock guards its connections and the attempts on them. The pool's lock guards its set of endpoints and may be
// held when an endpoint's lock is taken, never the other way round.
package upstream
