package runner

import (
	"fmt"
	"net/http"
	"strconv"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/data/upstream"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/piece"
)

// asking is one request with what was drawn for it.
type asking struct {
	request *http.Request
	attempt string
	body    []byte
	drawn   *fortune
	limit   clock.Span
}

// after is the event after which the client wants to go on.
func (a asking) after() int {
	number, err := strconv.Atoi(a.request.Header.Get(upstream.LastEventIDHeader))
	if err != nil {
		return 0
	}
	return number
}

// streams tells whether the request wants events: its path says so.
func (a asking) streams() bool { return Streams(a.request.URL.Path) }

// Streams tells whether a path is answered with a stream of events: its last
// part, or one before it, is "stream" or "resumable".
func Streams(path string) bool {
	for _, name := range []string{"/stream/", "/resumable/"} {
		for at := 0; at+len(name) <= len(path); at++ {
			if path[at:at+len(name)] == name {
				return true
			}
		}
	}
	return false
}

// turnAway gives the status with which a request is refused; 0 takes it.
func (r *Runner) turnAway(asked asking, life Life) int {
	if asked.attempt == "" {
		return http.StatusBadRequest
	}
	target := asked.request.Header.Get(upstream.TargetHeader)
	expected := asked.request.Header.Get("Onyxwell-Expected-Version")
	if (target != "" && target != life.ID) || (expected != "" && expected != strconv.Itoa(r.settings.Version)) {
		return http.StatusMisdirectedRequest
	}
	if asked.drawn.met[Refusal] {
		return []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest}[asked.drawn.IntN(3)]
	}
	return 0
}

// play decides whether the request runs, runs it and answers; it tells whether
// the connection goes on.
func (l *link) play(asked asking, early bool) bool {
	runner := l.runner
	limited, release := runner.options.Scope.WithTimeout(asked.limit)
	defer release()
	status := runner.turnAway(asked, runner.Life())
	if status != 0 {
		return l.refuse(asked, status, early)
	}
	if !runner.bear() {
		l.reset()
		return false
	}
	urgency, err := strconv.Atoi(asked.request.Header.Get(upstream.UrgencyHeader))
	if err != nil {
		urgency = 5
	}
	if !runner.slots.take(limited, urgency) {
		return l.refuse(asked, http.StatusServiceUnavailable, early)
	}
	defer runner.slots.give()
	// The life may have changed while the request was in the queue.
	seal, life := runner.seal()
	if status = runner.turnAway(asked, life); status != 0 {
		return l.refuse(asked, status, early)
	}
	return l.run(limited, asked, early, seal, life)
}

func (l *link) refuse(asked asking, status int, early bool) bool {
	life := l.runner.Life()
	told := l.runner.compose(asked, life, "", status)
	told.heads = append(told.heads, [2]string{"Onyxwell-Not-Run", "1"})
	if asked.drawn.met[Refusal] && asked.drawn.IntN(2) == 0 {
		told.body = []string{"turned away\n"}
	}
	told.shape(l, asked)
	l.tell(asked, oracle.Run{Runner: life.ID, Service: life.Service, Refused: true, Status: status, After: asked.after(), Unread: early}, told)
	return l.write(l.runner.options.Scope, told)
}

func (l *link) run(limited scope.Scope, asked asking, early bool, seal string, life Life) bool {
	runner := l.runner
	unread := runner.cache.read(asked.request.Header.Get("Onyxwell-Model"), asked.request.Header.Get(upstream.PromptPrefixHeader))
	work := runner.settings.Work + clock.Span(unread*float64(runner.settings.ReadToken))
	if runner.coldLeft() > 0 {
		work *= 4
	}
	status := http.StatusOK
	if asked.drawn.met[OwnFailure] {
		status = http.StatusInternalServerError
	}
	if asked.drawn.met[FalseRefusal] {
		status = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}[asked.drawn.IntN(3)]
	}
	told := runner.compose(asked, life, seal, status)
	told.shape(l, asked)
	l.tell(asked, oracle.Run{
		Runner: life.ID, Service: life.Service, Seal: seal, Status: status, Framed: told.framed, After: asked.after(), Unread: early,
	}, told)
	if !limited.Wait(work) {
		// The deadline passed while it ran; nobody waits any more.
		l.drain(runner.settings.Silent)
		return false
	}
	return l.write(limited, told)
}

func (l *link) tell(asked asking, run oracle.Run, told *answer) {
	names := told.met
	if asked.drawn.met[EarlyAnswer] {
		names = append(names, EarlyAnswer)
	}
	l.runner.count(names)
	if l.runner.options.Tell == nil || asked.attempt == "" {
		return
	}
	run.Attempt, run.Troubles = asked.attempt, names
	run.Call = CallOf(asked.request.Method, asked.request.RequestURI, asked.request.Host, asked.body)
	l.runner.options.Tell(run)
}

// CallOf is what must reach a runner unchanged, for the oracle.
func CallOf(method string, target string, host string, body []byte) oracle.Call {
	return oracle.Call{Method: method, Target: target, Host: host, Body: piece.Hash(string(body))}
}

// compose makes the answer that a runner without troubles gives.
func (r *Runner) compose(asked asking, life Life, seal string, status int) *answer {
	running, waiting, _ := r.slots.load()
	made := &answer{status: status, cut: -1, chunked: asked.drawn.IntN(4) == 0}
	made.heads = [][2]string{
		{upstream.AttemptIDHeader, asked.attempt},
		{upstream.LoadHeader, fmt.Sprintf("%d,%d,%d", running, waiting, r.settings.Capacity)},
		{"Keep-Alive", fmt.Sprintf("timeout=%d", max(1, int(r.settings.KeepIdle/clock.Second)))},
	}
	if left := r.coldLeft(); left > 0 {
		made.heads = append(made.heads, [2]string{upstream.WarmupHeader, strconv.FormatInt(left.Milliseconds(), 10)})
	}
	if seal == "" {
		return made
	}
	made.heads = append(made.heads, [2]string{upstream.SealHeader, seal})
	if r.settings.Version > 0 {
		made.heads = append(made.heads, [2]string{"Onyxwell-Weight-Versions", strconv.Itoa(r.settings.Version)})
	}
	source := piece.Source{Attempt: asked.attempt, Service: life.Service, Seal: seal}
	if !asked.streams() || status != http.StatusOK {
		made.body = []string{source.Plain()}
		made.heads = append(made.heads, [2]string{"Content-Type", "text/plain"})
		return made
	}
	made.gap, made.stream, made.chunked = r.settings.Gap, true, !made.chunked
	made.heads = append(made.heads, [2]string{"Content-Type", "text/event-stream"})
	for number := asked.after() + 1; number <= piece.Total(asked.attempt); number++ {
		made.body = append(made.body, source.Event(number))
	}
	return made
}
