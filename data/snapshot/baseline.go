package snapshot

import (
	"cmp"
	"maps"
	"slices"

	"onyxwell/base/ids"
)

// baselines returns the version in place of each service: the one that was in place before,
// while any of its runners is listed, else the one with the most runners. Of two with as many
// it is the one whose name sorts first, a shorter one before a longer one, as "v9" and "v10".
func baselines(runners map[ids.Service][]*Runner, previous map[ids.Service]string) map[ids.Service]string {
	result := map[ids.Service]string{}
	for service, listed := range runners {
		counts := map[string]int{}
		for _, runner := range listed {
			counts[runner.Version]++
		}
		if len(counts) == 0 {
			continue
		}
		if last, ok := previous[service]; ok && counts[last] > 0 {
			result[service] = last
			continue
		}
		result[service] = slices.MinFunc(slices.Collect(maps.Keys(counts)), func(a, b string) int {
			return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
		})
	}
	return result
}
