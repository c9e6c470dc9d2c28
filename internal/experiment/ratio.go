package experiment

import "math"

// ratio returns part/total, rounded to four decimals, or 0 if total is 0.
func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return math.Round(part/total*10000) / 10000
}
