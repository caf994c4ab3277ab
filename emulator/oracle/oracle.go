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
	// Rude requests are wrong in themselves: no runner may see them.
	Rude Kind = "rude"
)

// Repeatable tells whether an attempt of the kind may run more than once.
func (k Kind) Repeatable() bool { return k == Safe || k == Resumable }

// Streams tells whether the answer is a series of events.
func (k Kind) Streams() bool { return k == Stream || k == Resumable }

// Call is what must reach a runner as the client sent it.
type Call struct {
	Method string
	Target string
	Host   string
	// Body is a digest of the body.
	Body uint64
}

// Asked is an attempt as a client sends it.
type Asked struct {
	Attempt string
	Kind    Kind
	Service string
	Call    Call
	// After is the id of the last event that the client has; 0 is none.
	After int
	// Note is shown with the history.
	Note string
}

func note(text string) string {
	if text == "" {
		return ""
	}
	return ", " + text
}

// Run is a request that arrived whole at a runner.
type Run struct {
	Attempt string
	Runner  string
	Service string
	Seal    string
	Call    Call
	// Refused says that the runner turned it away and will never run it.
	Refused bool
	// Status is what the runner answered, or would have.
	Status int
	// After is the event after which the run began.
	After int
	// Framed is the length that the runner gave its body where that's shorter
	// than the body; 0 is the whole.
	Framed int
	// Unread says that the runner answers before it has read the body.
	Unread   bool
	Troubles []string
}

// Got is what a client got for an attempt.
type Got struct {
	Attempt string
	// Status is 0 where no head of an answer came.
	Status int
	// Echo and Seal are the heads with which runners mark their answers.
	Echo string
	Seal string
	Body string
	// Whole says that the answer looked complete.
	Whole bool
	// Extra are bytes that came on the connection while no request waited.
	Extra string
	Note  string
}

// Verdict is a broken rule.
type Verdict struct {
	Rule    string
	Attempt string
	Why     string
	History []string
}

type attempt struct {
	asked  *Asked
	runs   []Run
	gots   []Got
	order  []string
	broken []Verdict
}

// Oracle holds the history. The zero value is ready.
type Oracle struct {
	mu       sync.Mutex
	attempts map[string]*attempt
	// earlier are those that were forgotten last: a request of theirs may still
	// have been on its way to a runner.
	earlier map[string]*attempt
}

func (o *Oracle) with(id string, act func(known *attempt)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.attempts == nil {
		o.attempts = map[string]*attempt{}
	}
	known := o.attempts[id]
	if known == nil {
		known = o.earlier[id]
	}
	if known == nil {
		known = &attempt{}
		o.attempts[id] = known
	}
	act(known)
}

// Asked notes an attempt right before the client sends it.
func (o *Oracle) Asked(asked Asked) {
	o.with(asked.Attempt, func(known *attempt) {
		known.asked = &asked
		known.order = append(known.order, fmt.Sprintf("asked: %s %s %s, service %s, after event %d",
			asked.Kind, asked.Call.Method, asked.Call.Target, asked.Service, asked.After)+note(asked.Note))
	})
}

// Ran notes what arrived at a runner, before a byte of its answer is written.
func (o *Oracle) Ran(run Run) {
	o.with(run.Attempt, func(known *attempt) {
		known.runs = append(known.runs, run)
		what := "ran"
		if run.Refused {
			what = "refused"
		}
		known.order = append(known.order, fmt.Sprintf("%s: at %s of %s, seal %s, status %d, after event %d, troubles [%s]",
			what, run.Runner, run.Service, run.Seal, run.Status, run.After, strings.Join(run.Troubles, " ")))
	})
}

// Got notes what a client got. What can be told at once is: bodies are not kept.
func (o *Oracle) Got(got Got) {
	o.with(got.Attempt, func(known *attempt) {
		known.order = append(known.order, fmt.Sprintf("got: status %d, seal %s, echo %s, %d bytes, whole %v %s",
			got.Status, got.Seal, got.Echo, len(got.Body), got.Whole, got.Note))
		for _, rule := range answerRules {
			if why := rule.broken(known, got); why != "" {
				known.broken = append(known.broken, Verdict{Rule: rule.name, Attempt: got.Attempt, Why: why})
			}
		}
		got.Body, got.Extra = "", ""
		known.gots = append(known.gots, got)
	})
}

// Judge tells all broken rules; it is asked after all is over.
func (o *Oracle) Judge() []Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	found := append(judge(o.earlier), judge(o.attempts)...)
	sort.SliceStable(found, func(left int, right int) bool { return found[left].Attempt < found[right].Attempt })
	return found
}

func judge(attempts map[string]*attempt) []Verdict {
	var found []Verdict
	for id, known := range attempts {
		broken := known.broken
		for _, rule := range attemptRules {
			if why := rule.broken(known); why != "" {
				broken = append(broken, Verdict{Rule: rule.name, Attempt: id, Why: why})
			}
		}
		for _, verdict := range broken {
			verdict.History = append([]string(nil), known.order...)
			found = append(found, verdict)
		}
	}
	return found
}

// Forget drops what was there at the last Forget, so that long experiments fit
// into memory. What came since is judged once more: a straggler among its runs
// is not one that nobody asked for.
func (o *Oracle) Forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.earlier, o.attempts = o.attempts, nil
}
