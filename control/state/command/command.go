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
	// FromNonVoter reports that a controller without a vote forwarded the command.
	// It does not know the key's owner, so the receiver dispatches the command.
	FromNonVoter bool `avro:"Forwarded"`
	// ZoneVersion is the version of the zone's state as read after the command
	// arrived, or 0 if it has not been read. See dispatchOnce.
	ZoneVersion ids.Version `avro:"Past"`
	// Deadline is the instant on the receiver's clock from which on a forwarded
	// command must not be started. It is the zero value if the command was not
	// forwarded.
	Deadline quorum.Deadline `avro:"Until"`
}

// SchemaName returns the Avro record name on the wire; it must never change.
func (Command) SchemaName() string { return "Order_21" }

func (c Command) hasDeadline() bool { return c.Deadline != (quorum.Deadline{}) }

// Result is the outcome of a forwarded command: the register's value, with Kind
// errkind.None, or the kind and the detail of an error. It is sent between
// controllers.
type Result struct {
	Kind   int64  `avro:"Kind"`
	Detail string `avro:"Detail"`
	Value  []byte `avro:"Value"`
}

// SchemaName returns the Avro record name on the wire; it must never change.
func (Result) SchemaName() string { return "Outcome_21" }

// Verbs of commands, as sent between controllers.
const (
	// VerbRead has a majority confirm the value, without changing it.
	VerbRead = "read"
	// VerbChange applies Command.Change to the configuration.
	VerbChange = "change"
	// VerbDrain drains a zone.
	VerbDrain = "empty"
	// VerbUndrain ends the draining of a zone.
	VerbUndrain = "refill"
	// VerbEpoch increments the epoch of a lease.
	VerbEpoch = "epoch"
)

// resultOf returns the Result that encodes a value or an error.
func resultOf(value []byte, err error) Result {
	if err == nil {
		return Result{Value: value}
	}
	return Result{Kind: int64(errkind.KindOf(err)), Detail: errkind.DetailOf(err)}
}

// decided reports whether the result says for certain that the command was or was
// not executed.
func (r Result) decided() bool {
	kind := errkind.Kind(r.Kind)
	return kind != errkind.NoQuorum && kind != errkind.Internal
}

// err returns the error that the result encodes, or nil.
func (r Result) err() error {
	if kind := errkind.Kind(r.Kind); kind != errkind.None {
		return errkind.Errorf(kind, "%s", r.Detail)
	}
	return nil
}
