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

// maxLoggedRejections is the maximum number of pairs of reason and sender that are
// logged and remembered. Rejections of further pairs are counted but not logged.
const maxLoggedRejections = 256

// deploymentTagLength is the length in bytes of the tag that precedes each message.
const deploymentTagLength = 4

// RejectCounts has the number of rejected messages per RejectReason.
type RejectCounts [rejectReasonCount]atomic.Int64

// Guard rejects messages from other deployments and counts all rejected messages.
// It is safe for concurrent use. A nil Guard accepts all messages, adds no tag and
// counts nothing.
type Guard struct {
	// Counts may be read at any time. Only Rejected modifies it.
	Counts        RejectCounts
	log           *log.Logger
	deploymentTag []byte
	mu            sync.Mutex
	logged        map[string]bool
}

// NewGuard returns the guard of a deployment. The deployment tag is a hash of all
// zones and their regions, because every daemon of a deployment is configured with
// the same ones and they don't change at run time. A nil logger disables logging.
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

// Enter removes the deployment tag from a message. It fails with the reason
// ForeignDeployment if the tag is that of another deployment, and with Malformed if
// the message is too short to have one.
func (g *Guard) Enter(body []byte) ([]byte, error) {
	if g == nil {
		return body, nil
	}
	if len(body) < deploymentTagLength {
		return nil, rejectf(Malformed, "message of %d bytes is shorter than a deployment tag", len(body))
	}
	if string(body[:deploymentTagLength]) != string(g.deploymentTag) {
		return nil, rejectf(ForeignDeployment, "message has deployment tag %x, not %x", body[:deploymentTagLength], g.deploymentTag)
	}
	return body[deploymentTagLength:], nil
}

// Rejected counts a message that was rejected with err and logs the first
// rejection for each pair of reason and sender, up to maxLoggedRejections pairs.
// The code that drops a message must call it exactly once.
func (g *Guard) Rejected(sender string, err error) {
	if g == nil {
		return
	}
	reason := RejectReasonOf(err)
	g.Counts[reason].Add(1)
	if g.markLogged(reason, sender) && g.log != nil {
		g.log.Warn().Str("part", "transport").Str("reason", reason.String()).Str("sender", sender).Err(err).Msg("message rejected")
	}
}

// markLogged records the pair as logged and reports whether it must be logged now.
// It returns false for a known pair and once maxLoggedRejections is reached.
func (g *Guard) markLogged(reason RejectReason, sender string) bool {
	pair := reason.String() + " " + sender
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.logged[pair] || len(g.logged) >= maxLoggedRejections {
		return false
	}
	g.logged[pair] = true
	return true
}

// Totals returns the number of rejected messages by the name of the reason. The map
// is empty for a nil Guard.
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

// Seal encodes a message and prepends the deployment tag of the guard.
func Seal[Message any](guard *Guard, message Message) ([]byte, error) {
	if guard == nil {
		return marshalWithPrefix(nil, message)
	}
	return marshalWithPrefix(guard.deploymentTag, message)
}

// Open decodes a message that was encoded by Seal. Its error has a RejectReason;
// the caller must pass it to Guard.Rejected.
func Open[Message any](guard *Guard, body []byte) (Message, error) {
	rest, err := guard.Enter(body)
	if err != nil {
		var zero Message
		return zero, err
	}
	return Unmarshal[Message](rest)
}
