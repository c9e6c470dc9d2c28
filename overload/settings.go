package overload

// Mode says which retry-after time rejected clients are given.
type Mode int

const (
	// ModeFixed gives the ordinary time whatever the load is, and never sees a storm.
	ModeFixed Mode = iota
	// ModeSilent gives no time, and never sees a storm.
	ModeSilent
	// ModeReserve gives the ordinary time in calm and reserved slots during a storm.
	ModeReserve
)

// Settings are the operator's.
type Settings struct {
	Mode            Mode    // which retry-after time rejected clients are given
	Horizon         float64 // how far ahead slots are reserved, as a share of the longest retry-after time that clients heed
	Windows         int     // number of windows that the horizon is divided into
	DemandThreshold float64 // demand over capacity above which a storm may begin
	ConnectionSurge float64 // new connections over the usual number that are a sign of a storm
	RetryShare      float64 // share of retries among the requests that is a sign of a storm
	ColdThreshold   float64 // share of their warm capacity below which caches are cold, which is a sign of a storm
	ReservableShare float64 // share of the capacity left by first attempts that may be reserved
	MaxReservations int     // reservations that are remembered at the most
}

// DefaultSettings are the settings where the operator's file names none.
func DefaultSettings() Settings {
	return Settings{
		Horizon:         1,
		Windows:         10,
		DemandThreshold: 1.25,
		ConnectionSurge: 4,
		RetryShare:      0.5,
		ColdThreshold:   0.6,
		ReservableShare: 0.9,
		MaxReservations: 4096,
	}
}
