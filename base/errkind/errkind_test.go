package errkind

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// The number of a kind is sent in a header and its name in bodies: builds of
// different age must agree on both. Rows are only ever added, at the end.
func TestKind_wireNumbersAndNames(t *testing.T) {
	wire := []struct {
		kind   Kind
		name   string
		status int
	}{
		{None, "none", 200},
		{BadRequest, "bad-request", 400},
		{HeaderTooLarge, "head-too-large", 431},
		{BodyTooLarge, "body-too-large", 413},
		{RequestTimeout, "too-slow", 408},
		{NoRoute, "no-route", 404},
		{UnknownCall, "unknown-call", 404},
		{NotReady, "unready", 503},
		{Draining, "leaving", 503},
		{NoRunner, "no-runner", 503},
		{Overloaded, "crowded", 503},
		{RetryBudgetExhausted, "budget-spent", 503},
		{RunnerLost, "runner-lost", 502},
		{BadRunnerResponse, "runner-garbled", 502},
		{DeadlineExceeded, "limit-reached", 504},
		{DeadlineBeforeRun, "limit-before-run", 503},
		{InvalidConfig, "bad-spec", 400},
		{VersionConflict, "stale-spec", 412},
		{UnknownZone, "unknown-zone", 404},
		{NoQuorum, "unsettled", 503},
		{OutcomeExpired, "forgotten", 503},
		{Internal, "internal", 500},
		{EarlyRequest, "sent-ahead", 503},
		{OutOfMemory, "no-memory", 503},
		{UnknownKey, "unknown-key", 401},
		{QuotaExceeded, "over-quota", 429},
		{AddUndecided, "undecided", 504},
		{CountersFull, "counters-full", 503},
		{UnknownService, "unknown-service", 404},
		{RolloutConflict, "rollout-conflict", 409},
		{InvalidOrder, "bad-order", 400},
		{OutOfContact, "out-of-contact", 503},
	}
	if len(wire) != int(kindCount) {
		t.Fatalf("%d kinds are listed of %d", len(wire), kindCount)
	}
	for number, want := range wire {
		if int(want.kind) != number || want.kind.String() != want.name || want.kind.Response().Status != want.status {
			t.Errorf("number %d is %q (%d) with status %d, want %q with status %d",
				number, want.kind, int(want.kind), want.kind.Response().Status, want.name, want.status)
		}
	}
}

func TestKind_everyKindHasResponse(t *testing.T) {
	names := map[string]bool{}
	// Commands may be left without a clear outcome, requests of clients never.
	outcomeUnknown := map[Kind]bool{NoQuorum: true, OutcomeExpired: true}
	promisesNotRun := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for kind := None; kind < kindCount; kind++ {
		resp := kind.Response()
		if resp.Status == 0 || resp.Name == "" || names[resp.Name] {
			t.Errorf("kind %d: %+v", kind, resp)
		}
		names[resp.Name] = true
		if promisesNotRun[resp.Status] && !resp.NotRun && !outcomeUnknown[kind] {
			t.Errorf("%s: status %d promises that the request did not run", resp.Name, resp.Status)
		}
	}
	if Kind(-1).Response().Status != 500 || kindCount.Response().Status != 500 {
		t.Error("an unknown kind is not answered as Internal")
	}
}

func TestKindOf(t *testing.T) {
	conflict := Errorf(VersionConflict, "version %d", 7)
	cases := map[string]struct {
		err    error
		kind   Kind
		detail string
	}{
		"no error":      {nil, None, ""},
		"without kind":  {errors.New("x"), Internal, ""},
		"wrapped":       {fmt.Errorf("outside: %w", conflict), VersionConflict, "version 7"},
		"inside a kind": {Errorf(NoQuorum, "write: %w", conflict), NoQuorum, "write: stale-spec: version 7"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if KindOf(c.err) != c.kind || DetailOf(c.err) != c.detail {
				t.Errorf("kind %v with detail %q, want %v with %q", KindOf(c.err), DetailOf(c.err), c.kind, c.detail)
			}
		})
	}
}

func TestErrorf_wraps(t *testing.T) {
	cause := errors.New("disk full")
	if err := Errorf(Internal, "append: %w", cause); !errors.Is(err, cause) || err.Error() != "internal: append: disk full" {
		t.Errorf("%v does not wrap %v", err, cause)
	}
}

// TestErrorf_cutsDetail guards against answers and log lines that quote a caller's text
// of any length.
func TestErrorf_cutsDetail(t *testing.T) {
	cause := errors.New("disk full")
	err := Errorf(UnknownZone, "%q: %w", strings.Repeat("z", 1<<20), cause)
	if got := len(DetailOf(err)); got > maxDetailBytes+len("...") {
		t.Errorf("the detail has %d bytes, at most %d are wanted", got, maxDetailBytes)
	}
	if KindOf(err) != UnknownZone || !errors.Is(err, cause) {
		t.Errorf("kind %v, error %v: want the kind and the wrapped error kept", KindOf(err), errors.Unwrap(err))
	}
}
