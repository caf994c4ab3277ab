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

// RejectReason is what is wrong with a message that was refused.
type RejectReason int

// The flaws.
const (
	Malformed RejectReason = iota
	SchemaMismatch
	ForeignDeployment
	TooLarge
	UnknownMessage
	rejectReasonCount
)

var rejectReasonNames = [rejectReasonCount]string{"torn", "version", "deployment", "oversized", "unknown"}

// RejectReasonNames gives the names of all flaws, by flaw.
func RejectReasonNames() []string { return rejectReasonNames[:] }

// String gives the flaw's name as the log and the status carry it.
func (r RejectReason) String() string { return rejectReasonNames[r] }

// rejectError is a failure of kind BadRequest that knows its flaw.
type rejectError struct {
	reason RejectReason
	err    error
}

// Error tells the failure.
func (r *rejectError) Error() string { return r.err.Error() }

// Unwrap gives the failure.
func (r *rejectError) Unwrap() error { return r.err }

func rejectf(flaw RejectReason, format string, values ...any) error {
	return &rejectError{reason: flaw, err: errkind.Errorf(errkind.BadRequest, "%s: %s", flaw, fmt.Sprintf(format, values...))}
}

// RejectReasonOf finds what is wrong with a message by the error that refused it.
func RejectReasonOf(err error) RejectReason {
	var known *rejectError
	if errors.As(err, &known) {
		return known.reason
	}
	if flaw, found := rejectReasonByKind[errkind.KindOf(err)]; found {
		return flaw
	}
	return Malformed
}

var rejectReasonByKind = map[errkind.Kind]RejectReason{errkind.BodyTooLarge: TooLarge, errkind.UnknownCall: UnknownMessage}

// maxLoggedRejections bounds how many pairs of flaw and sender are remembered as logged.
const maxLoggedRejections = 256

// RejectCounts are how many messages were refused, by their flaw.
type RejectCounts [rejectReasonCount]atomic.Int64

// Guard stands before all that a daemon hears from others of its kind: it lets
// nothing in from another deployment, and counts what is refused. A nil gate
// lets everything in and counts nothing.
type Guard struct {
	Counts        RejectCounts
	deploymentTag []byte
	mu            sync.Mutex
	logged        map[string]bool
}

// deploymentTagLength is how many bytes of a deployment's mark go ahead of each message.
const deploymentTagLength = 4

// NewGuard makes the gate of a deployment. Its mark is derived from the zones of
// the boot file and their regions: all daemons of a deployment are told the
// same ones, and they stay.
func NewGuard(zones map[ids.Zone]ids.Region) *Guard {
	var names []string
	for zone, region := range zones {
		names = append(names, fmt.Sprintf("%q in %q", zone, region))
	}
	slices.Sort(names)
	digest := fnv.New32a()
	_, _ = digest.Write([]byte(strings.Join(names, ",")))
	return &Guard{deploymentTag: digest.Sum(nil), logged: map[string]bool{}}
}

// Enter takes the mark off a message, or refuses one of another deployment.
func (g *Guard) Enter(body []byte) ([]byte, error) {
	if g == nil {
		return body, nil
	}
	if len(body) < deploymentTagLength {
		return nil, rejectf(Malformed, "%d bytes", len(body))
	}
	if string(body[:deploymentTagLength]) != string(g.deploymentTag) {
		return nil, rejectf(ForeignDeployment, "mark %x, not %x", body[:deploymentTagLength], g.deploymentTag)
	}
	return body[deploymentTagLength:], nil
}

// Rejected counts a message that was refused, and logs the first of its flaw
// from that sender.
func (g *Guard) Rejected(ctx scope.Scope, sender string, err error) {
	if g == nil {
		return
	}
	flaw := RejectReasonOf(err)
	g.Counts[flaw].Add(1)
	name := flaw.String() + " " + sender
	g.mu.Lock()
	logged := g.logged[name] || len(g.logged) >= maxLoggedRejections
	if !logged {
		g.logged[name] = true
	}
	g.mu.Unlock()
	if !logged {
		ctx.Log.Warn().Str("part", "gate").Str("flaw", flaw.String()).Str("sender", sender).Msg(err.Error())
	}
}

// Totals gives the counts by the names of the flaws.
func (g *Guard) Totals() map[string]int64 {
	totals := map[string]int64{}
	if g == nil {
		return totals
	}
	for flaw := range rejectReasonCount {
		totals[flaw.String()] = g.Counts[flaw].Load()
	}
	return totals
}

// Seal packs a message with the mark of the gate's deployment.
func Seal[Message any](gate *Guard, message Message) ([]byte, error) {
	if gate == nil {
		return marshalWithPrefix(nil, message)
	}
	return marshalWithPrefix(gate.deploymentTag, message)
}

// Open reads a message that Enclose made.
func Open[Message any](gate *Guard, body []byte) (Message, error) {
	rest, err := gate.Enter(body)
	if err != nil {
		var nothing Message
		return nothing, err
	}
	return Unmarshal[Message](rest)
}
