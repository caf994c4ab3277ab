package oracle

import (
	"fmt"
	"strings"

	"onyxwell/emulator/piece"
)

// The rules, by the names that verdicts carry.
const (
	// ResponseMismatch is an answer or a byte that is not this attempt's, a success without
	// its run's stamp, or one that is not whole and looks so.
	ResponseMismatch = "MIXED"
	// StreamOrder is a stream with a piece missing, twice, or spliced in.
	StreamOrder = "ORDER"
	// DuplicateRun is what may run once and ran again.
	DuplicateRun = "TWICE"
	// FalseRejection is a promise that nothing has run, said of what has.
	FalseRejection = "REFUSED"
	// UnsolicitedRun is a run that no client sent, or that was changed on the way.
	UnsolicitedRun = "UNASKED"
	// MalformedServed is a rude request that was answered with anything but a 4xx.
	MalformedServed = "SERVED"
	// Misrouted is a run at a service that the attempt does not go to.
	Misrouted = "ROUTE"
)

// responseRules are asked for each answer, attemptRules once all is over.
var responseRules = []struct {
	name   string
	broken func(known *attempt, got Response) string
}{
	{ResponseMismatch, checkHead},
	{ResponseMismatch, checkBody},
	{StreamOrder, checkStream},
	{MalformedServed, checkMalformed},
}

var attemptRules = []struct {
	name   string
	broken func(known *attempt) string
}{
	{DuplicateRun, checkDuplicateRun},
	{FalseRejection, checkRejection},
	{UnsolicitedRun, checkForwarded},
	{Misrouted, checkRoute},
}

// rejectionStatuses are the statuses that say: it has not run and never will.
var rejectionStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

func (a *attempt) executed() []Run {
	var ran []Run
	for _, run := range a.runs {
		if !run.Rejected {
			ran = append(ran, run)
		}
	}
	return ran
}

func (a *attempt) runBySeal(seal string) *Run {
	for index := range a.runs {
		if run := &a.runs[index]; run.Seal == seal && !run.Rejected {
			return run
		}
	}
	return nil
}

func checkHead(known *attempt, got Response) string {
	if got.ExtraBytes != "" {
		return fmt.Sprintf("bytes came while no request waited: %.80q", got.ExtraBytes)
	}
	if got.Status == 0 {
		return ""
	}
	if got.EchoedAttempt != "" && got.EchoedAttempt != got.Attempt {
		return "the answer is marked as that of " + got.EchoedAttempt
	}
	if got.Seal == "" {
		if got.Status/100 == 2 {
			return "a success without a runner's seal"
		}
		return ""
	}
	run := known.runBySeal(got.Seal)
	if run == nil {
		return "no run of this attempt has the seal " + got.Seal
	}
	if run.Status != got.Status {
		return fmt.Sprintf("the runner answered %d, the client got %d", run.Status, got.Status)
	}
	return ""
}

func (a *attempt) streams() bool { return a.request != nil && a.request.Kind.Streams() }

func checkBody(known *attempt, got Response) string {
	run := known.runBySeal(got.Seal)
	if run == nil || got.Status == 0 || (known.streams() && got.Status == 200) {
		return ""
	}
	whole := source(run).Body()
	if run.DeclaredLength > 0 {
		whole = whole[:min(run.DeclaredLength, len(whole))]
	}
	if !strings.HasPrefix(whole, got.Body) {
		return fmt.Sprintf("bytes that are not this run's: %.200q", got.Body)
	}
	if got.Complete && len(got.Body) < len(whole) {
		return fmt.Sprintf("%d of %d bytes look like the whole body", len(got.Body), len(whole))
	}
	return ""
}

func source(run *Run) piece.Source {
	return piece.Source{Attempt: run.Attempt, Service: run.Service, Seal: run.Seal}
}

// checkStream walks through a stream, event by event. A resumable one may go on with
// another run of the same attempt, all others only with the run that began.
func checkStream(known *attempt, got Response) string {
	first := known.runBySeal(got.Seal)
	if first == nil || got.Status != 200 || !known.streams() {
		return ""
	}
	sources := []*Run{first}
	rest, at := got.Body, known.request.LastEventID
	for rest != "" {
		next := ""
		for _, run := range sources {
			event := source(run).Event(at + 1)
			if strings.HasPrefix(rest, event) {
				next = event
				break
			}
			if !got.Complete && strings.HasPrefix(event, rest) {
				next = rest
			}
		}
		if next == "" || at >= piece.LineCount(got.Attempt) {
			return fmt.Sprintf("after event %d comes %.120q", at, rest)
		}
		rest = rest[len(next):]
		at++
		if known.request.Kind == Resumable {
			sources = known.executedPointers()
		}
	}
	if got.Complete && at != piece.LineCount(got.Attempt) {
		return fmt.Sprintf("ended as complete after event %d of %d", at, piece.LineCount(got.Attempt))
	}
	return ""
}

func (a *attempt) executedPointers() []*Run {
	var all []*Run
	for index := range a.runs {
		if !a.runs[index].Rejected {
			all = append(all, &a.runs[index])
		}
	}
	return all
}

func checkMalformed(known *attempt, got Response) string {
	if known.request != nil && known.request.Kind == Malformed && got.Status != 0 && got.Status/100 != 4 {
		return fmt.Sprintf("a request that is wrong in itself is answered %d", got.Status)
	}
	return ""
}

func checkDuplicateRun(known *attempt) string {
	if ran := known.executed(); known.request != nil && !known.request.Kind.Idempotent() && len(ran) > 1 {
		return fmt.Sprintf("ran %d times and may run once", len(ran))
	}
	return ""
}

func checkRejection(known *attempt) string {
	for _, got := range known.responses {
		if rejectionStatuses[got.Status] && len(known.executed()) > 0 {
			return fmt.Sprintf("%d promises that it has not run and never will; it ran %d times", got.Status, len(known.executed()))
		}
	}
	return ""
}

func checkForwarded(known *attempt) string {
	for _, run := range known.runs {
		if known.request == nil {
			return "no client sent it"
		}
		if known.request.Kind == Malformed {
			return "a request that is wrong in itself reached a runner"
		}
		arrived := run.Fingerprint
		if run.BodyUnread {
			arrived.Body = known.request.Fingerprint.Body
		}
		if arrived != known.request.Fingerprint {
			return fmt.Sprintf("sent as %+v, arrived as %+v", known.request.Fingerprint, run.Fingerprint)
		}
		if run.LastEventID < known.request.LastEventID {
			return fmt.Sprintf("asked for what follows event %d, sent on for what follows %d", known.request.LastEventID, run.LastEventID)
		}
	}
	return ""
}

func checkRoute(known *attempt) string {
	for _, run := range known.executed() {
		if known.request != nil && run.Service != known.request.Service {
			return fmt.Sprintf("goes to %s, ran at %s", known.request.Service, run.Service)
		}
	}
	return ""
}
