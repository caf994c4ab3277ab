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

// clientCommand is what an operator sends, as often as it takes.
type clientCommand struct {
	operation
	method string
	path   string
	body   []byte
	// timeout is how long it is sent again, 0 until it is taken.
	timeout clock.Span
}

// statuses that end an order; others are no clear answer.
var outcomeByStatus = map[int]outcome{200: accepted, 400: rejected, 409: rejected, 412: rejected, 413: rejected, 422: rejected}

// execute sends an order to one controller after another until the answer is
// clear; it gives the body of the last answer.
func (c *Cluster) execute(asked clientCommand) (operation, []byte) {
	did := asked.operation
	did.begin = c.now()
	pause := 50 * clock.Millisecond
	for tries := 0; !c.stopping && (asked.timeout == 0 || c.now()-did.begin < asked.timeout); tries++ {
		targets := c.controllers()
		if len(targets) == 0 {
			break
		}
		target := targets[c.drawBelow(fmt.Sprint("target ", did.commandID, tries), len(targets))]
		sent := &attempt{begin: c.now()}
		did.attempts = append(did.attempts, sent)
		status, body := c.sendOnce(target, asked, sent)
		did.end = c.now()
		c.trace("answer", target, "order", did.commandID, "verb", did.verb, "status", status, "try", tries)
		if ended, clear := outcomeByStatus[status]; clear {
			did.outcome = ended
			sent.resolve(ended, did.end)
			return did, body
		}
		c.count("tries without a clear answer")
		c.sleep(c.drawBetween(fmt.Sprint("pause ", did.commandID, tries), pause/2, pause))
		pause = min(2*pause, clock.Second)
	}
	did.end = c.now()
	return did, nil
}

// sendOnce sends an order once; redirects are followed twice.
func (c *Cluster) sendOnce(target *Machine, asked clientCommand, sent *attempt) (int, []byte) {
	place := "http://" + target.ip + ":" + strconv.Itoa(controlPort) + asked.path
	for range 3 {
		limited, cancel := context.WithCancel(context.Background())
		limit := c.after(clock.Second, cancel)
		end := func() {
			cancel()
			c.cancel(limit)
		}
		request, _ := http.NewRequestWithContext(sent.withContext(limited), asked.method, place, bytes.NewReader(asked.body))
		if asked.verb == "change" {
			request.Header.Set("If-Match", strconv.FormatInt(asked.match, 10))
		}
		begin := c.now()
		response, err := c.roundTrip(nil, clientHost, request, nil)
		if err != nil {
			end()
			return 0, nil
		}
		body, _ := io.ReadAll(response.Body)
		end()
		c.countResponse(target, asked, response.StatusCode, c.now()-begin)
		if response.StatusCode != http.StatusTemporaryRedirect {
			return response.StatusCode, body
		}
		place = response.Header.Get("Location")
	}
	return 0, nil
}

func (c *Cluster) sleep(span clock.Span) {
	done := make(chan struct{})
	c.after(span, func() { close(done) })
	<-done
}

// changeCommand is a change of the configuration on top of a version.
func (c *Cluster) changeCommand(match int64, version int64, patched bool) clientCommand {
	number := c.nextCommandID()
	made := clientCommand{
		operation: operation{commandID: number, key: "spec", verb: "change", match: match, version: version},
		method:    http.MethodPut, path: "/settings", body: fullConfig(version, number), timeout: 15 * clock.Second,
	}
	if patched {
		made.method, made.body = http.MethodPatch, configPatch(version, number)
	}
	return made
}

// zoneCommand is an evacuation, or its end.
func (c *Cluster) zoneCommand(zone ids.Zone, empty bool) clientCommand {
	method := map[bool]string{true: http.MethodPost, false: http.MethodDelete}[empty]
	return clientCommand{
		operation: operation{commandID: c.nextCommandID(), key: "evacuation/" + string(zone), verb: "zone", drained: empty},
		method:    method, path: "/empty/" + string(zone), timeout: 15 * clock.Second,
	}
}

// readConfig reads the configuration and notes what was found.
func (c *Cluster) readConfig(patience clock.Span) (int64, bool) {
	did, body := c.execute(clientCommand{operation: operation{commandID: c.nextCommandID(), key: "spec", verb: "read"}, method: http.MethodGet, path: "/settings", timeout: patience})
	if did.outcome == accepted {
		version, marked, found := parseConfig(body)
		if !found {
			c.reportViolation("GET /settings answered what no order brought: %.200s", body)
		}
		did.version, did.mark = version, marked
	}
	c.record(did)
	return did.version, did.outcome == accepted
}

// record takes an act into the history and counts it.
func (c *Cluster) record(did operation) {
	c.mu.Lock()
	c.history.add(did)
	c.mu.Unlock()
	c.count(fmt.Sprintf("%s: %s", did.verb, outcomeNames[did.outcome]))
	c.trace("act", nil, "order", did.commandID, "key", did.key, "verb", did.verb, "match", did.match, "version", did.version, "empty", did.drained,
		"mark", did.mark, "begin", did.begin.Seconds(), "outcome", outcomeNames[did.outcome])
}

func (c *Cluster) nextCommandID() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCommandID++
	return c.lastCommandID
}
