package command

import (
	"context"

	"onyxwell/control/state/register"

	"onyxwell/control/transport"
)

// leaseKeyPrefix begins the keys of the leases' epochs; it must never change.
const leaseKeyPrefix = "hold/"

// EpochRecord is the register's value of a lease's key: how often the lease was
// gained. It is stored.
type EpochRecord struct {
	Number int64 `avro:"Number"`
}

// SchemaName names the stored and sent form; it must never change.
func (EpochRecord) SchemaName() string { return "EpochKept_21" }

// NextEpoch increments the epoch of the named lease and returns it.
func (d *Dispatcher) NextEpoch(ctx context.Context, lease string) (int64, error) {
	value, err := d.Dispatch(ctx, Command{Key: leaseKeyPrefix + lease, Verb: VerbEpoch})
	if err != nil {
		return 0, err
	}
	record, err := transport.Unmarshal[EpochRecord](value)
	return record.Number, err
}

// nextEpoch returns the update of the EpochRecord under a key.
func nextEpoch(key string) register.UpdateFunc {
	return func(current []byte) ([]byte, error) {
		record, err := transport.UnmarshalStored[EpochRecord](key, current)
		if err != nil {
			return nil, err
		}
		return transport.Marshal(EpochRecord{Number: record.Number + 1})
	}
}
