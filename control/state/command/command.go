package command

import (
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config/store"
	"onyxwell/control/state/quorum"
)

// Command is one operation on the register's value of a key. It is sent between
// controllers.
type Command struct {
	Key  string `avro:"Key"`
	Verb string `avro:"Verb"`
	// Change is the argument of VerbChange.
	Change store.Change `avro:"Change"`
	// FromNonVoter marks a command forwarded by a controller without a vote,
	// which does not know the key's owner: the receiver dispatches it.
	FromNonVoter bool `avro:"Forwarded"`
	// ZoneVersion is the version of a zone's state read after the command
	// arrived; 0 before it was read. See dispatchOnce.
	ZoneVersion ids.Version `avro:"Past"`
	// Deadline, in the receiver's clock, is when a forwarded command may not be
	// started any more; the zero value if it was not forwarded.
	Deadline quorum.Deadline `avro:"Until"`
}

// SchemaName names the stored and sent form; it must never change.
func (Command) SchemaName() string { return "Order_21" }

func (c Command) hasDeadline() bool { return c.Deadline != (quorum.Deadline{}) }

// Result is the outcome of a forwarded command: a Kind of errkind.None with the
// register's value, or an error. It is sent between controllers.
type Result struct {
	Kind   int64  `avro:"Kind"`
	Detail string `avro:"Detail"`
	Value  []byte `avro:"Value"`
}

// SchemaName names the stored and sent form; it must never change.
func (Result) SchemaName() string { return "Outcome_21" }

// The verbs of commands, as sent between controllers.
const (
	// VerbRead confirms the value by a majority and leaves it as it is.
	VerbRead = "read"
	// VerbChange applies a change to the configuration.
	VerbChange = "change"
	// VerbDrain drains a zone.
	VerbDrain = "empty"
	// VerbUndrain ends the draining of a zone.
	VerbUndrain = "refill"
	// VerbEpoch increments the epoch of a lease.
	VerbEpoch = "epoch"
)

// resultOf turns what a method returned into its result on the wire.
func resultOf(value []byte, err error) Result {
	if err == nil {
		return Result{Value: value}
	}
	return Result{Kind: int64(errkind.KindOf(err)), Detail: errkind.DetailOf(err)}
}

// decided tells whether the result leaves no doubt whether the command was
// executed.
func (r Result) decided() bool {
	kind := errkind.Kind(r.Kind)
	return kind != errkind.NoQuorum && kind != errkind.Internal
}

func (r Result) err() error {
	if kind := errkind.Kind(r.Kind); kind != errkind.None {
		return errkind.Errorf(kind, "%s", r.Detail)
	}
	return nil
}
