package desk

import (
	"errors"
	"sync"

	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/register"
	"onyxwell/control/revision"
	"onyxwell/control/spec"
)

// pages is what a desk knows of the memory of changes that were taken: how many
// of them stand in pages that a majority holds, and at which write of the spec
// it looked last whether a further page is due.
type pages struct {
	lock     sync.Mutex
	sealed   int64
	epoch    ids.Epoch
	sequence int64
}

// settle carries a step out. A change of the spec may have been taken before:
// the spec itself tells of the newest changes; for an older one the page that
// knows is read, as any key is: confirmed by a majority.
func (desk *Desk) settle(inner scope.Scope, order Order, carry func(register.Step) ([]byte, error), step register.Step) ([]byte, error) {
	if order.Verb != VerbChange {
		return carry(step)
	}
	desk.pages.lock.Lock()
	sealed := desk.pages.sealed
	desk.pages.lock.Unlock()
	value, err := carry(order.Change.After(sealed))
	var beyond *revision.Beyond
	if !errors.As(err, &beyond) {
		return value, err
	}
	page, err := desk.options.Keeper.Read(inner, beyond.Key())
	if failure.KindOf(err) == failure.Unsettled && inner.Err() == nil {
		// The page may have had another owner since this one read it last.
		page, err = desk.options.Keeper.Read(inner, beyond.Key())
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
func (desk *Desk) seal(inner scope.Scope) {
	if !desk.options.Keeper.Owns(spec.Key) {
		return
	}
	desk.pages.lock.Lock()
	sealed := desk.pages.sealed
	held := desk.options.Acceptor.Slot(spec.Key).Accepted
	looked := held.Epoch == desk.pages.epoch && held.Sequence == desk.pages.sequence
	desk.pages.lock.Unlock()
	if looked {
		return
	}
	for {
		// What the own voter holds may never come into force; but it tells
		// whether it is worth asking.
		if _, due := duePage(held.Value, sealed); !due {
			break
		}
		written, err := desk.sealNext(inner, sealed)
		if err != nil || written <= sealed {
			return
		}
		sealed = written
	}
	desk.pages.lock.Lock()
	defer desk.pages.lock.Unlock()
	desk.pages.epoch, desk.pages.sequence = held.Epoch, held.Sequence
}

// sealNext writes one page out of the spec that a majority confirms, and gives
// how many changes are sealed by then.
func (desk *Desk) sealNext(inner scope.Scope, sealed int64) (int64, error) {
	short, release := inner.WithLimit(desk.options.Limit)
	defer release()
	value, err := desk.options.Keeper.Read(short, spec.Key)
	if err != nil {
		return sealed, err
	}
	page, due := duePage(value, sealed)
	if !due {
		return sealed, nil
	}
	if _, err := desk.options.Keeper.Change(short, page.Key(), page.Step); err != nil {
		return sealed, err
	}
	desk.pages.lock.Lock()
	defer desk.pages.lock.Unlock()
	desk.pages.sealed = max(desk.pages.sealed, page.Sealed())
	return page.Sealed(), nil
}

func duePage(value []byte, sealed int64) (revision.Page, bool) {
	kept, err := revision.Travelling(value)
	if err != nil {
		return revision.Page{}, false
	}
	return kept.Memory.Due(sealed)
}
