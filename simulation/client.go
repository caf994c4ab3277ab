package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config/evacuation"
)

// clientCommand is a command as a client sends it, in as many attempts as it
// takes.
type clientCommand struct {
	operation
	method string
	path   string
	body   []byte
	// timeout is how long it is attempted; 0 until it is decided.
	timeout time.Duration
}

// outcomeByStatus holds the statuses that decide a command.
var outcomeByStatus = map[int]outcome{
	http.StatusOK: accepted, http.StatusBadRequest: rejected, http.StatusConflict: rejected, http.StatusPreconditionFailed: rejected,
	http.StatusRequestEntityTooLarge: rejected, http.StatusUnprocessableEntity: rejected,
}

const (
	// retryBackoff is the first pause between two attempts; it doubles up to
	// maxRetryBackoff.
	retryBackoff    = 50 * time.Millisecond
	maxRetryBackoff = time.Second
	// attemptTimeout is how long a client waits for a reply.
	attemptTimeout = time.Second
	// maxHops is how many controllers an attempt goes to, by redirects.
	maxHops = 3
	// changeTimeout is the timeout of a command that changes something.
	changeTimeout = 15 * time.Second
)

// execute sends a command to one controller after another until a reply decides
// it. It returns the operation and the body of the decisive reply.
func (c *Cluster) execute(command clientCommand) (operation, []byte) {
	op := command.operation
	op.start = c.now()
	backoff := retryBackoff
	for tries := 0; !c.stopping && (command.timeout == 0 || c.now()-op.start < command.timeout); tries++ {
		targets := c.controllers()
		if len(targets) == 0 {
			break
		}
		target := targets[c.drawBelow(fmt.Sprint("target ", op.commandID, tries), len(targets))]
		sent := &attempt{start: c.now()}
		op.attempts = append(op.attempts, sent)
		status, body := c.sendOnce(target, command, sent)
		op.end = c.now()
		c.trace("reply", target, "command_id", op.commandID, "verb", op.verb, "status", status, "attempt", tries)
		if outcome, decisive := outcomeByStatus[status]; decisive {
			op.outcome = outcome
			sent.resolve(outcome, op.end)
			return op, body
		}
		c.count("tries without a clear answer")
		c.sleep(c.drawBetween(fmt.Sprint("pause ", op.commandID, tries), backoff/2, backoff))
		backoff = min(2*backoff, maxRetryBackoff)
	}
	op.end = c.now()
	return op, nil
}

// sendOnce makes one attempt and follows its redirects; status 0 says that there
// was no reply.
func (c *Cluster) sendOnce(target *Machine, command clientCommand, sent *attempt) (int, []byte) {
	url := "http://" + string(target.address(controlPort)) + command.path
	for range maxHops {
		status, location, body := c.sendHop(url, command, sent)
		if status != http.StatusTemporaryRedirect {
			return status, body
		}
		url = location
	}
	return 0, nil
}

func (c *Cluster) sendHop(url string, command clientCommand, sent *attempt) (status int, location string, body []byte) {
	header := http.Header{}
	if command.verb == verbChange {
		header.Set("If-Match", strconv.FormatInt(command.baseVersion, 10))
	}
	resp, body := c.call(sent.withContext(context.Background()), clientHost, command.method, url, header, command.body)
	if resp == nil {
		return 0, "", nil
	}
	c.count(fmt.Sprintf("answers %d", resp.StatusCode))
	return resp.StatusCode, resp.Header.Get("Location"), body
}

// call makes a call from a host and waits attemptTimeout for the response, which is nil
// if there was none.
func (c *Cluster) call(ctx context.Context, from string, method string, url string, header http.Header, body []byte) (*http.Response, []byte) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := c.after(attemptTimeout, cancel)
	defer c.cancel(timer)
	req, _ := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	req.Header = header
	resp, err := c.roundTrip(nil, from, req, nil)
	if err != nil {
		return nil, nil
	}
	answer, _ := io.ReadAll(resp.Body)
	return resp, answer
}

// sleep blocks the caller, which must not run in an event, until d has passed.
func (c *Cluster) sleep(d time.Duration) {
	done := make(chan struct{})
	c.after(d, func() { close(done) })
	<-done
}

// changeCommand replaces the configuration of baseVersion by one of version: the
// whole document or, if patched, the changes alone.
func (c *Cluster) changeCommand(baseVersion int64, version int64, patched bool) clientCommand {
	id := c.nextCommandID()
	command := clientCommand{
		operation: operation{commandID: id, key: configKey, verb: verbChange, baseVersion: baseVersion, version: version},
		method:    http.MethodPut, path: "/settings", body: c.configDocument(version, id), timeout: changeTimeout,
	}
	if patched {
		command.method, command.body = http.MethodPatch, configPatch(version, id)
	}
	return command
}

// zoneCommand drains a zone, or ends that.
func (c *Cluster) zoneCommand(zone ids.Zone, drained bool) clientCommand {
	method := http.MethodDelete
	if drained {
		method = http.MethodPost
	}
	return clientCommand{
		operation: operation{commandID: c.nextCommandID(), key: zoneKey(zone), verb: verbChangeZone, drained: drained},
		method:    method, path: "/empty/" + string(zone), timeout: changeTimeout,
	}
}

// zoneKey is the key of a zone to the checker.
func zoneKey(zone ids.Zone) string { return "evacuation/" + string(zone) }

// readConfig reads the configuration and returns its version.
func (c *Cluster) readConfig(timeout time.Duration) (version int64, ok bool) {
	op, body := c.execute(clientCommand{
		operation: operation{commandID: c.nextCommandID(), key: configKey, verb: verbRead}, method: http.MethodGet, path: "/settings", timeout: timeout,
	})
	if op.outcome == accepted {
		version, marker, ok := parseConfig(body)
		if !ok {
			c.reportViolation("GET /settings answered what no order brought: %.200s", body)
		}
		op.version, op.marker = version, marker
	}
	c.record(op)
	return op.version, op.outcome == accepted
}

// readZone reads at a controller whether a zone is drained. It does nothing at a
// machine where no controller runs.
func (c *Cluster) readZone(target *Machine, zone ids.Zone) {
	if target.process == nil || target.process.controller == nil || target.frozen {
		return
	}
	op := operation{commandID: c.nextCommandID(), key: zoneKey(zone), verb: verbReadZone, start: c.now()}
	env := scope.New(scope.Options{Clock: target.process.clock})
	ctx, cancel := env.WithTimeout(attemptTimeout)
	defer cancel()
	value, err := target.process.controller.Read(ctx, evacuation.Key(zone))
	op.end = c.now()
	if err == nil {
		record, err := evacuation.Decode(value)
		if err != nil {
			c.reportViolation("the value of %s can't be read: %v", zone, err)
		}
		op.drained, op.outcome = record.Drained, accepted
	}
	c.record(op)
}

// record adds an operation to the history and counts it.
func (c *Cluster) record(op operation) {
	c.mu.Lock()
	c.history.add(op)
	c.mu.Unlock()
	c.count(fmt.Sprintf("%s: %s", op.verb, outcomeNames[op.outcome]))
	c.trace("operation", nil, "command_id", op.commandID, "key", op.key, "verb", op.verb, "base_version", op.baseVersion, "version", op.version,
		"drained", op.drained, "marker", op.marker, "start_s", op.start.Seconds(), "outcome", outcomeNames[op.outcome])
}

func (c *Cluster) nextCommandID() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCommandID++
	return c.lastCommandID
}
