package register

import (
	"slices"

	"onyxwell/base/ids"
)

// gather asks all addresses at once and has each answer taken, one at a time, by
// the caller. Those in doubt, by now, are asked too, but waited for only while there
// is not enough: a voter that is gone must not cost each question its whole limit.
func gather[Told any](joiner *Joiner, addresses []ids.Address, doubt func(address ids.Address) bool, enough func() bool,
	ask func(address ids.Address) (Told, bool), take func(address ids.Address, told Told)) {
	type answer struct {
		address ids.Address
		told    Told
		given   bool
	}
	spawn := joiner.Spawn
	if spawn == nil {
		spawn = func(ask func()) { go ask() }
	}
	answers := make(chan answer, len(addresses))
	waiting := slices.Clone(addresses)
	for _, address := range addresses {
		spawn(func() {
			told, given := ask(address)
			answers <- answer{address: address, told: told, given: given}
		})
	}
	come := func(one answer) {
		waiting = slices.DeleteFunc(waiting, func(address ids.Address) bool { return address == one.address })
		if one.given {
			take(one.address, one.told)
		}
	}
	for left := len(addresses); left > 0; left-- {
		if slices.ContainsFunc(waiting, func(address ids.Address) bool { return !doubt(address) }) || !enough() {
			come(<-answers)
			continue
		}
		// What has come meanwhile is taken all the same.
		select {
		case one := <-answers:
			come(one)
		default:
			return
		}
	}
}

// always says that those in doubt need not be waited for.
func always() bool { return true }

// suspected tells whether one does not answer this machine's questions now.
func (j *Joiner) suspected(address ids.Address) bool {
	return j.Suspected != nil && j.Suspected(address)
}

// forEach asks all addresses at once and waits for all answers but those in doubt.
func (j *Joiner) forEach(addresses []ids.Address, ask func(address ids.Address)) {
	gather(j, addresses, j.suspected, always, func(address ids.Address) (struct{}, bool) {
		ask(address)
		return struct{}{}, true
	}, func(ids.Address, struct{}) {})
}

// withoutReplaceable gives those of some addresses that are not gone; all where they all are.
func (j *Joiner) withoutReplaceable(addresses []ids.Address) []ids.Address {
	found := slices.DeleteFunc(slices.Clone(addresses), j.replaceable)
	if len(found) == 0 {
		return addresses
	}
	return found
}
