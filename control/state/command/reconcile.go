package command

import (
	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/config/store"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

// EpochRecord is the value of a hold's key: how often the duty was gained.
type EpochRecord struct {
	Number int64 `avro:"Number"`
}

// SchemaName names the stored and sent form; it must never change.
func (EpochRecord) SchemaName() string { return "EpochKept_21" }

func nextEpoch(current []byte) ([]byte, error) {
	kept := EpochRecord{}
	if len(current) > 0 {
		read, err := transport.Unmarshal[EpochRecord](current)
		if err != nil {
			return nil, errkind.Errorf(errkind.Internal, "kept epoch: %v", err)
		}
		kept = read
	}
	return transport.Marshal(EpochRecord{Number: kept.Number + 1})
}

// NextEpoch writes a new epoch for a duty.
func (d *Dispatcher) NextEpoch(ctx scope.Scope, duty string) (int64, error) {
	value, err := d.Dispatch(ctx, Command{Key: "hold/" + duty, Verb: VerbEpoch})
	if err != nil {
		return 0, err
	}
	kept, err := transport.Unmarshal[EpochRecord](value)
	return kept.Number, err
}

// LatestVersion gives the serial of the newest configuration that a majority confirms
// now; 0 where none was taken.
func (d *Dispatcher) LatestVersion(ctx scope.Scope) (ids.Serial, error) {
	value, err := d.Dispatch(ctx, Command{Key: config.Key, Verb: VerbRead})
	if err != nil {
		return 0, err
	}
	kept, err := store.DecodeCompressed(value)
	return kept.Version, err
}

// Reconcile looks for values that this machine's voter holds but that never became
// news here: an owner may have fallen between its write and its telling. Each
// is read from the owner, which settles it. The owner of the spec also seals
// the memory of changes that were taken.
func (d *Dispatcher) Reconcile(ctx scope.Scope) {
	d.sealChunks(ctx)
	for _, slot := range d.options.Acceptor.Fetch(register.FetchRequest{}).Slots {
		item, found := gossipItem(slot.Key, slot.Accepted.Value)
		if !found {
			continue
		}
		if known, told := d.options.Updates.Get(slot.Key); told && known.Version >= item.Version {
			continue
		}
		value, err := d.Dispatch(ctx, Command{Key: slot.Key, Verb: VerbRead})
		if err != nil {
			continue
		}
		if settled, found := gossipItem(slot.Key, value); found {
			d.options.Updates.Put(settled)
		}
	}
}

// Run sweeps until the scope ends.
func (d *Dispatcher) Run(ctx scope.Scope, every clock.Span) {
	for ctx.Err() == nil {
		d.Reconcile(ctx)
		if !ctx.Wait(every) {
			return
		}
	}
}
