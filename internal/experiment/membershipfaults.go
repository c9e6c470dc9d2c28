package experiment

import (
	"slices"

	"tallyproxy/internal/faulttest"
)

const maxCacheNodes = 64 // upper bound on cache nodes that faults refer to; a cluster has fewer

// NamedSchedule returns the schedule of a kind of fault, by its name in --faults, for n directors.
// Random schedules depend on seed and number.
func NamedSchedule(kind string, seed uint64, number, n int) faulttest.Schedule {
	schedule := faulttest.Schedule{Seed: seed, Number: number, Directors: n, LengthMS: 8000}
	switch kind {
	case "drawn":
		return faulttest.RandomSchedule(seed, number, n, schedule.LengthMS)
	case "seven", "zone":
		schedule.LengthMS = 14000
	}
	schedule.Faults = namedFaults(kind, n)
	return schedule
}

// namedFaults returns the faults of a kind that is not random.
func namedFaults(kind string, n int) []faulttest.Fault {
	all, third, cacheNodes := indexes(n), indexes((n+2)/3), indexes(maxCacheNodes)
	switch kind {
	case "oneway":
		return []faulttest.Fault{{Kind: faulttest.CutLinks, AtMS: 500, ForMS: 6000, Targets: all[:n/2], Peers: all[n/2:]}}
	case "halves":
		return []faulttest.Fault{partition(n, 2), {Kind: faulttest.ColdCaches, AtMS: 4000, Targets: cacheNodes}}
	case "thirds":
		return []faulttest.Fault{partition(n, 3), {Kind: faulttest.ColdCaches, AtMS: 4000, Targets: cacheNodes}}
	case "stop":
		return []faulttest.Fault{{Kind: faulttest.Pause, AtMS: 500, ForMS: 6000, Targets: all[:1]},
			{Kind: faulttest.ColdCaches, AtMS: 1500, Targets: cacheNodes}}
	case "restart":
		return []faulttest.Fault{{Kind: faulttest.Restart, AtMS: 500, Targets: third}}
	case "seven":
		return []faulttest.Fault{{Kind: faulttest.Kill, AtMS: 500, ForMS: 13000, Targets: all[:n*7/10]},
			{Kind: faulttest.ColdCaches, AtMS: 4000, Targets: cacheNodes}}
	case "away":
		return []faulttest.Fault{{Kind: faulttest.ChannelUnreachable, AtMS: 500, ForMS: 6000}, {Kind: faulttest.Drain, AtMS: 1500, ForMS: 6500},
			{Kind: faulttest.Purge, AtMS: 2000}}
	case "zone":
		remaining := slices.DeleteFunc(cacheNodes, func(i int) bool { return i%2 == 1 })
		return []faulttest.Fault{{Kind: faulttest.ZoneLoss, AtMS: 500, ForMS: 13000, Targets: []int{1}},
			{Kind: faulttest.ColdCaches, AtMS: 4000, Targets: remaining}}
	case "flap":
		return []faulttest.Fault{{Kind: faulttest.FlappingLinks, AtMS: 500, ForMS: 6000, Targets: all[:n/2], Peers: all[n/2:]}}
	case "twin":
		return []faulttest.Fault{{Kind: faulttest.DuplicateInstance, AtMS: 500, ForMS: 6000, Targets: all[:1]}}
	case "loss":
		return []faulttest.Fault{{Kind: faulttest.LossyLinks, AtMS: 0, ForMS: 8000, Rate: 0.05}, {Kind: faulttest.BusyCores, AtMS: 0, ForMS: 8000, Rate: 8}}
	case "liar":
		return []faulttest.Fault{{Kind: faulttest.FalseHints, AtMS: 500, ForMS: 6000}}
	case "term":
		return []faulttest.Fault{partition(n, 2), {Kind: faulttest.Terminate, AtMS: 2500, ForMS: 3000, Targets: third}}
	}
	return nil
}

// partition returns a fault that partitions n directors into groups for six seconds.
func partition(n, groups int) faulttest.Fault {
	return faulttest.Fault{Kind: faulttest.Partition, AtMS: 500, ForMS: 6000, Groups: alternate(n, groups)}
}

// indexes returns the numbers from 0 to n-1.
func indexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// alternate assigns the numbers from 0 to n-1 to groups in turn.
func alternate(n, groups int) [][]int {
	divided := make([][]int, groups)
	for i := range n {
		divided[i%groups] = append(divided[i%groups], i)
	}
	return divided
}
