package register

import (
	"onyxwell/base/errkind"
	"onyxwell/base/scope"
)

// UpdateIfOwned is Change for a key that is owned here already: it never takes
// one over, so that an order which others passed here long ago can't take the
// key from whoever acts on it by now. Where the key is not owned under the
// voters of now it is an Unsettled failure, and nothing was begun.
func (p *Proposer) UpdateIfOwned(ctx scope.Scope, key string, step UpdateFunc) ([]byte, error) {
	return p.submit(key, &pendingUpdate{ctx: ctx, update: step, onlyIfOwned: true, done: make(chan struct{})})
}

// rejectUnowned leaves out those that want the key owned already where it is not.
func (p *Proposer) rejectUnowned(state *keyState, key string, together []*pendingUpdate) []*pendingUpdate {
	if state.owned && state.voters.Fingerprint() == p.options.Voters().Fingerprint() {
		return together
	}
	var rest []*pendingUpdate
	for _, one := range together {
		if one.onlyIfOwned {
			one.err = errkind.Errorf(errkind.NoQuorum, "%s is not owned here", key)
		} else {
			rest = append(rest, one)
		}
	}
	return rest
}
