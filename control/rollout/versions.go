package rollout

import (
	"cmp"
	"maps"
	"slices"
)

// Role is what a version of a service is to its newest rollout.
type Role int

// The roles.
const (
	// RoleOther is the role of a version that no order has named, or that was replaced: its
	// runners get requests only while the stable version has no available runner.
	RoleOther Role = iota
	// RoleStable is the role of the version that serves: the target version of the last
	// rollout that finished or, if none has, the version from before the first order. It keeps
	// this role if it is ordered again.
	RoleStable
	// RoleTarget is the role of the target version of a rollout in progress.
	RoleTarget
	// RoleRejected is the role of a version that was reverted. It gets no requests.
	RoleRejected
)

// Versions knows the roles of a service's versions. All parts that treat versions differently
// ask it. The zero Versions knows none.
type Versions struct {
	// stable is empty if it is not known, target if no rollout to another version is in progress.
	stable, target string
	rejected       []string
}

// NewVersions returns the roles of the versions of a service with a record, which is the zero
// Record if there is no rollout, and a StableRecord, which is the zero StableRecord if none is
// stored. listed holds the number of listed runners by version; previous is the last result for
// the service. Both are used only if the records do not tell which version is stable.
func NewVersions(record Record, stored StableRecord, listed map[string]int, previous Versions) Versions {
	versions := Versions{rejected: record.Rejected}
	if record.InProgress() {
		versions.target = record.Target
	}
	if record.IsReverted() && !slices.Contains(record.Rejected, record.Target) {
		versions.rejected = append(slices.Clone(record.Rejected), record.Target)
	}
	versions.stable = versions.selectStable(record, stored, listed, previous.stable)
	if versions.target == versions.stable {
		versions.target = ""
	}
	return versions
}

// selectStable returns the stable version: that of the records, else the previous one, else the
// one with the most runners. Before the first order, a previous one without runners is given up.
func (v Versions) selectStable(record Record, stored StableRecord, listed map[string]int, previous string) string {
	if record.IsFinished() {
		return record.Target
	}
	if stable, ok := stored.during(record); ok {
		return stable
	}
	candidates := map[string]int{}
	for version, count := range listed {
		if v.canBeStable(version) {
			candidates[version] = count
		}
	}
	isKept := candidates[previous] > 0 || record.Order > 0
	if previous != "" && isKept && v.canBeStable(previous) {
		return previous
	}
	return mostListed(candidates)
}

// canBeStable reports whether a version may be stable as far as the record tells.
func (v Versions) canBeStable(version string) bool {
	isTarget := v.target != "" && version == v.target
	return !isTarget && !slices.Contains(v.rejected, version)
}

// mostListed returns the version with the most runners, empty if there is none. Of versions
// with equally many runners it is the one with the shortest name, so that "v9" precedes "v10",
// and of names of equal length the lexically first.
func mostListed(listed map[string]int) string {
	if len(listed) == 0 {
		return ""
	}
	return slices.MinFunc(slices.Collect(maps.Keys(listed)), func(a, b string) int {
		return cmp.Or(cmp.Compare(listed[b], listed[a]), cmp.Compare(len(a), len(b)), cmp.Compare(a, b))
	})
}

// Stable returns the stable version, empty if it is not known.
func (v Versions) Stable() string { return v.stable }

// Target returns the target version of a rollout in progress, empty if there is none or if the
// target version is the stable one.
func (v Versions) Target() string { return v.target }

// RoleOf returns the role of a version.
func (v Versions) RoleOf(version string) Role {
	switch {
	case version == v.stable:
		return RoleStable
	case v.target != "" && version == v.target:
		return RoleTarget
	case slices.Contains(v.rejected, version):
		return RoleRejected
	}
	return RoleOther
}

// Groups holds the runners between which a rollout splits the traffic of a service. Runners of
// other versions take no part in it.
type Groups struct {
	// Old are the runners that would serve without the rollout: those of the stable version
	// or, if it has none, those of the versions with RoleOther.
	Old []Runner
	// Target are the runners of the version that is rolled out.
	Target []Runner
}

// Group returns the groups of the runners that may get requests.
func (v Versions) Group(runners []Runner) Groups {
	var groups Groups
	var others []Runner
	for _, runner := range runners {
		switch v.RoleOf(runner.Version) {
		case RoleStable:
			groups.Old = append(groups.Old, runner)
		case RoleTarget:
			groups.Target = append(groups.Target, runner)
		case RoleOther:
			others = append(others, runner)
		}
	}
	if len(groups.Old) == 0 {
		groups.Old = others
	}
	return groups
}

// ListedVersions returns the number of runners by version.
func ListedVersions(runners []Runner) map[string]int {
	listed := map[string]int{}
	for _, runner := range runners {
		listed[runner.Version]++
	}
	return listed
}

// Excluded returns the listed versions that get no requests: those that were reverted, and
// others than the target version while the stable version has runners. A rollout's target
// version is not excluded, though it gets none without a permit.
func (v Versions) Excluded(listed map[string]int) map[string]bool {
	excluded := map[string]bool{}
	for version := range listed {
		role := v.RoleOf(version)
		excluded[version] = role == RoleRejected || (role == RoleOther && listed[v.stable] > 0)
	}
	return excluded
}
