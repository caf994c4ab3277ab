package transport

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"onyxwell/base/ids"
)

// maxLoggedRejections bounds how many pairs of reason and sender are remembered
// as logged; pairs beyond it are counted alone.
const maxLoggedRejections = 256

// deploymentTagLength is the length in bytes of the tag ahead of each message.
const deploymentTagLength = 4

// RejectCounts are the numbers of rejected messages, indexed by RejectReason.
type RejectCounts [rejectReasonCount]atomic.Int64

// Guard rejects messages of other deployments and counts all rejected messages.
// It is safe for concurrent use. A nil Guard accepts everything, and counts and
// tags nothing.
type Guard struct {
	// Counts may be read at any time; only Rejected changes it.
	Counts        RejectCounts
	log           *log.Logger
	deploymentTag []byte
	mu            sync.Mutex
	logged        map[string]bool
}

// NewGuard returns the guard of a deployment. The deployment's tag is a hash of
// all its zones and their regions: every daemon of a deployment is configured
// with the same ones, and they don't change while it runs. A nil logger logs nothing.
func NewGuard(zones map[ids.Zone]ids.Region, logger *log.Logger) *Guard {
	var names []string
	for zone, region := range zones {
		names = append(names, fmt.Sprintf("%q in %q", zone, region))
	}
	slices.Sort(names)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(strings.Join(names, ",")))
	return &Guard{log: logger, deploymentTag: hash.Sum(nil), logged: map[string]bool{}}
}

// Enter strips the deployment's tag off a message. It fails with the reason
// ForeignDeployment where the tag is another one, Malformed where there is none.
func (g *Guard) Enter(body []byte) ([]byte, error) {
	if g == nil {
		return body, nil
	}
	if len(body) < deploymentTagLength {
		return nil, rejectf(Malformed, "%d bytes", len(body))
	}
	if string(body[:deploymentTagLength]) != string(g.deploymentTag) {
		return nil, rejectf(ForeignDeployment, "tag %x, not %x", body[:deploymentTagLength], g.deploymentTag)
	}
	return body[deploymentTagLength:], nil
}

// Rejected counts a message that was rejected with err, and logs the first of
// each reason from each sender. Whoever drops the message calls it, once.
func (g *Guard) Rejected(sender string, err error) {
	if g == nil {
		return
	}
	reason := RejectReasonOf(err)
	g.Counts[reason].Add(1)
	if g.firstOf(reason, sender) && g.log != nil {
		g.log.Warn().Str("part", "transport").Str("reason", reason.String()).Str("sender", sender).Err(err).Msg("message rejected")
	}
}

// firstOf reports whether the pair is to be logged, and remembers it.
func (g *Guard) firstOf(reason RejectReason, sender string) bool {
	pair := reason.String() + " " + sender
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.logged[pair] || len(g.logged) >= maxLoggedRejections {
		return false
	}
	g.logged[pair] = true
	return true
}

// Totals returns the numbers of rejected messages by the names of the reasons.
// It is empty for a nil Guard.
func (g *Guard) Totals() map[string]int64 {
	totals := map[string]int64{}
	if g == nil {
		return totals
	}
	for reason := range rejectReasonCount {
		totals[reason.String()] = g.Counts[reason].Load()
	}
	return totals
}

// Seal encodes a message behind the tag of the guard's deployment.
func Seal[Message any](guard *Guard, message Message) ([]byte, error) {
	if guard == nil {
		return marshalWithPrefix(nil, message)
	}
	return marshalWithPrefix(guard.deploymentTag, message)
}

// Open decodes a message that Seal encoded. Its error has a RejectReason; the
// caller reports it to the guard's Rejected.
func Open[Message any](guard *Guard, body []byte) (Message, error) {
	rest, err := guard.Enter(body)
	if err != nil {
		var zero Message
		return zero, err
	}
	return Unmarshal[Message](rest)
}
