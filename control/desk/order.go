package desk

import (
	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/control/contact"
	"onyxwell/control/evacuation"
	"onyxwell/control/register"
	"onyxwell/control/revision"
)

// Order is what is asked of the owner of a key.
type Order struct {
	Key    string
	Verb   string
	Change revision.Change
	// Forwarded says that a controller without a vote passed it on: whoever gets
	// it brings it to the owner.
	Forwarded bool
	// Past is the serial of a zone's value that was in force after the order came;
	// 0 where it was not looked for.
	Past ids.Serial
	// Until is when one that was passed on may not be begun any more.
	Until contact.Stamp
}

// Outcome is what came of it. A kind of None says that it was done.
type Outcome struct {
	Kind   int64
	Detail string
	Value  []byte
}

// The verbs of orders.
const (
	VerbRead   = "read"
	VerbChange = "change"
	VerbEmpty  = "empty"
	VerbRefill = "refill"
	VerbEpoch  = "epoch"
)

var verbs = map[string]func(Order) register.Step{
	VerbRead:   func(Order) register.Step { return func([]byte) ([]byte, error) { return nil, nil } },
	VerbChange: func(order Order) register.Step { return order.Change.Step },
	VerbEmpty:  func(order Order) register.Step { return evacuation.Step(true, order.Past) },
	VerbRefill: func(order Order) register.Step { return evacuation.Step(false, order.Past) },
	VerbEpoch:  func(Order) register.Step { return nextEpoch },
}

func outcomeOf(value []byte, err error) Outcome {
	if err == nil {
		return Outcome{Value: value}
	}
	return Outcome{Kind: int64(failure.KindOf(err)), Detail: failure.DetailOf(err)}
}

func (outcome Outcome) err() error {
	if kind := failure.Kind(outcome.Kind); kind != failure.None {
		return failure.Of(kind, "%s", outcome.Detail)
	}
	return nil
}
