package simulation

import (
	"fmt"

	"onyxwell/base/clock"
	"onyxwell/control/state/register"
)

// watch is what the checks after each step remember.
type watch struct {
	// acts are who acted under each epoch of a duty.
	acts map[acting]string
	// ackedAt is when an order was last acknowledged, gap the longest time
	// without one while orders were given.
	ackedAt clock.Span
	gap     clock.Span
	acks    []clock.Span
	// wholeTook are the times until all was whole again.
	wholeTook []clock.Span
}

// acting is a duty under an epoch.
type acting struct {
	duty  string
	epoch int64
}

func newWatch() watch { return watch{acts: map[acting]string{}} }

// acked notes an acknowledgement.
func (w *World) acked(did act) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if w.watch.ackedAt > 0 {
		w.watch.gap = max(w.watch.gap, now-w.watch.ackedAt)
	}
	w.watch.ackedAt = now
	w.watch.acks = append(w.watch.acks, now-did.begin)
}

// answered checks what a controller answered at once.
func (w *World) answered(target *Machine, asked order, status int, took clock.Span) {
	w.count(fmt.Sprintf("answers %d", status))
}

// duties are what one controller does at a time.
var duties = []string{"census", "plan"}

// look checks what must hold after each step.
func (w *World) look() {
	for _, machine := range w.machines {
		if machine.life != nil && machine.life.control != nil {
			machine.votes()
		}
	}
	for _, duty := range duties {
		holders := ""
		for _, machine := range w.machines {
			if machine.life == nil || machine.frozen || machine.life.control == nil {
				continue
			}
			epoch, held := machine.life.control.HoldsLease(duty)
			if !held {
				continue
			}
			if holders != "" {
				w.violate("%s and %s both hold the duty %s", holders, machine.name, duty)
			}
			holders = machine.name
			key := acting{duty: duty, epoch: epoch}
			if known := w.watch.acts[key]; known != "" && known != machine.name {
				w.violate("%s and %s both held %s under epoch %d", known, machine.name, duty, epoch)
			}
			w.watch.acts[key] = machine.name
		}
	}
}

// voters gives the newest voters that any disk knows.
func (w *World) voters() register.VoterSet {
	var newest register.VoterSet
	for _, machine := range w.machines {
		if machine.life != nil && machine.life.control != nil {
			if known := machine.life.control.Voters(); known.Generation > newest.Generation {
				newest = known
			}
		}
	}
	return newest
}

// sound tells whether all seats are filled by machines that are there and
// vote, and every voter holds the newest of each key; the reason says what is
// missing.
func (w *World) sound() (bool, string) {
	voters := w.voters()
	wanted := min(max(3, 2*w.options.Site.Losses+1), len(w.controllers()))
	if len(voters.Members) < wanted {
		return false, fmt.Sprintf("%d seats of %d", len(voters.Members), wanted)
	}
	newest, holders := map[string]register.Proposal{}, map[string]int{}
	for _, seat := range voters.Members {
		machine := w.hosts[hostOf(seat.Address)]
		if machine == nil || machine.life == nil || machine.life.control == nil || machine.frozen || !machine.life.control.IsVoter() {
			return false, fmt.Sprintf("the seat of %s does not vote", seat.Address)
		}
		for _, slot := range machine.life.control.Slots() {
			known := newest[slot.Key]
			order := slot.Accepted.Epoch.Compare(known.Epoch)
			if order > 0 || (order == 0 && slot.Accepted.Sequence > known.Sequence) {
				newest[slot.Key], holders[slot.Key] = slot.Accepted, 0
				known = slot.Accepted
			}
			if slot.Accepted.Epoch == known.Epoch && slot.Accepted.Sequence == known.Sequence {
				holders[slot.Key]++
			}
		}
	}
	for _, key := range sortedKeys(newest) {
		if newest[key].Sequence > 0 && holders[key] < len(voters.Members) {
			return false, fmt.Sprintf("%s stands on %d of %d disks", key, holders[key], len(voters.Members))
		}
	}
	return true, ""
}
