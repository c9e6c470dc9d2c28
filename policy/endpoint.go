package policy

// EndpointState is the state of an endpoint according to the endpoint list.
type EndpointState int

const (
	// Ready endpoints accept requests.
	Ready EndpointState = iota
	// Draining endpoints finish their open requests and must not be sent new ones.
	Draining
	// Removed endpoints no longer exist.
	Removed
)

// Endpoint is an entry of the endpoint list: an edge cache, a parent cache or the origin.
type Endpoint struct {
	ID      string        // the same at every router
	Zone    int           // zone of the endpoint
	Kind    int           // machine kind; Settings define the kinds of parents and of the origin
	Cell    int           // cell within the zone, for DedupScopeCell
	State   EndpointState // state according to the endpoint list
	Weight  float64       // relative size, if Settings.WeightsAreSizes
	Started Micros        // latest start on the router's clock; 0 if long ago
}
