package command

import (
	"context"

	"onyxwell/control/state/register"

	"onyxwell/control/transport"
)

// leaseKeyPrefix is the prefix of the keys of the leases' epochs; it must never change.
const leaseKeyPrefix = "hold/"

// EpochRecord is the register's value under a lease's key. It is stored.
type EpochRecord struct {
	// Number is the lease's epoch, which is incremented when the lease is acquired.
	Number int64 `avro:"Number"`
}

// SchemaName returns the stored Avro record name; it must never change.
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

// nextEpoch returns an update that increments the EpochRecord under a key.
func nextEpoch(key string) register.UpdateFunc {
	return func(current []byte) ([]byte, error) {
		record, err := transport.UnmarshalStored[EpochRecord](key, current)
		if err != nil {
			return nil, err
		}
		return transport.Marshal(EpochRecord{Number: record.Number + 1})
	}
}
