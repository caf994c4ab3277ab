package oracle

import (
	"fmt"
	"strings"

	"onyxwell/emulator/piece"
)

// The rules, by the names that verdicts carry.
const (
	// Mixed is an answer or a byte that is not this attempt's, a success without
	// its run's stamp, or one that is not whole and looks so.
	Mixed = "MIXED"
	// Order is a stream with a piece missing, twice, or spliced in.
	Order = "ORDER"
	// Twice is what may run once and ran again.
	Twice = "TWICE"
	// Refused is a promise that nothing has run, said of what has.
	Refused = "REFUSED"
	// Unasked is a run that no client sent, or that was changed on the way.
	Unasked = "UNASKED"
	// Served is a rude request that was answered with anything but a 4xx.
	Served = "SERVED"
	// Route is a run at a service that the attempt does not go to.
	Route = "ROUTE"
)

// answerRules are asked for each answer, attemptRules once all is over.
var answerRules = []struct {
	name   string
	broken func(known *attempt, got Got) string
}{
	{Mixed, mixedHead},
	{Mixed, mixedPlain},
	{Order, order},
	{Served, served},
}

var attemptRules = []struct {
	name   string
	broken func(known *attempt) string
}{
	{Twice, twice},
	{Refused, refused},
	{Unasked, unasked},
	{Route, route},
}

// promises are the statuses that say: it has not run and never will.
var promises = map[int]bool{408: true, 421: true, 429: true, 503: true}

func (a *attempt) ran() []Run {
	var ran []Run
	for _, run := range a.runs {
		if !run.Refused {
			ran = append(ran, run)
		}
	}
	return ran
}

func (a *attempt) sealed(seal string) *Run {
	for index := range a.runs {
		if run := &a.runs[index]; run.Seal == seal && !run.Refused {
			return run
		}
	}
	return nil
}

func mixedHead(known *attempt, got Got) string {
	if got.Extra != "" {
		return fmt.Sprintf("bytes came while no request waited: %.80q", got.Extra)
	}
	if got.Status == 0 {
		return ""
	}
	if got.Echo != "" && got.Echo != got.Attempt {
		return "the answer is marked as that of " + got.Echo
	}
	if got.Seal == "" {
		if got.Status/100 == 2 {
			return "a success without a runner's seal"
		}
		return ""
	}
	run := known.sealed(got.Seal)
	if run == nil {
		return "no run of this attempt has the seal " + got.Seal
	}
	if run.Status != got.Status {
		return fmt.Sprintf("the runner answered %d, the client got %d", run.Status, got.Status)
	}
	return ""
}

func (a *attempt) streams() bool { return a.asked != nil && a.asked.Kind.Streams() }

func mixedPlain(known *attempt, got Got) string {
	run := known.sealed(got.Seal)
	if run == nil || got.Status == 0 || (known.streams() && got.Status == 200) {
		return ""
	}
	whole := source(run).Plain()
	if run.Framed > 0 {
		whole = whole[:min(run.Framed, len(whole))]
	}
	if !strings.HasPrefix(whole, got.Body) {
		return fmt.Sprintf("bytes that are not this run's: %.200q", got.Body)
	}
	if got.Whole && len(got.Body) < len(whole) {
		return fmt.Sprintf("%d of %d bytes look like the whole body", len(got.Body), len(whole))
	}
	return ""
}

func source(run *Run) piece.Source {
	return piece.Source{Attempt: run.Attempt, Service: run.Service, Seal: run.Seal}
}

// order walks through a stream, event by event. A resumable one may go on with
// another run of the same attempt, all others only with the run that began.
func order(known *attempt, got Got) string {
	first := known.sealed(got.Seal)
	if first == nil || got.Status != 200 || !known.streams() {
		return ""
	}
	sources := []*Run{first}
	rest, at := got.Body, known.asked.After
	for rest != "" {
		next := ""
		for _, run := range sources {
			event := source(run).Event(at + 1)
			if strings.HasPrefix(rest, event) {
				next = event
				break
			}
			if !got.Whole && strings.HasPrefix(event, rest) {
				next = rest
			}
		}
		if next == "" || at >= piece.Total(got.Attempt) {
			return fmt.Sprintf("after event %d comes %.120q", at, rest)
		}
		rest = rest[len(next):]
		at++
		if known.asked.Kind == Resumable {
			sources = known.all()
		}
	}
	if got.Whole && at != piece.Total(got.Attempt) {
		return fmt.Sprintf("ended as complete after event %d of %d", at, piece.Total(got.Attempt))
	}
	return ""
}

func (a *attempt) all() []*Run {
	var all []*Run
	for index := range a.runs {
		if !a.runs[index].Refused {
			all = append(all, &a.runs[index])
		}
	}
	return all
}

func served(known *attempt, got Got) string {
	if known.asked != nil && known.asked.Kind == Rude && got.Status != 0 && got.Status/100 != 4 {
		return fmt.Sprintf("a request that is wrong in itself is answered %d", got.Status)
	}
	return ""
}

func twice(known *attempt) string {
	if ran := known.ran(); known.asked != nil && !known.asked.Kind.Repeatable() && len(ran) > 1 {
		return fmt.Sprintf("ran %d times and may run once", len(ran))
	}
	return ""
}

func refused(known *attempt) string {
	for _, got := range known.gots {
		if promises[got.Status] && len(known.ran()) > 0 {
			return fmt.Sprintf("%d promises that it has not run and never will; it ran %d times", got.Status, len(known.ran()))
		}
	}
	return ""
}

func unasked(known *attempt) string {
	for _, run := range known.runs {
		if known.asked == nil {
			return "no client sent it"
		}
		if known.asked.Kind == Rude {
			return "a request that is wrong in itself reached a runner"
		}
		arrived := run.Call
		if run.Unread {
			arrived.Body = known.asked.Call.Body
		}
		if arrived != known.asked.Call {
			return fmt.Sprintf("sent as %+v, arrived as %+v", known.asked.Call, run.Call)
		}
		if run.After < known.asked.After {
			return fmt.Sprintf("asked for what follows event %d, sent on for what follows %d", known.asked.After, run.After)
		}
	}
	return ""
}

func route(known *attempt) string {
	for _, run := range known.ran() {
		if known.asked != nil && run.Service != known.asked.Service {
			return fmt.Sprintf("goes to %s, ran at %s", known.asked.Service, run.Service)
		}
	}
	return ""
}
