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

// EpochKept is the value of a hold's key: how often the duty was gained.
type EpochKept struct {
	Number int64 `avro:"Number"`
}

// SchemaName names the stored and sent form; it must never change.
func (EpochKept) SchemaName() string { return "EpochKept_21" }

func nextEpoch(current []byte) ([]byte, error) {
	kept := EpochKept{}
	if len(current) > 0 {
		read, err := transport.Unpack[EpochKept](current)
		if err != nil {
			return nil, errkind.Of(errkind.Internal, "kept epoch: %v", err)
		}
		kept = read
	}
	return transport.Pack(EpochKept{Number: kept.Number + 1})
}

// Epoch writes a new epoch for a duty.
func (d *Desk) Epoch(ctx scope.Scope, duty string) (int64, error) {
	value, err := d.Do(ctx, Order{Key: "hold/" + duty, Verb: VerbEpoch})
	if err != nil {
		return 0, err
	}
	kept, err := transport.Unpack[EpochKept](value)
	return kept.Number, err
}

// Newest gives the serial of the newest configuration that a majority confirms
// now; 0 where none was taken.
func (d *Desk) Newest(ctx scope.Scope) (ids.Serial, error) {
	value, err := d.Do(ctx, Order{Key: config.Key, Verb: VerbRead})
	if err != nil {
		return 0, err
	}
	kept, err := store.Travelling(value)
	return kept.Serial, err
}

// Sweep looks for values that this machine's voter holds but that never became
// news here: an owner may have fallen between its write and its telling. Each
// is read from the owner, which settles it. The owner of the spec also seals
// the memory of changes that were taken.
func (d *Desk) Sweep(ctx scope.Scope) {
	d.seal(ctx)
	for _, slot := range d.options.Acceptor.Fetch(register.FetchRequest{}).Slots {
		item, found := newsOf(slot.Key, slot.Accepted.Value)
		if !found {
			continue
		}
		if known, told := d.options.News.Get(slot.Key); told && known.Serial >= item.Serial {
			continue
		}
		value, err := d.Do(ctx, Order{Key: slot.Key, Verb: VerbRead})
		if err != nil {
			continue
		}
		if settled, found := newsOf(slot.Key, value); found {
			d.options.News.Put(settled)
		}
	}
}

// Run sweeps until the scope ends.
func (d *Desk) Run(ctx scope.Scope, every clock.Span) {
	for ctx.Err() == nil {
		d.Sweep(ctx)
		if !ctx.Wait(every) {
			return
		}
	}
}
