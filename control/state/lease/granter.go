package lease

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

type grant struct {
	holder ids.Address
	life   int64
	// number is that of the newest question that was granted.
	number int64
	until  clock.Instant
}

// asker is one that asks for a duty; said is the newest that it said.
type asker struct {
	duty   string
	holder ids.Address
}

type said struct{ life, number int64 }

// Granter is the voter's side: it grants a duty to one holder at a time.
type Granter struct {
	mu         sync.Mutex
	clock      clock.Clock
	span       clock.Span
	grants     map[string]grant
	heard      map[asker]said
	voters     int64
	quietUntil clock.Instant
	// Voting tells whether this daemon votes now, and the mark of the voters.
	voting func() (bool, int64)
}

// NewGranter makes a voter that grants nothing for a first span, since it may
// have granted holds in a life before.
func NewGranter(machine clock.Clock, span clock.Span, voting func() (bool, int64)) *Granter {
	_, voters := voting()
	return &Granter{
		clock: machine, span: span, grants: map[string]grant{}, heard: map[asker]said{},
		quietUntil: machine.Now().Add(span), voting: voting, voters: voters,
	}
}

// Grant answers a daemon that wants or has a duty.
func (g *Granter) Grant(asked Ask) Told {
	voting, voters := g.voting()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if voters != g.voters {
		// Other voters may have granted what this one does not know of.
		g.quietUntil, g.voters = now.Add(g.span), voters
	}
	late := g.late(asked)
	known, found := g.grants[asked.Duty]
	current := found && now.Before(known.until)
	own := current && known.holder == asked.Holder && known.life == asked.Life
	if asked.Release {
		if own && known.number <= asked.Number {
			delete(g.grants, asked.Duty)
		}
		return Told{}
	}
	if asked.Voters != voters {
		return Told{Misfenced: true}
	}
	// A grant that its holder does not know of any more runs out first.
	renewal := own && asked.Renew
	if late || !voting || (current && !renewal) || (!renewal && now.Before(g.quietUntil)) {
		return Told{}
	}
	g.grants[asked.Duty] = grant{holder: asked.Holder, life: asked.Life, number: asked.Number, until: now.Add(g.span)}
	return Told{Granted: true}
}

// late tells whether the asker said this, or something later, before.
func (g *Granter) late(asked Ask) bool {
	from := asker{duty: asked.Duty, holder: asked.Holder}
	newest := g.heard[from]
	if newest.life == asked.Life && asked.Number <= newest.number {
		return true
	}
	g.heard[from] = said{life: asked.Life, number: asked.Number}
	return false
}
