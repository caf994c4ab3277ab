package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
)

// order is what an operator sends, as often as it takes.
type order struct {
	act
	method string
	path   string
	body   []byte
	// patience is how long it is sent again, 0 until it is taken.
	patience clock.Span
}

// statuses that end an order; others are no clear answer.
var ending = map[int]outcome{200: taken, 400: refused, 409: refused, 412: refused, 413: refused, 422: refused}

// give sends an order to one controller after another until the answer is
// clear; it gives the body of the last answer.
func (w *World) give(asked order) (act, []byte) {
	did := asked.act
	did.begin = w.now()
	pause := 50 * clock.Millisecond
	for tries := 0; !w.ending && (asked.patience == 0 || w.now()-did.begin < asked.patience); tries++ {
		targets := w.controllers()
		if len(targets) == 0 {
			break
		}
		target := targets[w.below(fmt.Sprint("target ", did.order, tries), len(targets))]
		sent := &sending{begin: w.now()}
		did.sendings = append(did.sendings, sent)
		status, body := w.send(target, asked, sent)
		did.end = w.now()
		w.note("answer", target, "order", did.order, "verb", did.verb, "status", status, "try", tries)
		if ended, clear := ending[status]; clear {
			did.outcome = ended
			sent.settle(ended, did.end)
			return did, body
		}
		w.count("tries without a clear answer")
		w.sleep(w.between(fmt.Sprint("pause ", did.order, tries), pause/2, pause))
		pause = min(2*pause, clock.Second)
	}
	did.end = w.now()
	return did, nil
}

// send sends an order once; redirects are followed twice.
func (w *World) send(target *Machine, asked order, sent *sending) (int, []byte) {
	place := "http://" + target.ip + ":" + strconv.Itoa(controlPort) + asked.path
	for range 3 {
		limited, cancel := context.WithCancel(context.Background())
		limit := w.after(clock.Second, cancel)
		end := func() {
			cancel()
			w.forget(limit)
		}
		request, _ := http.NewRequestWithContext(sent.under(limited), asked.method, place, bytes.NewReader(asked.body))
		if asked.verb == "change" {
			request.Header.Set("If-Match", strconv.FormatInt(asked.match, 10))
		}
		begin := w.now()
		response, err := w.carry(nil, operators, request, nil)
		if err != nil {
			end()
			return 0, nil
		}
		body, _ := io.ReadAll(response.Body)
		end()
		w.answered(target, asked, response.StatusCode, w.now()-begin)
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, body
		}
		place = response.Header.Get("Location")
	}
	return 0, nil
}

func (w *World) sleep(span clock.Span) {
	done := make(chan struct{})
	w.after(span, func() { close(done) })
	<-done
}

// put is a change of the configuration on top of a version.
func (w *World) put(match int64, version int64, patched bool) order {
	number := w.number()
	made := order{
		act:    act{order: number, key: "spec", verb: "change", match: match, version: version},
		method: http.MethodPut, path: "/settings", body: whole(version, number), patience: 15 * clock.Second,
	}
	if patched {
		made.method, made.body = http.MethodPatch, patch(version, number)
	}
	return made
}

// zone is an evacuation, or its end.
func (w *World) zone(zone ids.Zone, empty bool) order {
	method := map[bool]string{true: http.MethodPost, false: http.MethodDelete}[empty]
	return order{
		act:    act{order: w.number(), key: "evacuation/" + string(zone), verb: "zone", empty: empty},
		method: method, path: "/empty/" + string(zone), patience: 15 * clock.Second,
	}
}

// readSettings reads the configuration and notes what was found.
func (w *World) readSettings(patience clock.Span) (int64, bool) {
	did, body := w.give(order{act: act{order: w.number(), key: "spec", verb: "read"}, method: http.MethodGet, path: "/settings", patience: patience})
	if did.outcome == taken {
		version, marked, found := read(body)
		if !found {
			w.violate("GET /settings answered what no order brought: %.200s", body)
		}
		did.version, did.mark = version, marked
	}
	w.record(did)
	return did.version, did.outcome == taken
}

// record takes an act into the history and counts it.
func (w *World) record(did act) {
	w.mu.Lock()
	w.history.add(did)
	w.mu.Unlock()
	w.count(fmt.Sprintf("%s: %s", did.verb, outcomeNames[did.outcome]))
	w.note("act", nil, "order", did.order, "key", did.key, "verb", did.verb, "match", did.match, "version", did.version, "empty", did.empty,
		"mark", did.mark, "begin", did.begin.Seconds(), "outcome", outcomeNames[did.outcome])
}

func (w *World) number() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.numbered++
	return w.numbered
}
