package rollout

import (
	"slices"
	"strings"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// KeyPrefix is the prefix of the register keys of rollouts; the service's name follows. It is
// stored and gossiped and must never change.
const KeyPrefix = "rollout/"

// Key returns the register key of a service's rollout.
func Key(service ids.Service) string { return KeyPrefix + string(service) }

// ServiceOfKey returns the service of a rollout's register key; ok is false for other keys.
func ServiceOfKey(key string) (service ids.Service, ok bool) {
	name, ok := strings.CutPrefix(key, KeyPrefix)
	return ids.Service(name), ok
}

// Condition is the state of a rollout as operators see it.
type Condition int64

// The conditions. They are stored; their numbers must never change.
const (
	// NoRollout is the condition of a service without a rollout.
	NoRollout Condition = iota
	// InProgress is the condition of a rollout that is neither finished nor reverted.
	InProgress
	// Finished: all traffic goes to the target version. This is final.
	Finished
	// Reverted: the target version gets no traffic. This is final.
	Reverted
)

var conditionNames = [...]string{"unordered", "serving", "finished", "reverted"}

// String returns the name of the condition in statuses, logs and metrics.
func (c Condition) String() string {
	if c < 0 || int(c) >= len(conditionNames) {
		return "unknown"
	}
	return conditionNames[c]
}

// Stage is the stage of a rollout.
type Stage int64

// The stages, in their order. They are stored and sent; their numbers must never change.
const (
	// Waiting: the target version gets no traffic; its runners start and warm up.
	Waiting Stage = iota
	// Canary: a few runners of the target version get traffic.
	Canary
	// Partial: a larger fraction of them gets traffic, each as much as an old runner.
	Partial
	// Full: the target version gets all new requests; those running at the old one end.
	Full
	// LoadTest is not a stage of a record. A permit for it allows the load test, which runs
	// beside the canary.
	LoadTest
)

var stageNames = [...]string{"waiting", "canary", "partial", "full", "loaded"}

// String returns the name of the stage in logs, metrics and statuses.
func (s Stage) String() string {
	if s < 0 || int(s) >= len(stageNames) {
		return "unknown"
	}
	return stageNames[s]
}

// Record is the register value of a service's rollout. It is stored and gossiped.
type Record struct {
	// Version is incremented by each write.
	Version ids.Version `avro:"Version"`
	// Order numbers the orders of a service, starting at 1.
	Order int64 `avro:"Order"`
	// Target is the version that is rolled out, as written in the list of runners.
	Target string `avro:"Target"`
	// TermMS is the time that the operator allows for the rollout, in milliseconds.
	TermMS int64 `avro:"TermMS"`
	// OrderedUnixMS is the cluster's agreed time of the order, in milliseconds since the Unix
	// epoch, 0 if that time was unknown.
	OrderedUnixMS int64 `avro:"OrderedUnixMS"`
	Condition     int64 `avro:"Condition"`
	Stage         int64 `avro:"Stage"`
	// ReservedMS is the exposure reserved by all stages begun so far, each with its maximum
	// duration: the time in milliseconds for which all of the service's traffic may have gone
	// to the target version.
	ReservedMS int64 `avro:"ReservedMS"`
	// Epoch is that of the lease of the director that wrote last, 0 if none has.
	Epoch int64 `avro:"Epoch"`
	// Reason is the reason for the last transition.
	Reason string `avro:"Reason"`
	// Rejected are the versions that were reverted, oldest first.
	Rejected []string `avro:"Rejected"`
}

// SchemaName names the stored and sent form; it must never change.
func (Record) SchemaName() string { return "RolloutRecord" }

// maxRejected bounds the number of reverted versions that are remembered.
const maxRejected = 32

// InProgress reports whether the rollout is neither finished nor reverted.
func (r Record) InProgress() bool { return Condition(r.Condition) == InProgress }

// IsFinished reports whether the target version has replaced the others.
func (r Record) IsFinished() bool { return Condition(r.Condition) == Finished }

// IsReverted reports whether the target version was reverted.
func (r Record) IsReverted() bool { return Condition(r.Condition) == Reverted }

// rejects reports whether a version was reverted by this rollout or by an earlier one.
func (r Record) rejects(version string) bool {
	return slices.Contains(r.Rejected, version) || (r.IsReverted() && version == r.Target)
}

// Decode decodes a register value; an empty value yields the zero Record.
func Decode(service ids.Service, value []byte) (Record, error) {
	return transport.UnmarshalStored[Record](Key(service), value)
}

// Order is an operator's order to roll out a version.
type Order struct {
	Service ids.Service
	// Target is the version to roll out, as in Record.
	Target string
	// TermMS is the time allowed for the rollout, in milliseconds.
	TermMS int64
	// UnixMS is the time of the order, as in Record.OrderedUnixMS.
	UnixMS int64
}

// Begin returns the register update that accepts an order. Repeating the newest order has no
// effect and is no error, whatever became of that order, since its acknowledgement may have
// been lost. Errors of kind errkind.RolloutConflict report an order that can't be accepted; the
// record is unchanged then.
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
		if record.rejects(order.Target) {
			return nil, errkind.Errorf(errkind.RolloutConflict, "target_version: %s was reverted", order.Target)
		}
		return transport.Marshal(Record{
			Version: record.Version + 1, Order: record.Order + 1, Target: order.Target, TermMS: order.TermMS,
			OrderedUnixMS: order.UnixMS, Condition: int64(InProgress), Rejected: record.Rejected,
		})
	}
}

// checkRepeatedOrder returns nil for an order that repeats the newest one, else the conflict.
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
	// Order is the order that the step belongs to, Epoch that of the director's lease.
	Order int64
	Epoch int64
	// To is InProgress to enter or continue Stage, else the final condition.
	To    Condition
	Stage Stage
	// ReserveMS is the exposure of the stage, added to the exposure reserved.
	ReserveMS int64
	Reason    string
}

// Apply returns the register update that applies the step. It changes nothing if the step is
// outdated: the record has another order, is finished or reverted, or was written under a later
// epoch, or the step is to InProgress and the record is at a later stage.
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
