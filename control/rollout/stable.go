package rollout

import (
	"context"
	"maps"
	"slices"
	"strings"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// StableKeyPrefix is the prefix of the register keys of stable versions; the service's name
// follows. It is stored and gossiped and must never change.
const StableKeyPrefix = "rollout-stable/"

// StableKey returns the register key of a service's stable version.
func StableKey(service ids.Service) string { return StableKeyPrefix + string(service) }

// ServiceOfStableKey returns the service of a stable version's register key; ok is false for
// other keys.
func ServiceOfStableKey(key string) (service ids.Service, ok bool) {
	name, ok := strings.CutPrefix(key, StableKeyPrefix)
	return ids.Service(name), ok
}

// StableRecord is the register value that names the version that was stable when a service's
// newest rollout was ordered. The director writes it once for each order. It is not a part of
// Record because earlier builds must be able to read that. It is stored and gossiped.
type StableRecord struct {
	// Version is incremented by each write.
	Version ids.Version `avro:"Version"`
	// Order and Target are those of the rollout's Record.
	Order  int64  `avro:"Order"`
	Target string `avro:"Target"`
	// Stable is the version that was stable when the rollout was ordered.
	Stable string `avro:"Stable"`
}

// SchemaName names the stored and sent form; it must never change.
func (StableRecord) SchemaName() string { return "RolloutStable" }

// DecodeStable decodes a register value; an empty value yields the zero StableRecord.
func DecodeStable(service ids.Service, value []byte) (StableRecord, error) {
	return transport.UnmarshalStored[StableRecord](StableKey(service), value)
}

// during returns the stable version during the rollout of a record that has not finished; ok is
// false if s does not tell. Either of the two may have arrived without the newest value of the
// other.
func (s StableRecord) during(record Record) (stable string, ok bool) {
	switch {
	case s.Order == 0 || s.Order+1 < record.Order:
		return "", false
	case s.Order >= record.Order:
		return s.Stable, true
	case record.rejects(s.Target):
		return s.Stable, true
	}
	// The rollout of s is over, since another was ordered, and it was not reverted.
	return s.Target, true
}

// update returns the register update that stores s. It changes nothing if a value of the same
// order or a later one is stored.
func (s StableRecord) update(service ids.Service) func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		stored, err := DecodeStable(service, current)
		if err != nil || stored.Order >= s.Order {
			return nil, err
		}
		next := s
		next.Version = stored.Version + 1
		return transport.Marshal(next)
	}
}

// storeStable stores the stable versions of the orders for which none is stored yet. What can't
// be stored is due again at the next step: until then, the lists of runners decide.
func (d *Director) storeStable(ctx context.Context) {
	due := d.missingStable()
	for _, service := range slices.Sorted(maps.Keys(due)) {
		value, err := d.options.Update(ctx, StableKey(service), due[service].update(service))
		if err != nil {
			continue
		}
		if stored, err := DecodeStable(service, value); err == nil {
			d.mu.Lock()
			d.adoptStable(service, stored)
			d.mu.Unlock()
		}
	}
}

// missingStable returns the stable versions that are known but not stored.
func (d *Director) missingStable() map[ids.Service]StableRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	missing := map[ids.Service]StableRecord{}
	for service, tracked := range d.rollouts {
		if d.stable[service].Order >= tracked.record.Order {
			continue
		}
		d.updateVersions(tracked, d.options.Runners(service))
		if stable := tracked.versions.Stable(); stable != "" {
			missing[service] = StableRecord{Order: tracked.record.Order, Target: tracked.record.Target, Stable: stable}
		}
	}
	return missing
}

// adoptStable replaces a service's stable version by a newer one. The caller holds d.mu.
func (d *Director) adoptStable(service ids.Service, stored StableRecord) {
	if stored.Version > d.stable[service].Version {
		d.stable[service] = stored
	}
}
