// Package command routes commands to the controller that owns their key. The
// owner executes a command; every other controller forwards it to the owner, and
// takes over the key if the owner does not answer.
//
// A command is started only while a majority of the voters is reachable, and its
// context is canceled when that majority is lost. A forwarded command never takes
// effect after its forwarder has given up and later commands have been executed:
//   - The receiver executes the command only if it owns the key, and does not take
//     over the key for it. A command from a controller without a vote, which does
//     not know the owner, is dispatched instead.
//   - The deadline of the command is checked when the proposer processes the
//     update, after its wait in the key's queue. So the command starts before the
//     forwarder gives up or not at all. Later commands executed by the same owner
//     wait until it has finished. Those executed by another controller follow a
//     takeover, whose higher epoch makes the voters refuse what the former owner
//     still sends.
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
	// maxAttempts limits how often a command is routed if other controllers keep
	// taking over its key.
	maxAttempts = 8
	// maxBackoffFactor limits the linear growth of the backoff before a takeover.
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
	// Address is the address of this controller.
	Address    ids.Address
	Proposer   *register.Proposer
	Acceptor   *register.Acceptor
	Membership *membership.Table
	// Updates receives the committed values that Publish and Reconcile gossip.
	Updates   *gossip.Store
	Transport *transport.Client
	// Quorum tracks whether a majority of the voters is reachable; nil stands for a
	// Tracker over Transport.
	Quorum *quorum.Tracker
	// Peers forwards commands; nil stands for a client over Transport.
	Peers PeerClient
	// ForwardTimeout limits one attempt to forward a command to its owner. An owner
	// that exceeds it is suspected to have failed, unless it is only busy; see
	// ownerHealth.
	ForwardTimeout time.Duration
	// CommandTimeout limits a command as a whole, with all its attempts.
	CommandTimeout time.Duration
	// MaxDecodedBytes is the most memory that a configuration, or a change of it, may take
	// once it is decoded; 0 is no limit.
	MaxDecodedBytes int64
	// TakeoverBackoff returns the delay before a takeover, which is multiplied by
	// the number of the attempt, up to maxBackoffFactor. By default it is random,
	// up to ForwardTimeout/4.
	TakeoverBackoff func() time.Duration
}

// Dispatcher executes commands or forwards them. It is safe for concurrent use.
type Dispatcher struct {
	options Options
	owners  *ownerHealth
	chunks  chunkProgress
}

// New returns a Dispatcher.
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

// RegisterHandlers registers the handlers of forwarded commands and rollout orders.
func (d *Dispatcher) RegisterHandlers(calls *httpcall.Mux) {
	transport.Handle(calls, forwardMessage, func(ctx context.Context, cmd Command) (Result, error) {
		return resultOf(d.HandleForwarded(ctx, cmd)), nil
	})
	transport.Handle(calls, rollout.OrderMessage, d.handleRolloutOrder)
}

// Dispatch routes a command to the owner of its key and returns the register's
// value after the command. After an error of kind errkind.NoQuorum the command may
// or may not have been executed, and may be dispatched again. A configuration change
// is applied at most once, however often it is dispatched. A drain or undrain has no
// effect if the zone is already in the requested state, but acts again if the zone
// was toggled back in between. Each VerbEpoch that is executed increments the epoch.
func (d *Dispatcher) Dispatch(ctx context.Context, cmd Command) ([]byte, error) {
	ctx, release, err := d.withQuorum(ctx)
	if err != nil {
		return nil, err
	}
	defer release()
	return d.dispatchOnce(ctx, cmd)
}

// withQuorum returns a context that ends after CommandTimeout, or when contact with a
// majority of the voters is lost, and fails if there is none now. Unless it fails, the
// caller must call release.
func (d *Dispatcher) withQuorum(ctx context.Context) (limited context.Context, release func(), err error) {
	ctx, cancel := d.options.Clock.WithTimeout(ctx, d.options.CommandTimeout)
	ctx, end, err := d.options.Quorum.WithQuorum(ctx)
	if err != nil {
		cancel()
		return nil, nil, err
	}
	return ctx, func() { end(); cancel() }, nil
}

// HandleForwarded executes a command that another controller forwarded, if this
// controller owns the key. A command from a controller without a vote is dispatched
// instead.
func (d *Dispatcher) HandleForwarded(ctx context.Context, cmd Command) ([]byte, error) {
	ctx, cancel := d.options.Clock.WithTimeout(ctx, d.options.CommandTimeout)
	defer cancel()
	if !cmd.hasDeadline() {
		return nil, errkind.Errorf(errkind.NoQuorum, "the forwarded command has no deadline")
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

// checkDeadline returns an error if the command must no longer be started.
func (d *Dispatcher) checkDeadline(ctx context.Context, cmd Command) error {
	if ctx.Err() != nil {
		return quorum.ErrContextDone
	}
	if cmd.hasDeadline() && !d.options.Quorum.WithinDeadline(cmd.Deadline, d.options.Clock.Now()) {
		return errkind.Errorf(errkind.NoQuorum, "the forwarded command's deadline has passed, or is for another incarnation of this controller")
	}
	return nil
}

// routeWithRetries routes a command up to maxAttempts times, as long as its outcome is
// unknown and another controller has taken over the key.
func (d *Dispatcher) routeWithRetries(ctx context.Context, cmd Command) ([]byte, error) {
	for attempt := 1; ; attempt++ {
		value, err := d.route(ctx, cmd, attempt)
		decided := errkind.KindOf(err) != errkind.NoQuorum
		if decided || ctx.Err() != nil || attempt == maxAttempts || !d.preempted(cmd.Key) {
			return value, err
		}
	}
}

// preempted reports whether the local acceptor has last promised the key to another
// controller.
func (d *Dispatcher) preempted(key string) bool {
	owner := d.options.Acceptor.Slot(key).Promised.Owner
	return owner != "" && owner != d.options.Address
}

// route executes a command if this controller owns the key, and forwards it
// otherwise. If the owner does not answer, a controller with a vote takes over the
// key.
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

// takeOver executes a command on this controller, which takes over the key.
// Concurrent takeovers preempt each other and delay all commands for the key, so
// takeOver backs off first and gives up if another controller has taken over the
// key in the meantime.
func (d *Dispatcher) takeOver(ctx context.Context, cmd Command, attempt int) ([]byte, error) {
	promisedBefore := d.options.Acceptor.Slot(cmd.Key).Promised
	if !clock.Wait(ctx, d.options.Clock, time.Duration(min(attempt, maxBackoffFactor))*d.options.TakeoverBackoff()) {
		return nil, errkind.Errorf(errkind.NoQuorum, "the context ended during the backoff before a takeover")
	}
	if d.preempted(cmd.Key) && d.options.Acceptor.Slot(cmd.Key).Promised != promisedBefore {
		return nil, errkind.Errorf(errkind.NoQuorum, "another controller took over key %q during the backoff before a takeover", cmd.Key)
	}
	return d.execute(ctx, cmd, d.options.Proposer.Update)
}

// writeFunc is the proposer's Update, which takes over the key if needed, or its
// UpdateIfOwned, which does not.
type writeFunc func(ctx context.Context, key string, update register.UpdateFunc) ([]byte, error)

// execute executes a command at the local proposer. If a configuration change is
// based on a version older than the record's recent history, a chunk of the history
// decides whether the change was applied.
func (d *Dispatcher) execute(ctx context.Context, cmd Command, write writeFunc) ([]byte, error) {
	update, err := d.updateFor(cmd)
	if err != nil {
		return nil, err
	}
	value, err := write(ctx, cmd.Key, func(current []byte) ([]byte, error) {
		// The deadline may have passed while the command waited in the key's queue.
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

// updateFor returns the update of the register's value that executes a command.
func (d *Dispatcher) updateFor(cmd Command) (register.UpdateFunc, error) {
	switch cmd.Verb {
	case VerbRead:
		return func([]byte) ([]byte, error) { return nil, nil }, nil
	case VerbChange:
		return cmd.Change.ApplyWith(store.ApplyOptions{SealedCount: d.chunks.sealedCount(), MaxDecodedBytes: d.options.MaxDecodedBytes}), nil
	case VerbDrain, VerbUndrain:
		return evacuation.Update(cmd.Key, drainedByVerb[cmd.Verb], cmd.ZoneVersion), nil
	case VerbEpoch:
		return nextEpoch(cmd.Key), nil
	default:
		return nil, errkind.Errorf(errkind.UnknownCall, "unknown command verb %q", cmd.Verb)
	}
}
