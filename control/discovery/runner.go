// Package discovery finds out which runners there are. One daemon, the holder of
// a duty, reads the platform's list and makes news of it, zone by zone; every
// daemon keeps the list in a View. Where no news of it comes, the relay of a zone
// reads the list for its zone (Fallback).
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
	// ZoneKeyPrefix begins the news keys of the list's parts; the zone follows.
	ZoneKeyPrefix = "runners/"
	// HeartbeatKey is the news key of the word that the parts still hold.
	HeartbeatKey = "runners-beat"
)

// ZoneKey is the news key of a zone's part of the list.
func ZoneKey(zone ids.Zone) string { return ZoneKeyPrefix + string(zone) }

// LocalKey is the news key of a list that was read for one zone alone.
func LocalKey(zone ids.Zone) string { return gossip.LocalPrefix + string(zone) }

// Runner is one runner as the platform lists it. Times are in milliseconds.
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

// List is the runners of a zone, or of all zones, at one moment.
type List struct {
	Runners []Runner `avro:"Runners"`
}

// SchemaName names the stored and sent form; it must never change.
func (List) SchemaName() string { return "List_26" }

// Heartbeat says that the parts with this digest were still the platform's lately.
type Heartbeat struct {
	Digest int64 `avro:"Digest"`
}

// SchemaName names the stored and sent form; it must never change.
func (Heartbeat) SchemaName() string { return "Beat_26" }

// equivalent tells whether two lists say the same but for times that run down.
func (l List) equivalent(other List) bool {
	return slices.EqualFunc(l.Runners, other.Runners, func(runner, old Runner) bool {
		if (runner.WarmupLeftMS > 0) != (old.WarmupLeftMS > 0) || runner.WarmupLeftMS > old.WarmupLeftMS {
			return false
		}
		runner.WarmupLeftMS, old.WarmupLeftMS = 0, 0
		runner.TimeLeftMS, old.TimeLeftMS = 0, 0
		return runner == old
	})
}

// groupByZone sorts runners into the zones given and those in which further runners
// stand; a zone without runners has an empty list.
func groupByZone(runners []Runner, zones []ids.Zone) map[ids.Zone]List {
	parts := map[ids.Zone]List{}
	for _, zone := range zones {
		parts[zone] = List{}
	}
	for _, runner := range runners {
		part := parts[runner.Zone]
		part.Runners = append(part.Runners, runner)
		parts[runner.Zone] = part
	}
	return parts
}

// zoneDigest is a part's share of a digest: digests are these joined by xor, so
// the order of the parts does not matter.
func zoneDigest(zone ids.Zone, serial ids.Serial) int64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(string(zone) + "@" + strconv.FormatInt(int64(serial), 10)))
	return int64(digest.Sum64())
}

// zoneOfKey gives the zone that a part's key names.
func zoneOfKey(key string) (ids.Zone, bool) {
	zone, found := strings.CutPrefix(key, ZoneKeyPrefix)
	return ids.Zone(zone), found
}

// FencedSerial joins a duty's epoch and a count of its acts to one rising serial.
func FencedSerial(epoch int64, counter int64) ids.Serial { return ids.Serial(epoch<<32 | counter) }
