// Package command leads a command to the controller that owns its key. The
// owner executes it; every other controller forwards it to the owner, and takes
// the key over when the owner does not answer.
//
// A command is started only while a majority of the voters is reachable, and
// its context ends when that majority is lost. A forwarded command never
// executes after its forwarder gave up and others went on:
//   - the receiver executes it only if it owns the key, and takes no key over
//     for it;
//   - its deadline is checked in the key's turn at the proposer, so it starts
//     before the forwarder gives up or not at all. Later commands executed by
//     the same owner wait for that turn to end; those of another controller
//     follow a takeover, whose higher epoch makes the voters refuse what the
//     former owner still sends.
package command

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/rollout"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
	"onyxwell/control/transport"
)

const (
	// maxAttempts is how often a command is routed while other controllers take
	// its key over.
	maxAttempts = 8
	// maxBackoffFactor bounds the linear growth of the backoff before a takeover.
	maxBackoffFactor = 3
)

// PeerClient sends a command to another controller's HandleForwarded.
type PeerClient interface {
	Forward(ctx context.Context, to ids.Address, cmd Command) (Result, error)
}

// Options are the dependencies and settings of a Dispatcher.
type Options struct {
	// Clock measures all timeouts; it and Log are required.
	Clock clock.Clock
	Log   *log.Logger
	// Address is this controller's own.
	Address    ids.Address
	Proposer   *register.Proposer
	Acceptor   *register.Acceptor
	Membership *membership.Table
	// Updates receives the values that Publish and Reconcile find committed.
	Updates   *gossip.Store
	Transport *transport.Client
	// Quorum tracks whether a majority of the voters is reachable; by default a
	// Tracker over Transport.
	Quorum *quorum.Tracker
	// Peers forwards commands; by default over Transport.
	Peers PeerClient
	// ForwardTimeout bounds one forwarded attempt; an owner that exceeds it is
	// suspected.
	ForwardTimeout time.Duration
	// CommandTimeout bounds a command as a whole, with all its attempts.
	CommandTimeout time.Duration
	// TakeoverBackoff gives the delay before a takeover, multiplied by the
	// attempt up to maxBackoffFactor; by default a random part of
	// ForwardTimeout/4.
	TakeoverBackoff func() time.Duration
}

// Dispatcher executes commands or forwards them. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	owners  *ownerHealth
	chunks  chunkProgress
}

// New makes a dispatcher.
func New(options Options) *Dispatcher {
	if options.TakeoverBackoff == nil {
		options.TakeoverBackoff = func() time.Duration { return random.Duration(options.ForwardTimeout / 4) }
	}
	if options.Peers == nil {
		options.Peers = transportPeers{client: options.Transport}
	}
	if options.Quorum == nil {
		options.Quorum = quorum.New(quorum.Options{
			Clock: options.Clock, Log: options.Log, Address: options.Address, Voters: options.Acceptor.Voters, Transport: options.Transport, MaxAge: options.ForwardTimeout,
		})
	}
	return &Dispatcher{options: options, owners: newOwnerHealth(4 * options.ForwardTimeout)}
}

// RegisterHandlers registers the handlers of forwarded commands and orders.
func (d *Dispatcher) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, forwardMessage, func(ctx context.Context, cmd Command) (Result, error) {
		return resultOf(d.HandleForwarded(ctx, cmd)), nil
	})
	transport.Handle(calls, rollout.OrderMessage, d.handleRolloutOrder)
}

// Dispatch leads a command to the owner of its key and returns the register's
// value after it. An errkind.NoQuorum error leaves open whether the command was
// executed: the caller may send it again, which executes it at most once.
func (d *Dispatcher) Dispatch(ctx context.Context, cmd Command) ([]byte, error) {
	ctx, cancel := d.options.Clock.WithTimeout(ctx, d.options.CommandTimeout)
	defer cancel()
	ctx, release, err := d.options.Quorum.WithQuorum(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return d.dispatchOnce(ctx, cmd)
}

// HandleForwarded executes a command that another controller forwarded, if its
// key is owned here. One from a controller without a vote is dispatched instead.
func (d *Dispatcher) HandleForwarded(ctx context.Context, cmd Command) ([]byte, error) {
	ctx, cancel := d.options.Clock.WithTimeout(ctx, d.options.CommandTimeout)
	defer cancel()
	if !cmd.hasDeadline() {
		return nil, errkind.Errorf(errkind.NoQuorum, "a forwarded command without a deadline")
	}
	if err := d.checkDeadline(ctx, cmd); err != nil {
		return nil, err
	}
	if cmd.FromNonVoter {
		cmd.FromNonVoter = false
		return d.Dispatch(ctx, cmd)
	}
	ctx, release, err := d.options.Quorum.WithQuorum(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return d.execute(ctx, cmd, d.options.Proposer.UpdateIfOwned)
}

// checkDeadline refuses a command that may not be started any more.
func (d *Dispatcher) checkDeadline(ctx context.Context, cmd Command) error {
	if ctx.Err() != nil {
		return quorum.ErrContextDone
	}
	if cmd.hasDeadline() && !d.options.Quorum.WithinDeadline(cmd.Deadline, d.options.Clock.Now()) {
		return errkind.Errorf(errkind.NoQuorum, "the order came too late")
	}
	return nil
}

// routeWithRetries routes a command again while the outcome is open and another
// controller took the key over meanwhile.
func (d *Dispatcher) routeWithRetries(ctx context.Context, cmd Command) ([]byte, error) {
	for attempt := 1; ; attempt++ {
		value, err := d.route(ctx, cmd, attempt)
		decided := errkind.KindOf(err) != errkind.NoQuorum
		if decided || ctx.Err() != nil || attempt == maxAttempts || !d.preempted(cmd.Key) {
			return value, err
		}
	}
}

// preempted tells whether the local acceptor last promised the key to another
// controller.
func (d *Dispatcher) preempted(key string) bool {
	owner := d.options.Acceptor.Slot(key).Promised.Owner
	return owner != "" && owner != d.options.Address
}

// route executes a command if its key is owned here, and forwards it otherwise;
// the key is taken over if its owner does not answer.
func (d *Dispatcher) route(ctx context.Context, cmd Command, attempt int) ([]byte, error) {
	if d.options.Proposer.Owns(cmd.Key) {
		return d.execute(ctx, cmd, d.options.Proposer.Update)
	}
	if !d.options.Acceptor.Voting() {
		return d.forwardToVoter(ctx, cmd)
	}
	if owner, ok := d.reachableOwner(cmd.Key); ok {
		if value, ok, err := d.forwardToOwner(ctx, owner, cmd); ok {
			return value, err
		}
	}
	return d.takeOver(ctx, cmd, attempt)
}

// takeOver executes a command here and so takes its key over. Concurrent
// takeovers preempt each other and delay all commands for the key; so it backs
// off first, and leaves the key to a controller that took it meanwhile.
func (d *Dispatcher) takeOver(ctx context.Context, cmd Command, attempt int) ([]byte, error) {
	promisedBefore := d.options.Acceptor.Slot(cmd.Key).Promised
	if !clock.Wait(ctx, d.options.Clock, time.Duration(min(attempt, maxBackoffFactor))*d.options.TakeoverBackoff()) {
		return nil, errkind.Errorf(errkind.NoQuorum, "out of time")
	}
	if d.preempted(cmd.Key) && d.options.Acceptor.Slot(cmd.Key).Promised != promisedBefore {
		return nil, errkind.Errorf(errkind.NoQuorum, "another took %s meanwhile", cmd.Key)
	}
	return d.execute(ctx, cmd, d.options.Proposer.Update)
}

// writeFunc is the proposer's Update, which takes the key over where needed, or
// its UpdateIfOwned.
type writeFunc func(ctx context.Context, key string, update register.UpdateFunc) ([]byte, error)

// execute carries a command out at the local proposer.
func (d *Dispatcher) execute(ctx context.Context, cmd Command, write writeFunc) ([]byte, error) {
	update, err := d.updateFor(cmd)
	if err != nil {
		return nil, err
	}
	value, err := write(ctx, cmd.Key, func(current []byte) ([]byte, error) {
		// In the key's turn: the command may have waited for it past its deadline.
		if err := d.checkDeadline(ctx, cmd); err != nil {
			return nil, err
		}
		return update(current)
	})
	var archived *store.ArchivedError
	if !errors.As(err, &archived) {
		return value, err
	}
	if err := d.resolveArchived(ctx, archived); err != nil {
		return nil, err
	}
	return value, nil
}

// updateFor gives the update of the register's value that a command stands for.
func (d *Dispatcher) updateFor(cmd Command) (register.UpdateFunc, error) {
	switch cmd.Verb {
	case VerbRead:
		return func([]byte) ([]byte, error) { return nil, nil }, nil
	case VerbChange:
		return cmd.Change.ApplyTruncating(d.chunks.sealedCount()), nil
	case VerbDrain, VerbUndrain:
		return evacuation.Update(cmd.Key, drainedByVerb[cmd.Verb], cmd.ZoneVersion), nil
	case VerbEpoch:
		return nextEpoch(cmd.Key), nil
	default:
		return nil, errkind.Errorf(errkind.UnknownCall, "verb %q", cmd.Verb)
	}
}
