// Package upstream sends requests to cache nodes, parents and the origin over multiplexed
// connections.
//
// A Pool holds the connections to all Endpoints and limits their number. An Endpoint is one process
// of a node; Send queues an Attempt on one of its connections. Each connection has a reader and a
// writer goroutine and carries several attempts at once. The node identifies each response by the
// request ID and may respond in any order.
//
// Locks: an endpoint's lock guards its connections and the attempts on them. The pool's lock guards
// the set of endpoints. A goroutine that holds the pool's lock may take an endpoint's lock, never
// the other way round.
package upstream
