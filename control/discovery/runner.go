// Package discovery keeps every daemon's list of endpoints, the runners. One
// controller, the holder of the discovery lease, polls the platform's list and
// publishes it zone by zone (Publisher, PlatformClient); every daemon assembles
// the list in a View. Where the published list goes stale, a zone's relay polls
// for its own zone (Fallback).
//
// Invariants:
//   - Published items are ordered by the lease's epoch, then by their sequence:
//     a superseded holder's item never replaces its successor's.
//   - A list is published complete or not at all; a runner that is missing from
//     it is gone.
//   - A View is fresh only while the platform's list is known to be the same, by
//     a heartbeat whose digest matches, or was read for this zone, no longer ago
//     than its MaxAge.
package discovery

import (
	"hash/fnv"
	"slices"
	"strconv"
	"strings"

	"onyxwell/base/ids"
	"onyxwell/control/gossip"
)

const (
	// ZoneKeyPrefix begins the gossip keys of the zones' lists; the zone follows.
	ZoneKeyPrefix = "runners/"
	// HeartbeatKey is the gossip key of the Heartbeat.
	HeartbeatKey = "runners-beat"
	// logPart names this package in log lines; it is the lease's name.
	logPart = "census"
)

// ZoneKey is the gossip key of a zone's list.
func ZoneKey(zone ids.Zone) string { return ZoneKeyPrefix + string(zone) }

// LocalKey is the gossip key of a list that a Fallback read; it is gossiped within
// the zone alone.
func LocalKey(zone ids.Zone) string { return gossip.LocalPrefix + string(zone) }

// Runner is one runner as the platform lists it. WarmupLeftMS is how long it still
// warms up and TimeLeftMS the time that the platform leaves it, in milliseconds.
type Runner struct {
	ID           ids.RunnerID `avro:"ID"`
	Service      ids.Service  `avro:"Service"`
	Address      ids.Address  `avro:"Address"`
	Zone         ids.Zone     `avro:"Zone"`
	Version      string       `avro:"Version"`
	Capacity     int64        `avro:"Capacity"`
	Draining     bool         `avro:"Draining"`
	WarmupLeftMS int64        `avro:"ColdLeftMS"`
	TimeLeftMS   int64        `avro:"TimeLeftMS"`
}

// SchemaName names the stored and sent form; it must never change.
func (Runner) SchemaName() string { return "Runner_26" }

// List is the runners of a zone, or of all zones, as of one poll.
type List struct {
	Runners []Runner `avro:"Runners"`
}

// SchemaName names the stored and sent form; it must never change.
func (List) SchemaName() string { return "List_26" }

// Heartbeat confirms that the zones' lists whose digests add up to Digest were the
// platform's at the last poll.
type Heartbeat struct {
	Digest int64 `avro:"Digest"`
}

// SchemaName names the stored and sent form; it must never change.
func (Heartbeat) SchemaName() string { return "Beat_26" }

// equivalent reports whether a list differs from an earlier one in nothing but
// times that run down; a warm-up that begins, ends or grows is a difference.
func (l List) equivalent(earlier List) bool {
	return slices.EqualFunc(l.Runners, earlier.Runners, func(runner, old Runner) bool {
		if (runner.WarmupLeftMS > 0) != (old.WarmupLeftMS > 0) || runner.WarmupLeftMS > old.WarmupLeftMS {
			return false
		}
		runner.WarmupLeftMS, old.WarmupLeftMS = 0, 0
		runner.TimeLeftMS, old.TimeLeftMS = 0, 0
		return runner == old
	})
}

// groupByZone gives a list for each of the zones, empty where it has no runners,
// and for each further zone that has some.
func groupByZone(runners []Runner, zones []ids.Zone) map[ids.Zone]List {
	lists := map[ids.Zone]List{}
	for _, zone := range zones {
		lists[zone] = List{}
	}
	for _, runner := range runners {
		list := lists[runner.Zone]
		list.Runners = append(list.Runners, runner)
		lists[runner.Zone] = list
	}
	return lists
}

// zoneDigest is the digest of one zone's published list (FNV-1a). Digests are
// combined by xor, so that the order of the zones does not matter.
func zoneDigest(zone ids.Zone, serial ids.Version) int64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(string(zone) + "@" + strconv.FormatInt(int64(serial), 10)))
	return int64(digest.Sum64())
}

// zoneOfKey gives the zone of a ZoneKey; ok is false for any other key.
func zoneOfKey(key string) (zone ids.Zone, ok bool) {
	name, ok := strings.CutPrefix(key, ZoneKeyPrefix)
	return ids.Zone(name), ok
}

// FencedSerial joins a lease's epoch, the fencing token, and a sequence number
// below 2^32 to a version that rises with both, the epoch first.
func FencedSerial(epoch int64, sequence int64) ids.Version { return ids.Version(epoch<<32 | sequence) }
