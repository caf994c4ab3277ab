package oracle

import (
	"fmt"
	"net/http"
	"strings"

	"onyxwell/emulator/piece"
)

// The rules, by the names that violations carry.
const (
	// ResponseMismatch: a response or a byte of it belongs to another attempt, a
	// success lacks its run's seal, or an incomplete response looks complete.
	ResponseMismatch = "MIXED"
	// StreamOrder: a stream has an event missing, repeated or spliced in.
	StreamOrder = "ORDER"
	// DuplicateRun: an attempt that may run once ran again.
	DuplicateRun = "TWICE"
	// FalseRejection: a status says that nothing has run, of an attempt that has.
	FalseRejection = "REFUSED"
	// UnsolicitedRun: no client sent what ran, or it was changed on the way.
	UnsolicitedRun = "UNASKED"
	// MalformedServed: a malformed request was answered with anything but a 4xx.
	MalformedServed = "SERVED"
	// Misrouted: an attempt ran at a service that its route does not name, or with a
	// key that no tenant holds.
	Misrouted = "ROUTE"
	// Denied: a proper request was answered as if its key were unknown.
	Denied = "DENIED"
)

// responseRules are checked for each response, attemptRules for each attempt once
// no request is under way any more. A check returns why the rule is violated, ""
// where it holds.
var (
	responseRules = []struct {
		name  string
		check func(a *attempt, resp Response) string
	}{
		{ResponseMismatch, checkHead},
		{ResponseMismatch, checkBody},
		{StreamOrder, checkStream},
		{MalformedServed, checkMalformed},
		{Denied, checkDenied},
	}
	attemptRules = []struct {
		name  string
		check func(a *attempt) string
	}{
		{DuplicateRun, checkDuplicateRun},
		{FalseRejection, checkRejection},
		{UnsolicitedRun, checkForwarded},
		{Misrouted, checkRoute},
	}
)

// rejectionStatuses say that a request has not run and never will.
var rejectionStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// executed returns the runs that were not rejected.
func (a *attempt) executed() []*Run {
	var executed []*Run
	for i := range a.runs {
		if !a.runs[i].Rejected {
			executed = append(executed, &a.runs[i])
		}
	}
	return executed
}

// runBySeal returns the run with a seal, or nil.
func (a *attempt) runBySeal(seal string) *Run {
	for _, run := range a.executed() {
		if run.Seal == seal {
			return run
		}
	}
	return nil
}

func (a *attempt) streams() bool { return a.request != nil && a.request.Kind.Streams() }

func sourceOfRun(run *Run) piece.Source {
	return piece.Source{Attempt: run.Attempt, Service: run.Service, Seal: run.Seal}
}

func checkHead(a *attempt, resp Response) string {
	if resp.ExtraBytes != "" {
		return fmt.Sprintf("bytes came while no request waited: %.80q", resp.ExtraBytes)
	}
	if resp.Status == 0 {
		return ""
	}
	if resp.EchoedAttempt != "" && resp.EchoedAttempt != resp.Attempt {
		return "the answer is marked as that of " + resp.EchoedAttempt
	}
	if resp.Seal == "" {
		if resp.Status/100 == 2 {
			return "a success without a runner's seal"
		}
		return ""
	}
	run := a.runBySeal(resp.Seal)
	if run == nil {
		return "no run of this attempt has the seal " + resp.Seal
	}
	if run.Status != resp.Status {
		return fmt.Sprintf("the runner answered %d, the client got %d", run.Status, resp.Status)
	}
	return ""
}

// checkBody checks a response that is not streamed.
func checkBody(a *attempt, resp Response) string {
	run := a.runBySeal(resp.Seal)
	if run == nil || resp.Status == 0 || (a.streams() && resp.Status == http.StatusOK) {
		return ""
	}
	body := sourceOfRun(run).Body()
	if run.DeclaredLength > 0 {
		body = body[:min(run.DeclaredLength, len(body))]
	}
	if !strings.HasPrefix(body, resp.Body) {
		return fmt.Sprintf("bytes that are not this run's: %.200q", resp.Body)
	}
	if resp.Complete && len(resp.Body) < len(body) {
		return fmt.Sprintf("%d of %d bytes look like the whole body", len(resp.Body), len(body))
	}
	return ""
}

// checkStream checks a stream, event by event. The events of a resumable one may,
// after the first, come from any run of the attempt; those of all others only from
// the run whose seal is in the head.
func checkStream(a *attempt, resp Response) string {
	first := a.runBySeal(resp.Seal)
	if first == nil || resp.Status != http.StatusOK || !a.streams() {
		return ""
	}
	runs := []*Run{first}
	rest, last, total := resp.Body, a.request.LastEventID, piece.LineCount(resp.Attempt)
	for rest != "" {
		size := nextEvent(runs, last+1, rest, !resp.Complete)
		if size == 0 || last >= total {
			return fmt.Sprintf("after event %d comes %.120q", last, rest)
		}
		rest = rest[size:]
		last++
		if a.request.Kind == Resumable {
			runs = a.executed()
		}
	}
	if resp.Complete && last != total {
		return fmt.Sprintf("ended as complete after event %d of %d", last, total)
	}
	return ""
}

// nextEvent returns how many bytes of text an event of one of the runs takes up,
// 0 where it comes from none of them. A truncated event counts only where the
// stream may end in one.
func nextEvent(runs []*Run, number int, text string, mayBeTruncated bool) int {
	size := 0
	for _, run := range runs {
		event := sourceOfRun(run).Event(number)
		if strings.HasPrefix(text, event) {
			return len(event)
		}
		if mayBeTruncated && strings.HasPrefix(event, text) {
			size = len(text)
		}
	}
	return size
}

// outOfContactError is in the body of a router that is cut off and does not know a route.
const outOfContactError = `"error":"out-of-contact"`

func checkMalformed(a *attempt, resp Response) string {
	if a.request == nil || a.request.Kind != Malformed {
		return ""
	}
	if a.request.MayBeOutOfContact && resp.Status == http.StatusServiceUnavailable && strings.Contains(resp.Body, outOfContactError) {
		return ""
	}
	if resp.Status != 0 && resp.Status/100 != 4 {
		return fmt.Sprintf("a request that is wrong in itself is answered %d", resp.Status)
	}
	return ""
}

func checkDenied(a *attempt, resp Response) string {
	if a.request != nil && !a.request.Stranger && a.request.Kind != Malformed && resp.Status == http.StatusUnauthorized {
		return "a tenant's request is answered as a stranger's"
	}
	return ""
}

func checkDuplicateRun(a *attempt) string {
	if runs := a.executed(); a.request != nil && !a.request.Kind.Idempotent() && len(runs) > 1 {
		return fmt.Sprintf("ran %d times and may run once", len(runs))
	}
	return ""
}

func checkRejection(a *attempt) string {
	runs := a.executed()
	for _, resp := range a.responses {
		if rejectionStatuses[resp.Status] && len(runs) > 0 {
			return fmt.Sprintf("%d promises that it has not run and never will; it ran %d times", resp.Status, len(runs))
		}
	}
	return ""
}

// checkForwarded checks that what reached the runners is what the client sent.
func checkForwarded(a *attempt) string {
	for _, run := range a.runs {
		if a.request == nil {
			return "no client sent it"
		}
		if a.request.Kind == Malformed {
			return "a request that is wrong in itself reached a runner"
		}
		sent, arrived := a.request.Fingerprint, run.Fingerprint
		if run.BodyUnread {
			arrived.Body = sent.Body
		}
		if arrived != sent {
			return fmt.Sprintf("sent as %+v, arrived as %+v", sent, run.Fingerprint)
		}
		if run.KeyPassed {
			return "the client's key was passed on"
		}
		if run.Tenant != a.request.Tenant {
			return fmt.Sprintf("of tenant %q, arrived as of %q", a.request.Tenant, run.Tenant)
		}
		if run.LastEventID < a.request.LastEventID {
			return fmt.Sprintf("asked for what follows event %d, sent on for what follows %d", a.request.LastEventID, run.LastEventID)
		}
	}
	return ""
}

func checkRoute(a *attempt) string {
	for _, run := range a.executed() {
		if a.request != nil && a.request.Stranger {
			return "ran with a key that no tenant holds"
		}
		if a.request != nil && run.Service != a.request.Service {
			return fmt.Sprintf("goes to %s, ran at %s", a.request.Service, run.Service)
		}
	}
	return ""
}
