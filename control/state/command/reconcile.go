package command

import (
	"context"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/config/store"
	"onyxwell/control/state/register"
)

// LatestVersion returns the version of the newest configuration, or 0 if there is
// none yet. A majority confirms it during the call.
func (d *Dispatcher) LatestVersion(ctx context.Context) (ids.Version, error) {
	value, err := d.Dispatch(ctx, Command{Key: config.Key, Verb: VerbRead})
	if err != nil {
		return 0, err
	}
	record, err := store.DecodeCompressed(value)
	return record.Version, err
}

// Reconcile publishes values that the local acceptor has accepted but that gossip
// has not delivered here, since their owner may have failed between commit and
// publication. Each is read through its owner, which commits it. If this controller
// owns the configuration, Reconcile also seals the chunks of its history.
func (d *Dispatcher) Reconcile(ctx context.Context) {
	d.sealChunks(ctx)
	for _, slot := range d.options.Acceptor.Fetch(register.FetchRequest{}).Slots {
		accepted, ok := gossipItem(slot.Key, slot.Accepted.Value)
		if !ok {
			continue
		}
		if published, ok := d.options.Updates.Get(slot.Key); ok && published.Version >= accepted.Version {
			continue
		}
		value, err := d.Dispatch(ctx, Command{Key: slot.Key, Verb: VerbRead})
		if err != nil {
			continue
		}
		if committed, ok := gossipItem(slot.Key, value); ok {
			d.options.Updates.Put(committed)
		}
	}
}

// Run calls Reconcile at the given interval until ctx ends.
func (d *Dispatcher) Run(ctx context.Context, interval time.Duration) {
	for ctx.Err() == nil {
		d.Reconcile(ctx)
		if !clock.Wait(ctx, d.options.Clock, interval) {
			return
		}
	}
}
