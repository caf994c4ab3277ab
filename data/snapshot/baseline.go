package snapshot

import (
	"cmp"
	"maps"
	"slices"

	"onyxwell/base/ids"
)

// baselines returns the baseline version of each service. This is the previous baseline as
// long as a runner of that version is listed, else the version with the most runners. Of
// versions with equally many runners it is the one with the shortest name, so that "v9"
// precedes "v10", and of names of equal length the lexically first.
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
