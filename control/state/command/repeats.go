package command

import (
	"errors"
	"sync"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/config/store"
	"onyxwell/control/state/register"
)

// pages is what a desk knows of the memory of changes that were taken: how many
// of them stand in pages that a majority holds, and at which write of the spec
// it looked last whether a further page is due.
type pages struct {
	mu       sync.Mutex
	sealed   int64
	epoch    ids.Epoch
	sequence int64
}

// settle carries a step out. A change of the spec may have been taken before:
// the spec itself tells of the newest changes; for an older one the page that
// knows is read, as any key is: confirmed by a majority.
func (d *Desk) settle(ctx scope.Scope, order Order, carry func(register.UpdateFunc) ([]byte, error), step register.UpdateFunc) ([]byte, error) {
	if order.Verb != VerbChange {
		return carry(step)
	}
	d.pages.mu.Lock()
	sealed := d.pages.sealed
	d.pages.mu.Unlock()
	value, err := carry(order.Change.After(sealed))
	var beyond *store.Beyond
	if !errors.As(err, &beyond) {
		return value, err
	}
	page, err := d.options.Keeper.Read(ctx, beyond.Key())
	if errkind.KindOf(err) == errkind.Unsettled && ctx.Err() == nil {
		// The page may have had another owner since this one read it last.
		page, err = d.options.Keeper.Read(ctx, beyond.Key())
	}
	if err != nil {
		return nil, err
	}
	if err := beyond.Judge(page); err != nil {
		return nil, err
	}
	return value, nil
}

// seal writes the pages of the memory that are due. Only a page that a majority
// holds counts as sealed; the next change of the spec leaves out what it holds.
// What is here when the owner falls is done again by the next one, and comes
// out the same.
func (d *Desk) seal(ctx scope.Scope) {
	if !d.options.Keeper.Owns(config.Key) {
		return
	}
	d.pages.mu.Lock()
	sealed := d.pages.sealed
	held := d.options.Acceptor.Slot(config.Key).Accepted
	looked := held.Epoch == d.pages.epoch && held.Sequence == d.pages.sequence
	d.pages.mu.Unlock()
	if looked {
		return
	}
	for {
		// What the own voter holds may never come into force; but it tells
		// whether it is worth asking.
		if _, due := duePage(held.Value, sealed); !due {
			break
		}
		written, err := d.sealNext(ctx, sealed)
		if err != nil || written <= sealed {
			return
		}
		sealed = written
	}
	d.pages.mu.Lock()
	defer d.pages.mu.Unlock()
	d.pages.epoch, d.pages.sequence = held.Epoch, held.Sequence
}

// sealNext writes one page out of the spec that a majority confirms, and gives
// how many changes are sealed by then.
func (d *Desk) sealNext(ctx scope.Scope, sealed int64) (int64, error) {
	short, release := ctx.WithLimit(d.options.Limit)
	defer release()
	value, err := d.options.Keeper.Read(short, config.Key)
	if err != nil {
		return sealed, err
	}
	page, due := duePage(value, sealed)
	if !due {
		return sealed, nil
	}
	if _, err := d.options.Keeper.Update(short, page.Key(), page.Step); err != nil {
		return sealed, err
	}
	d.pages.mu.Lock()
	defer d.pages.mu.Unlock()
	d.pages.sealed = max(d.pages.sealed, page.Sealed())
	return page.Sealed(), nil
}

func duePage(value []byte, sealed int64) (store.Page, bool) {
	kept, err := store.Travelling(value)
	if err != nil {
		return store.Page{}, false
	}
	return kept.Memory.Due(sealed)
}
