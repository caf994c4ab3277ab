package transport

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"onyxwell/base/errkind"
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
func (f Flaw) String() string { return flawNames[f] }

// flawed is a failure of kind BadRequest that knows its flaw.
type flawed struct {
	flaw Flaw
	told error
}

// Error tells the failure.
func (f *flawed) Error() string { return f.told.Error() }

// Unwrap gives the failure.
func (f *flawed) Unwrap() error { return f.told }

func flawOf(flaw Flaw, format string, values ...any) error {
	return &flawed{flaw: flaw, told: errkind.Of(errkind.BadRequest, "%s: %s", flaw, fmt.Sprintf(format, values...))}
}

// FlawOf finds what is wrong with a message by the error that refused it.
func FlawOf(err error) Flaw {
	var known *flawed
	if errors.As(err, &known) {
		return known.flaw
	}
	if flaw, found := flawOfKind[errkind.KindOf(err)]; found {
		return flaw
	}
	return Torn
}

var flawOfKind = map[errkind.Kind]Flaw{errkind.BodyTooLarge: Oversized, errkind.UnknownCall: Unknown}

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
	mu     sync.Mutex
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
func (g *Gate) Enter(body []byte) ([]byte, error) {
	if g == nil {
		return body, nil
	}
	if len(body) < markLength {
		return nil, flawOf(Torn, "%d bytes", len(body))
	}
	if string(body[:markLength]) != string(g.mark) {
		return nil, flawOf(Foreign, "mark %x, not %x", body[:markLength], g.mark)
	}
	return body[markLength:], nil
}

// Refused counts a message that was refused, and logs the first of its flaw
// from that sender.
func (g *Gate) Refused(ctx scope.Scope, sender string, err error) {
	if g == nil {
		return
	}
	flaw := FlawOf(err)
	g.Counts[flaw].Add(1)
	name := flaw.String() + " " + sender
	g.mu.Lock()
	logged := g.told[name] || len(g.told) >= toldLimit
	if !logged {
		g.told[name] = true
	}
	g.mu.Unlock()
	if !logged {
		ctx.Log.Warn().Str("part", "gate").Str("flaw", flaw.String()).Str("sender", sender).Msg(err.Error())
	}
}

// Totals gives the counts by the names of the flaws.
func (g *Gate) Totals() map[string]int64 {
	totals := map[string]int64{}
	if g == nil {
		return totals
	}
	for flaw := range flaws {
		totals[flaw.String()] = g.Counts[flaw].Load()
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
