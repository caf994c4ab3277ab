package contact

import (
	"onyxwell/base/clock"
	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Stamp ends an order that is passed on: a reading of the receiver's steady
// clock, in the life that it was learnt of.
type Stamp struct {
	Life int64 `avro:"Life"`
	End  int64 `avro:"End"`
}

// SchemaName names the stored and sent form; it must never change.
func (Stamp) SchemaName() string { return "Stamp_24" }

// round asks all voters, unless they were asked just now.
func (contact *Contact) round(inner scope.Scope) {
	now := inner.Now()
	contact.lock.Lock()
	early := contact.asked > 0 && now.Since(contact.asked) < contact.pace()
	if !early {
		contact.asked = now
	}
	contact.lock.Unlock()
	if early {
		return
	}
	for _, seat := range contact.options.Voters().Seats {
		if seat.Address != contact.options.Address {
			contact.options.Spawn(func() {
				// A late answer still shows contact as of its question.
				message, release := inner.Detached().WithLimit(2 * contact.options.Fresh)
				defer release()
				_ = contact.ask(message, seat.Address)
			})
		}
	}
}

// ask asks one voter and notes its answer.
func (contact *Contact) ask(inner scope.Scope, address ids.Address) error {
	begin := inner.Now()
	told, err := contact.options.Ask(inner, address)
	if err != nil {
		return err
	}
	came := inner.Now()
	contact.lock.Lock()
	defer contact.lock.Unlock()
	known := contact.peers[address]
	if known.asked < begin {
		// The answer to a later question came already where this one was late.
		known.asked, known.trips = begin, known.trips.with(came.Since(begin))
	}
	if known.told.Life != told.Life || told.lead(came) >= known.told.lead(known.came) || came.Since(known.came) > contact.options.Fresh {
		known.came, known.told = came, told
	}
	contact.keep(address, known)
	return nil
}

// lead is by how much the other's clock was ahead when its answer came: the
// answer that was quickest underway leaves an order the most time.
func (told Told) lead(came clock.Instant) int64 { return told.Reading - int64(came) }

// readingKept is how many times Fresh a reading is used before it is asked for
// again.
const readingKept = 4

// Stamp makes the end of an order that is passed on now and given up at the
// instant named. Where the receiver's clock is not known it is asked.
func (contact *Contact) Stamp(inner scope.Scope, address ids.Address, giveUp clock.Instant) (Stamp, error) {
	known, found := contact.reading(address)
	if !found || inner.Now().Since(known.came) > readingKept*contact.options.Fresh {
		if err := contact.ask(inner, address); err != nil {
			return Stamp{}, err
		}
		if known, found = contact.reading(address); !found {
			return Stamp{}, failure.Of(failure.Unsettled, "%s tells no reading of its clock", address)
		}
	}
	left := giveUp.Since(known.came)
	return Stamp{Life: known.told.Life, End: known.told.Reading + int64(left-left/100)}, nil
}

func (contact *Contact) reading(address ids.Address) (peer, bool) {
	contact.lock.Lock()
	defer contact.lock.Unlock()
	known := contact.peers[address]
	return known, known.told.Life != 0
}

// Open tells whether an order that was passed here may still be begun.
func (contact *Contact) Open(stamp Stamp, now clock.Instant) bool {
	return stamp.Life == contact.options.Life && int64(now) < stamp.End
}

// Run keeps contact fresh, or finds that it is lost, until the scope ends.
func (contact *Contact) Run(inner scope.Scope) {
	fresh := contact.options.Fresh
	contact.lock.Lock()
	contact.beat = inner.Now()
	contact.lock.Unlock()
	for inner.Wait(fresh * 2 / 3) {
		contact.woken(inner.Now())
		_, _ = contact.WholeAge(inner.Now())
		age, known := contact.Age(inner.Now())
		if !known || age > fresh/3 {
			contact.round(inner)
		}
		contact.note(inner, known && age <= fresh+contact.options.Wait && contact.heardSince(inner.Now().Add(-age)))
	}
}
