package experiment

import "fmt"

// namedCount is a rule by its JSON key, and how often it was broken.
type namedCount struct {
	name  string
	count int
}

// countsAboveZero are the names and counts of rules that were broken.
func countsAboveZero(counts []namedCount) (broken []string) {
	for _, c := range counts {
		if c.count > 0 {
			broken = append(broken, fmt.Sprintf("%s %d", c.name, c.count))
		}
	}
	return broken
}
