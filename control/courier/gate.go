package courier

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Flaw is what is wrong with a message that was refused.
type Flaw int

// The flaws.
const (
	Torn Flaw = iota
	Version
	Foreign
	Oversized
	Unknown
	flaws
)

var flawNames = [flaws]string{"torn", "version", "deployment", "oversized", "unknown"}

// FlawNames gives the names of all flaws, by flaw.
func FlawNames() []string { return flawNames[:] }

// String gives the flaw's name as the log and the status carry it.
func (flaw Flaw) String() string { return flawNames[flaw] }

// flawed is a failure of kind BadRequest that knows its flaw.
type flawed struct {
	flaw Flaw
	told error
}

// Error tells the failure.
func (err *flawed) Error() string { return err.told.Error() }

// Unwrap gives the failure.
func (err *flawed) Unwrap() error { return err.told }

func flawOf(flaw Flaw, format string, values ...any) error {
	return &flawed{flaw: flaw, told: failure.Of(failure.BadRequest, "%s: %s", flaw, fmt.Sprintf(format, values...))}
}

// FlawOf finds what is wrong with a message by the error that refused it.
func FlawOf(err error) Flaw {
	var known *flawed
	if errors.As(err, &known) {
		return known.flaw
	}
	if flaw, found := flawOfKind[failure.KindOf(err)]; found {
		return flaw
	}
	return Torn
}

var flawOfKind = map[failure.Kind]Flaw{failure.BodyTooLarge: Oversized, failure.UnknownCall: Unknown}

// toldLimit bounds how many pairs of flaw and sender are remembered as logged.
const toldLimit = 256

// Counts are how many messages were refused, by their flaw.
type Counts [flaws]atomic.Int64

// Gate stands before all that a daemon hears from others of its kind: it lets
// nothing in from another deployment, and counts what is refused. A nil gate
// lets everything in and counts nothing.
type Gate struct {
	Counts Counts
	mark   []byte
	lock   sync.Mutex
	told   map[string]bool
}

// markLength is how many bytes of a deployment's mark go ahead of each message.
const markLength = 4

// NewGate makes the gate of a deployment. Its mark is derived from the zones of
// the boot file and their regions: all daemons of a deployment are told the
// same ones, and they stay.
func NewGate(zones map[ids.Zone]ids.Region) *Gate {
	var names []string
	for zone, region := range zones {
		names = append(names, fmt.Sprintf("%q in %q", zone, region))
	}
	slices.Sort(names)
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(strings.Join(names, ",")))
	return &Gate{mark: digest.Sum(nil), told: map[string]bool{}}
}

// Enter takes the mark off a message, or refuses one of another deployment.
func (gate *Gate) Enter(body []byte) ([]byte, error) {
	if gate == nil {
		return body, nil
	}
	if len(body) < markLength {
		return nil, flawOf(Torn, "%d bytes", len(body))
	}
	if string(body[:markLength]) != string(gate.mark) {
		return nil, flawOf(Foreign, "mark %x, not %x", body[:markLength], gate.mark)
	}
	return body[markLength:], nil
}

// Refused counts a message that was refused, and logs the first of its flaw
// from that sender.
func (gate *Gate) Refused(inner scope.Scope, sender string, err error) {
	if gate == nil {
		return
	}
	flaw := FlawOf(err)
	gate.Counts[flaw].Add(1)
	name := flaw.String() + " " + sender
	gate.lock.Lock()
	logged := gate.told[name] || len(gate.told) >= toldLimit
	if !logged {
		gate.told[name] = true
	}
	gate.lock.Unlock()
	if !logged {
		inner.Log.Warn().Str("part", "gate").Str("flaw", flaw.String()).Str("sender", sender).Msg(err.Error())
	}
}

// Totals gives the counts by the names of the flaws.
func (gate *Gate) Totals() map[string]int64 {
	totals := map[string]int64{}
	if gate == nil {
		return totals
	}
	for flaw := range flaws {
		totals[flaw.String()] = gate.Counts[flaw].Load()
	}
	return totals
}

// Enclose packs a message with the mark of the gate's deployment.
func Enclose[Message any](gate *Gate, message Message) ([]byte, error) {
	if gate == nil {
		return packAfter(nil, message)
	}
	return packAfter(gate.mark, message)
}

// Disclose reads a message that Enclose made.
func Disclose[Message any](gate *Gate, body []byte) (Message, error) {
	rest, err := gate.Enter(body)
	if err != nil {
		var nothing Message
		return nothing, err
	}
	return Unpack[Message](rest)
}
