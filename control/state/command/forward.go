package command

import (
	"context"
	"slices"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// forwardMessage is the name of the call on the wire; it must never change.
const forwardMessage = "order"

// transportPeers implements PeerClient over the transport between daemons.
type transportPeers struct{ client *transport.Client }

// Forward sends a command to the controller at an address.
func (t transportPeers) Forward(ctx context.Context, to ids.Address, cmd Command) (Result, error) {
	return transport.Send[Result](ctx, t.client, to, forwardMessage, cmd)
}

// forwardToVoter forwards a command to one voter after another, in random order,
// until one returns a decided result. A controller without a vote does not know who
// owns a key, and would have to take over the key for each command.
func (d *Dispatcher) forwardToVoter(ctx context.Context, cmd Command) ([]byte, error) {
	cmd.FromNonVoter = true
	voters := slices.Clone(d.options.Acceptor.Voters().Members)
	random.Shuffle(voters)
	for _, voter := range voters {
		member, known := d.options.Membership.Find(voter.Address)
		if ctx.Err() != nil || (known && member.State != membership.Alive) {
			continue
		}
		result, err := d.forward(ctx, voter.Address, cmd, 2*d.options.ForwardTimeout)
		if err == nil && result.decided() {
			return result.Value, result.err()
		}
	}
	return nil, errkind.Errorf(errkind.NoQuorum, "no voter returned a decided result")
}

// forwardToOwner forwards a command to the owner of its key. If ok is false, the
// outcome is unknown and the key may be taken over. An owner that is only busy keeps
// its key: then ok is true and the error is of kind errkind.NoQuorum.
func (d *Dispatcher) forwardToOwner(ctx context.Context, owner ids.Address, cmd Command) (value []byte, ok bool, err error) {
	sentAt := d.options.Clock.Now()
	result, err := d.forward(ctx, owner, cmd, d.options.ForwardTimeout)
	if err == nil && result.decided() {
		d.owners.recordAnswer(owner)
		return result.Value, true, result.err()
	}
	if err == nil || ctx.Err() != nil {
		return nil, false, nil
	}
	answeredOther := d.options.Quorum.LastContact(owner) > sentAt
	if d.owners.recordUnanswered(owner, answeredOther, d.options.Clock.Now()) {
		return nil, true, errkind.Errorf(errkind.NoQuorum, "the owner of key %q is busy and did not answer in time", cmd.Key)
	}
	return nil, false, nil
}

// forward sends a command to another controller. The deadline that it sets, on the
// receiver's clock, is no later than the end of the timeout, nor than the deadline
// that the command arrived with.
func (d *Dispatcher) forward(ctx context.Context, to ids.Address, cmd Command, timeout time.Duration) (Result, error) {
	if cmd.hasDeadline() {
		timeout = min(timeout, clock.Instant(cmd.Deadline.End).Since(d.options.Clock.Now()))
	}
	giveUpAt := d.options.Clock.Now().Add(timeout)
	ctx, cancel := d.options.Clock.WithTimeout(ctx, timeout)
	defer cancel()
	deadline, err := d.options.Quorum.RemoteDeadline(ctx, to, giveUpAt)
	if err != nil {
		return Result{}, err
	}
	cmd.Deadline, cmd.Change = deadline, cmd.Change.Compress()
	return d.options.Peers.Forward(ctx, to, cmd)
}

// reachableOwner returns the owner to which the local acceptor has last promised the
// key. It returns false if there is none, or if the owner is this controller, is not
// alive or is suspected.
func (d *Dispatcher) reachableOwner(key string) (ids.Address, bool) {
	owner := d.options.Acceptor.Slot(key).Promised.Owner
	if owner == "" || owner == d.options.Address {
		return "", false
	}
	if member, known := d.options.Membership.Find(owner); known && member.State != membership.Alive {
		return "", false
	}
	return owner, !d.owners.suspected(owner, d.options.Clock.Now())
}
