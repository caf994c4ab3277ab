package command

import (
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
)

// Command is what is asked of the owner of a key.
type Command struct {
	Key    string       `avro:"Key"`
	Verb   string       `avro:"Verb"`
	Change store.Change `avro:"Change"`
	// FromNonVoter says that a controller without a vote passed it on: whoever gets
	// it brings it to the owner.
	FromNonVoter bool `avro:"Forwarded"`
	// ZoneVersion is the serial of a zone's value that was in force after the order came;
	// 0 where it was not looked for.
	ZoneVersion ids.Serial `avro:"Past"`
	// Deadline is when one that was passed on may not be begun any more.
	Deadline quorum.Deadline `avro:"Until"`
}

// SchemaName names the stored and sent form; it must never change.
func (Command) SchemaName() string { return "Order_21" }

// Result is what came of it. A kind of None says that it was done.
type Result struct {
	Kind   int64  `avro:"Kind"`
	Detail string `avro:"Detail"`
	Value  []byte `avro:"Value"`
}

// SchemaName names the stored and sent form; it must never change.
func (Result) SchemaName() string { return "Outcome_21" }

// The verbs of orders.
const (
	VerbRead    = "read"
	VerbChange  = "change"
	VerbDrain   = "empty"
	VerbUndrain = "refill"
	VerbEpoch   = "epoch"
)

var stepsByVerb = map[string]func(Command) register.UpdateFunc{
	VerbRead:    func(Command) register.UpdateFunc { return func([]byte) ([]byte, error) { return nil, nil } },
	VerbChange:  func(order Command) register.UpdateFunc { return order.Change.Apply },
	VerbDrain:   func(order Command) register.UpdateFunc { return evacuation.Update(true, order.ZoneVersion) },
	VerbUndrain: func(order Command) register.UpdateFunc { return evacuation.Update(false, order.ZoneVersion) },
	VerbEpoch:   func(Command) register.UpdateFunc { return nextEpoch },
}

func resultOf(value []byte, err error) Result {
	if err == nil {
		return Result{Value: value}
	}
	return Result{Kind: int64(errkind.KindOf(err)), Detail: errkind.DetailOf(err)}
}

func (r Result) err() error {
	if kind := errkind.Kind(r.Kind); kind != errkind.None {
		return errkind.Errorf(kind, "%s", r.Detail)
	}
	return nil
}
