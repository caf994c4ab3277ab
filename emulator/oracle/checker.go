// Package oracle holds what clients asked, what ran at which runner and what the
// clients got, by attempt id, and says afterwards which rules were broken. It
// knows nothing of sockets and clocks.
package oracle

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Kind says what may be repeated, and how an attempt is answered.
type Kind string

// The kinds of attempts.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Stream    Kind = "stream"
	Resumable Kind = "resumable"
	// Malformed requests are wrong in themselves: no runner may see them.
	Malformed Kind = "rude"
)

// Idempotent tells whether an attempt of the kind may run more than once.
func (k Kind) Idempotent() bool { return k == Safe || k == Resumable }

// Streams tells whether the answer is a series of events.
func (k Kind) Streams() bool { return k == Stream || k == Resumable }

// Fingerprint is what must reach a runner as the client sent it.
type Fingerprint struct {
	Method string
	Target string
	Host   string
	// Body is a digest of the body.
	Body uint64
}

// Request is an attempt as a client sends it.
type Request struct {
	Attempt     string
	Kind        Kind
	Service     string
	Fingerprint Fingerprint
	// LastEventID is the id of the last event that the client has; 0 is none.
	LastEventID int
	// Note is shown with the history.
	Note string
}

func noteSuffix(text string) string {
	if text == "" {
		return ""
	}
	return ", " + text
}

// Run is a request that arrived whole at a runner.
type Run struct {
	Attempt     string
	Runner      string
	Service     string
	Seal        string
	Fingerprint Fingerprint
	// Rejected says that the runner turned it away and will never run it.
	Rejected bool
	// Status is what the runner answered, or would have.
	Status int
	// LastEventID is the event after which the run began.
	LastEventID int
	// DeclaredLength is the length that the runner gave its body where that's shorter
	// than the body; 0 is the whole.
	DeclaredLength int
	// BodyUnread says that the runner answers before it has read the body.
	BodyUnread bool
	Faults     []string
}

// Response is what a client got for an attempt.
type Response struct {
	Attempt string
	// Status is 0 where no head of an answer came.
	Status int
	// EchoedAttempt and Seal are the heads with which runners mark their answers.
	EchoedAttempt string
	Seal          string
	Body          string
	// Complete says that the answer looked complete.
	Complete bool
	// ExtraBytes are bytes that came on the connection while no request waited.
	ExtraBytes string
	Note       string
}

// Violation is a broken rule.
type Violation struct {
	Rule    string
	Attempt string
	Reason  string
	History []string
}

type attempt struct {
	request    *Request
	runs       []Run
	responses  []Response
	history    []string
	violations []Violation
}

// Checker holds the history. The zero value is ready.
type Checker struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// previous are those that were forgotten last: a request of theirs may still
	// have been on its way to a runner.
	previous map[string]*attempt
}

func (c *Checker) withAttempt(id string, act func(known *attempt)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts == nil {
		c.attempts = map[string]*attempt{}
	}
	known := c.attempts[id]
	if known == nil {
		known = c.previous[id]
	}
	if known == nil {
		known = &attempt{}
		c.attempts[id] = known
	}
	act(known)
}

// RecordRequest notes an attempt right before the client sends it.
func (c *Checker) RecordRequest(asked Request) {
	c.withAttempt(asked.Attempt, func(known *attempt) {
		known.request = &asked
		known.history = append(known.history, fmt.Sprintf("asked: %s %s %s, service %s, after event %d",
			asked.Kind, asked.Fingerprint.Method, asked.Fingerprint.Target, asked.Service, asked.LastEventID)+noteSuffix(asked.Note))
	})
}

// RecordRun notes what arrived at a runner, before a byte of its answer is written.
func (c *Checker) RecordRun(run Run) {
	c.withAttempt(run.Attempt, func(known *attempt) {
		known.runs = append(known.runs, run)
		what := "ran"
		if run.Rejected {
			what = "refused"
		}
		known.history = append(known.history, fmt.Sprintf("%s: at %s of %s, seal %s, status %d, after event %d, troubles [%s]",
			what, run.Runner, run.Service, run.Seal, run.Status, run.LastEventID, strings.Join(run.Faults, " ")))
	})
}

// RecordResponse notes what a client got. What can be told at once is: bodies are not kept.
func (c *Checker) RecordResponse(got Response) {
	c.withAttempt(got.Attempt, func(known *attempt) {
		known.history = append(known.history, fmt.Sprintf("got: status %d, seal %s, echo %s, %d bytes, whole %v %s",
			got.Status, got.Seal, got.EchoedAttempt, len(got.Body), got.Complete, got.Note))
		for _, rule := range responseRules {
			if why := rule.broken(known, got); why != "" {
				known.violations = append(known.violations, Violation{Rule: rule.name, Attempt: got.Attempt, Reason: why})
			}
		}
		got.Body, got.ExtraBytes = "", ""
		known.responses = append(known.responses, got)
	})
}

// Check tells all broken rules; it is asked after all is over.
func (c *Checker) Check() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := append(checkAll(c.previous), checkAll(c.attempts)...)
	sort.SliceStable(found, func(left int, right int) bool { return found[left].Attempt < found[right].Attempt })
	return found
}

func checkAll(attempts map[string]*attempt) []Violation {
	var found []Violation
	for id, known := range attempts {
		broken := known.violations
		for _, rule := range attemptRules {
			if why := rule.broken(known); why != "" {
				broken = append(broken, Violation{Rule: rule.name, Attempt: id, Reason: why})
			}
		}
		for _, verdict := range broken {
			verdict.History = append([]string(nil), known.history...)
			found = append(found, verdict)
		}
	}
	return found
}

// Forget drops what was there at the last Forget, so that long experiments fit
// into memory. What came since is judged once more: a straggler among its runs
// is not one that nobody asked for.
func (c *Checker) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.previous, c.attempts = c.attempts, nil
}
