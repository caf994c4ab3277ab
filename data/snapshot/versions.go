package snapshot

import (
	"onyxwell/base/ids"
	"onyxwell/control/rollout"
)

// versionsOf returns the roles of the versions of each service that has runners or a rollout,
// based on the former roles in the snapshot.
func versionsOf(snap *Snapshot) map[ids.Service]rollout.Versions {
	versions := map[ids.Service]rollout.Versions{}
	for service := range snap.Runners {
		versions[service] = snap.versionsOfService(service)
	}
	for service := range snap.Rollouts {
		if _, ok := versions[service]; !ok {
			versions[service] = snap.versionsOfService(service)
		}
	}
	return versions
}

func (s *Snapshot) versionsOfService(service ids.Service) rollout.Versions {
	listed := map[string]int{}
	for _, runner := range s.Runners[service] {
		listed[runner.Version]++
	}
	return rollout.NewVersions(s.Rollouts[service], s.StableVersions[service], listed, s.Versions[service])
}
