package experiment

import "math"

// ratio is part/total, rounded to four decimals; 0 where the total is 0.
func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return math.Round(part/total*10000) / 10000
}
