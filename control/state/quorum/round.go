package quorum

import (
	"onyxwell/base/clock"
	"onyxwell/base/errkind"
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
func (c *Contact) round(ctx scope.Scope) {
	now := ctx.Now()
	c.mu.Lock()
	early := c.asked > 0 && now.Since(c.asked) < c.pace()
	if !early {
		c.asked = now
	}
	c.mu.Unlock()
	if early {
		return
	}
	for _, seat := range c.options.Voters().Members {
		if seat.Address != c.options.Address {
			c.options.Spawn(func() {
				// A late answer still shows contact as of its question.
				message, release := ctx.Detached().WithLimit(2 * c.options.Fresh)
				defer release()
				_ = c.ask(message, seat.Address)
			})
		}
	}
}

// ask asks one voter and notes its answer.
func (c *Contact) ask(ctx scope.Scope, address ids.Address) error {
	begin := ctx.Now()
	told, err := c.options.Ask(ctx, address)
	if err != nil {
		return err
	}
	came := ctx.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.peers[address]
	if known.asked < begin {
		// The answer to a later question came already where this one was late.
		known.asked, known.trips = begin, known.trips.with(came.Since(begin))
	}
	if known.told.Life != told.Life || told.lead(came) >= known.told.lead(known.came) || came.Since(known.came) > c.options.Fresh {
		known.came, known.told = came, told
	}
	c.keep(address, known)
	return nil
}

// lead is by how much the other's clock was ahead when its answer came: the
// answer that was quickest underway leaves an order the most time.
func (t Told) lead(came clock.Instant) int64 { return t.Reading - int64(came) }

// readingKept is how many times Fresh a reading is used before it is asked for
// again.
const readingKept = 4

// Stamp makes the end of an order that is passed on now and given up at the
// instant named. Where the receiver's clock is not known it is asked.
func (c *Contact) Stamp(ctx scope.Scope, address ids.Address, giveUp clock.Instant) (Stamp, error) {
	known, found := c.reading(address)
	if !found || ctx.Now().Since(known.came) > readingKept*c.options.Fresh {
		if err := c.ask(ctx, address); err != nil {
			return Stamp{}, err
		}
		if known, found = c.reading(address); !found {
			return Stamp{}, errkind.Of(errkind.Unsettled, "%s tells no reading of its clock", address)
		}
	}
	left := giveUp.Since(known.came)
	return Stamp{Life: known.told.Life, End: known.told.Reading + int64(left-left/100)}, nil
}

func (c *Contact) reading(address ids.Address) (peer, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.peers[address]
	return known, known.told.Life != 0
}

// Open tells whether an order that was passed here may still be begun.
func (c *Contact) Open(stamp Stamp, now clock.Instant) bool {
	return stamp.Life == c.options.Life && int64(now) < stamp.End
}

// Run keeps contact fresh, or finds that it is lost, until the scope ends.
func (c *Contact) Run(ctx scope.Scope) {
	fresh := c.options.Fresh
	c.mu.Lock()
	c.beat = ctx.Now()
	c.mu.Unlock()
	for ctx.Wait(fresh * 2 / 3) {
		c.woken(ctx.Now())
		_, _ = c.WholeAge(ctx.Now())
		age, known := c.Age(ctx.Now())
		if !known || age > fresh/3 {
			c.round(ctx)
		}
		c.note(ctx, known && age <= fresh+c.options.Wait && c.heardSince(ctx.Now().Add(-age)))
	}
}
