package spread

import (
	"math/rand/v2"
	"sync/atomic"

	"onyxwell/base/call"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
	"onyxwell/control/courier"
)

// ExchangeAsk opens a comparison.
type ExchangeAsk struct {
	From  cohort.Member
	Sum   int64
	Marks []Mark
}

// ExchangeTold answers with what is newer and what is wanted.
type ExchangeTold struct {
	Sum     int64
	Members []cohort.Member
	Items   []Item
	Wanted  []string
}

// GiveAsk carries the items that were wanted, and the members where the tables
// still differ.
type GiveAsk struct {
	Items   []Item
	Members []cohort.Member
}

// GiveTold answers it.
type GiveTold struct{ Taken int64 }

// Spreader exchanges news and members with others.
type Spreader struct {
	News      *News
	Table     *cohort.Table
	Messenger *courier.Courier
	// Seeds are asked while no other member is known, and rarely after that.
	Seeds []ids.Address
	Every clock.Span
	Limit clock.Span
	// Hurry says that others should know news already: not at a first start.
	Hurry bool
	fresh atomic.Pointer[[]ids.Address]
}

// Serve adds the spreader's messages to a table of calls.
//
// Example:
//
//	spreader.Serve(calls)
func (spreader *Spreader) Serve(calls *call.Table) {
	courier.Handle(calls, "exchange", func(_ scope.Scope, asked ExchangeAsk) (ExchangeTold, error) {
		spreader.Table.Merge([]cohort.Member{asked.From})
		items, wanted := spreader.News.Compare(asked.Marks)
		told := ExchangeTold{Sum: spreader.Table.Sum(), Items: items, Wanted: wanted}
		if told.Sum != asked.Sum {
			told.Members = spreader.Table.Members()
		}
		return told, nil
	})
	courier.Handle(calls, "give", func(_ scope.Scope, asked GiveAsk) (GiveTold, error) {
		spreader.Table.Merge(asked.Members)
		return GiveTold{Taken: spreader.take(asked.Items)}, nil
	})
}

// Run exchanges with a partner now and then, and with a few at once whenever
// something new was learnt here.
//
// Example:
//
//	spreader.Run(top)
func (spreader *Spreader) Run(inner scope.Scope) {
	for inner.Err() == nil {
		pause := spreader.Every*3/4 + rand.N(spreader.Every/2)
		if spreader.Hurry && len(spreader.News.Marks()) == 0 {
			// One that knows nothing can't serve: it asks at once, and often.
			pause = spreader.Every / 8
		}
		select {
		case <-inner.Done():
			return
		case <-spreader.News.own:
			spreader.tell(inner, spreader.Several(true))
		case <-spreader.News.heard:
			spreader.tell(inner, spreader.Several(false))
		case <-inner.Clock.After(pause):
			if address, found := spreader.partner(); found {
				go spreader.Exchange(inner, address)
			}
		}
	}
}

func (spreader *Spreader) tell(inner scope.Scope, addresses []ids.Address) {
	for _, address := range addresses {
		go spreader.Exchange(inner, address)
	}
}

// Exchange compares news and members with one other daemon.
//
// Example:
//
//	spreader.Exchange(top, address)
func (spreader *Spreader) Exchange(inner scope.Scope, address ids.Address) {
	short, release := inner.WithLimit(spreader.Limit)
	defer release()
	asked := ExchangeAsk{From: spreader.Table.Self(), Sum: spreader.Table.Sum(), Marks: spreader.News.Marks()}
	told, fault := courier.Send[ExchangeTold](short, spreader.Messenger, address, "exchange", asked)
	if fault != nil {
		return
	}
	spreader.Table.Merge(told.Members)
	spreader.take(told.Items)
	give := GiveAsk{}
	for _, key := range told.Wanted {
		if item, found := spreader.News.Get(key); found {
			give.Items = append(give.Items, item)
		}
	}
	if told.Sum != spreader.Table.Sum() {
		give.Members = spreader.Table.Members()
	}
	if len(give.Items)+len(give.Members) > 0 {
		_, _ = courier.Send[GiveTold](short, spreader.Messenger, address, "give", give)
	}
}

func (spreader *Spreader) take(items []Item) int64 {
	taken := int64(0)
	for _, item := range items {
		if spreader.News.take(item, spreader.News.heard) {
			taken++
		}
	}
	return taken
}

// partner picks a member, mostly of the same region; while none is known, and
// now and then after that, a seed; now and then one that was removed, which may
// be back and know nobody.
func (spreader *Spreader) partner() (ids.Address, bool) {
	near, far, gone := spreader.others()
	if len(gone) > 0 && rand.IntN(16) == 0 {
		return gone[rand.IntN(len(gone))].Address, true
	}
	if seeds := spreader.seeds(); len(seeds) > 0 && (len(near)+len(far) == 0 || rand.IntN(16) == 0) {
		return seeds[rand.IntN(len(seeds))], true
	}
	pool := near
	if len(near) == 0 || (len(far) > 0 && rand.IntN(4) == 0) {
		pool = far
	}
	if len(pool) == 0 {
		return "", false
	}
	return pool[rand.IntN(len(pool))].Address, true
}

// fanout is how many of its own region a daemon tells at once.
const fanout = 2

// Several picks those who are told at once: a few of the same region, and for
// what this daemon made itself, one of every other region.
//
// Example:
//
//	for _, address := range spreader.Several(true) { spreader.Exchange(top, address) }
func (spreader *Spreader) Several(wide bool) []ids.Address {
	near, far, _ := spreader.others()
	rand.Shuffle(len(near), func(left, right int) { near[left], near[right] = near[right], near[left] })
	rand.Shuffle(len(far), func(left, right int) { far[left], far[right] = far[right], far[left] })
	var chosen []ids.Address
	for _, member := range near[:min(fanout, len(near))] {
		chosen = append(chosen, member.Address)
	}
	if !wide {
		return chosen
	}
	regions := map[ids.Region]bool{}
	for _, member := range far {
		if !regions[member.Region] {
			regions[member.Region] = true
			chosen = append(chosen, member.Address)
		}
	}
	return chosen
}

// others sorts the members: those of this region, those of others, and those
// that were removed but never said that they leave.
func (spreader *Spreader) others() (near []cohort.Member, far []cohort.Member, gone []cohort.Member) {
	self := spreader.Table.Self()
	for _, member := range spreader.Table.Members() {
		pool := &far
		if !member.Present() {
			pool = &gone
		} else if member.Region == self.Region {
			pool = &near
		}
		if member.Address != self.Address && member.State != cohort.Left {
			*pool = append(*pool, member)
		}
	}
	return near, far, gone
}

// Reseed replaces the seeds.
//
// Example:
//
//	spreader.Reseed(fresh.SeedAddresses())
func (spreader *Spreader) Reseed(seeds []ids.Address) {
	spreader.fresh.Store(&seeds)
}

func (spreader *Spreader) seeds() []ids.Address {
	if fresh := spreader.fresh.Load(); fresh != nil {
		return *fresh
	}
	return spreader.Seeds
}
