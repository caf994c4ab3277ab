package command

import (
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/state/quorum"
	"onyxwell/control/state/register"
)

// Order is what is asked of the owner of a key.
type Order struct {
	Key    string       `avro:"Key"`
	Verb   string       `avro:"Verb"`
	Change store.Change `avro:"Change"`
	// Forwarded says that a controller without a vote passed it on: whoever gets
	// it brings it to the owner.
	Forwarded bool `avro:"Forwarded"`
	// Past is the serial of a zone's value that was in force after the order came;
	// 0 where it was not looked for.
	Past ids.Serial `avro:"Past"`
	// Until is when one that was passed on may not be begun any more.
	Until quorum.Deadline `avro:"Until"`
}

// SchemaName names the stored and sent form; it must never change.
func (Order) SchemaName() string { return "Order_21" }

// Outcome is what came of it. A kind of None says that it was done.
type Outcome struct {
	Kind   int64  `avro:"Kind"`
	Detail string `avro:"Detail"`
	Value  []byte `avro:"Value"`
}

// SchemaName names the stored and sent form; it must never change.
func (Outcome) SchemaName() string { return "Outcome_21" }

// The verbs of orders.
const (
	VerbRead   = "read"
	VerbChange = "change"
	VerbEmpty  = "empty"
	VerbRefill = "refill"
	VerbEpoch  = "epoch"
)

var verbs = map[string]func(Order) register.UpdateFunc{
	VerbRead:   func(Order) register.UpdateFunc { return func([]byte) ([]byte, error) { return nil, nil } },
	VerbChange: func(order Order) register.UpdateFunc { return order.Change.Step },
	VerbEmpty:  func(order Order) register.UpdateFunc { return evacuation.Step(true, order.Past) },
	VerbRefill: func(order Order) register.UpdateFunc { return evacuation.Step(false, order.Past) },
	VerbEpoch:  func(Order) register.UpdateFunc { return nextEpoch },
}

func outcomeOf(value []byte, err error) Outcome {
	if err == nil {
		return Outcome{Value: value}
	}
	return Outcome{Kind: int64(errkind.KindOf(err)), Detail: errkind.DetailOf(err)}
}

func (o Outcome) err() error {
	if kind := errkind.Kind(o.Kind); kind != errkind.None {
		return errkind.Of(kind, "%s", o.Detail)
	}
	return nil
}
