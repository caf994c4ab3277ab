package rollout

import (
	"strings"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// KeyPrefix begins the register's keys of rollouts; the service's name follows. It is
// stored and gossiped; it never changes.
const KeyPrefix = "rollout/"

// Key returns the register's key of a service's rollout.
func Key(service ids.Service) string { return KeyPrefix + string(service) }

// ServiceOfKey returns the service of a key; ok is false for the keys of others.
func ServiceOfKey(key string) (service ids.Service, ok bool) {
	name, ok := strings.CutPrefix(key, KeyPrefix)
	return ids.Service(name), ok
}

// Condition is what an operator is told of a rollout.
type Condition int64

// The conditions. They are stored; their numbers never change.
const (
	// NoRollout is a service without a rollout.
	NoRollout Condition = iota
	// InProgress is a rollout in progress.
	InProgress
	// Finished: all traffic goes to the target version, for good.
	Finished
	// Reverted: the target version gets nothing, for good.
	Reverted
)

var conditionNames = [...]string{"unordered", "serving", "finished", "reverted"}

// String returns the operators' word.
func (c Condition) String() string {
	if c < 0 || int(c) >= len(conditionNames) {
		return "unknown"
	}
	return conditionNames[c]
}

// Stage is how far a rollout has come.
type Stage int64

// The stages, in their order. They are stored and sent; their numbers never change.
const (
	// Waiting: the target version gets nothing; its runners start and warm up.
	Waiting Stage = iota
	// Canary: few runners of the target version carry as much as old ones do.
	Canary
	// Partial: more of them do.
	Partial
	// Full: the target version gets everything; the old one ends what it has.
	Full
	// LoadTest is no stage of a record: a permit for it allows load at a pair of runners beside
	// the canary.
	LoadTest
)

var stageNames = [...]string{"waiting", "canary", "partial", "full", "loaded"}

// String names the stage in logs, metrics and statuses.
func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return "unknown"
	}
	return stageNames[s]
}

// Record is the register's value of a service's rollout. It is stored and gossiped.
type Record struct {
	// Version rises with each write.
	Version ids.Version `avro:"Version"`
	// Order numbers the orders of a service, from 1.
	Order int64 `avro:"Order"`
	// Target is the version that is rolled out, as the list of runners writes it.
	Target string `avro:"Target"`
	// TermMS is the time that the operator gives the rollout, in milliseconds.
	TermMS int64 `avro:"TermMS"`
	// OrderedUnixMS is the agreed time of the order, in milliseconds since the start of 1970;
	// 0 where it was not known.
	OrderedUnixMS int64 `avro:"OrderedUnixMS"`
	Condition     int64 `avro:"Condition"`
	Stage         int64 `avro:"Stage"`
	// ReservedMS is how long the whole traffic of the service may have gone to the target
	// version, in milliseconds: that of all stages that were begun, of each at the longest.
	ReservedMS int64 `avro:"ReservedMS"`
	// Epoch is that of the lease of the director that wrote last; 0 is none.
	Epoch int64 `avro:"Epoch"`
	// Reason says why the last verdict fell.
	Reason string `avro:"Reason"`
	// Rejected are the versions that were reverted, oldest first.
	Rejected []string `avro:"Rejected"`
}

// SchemaName names the stored and sent form; it must never change.
func (Record) SchemaName() string { return "RolloutRecord" }

// maxRejected bounds the reverted versions that are remembered.
const maxRejected = 32

// InProgress reports whether the rollout has no verdict yet.
func (r Record) InProgress() bool { return Condition(r.Condition) == InProgress }

// IsFinished reports whether the target version has replaced the others.
func (r Record) IsFinished() bool { return Condition(r.Condition) == Finished }

// IsReverted reports whether the target version was given up.
func (r Record) IsReverted() bool { return Condition(r.Condition) == Reverted }

// Decode decodes a register's value; none is the zero Record.
func Decode(service ids.Service, value []byte) (Record, error) {
	return transport.UnmarshalStored[Record](Key(service), value)
}

// Order is what an operator asks for.
type Order struct {
	Service ids.Service
	// Target is as in Record.
	Target string
	// TermMS is the time for the rollout, in milliseconds.
	TermMS int64
	// UnixMS is the agreed time, as in Record.
	UnixMS int64
}

// Begin returns the update of a service's record that takes an order. The newest order is
// taken again without effect, whatever became of it: its acknowledgement may have been lost.
// Errors are of kind errkind.RolloutConflict and change nothing.
func Begin(order Order) func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		record, err := Decode(order.Service, current)
		if err != nil {
			return nil, err
		}
		if record.Order > 0 && record.Target == order.Target {
			return nil, checkRepeatedOrder(record, order)
		}
		if record.InProgress() {
			return nil, errkind.Errorf(errkind.RolloutConflict, "target_version: %s is being rolled out", record.Target)
		}
		for _, rejected := range record.Rejected {
			if rejected == order.Target {
				return nil, errkind.Errorf(errkind.RolloutConflict, "target_version: %s was reverted", order.Target)
			}
		}
		return transport.Marshal(Record{
			Version: record.Version + 1, Order: record.Order + 1, Target: order.Target, TermMS: order.TermMS,
			OrderedUnixMS: order.UnixMS, Condition: int64(InProgress), Rejected: record.Rejected,
		})
	}
}

// checkRepeatedOrder returns nil for an order that repeats the newest one, else what is in its
// way.
func checkRepeatedOrder(record Record, order Order) error {
	switch {
	case record.TermMS == order.TermMS:
		return nil
	case record.InProgress():
		return errkind.Errorf(errkind.RolloutConflict, "over_s: %s is being rolled out with another term", order.Target)
	case record.IsReverted():
		return errkind.Errorf(errkind.RolloutConflict, "target_version: %s was reverted", order.Target)
	}
	return errkind.Errorf(errkind.RolloutConflict, "target_version: %s is in place", order.Target)
}

// Transition is a step of a rollout in progress.
type Transition struct {
	Service ids.Service
	// Order is the one that the step belongs to, Epoch that of the director's lease.
	Order int64
	Epoch int64
	// To is Serving for the next stage, else the verdict.
	To    Condition
	Stage Stage
	// ReserveMS is the exposure of the stage, added to what is reserved.
	ReserveMS int64
	Reason    string
}

// Apply returns the update of a service's record that takes the step. It leaves the record
// as it is where the step is outdated: another order, a verdict, a later epoch, or a stage
// that is not behind it.
func (t Transition) Apply() func(current []byte) ([]byte, error) {
	return func(current []byte) ([]byte, error) {
		record, err := Decode(t.Service, current)
		if err != nil {
			return nil, err
		}
		outdated := record.Order != t.Order || !record.InProgress() || record.Epoch > t.Epoch || (t.To == InProgress && Stage(record.Stage) > t.Stage)
		if outdated {
			return nil, nil
		}
		record.Version++
		record.Epoch, record.Condition, record.Stage = t.Epoch, int64(t.To), int64(t.Stage)
		record.ReservedMS += t.ReserveMS
		record.Reason = t.Reason
		if t.To == Reverted {
			record.Rejected = append(record.Rejected, record.Target)
			record.Rejected = record.Rejected[max(0, len(record.Rejected)-maxRejected):]
		}
		return transport.Marshal(record)
	}
}
