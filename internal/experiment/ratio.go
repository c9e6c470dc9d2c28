package experiment

import "math"

// ratio is part/whole, rounded to four decimals; 0 where the whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return math.Round(part/whole*10000) / 10000
}
