package rollout

import (
	"maps"
	"testing"
)

// TestVersions_keepsRejectedVersionsApart guards against a reverted version that counts as
// the one to keep, whatever the order in progress.
func TestVersions_keepsRejectedVersionsApart(t *testing.T) {
	listed := map[string]int{"v1": 1, "v2": 5, "v3": 5}
	next := Record{Order: 2, Target: "v3", Condition: int64(InProgress), Rejected: []string{"v2"}}
	reverted := Record{Order: 1, Target: "v2", Condition: int64(Reverted)}
	finished := Record{Order: 2, Target: "v3", Condition: int64(Finished), Rejected: []string{"v2"}}
	cases := []struct {
		name     string
		record   Record
		previous Versions
		want     map[string]Role
	}{
		{"no order", Record{}, Versions{}, map[string]Role{"v1": RoleOther, "v2": RoleStable, "v3": RoleOther}},
		{"no order, known before", Record{}, Versions{stable: "v1"}, map[string]Role{"v1": RoleStable, "v2": RoleOther, "v3": RoleOther}},
		{"no order, gone since", Record{}, Versions{stable: "v0"}, map[string]Role{"v0": RoleOther, "v2": RoleStable}},
		{"reverted, not listed as such", reverted, Versions{stable: "v1"}, map[string]Role{"v1": RoleStable, "v2": RoleRejected, "v3": RoleOther}},
		{"next in progress", next, Versions{}, map[string]Role{"v1": RoleStable, "v2": RoleRejected, "v3": RoleTarget}},
		{"known as rejected since", next, Versions{stable: "v2"}, map[string]Role{"v1": RoleStable, "v2": RoleRejected, "v3": RoleTarget}},
		{"next finished", finished, Versions{stable: "v1"}, map[string]Role{"v1": RoleOther, "v2": RoleRejected, "v3": RoleStable}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			versions := NewVersions(test.record, StableRecord{}, listed, test.previous)
			for version, role := range test.want {
				if got := versions.RoleOf(version); got != role {
					t.Errorf("role of %s: %d, want %d", version, got, role)
				}
			}
		})
	}
	if versions := NewVersions(next, StableRecord{}, map[string]int{"v2": 1, "v3": 1}, Versions{}); versions.Stable() != "" {
		t.Errorf("stable version %q, want none: only the target and a reverted version are listed", versions.Stable())
	}
}

// secondOrder returns the versions during an order of v3, after v2 was reverted; v1 is stable.
func secondOrder() Versions {
	record := Record{Order: 2, Target: "v3", Condition: int64(InProgress), Rejected: []string{"v2"}}
	return NewVersions(record, StableRecord{Version: 1, Order: 2, Target: "v3", Stable: "v1"}, nil, Versions{})
}

// TestVersions_groupsServingAndTarget guards against groups that count runners that get no
// requests: of rejected versions, and of others while the stable version has a runner.
func TestVersions_groupsServingAndTarget(t *testing.T) {
	versions := secondOrder()
	runners := []Runner{{ID: "a", Version: "v2"}, {ID: "b", Version: "v3"}, {ID: "c", Version: "v4"}}
	groups := versions.Group(runners)
	if len(groups.Old) != 1 || groups.Old[0].ID != "c" || len(groups.Target) != 1 || groups.Target[0].ID != "b" {
		t.Errorf("without a stable runner: %+v, want c as the old one and b", groups)
	}
	groups = versions.Group(append(runners, Runner{ID: "d", Version: "v1"}))
	if len(groups.Old) != 1 || groups.Old[0].ID != "d" || len(groups.Target) != 1 || groups.Target[0].ID != "b" {
		t.Errorf("with a stable runner: %+v, want d as the old one and b", groups)
	}
}

// TestVersions_excludesWhatGetsNoRequests guards against plans and estimates that count the
// capacity of runners which get no requests because of their version.
func TestVersions_excludesWhatGetsNoRequests(t *testing.T) {
	versions := secondOrder()
	listed := map[string]int{"v1": 1, "v2": 1, "v3": 1, "v4": 1}
	want := map[string]bool{"v1": false, "v2": true, "v3": false, "v4": true}
	if got := versions.Excluded(listed); !maps.Equal(got, want) {
		t.Errorf("excluded %v, want %v", got, want)
	}
	delete(listed, "v1")
	want = map[string]bool{"v2": true, "v3": false, "v4": false}
	if got := versions.Excluded(listed); !maps.Equal(got, want) {
		t.Errorf("without a stable runner: excluded %v, want %v", got, want)
	}
}
