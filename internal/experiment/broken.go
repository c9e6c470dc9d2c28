package experiment

import "fmt"

// namedCount is the JSON key of a rule and how often the rule was broken.
type namedCount struct {
	name  string
	count int
}

// countsAboveZero returns the name and count of each rule that was broken.
func countsAboveZero(counts []namedCount) (broken []string) {
	for _, c := range counts {
		if c.count > 0 {
			broken = append(broken, fmt.Sprintf("%s %d", c.name, c.count))
		}
	}
	return broken
}
