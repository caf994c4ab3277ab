package register

import (
	"onyxwell/base/errkind"
	"onyxwell/base/scope"
)

// ChangeOwned is Change for a key that is owned here already: it never takes
// one over, so that an order which others passed here long ago can't take the
// key from whoever acts on it by now. Where the key is not owned under the
// voters of now it is an Unsettled failure, and nothing was begun.
func (k *Keeper) ChangeOwned(ctx scope.Scope, key string, step Step) ([]byte, error) {
	return k.wait(key, &waiting{inner: ctx, step: step, owned: true, done: make(chan struct{})})
}

// owned leaves out those that want the key owned already where it is not.
func (k *Keeper) owned(state *owned, key string, together []*waiting) []*waiting {
	if state.holding && state.voters.Mark() == k.options.Voters().Mark() {
		return together
	}
	var rest []*waiting
	for _, one := range together {
		if one.owned {
			one.err = errkind.Of(errkind.Unsettled, "%s is not owned here", key)
		} else {
			rest = append(rest, one)
		}
	}
	return rest
}
