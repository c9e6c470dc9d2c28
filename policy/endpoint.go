package policy

// EndpointState is what the endpoint list says of an endpoint.
type EndpointState int

const (
	// Ready endpoints take requests.
	Ready EndpointState = iota
	// Draining endpoints finish what they have and must not be sent more.
	Draining
	// Removed endpoints are gone.
	Removed
)

// Endpoint is an entry of the endpoint list: an edge cache, a parent cache or the origin.
type Endpoint struct {
	ID      string        // the same at every router
	Zone    int           // zone that it stands in
	Kind    int           // machine kind; Settings name those of parents and of the origin
	Cell    int           // cell of its zone, for DedupScopeCell
	State   EndpointState // what the list says of it
	Weight  float64       // its size, where Settings.WeightsAreSizes
	Started Micros        // its latest start on the router's clock; 0 for long ago
}
