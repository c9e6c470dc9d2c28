package overload

// Mode selects the retry-after time that rejected clients are given.
type Mode int

const (
	// ModeFixed always gives the default time and never detects a storm.
	ModeFixed Mode = iota
	// ModeSilent gives no time and never detects a storm.
	ModeSilent
	// ModeReserve gives reserved slots during a storm and the default time otherwise.
	ModeReserve
)

// Settings holds the operator's settings of overload control.
type Settings struct {
	Mode            Mode    // retry-after time that rejected clients are given
	Horizon         float64 // how far ahead to reserve, as a share of the longest retry-after time
	Windows         int     // number of windows in the horizon
	DemandThreshold float64 // ratio of demand to capacity above which a storm may begin
	ConnectionSurge float64 // ratio of new to usual connections that is a sign of a storm
	RetryShare      float64 // share of retries among requests that is a sign of a storm
	ColdThreshold   float64 // share of warm capacity below which cold caches signal a storm
	ReservableShare float64 // share of the capacity left by first attempts that may be reserved
	MaxReservations int     // maximum number of stored reservations
}

// DefaultSettings returns the settings that apply if the operator's file has none.
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
