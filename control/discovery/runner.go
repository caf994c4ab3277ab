// Package discovery maintains every daemon's list of endpoints, the runners. One
// controller, the holder of the discovery lease, polls the platform for the list
// and publishes it by gossip, one item per zone (Publisher, PlatformClient). Every
// daemon assembles the list in a View. Where the published list is stale, a member
// of the zone, a relay first, polls the platform and shares the list within the
// zone (Fallback).
//
// Invariants:
//   - Published items are ordered by the lease's epoch, then by their sequence
//     number: an item of a former holder never replaces one of its successor.
//   - A list is published complete or not at all: a runner that is missing from
//     it no longer exists.
//   - A View is fresh only if, within its MaxAge, a heartbeat with a matching
//     digest confirmed that the platform's list is the same, the published lists
//     became complete, or a list that was read within the zone was applied.
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
	// ZoneKeyPrefix is the prefix of the gossip keys of the zones' lists; the
	// zone's name follows it.
	ZoneKeyPrefix = "runners/"
	// HeartbeatKey is the gossip key of the Heartbeat.
	HeartbeatKey = "runners-beat"
	// logPart is the value of the log key "part" in this package's log lines, and
	// equals the name of the discovery lease.
	logPart = "census"
)

// ZoneKey returns the gossip key of a zone's list.
func ZoneKey(zone ids.Zone) string { return ZoneKeyPrefix + string(zone) }

// LocalKey returns the gossip key of a list that a zone's Fallback read; it is
// gossiped only within that zone.
func LocalKey(zone ids.Zone) string { return gossip.LocalPrefix + string(zone) }

// Runner is a runner as the platform lists it. WarmupLeftMS is the remaining
// warm-up time, and TimeLeftMS the remaining time that the platform grants the
// runner, both in milliseconds.
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

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Runner) SchemaName() string { return "Runner_26" }

// List holds the runners of one zone, or of all zones, as read by one poll.
type List struct {
	Runners []Runner `avro:"Runners"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (List) SchemaName() string { return "List_26" }

// Heartbeat confirms that the last poll found the platform's list to equal the
// published lists. Digest is the xor of the digests of these lists.
type Heartbeat struct {
	Digest int64 `avro:"Digest"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Heartbeat) SchemaName() string { return "Beat_26" }

// equivalent reports whether the list equals an earlier one, apart from remaining
// times. TimeLeftMS is not compared. A WarmupLeftMS that decreased counts as equal;
// a warm-up that began, ended or became longer counts as a difference.
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

// groupByZone returns a list for each of the given zones, which is empty if the
// zone has no runners, and for each other zone that has runners.
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

// zoneDigest returns the digest of a zone's published list: the 64-bit FNV-1a hash
// of the zone and the list's serial. Digests are combined by xor, so that the order
// of the zones does not matter.
func zoneDigest(zone ids.Zone, serial ids.Version) int64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(string(zone) + "@" + strconv.FormatInt(int64(serial), 10)))
	return int64(digest.Sum64())
}

// zoneOfKey returns the zone of a key that ZoneKey returned; ok is false for any
// other key.
func zoneOfKey(key string) (zone ids.Zone, ok bool) {
	name, ok := strings.CutPrefix(key, ZoneKeyPrefix)
	return ids.Zone(name), ok
}

// FencedSerial combines a lease's epoch, which is the fencing token, and a sequence
// number below 2^32 into a version that is ordered by the epoch, then by the
// sequence number.
func FencedSerial(epoch int64, sequence int64) ids.Version { return ids.Version(epoch<<32 | sequence) }
