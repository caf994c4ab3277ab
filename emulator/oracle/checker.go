// Package oracle checks that routers keep every response with its request and
// repeat nothing that must run once. It records, by attempt id, what clients
// sent, what reached which runner and what the clients received, and reports the
// violated rules. It uses neither sockets nor clocks.
package oracle

import (
	"fmt"
	"sort"
	"strings"
	"sync"
)

// Kind says whether an attempt may be repeated, and how it is answered.
type Kind string

// The kinds of attempts. Requests carry them in their paths.
const (
	Safe      Kind = "safe"
	Unsafe    Kind = "unsafe"
	Stream    Kind = "stream"
	Resumable Kind = "resumable"
	// Malformed requests must not reach any runner.
	Malformed Kind = "rude"
)

// Idempotent reports whether an attempt of the kind may run more than once.
func (k Kind) Idempotent() bool { return k == Safe || k == Resumable }

// Streams reports whether the response is a series of events.
func (k Kind) Streams() bool { return k == Stream || k == Resumable }

// Fingerprint is the part of a request that must reach a runner unchanged.
type Fingerprint struct {
	Method string
	Target string
	Host   string
	// Body is a hash of the body.
	Body uint64
}

// Request is an attempt as a client sends it.
type Request struct {
	Attempt     string
	Kind        Kind
	Service     string
	Fingerprint Fingerprint
	// Tenant holds the key that the request carries; a Stranger's key is no tenant's.
	Tenant   string
	Stranger bool
	// LastEventID is the number of the last event that the client has, counted from 1,
	// 0 if it has none. The id of that event is piece.EventID.
	LastEventID int
	// MayBeOutOfContact says that all that is wrong with the request is its route, and that its
	// router may be cut off: that may answer that a newer configuration may have the route.
	MayBeOutOfContact bool
	// Note is shown in the attempt's history.
	Note string
}

// Run is a request that arrived at a runner.
type Run struct {
	Attempt     string
	Runner      string
	Service     string
	Seal        string
	Fingerprint Fingerprint
	// Tenant is the one that the runner was told; KeyPassed says that it got the key.
	Tenant    string
	KeyPassed bool
	// Rejected says that the runner did not run the request and never will.
	Rejected bool
	// Status is what the runner answered, or would have.
	Status int
	// LastEventID is the number of the event after which the run began.
	LastEventID int
	// DeclaredLength is the Content-Length of a response where that is shorter
	// than the body, otherwise 0.
	DeclaredLength int
	// BodyUnread says that the runner responds before it has read the body.
	BodyUnread bool
	// Faults are the names of those that were injected.
	Faults []string
}

// Response is what a client received for an attempt.
type Response struct {
	Attempt string
	// Status is 0 where no head of a response came.
	Status int
	// EchoedAttempt and Seal are the headers by which runners mark their responses.
	EchoedAttempt string
	Seal          string
	Body          string
	// Complete says that the response ended in the way its framing asks for.
	Complete bool
	// ExtraBytes came on the connection while no request was pending.
	ExtraBytes string
	// Note is shown in the attempt's history.
	Note string
}

// Violation is a violated rule.
type Violation struct {
	Rule    string
	Attempt string
	Reason  string
	// History is what was recorded of the attempt, in order.
	History []string
}

// attempt is what is known of an attempt. The request is nil until a client sent
// it.
type attempt struct {
	request    *Request
	runs       []Run
	responses  []Response
	history    []string
	violations []Violation
}

func (a *attempt) logf(format string, values ...any) {
	a.history = append(a.history, fmt.Sprintf(format, values...))
}

// Checker holds what was recorded. The zero value is ready to use. It is safe for
// concurrent use.
type Checker struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// previous are the attempts before the last Forget: a request of theirs may
	// still have been on its way to a runner.
	previous map[string]*attempt
}

// update calls apply with the attempt of an id, under the lock.
func (c *Checker) update(id string, apply func(a *attempt)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.attempts == nil {
		c.attempts = map[string]*attempt{}
	}
	a := c.attempts[id]
	if a == nil {
		a = c.previous[id]
	}
	if a == nil {
		a = &attempt{}
		c.attempts[id] = a
	}
	apply(a)
}

// RecordRequest records an attempt. It has to be called before the client sends
// the first byte.
func (c *Checker) RecordRequest(req Request) {
	c.update(req.Attempt, func(a *attempt) {
		a.request = &req
		note := req.Note
		if note != "" {
			note = ", " + note
		}
		a.logf("asked: %s %s %s, service %s, after event %d%s",
			req.Kind, req.Fingerprint.Method, req.Fingerprint.Target, req.Service, req.LastEventID, note)
	})
}

// RecordRun records what arrived at a runner. It has to be called before the
// runner writes a byte of its response.
func (c *Checker) RecordRun(run Run) {
	c.update(run.Attempt, func(a *attempt) {
		a.runs = append(a.runs, run)
		what := "ran"
		if run.Rejected {
			what = "refused"
		}
		a.logf("%s: at %s of %s, seal %s, status %d, after event %d, troubles [%s]",
			what, run.Runner, run.Service, run.Seal, run.Status, run.LastEventID, strings.Join(run.Faults, " "))
	})
}

// RecordLateBody records the hash of a body that a runner finished reading after
// it had responded.
func (c *Checker) RecordLateBody(id string, body uint64) {
	c.update(id, func(a *attempt) {
		if a.request == nil || a.request.Fingerprint.Body == body {
			return
		}
		a.logf("the runner read the body after its answer")
		a.violations = append(a.violations, Violation{
			Rule: UnsolicitedRun, Attempt: id, Reason: "after its answer the runner got other bytes where the rest of the body was due",
		})
	})
}

// RecordResponse records what a client received, and checks it at once, so that
// bodies need not be kept. It has to be called after the runs that may have
// produced it are recorded.
func (c *Checker) RecordResponse(resp Response) {
	c.update(resp.Attempt, func(a *attempt) {
		a.logf("got: status %d, seal %s, echo %s, %d bytes, whole %v %s",
			resp.Status, resp.Seal, resp.EchoedAttempt, len(resp.Body), resp.Complete, resp.Note)
		for _, rule := range responseRules {
			if reason := rule.check(a, resp); reason != "" {
				a.violations = append(a.violations, Violation{Rule: rule.name, Attempt: resp.Attempt, Reason: reason})
			}
		}
		resp.Body, resp.ExtraBytes = "", ""
		a.responses = append(a.responses, resp)
	})
}

// Check returns all violations, ordered by attempt. It has to be called once no
// request is under way any more.
func (c *Checker) Check() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := append(checkAll(c.previous), checkAll(c.attempts)...)
	sort.SliceStable(violations, func(i int, j int) bool { return violations[i].Attempt < violations[j].Attempt })
	return violations
}

func checkAll(attempts map[string]*attempt) []Violation {
	var all []Violation
	for id, a := range attempts {
		violations := a.violations
		for _, rule := range attemptRules {
			if reason := rule.check(a); reason != "" {
				violations = append(violations, Violation{Rule: rule.name, Attempt: id, Reason: reason})
			}
		}
		for _, violation := range violations {
			violation.History = append([]string(nil), a.history...)
			all = append(all, violation)
		}
	}
	return all
}

// Forget drops what was recorded before the last Forget, so that the history of a
// long experiment fits into memory. What was recorded since is checked once more:
// a straggler among its runs is not taken for one that no client sent.
func (c *Checker) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.previous, c.attempts = c.attempts, nil
}
