package upstream

import "testing"

// TestReuseBlocker_eachCondition violates the conditions for reuse of a connection one
// at a time. It also checks that a connection is in sync after the outcomes Answered
// and Rejected, and only after these.
func TestReuseBlocker_eachCondition(t *testing.T) {
	reusable := exchangeEnd{observation: validResponse, bodyComplete: true, selfDelimited: true, requestWritten: true}
	if reason := reuseBlocker(reusable); reason != "" {
		t.Fatalf("a reusable connection is not reused: %s", reason)
	}
	violations := []func(end *exchangeEnd){
		func(end *exchangeEnd) { end.observation = wrongAttempt },
		func(end *exchangeEnd) { end.bodyComplete = false },
		func(end *exchangeEnd) { end.selfDelimited = false },
		func(end *exchangeEnd) { end.closeRequested = true },
		func(end *exchangeEnd) { end.requestWritten = false },
		func(end *exchangeEnd) { end.canceled = true },
		func(end *exchangeEnd) { end.bufferedBytes = 1 },
	}
	for index, violate := range violations {
		end := reusable
		if violate(&end); reuseBlocker(end) == "" {
			t.Errorf("violation %d: the connection is reused", index)
		}
	}
	for obs, entry := range conclusions {
		if want := entry.outcome == Answered || entry.outcome == Rejected; entry.inSync != want {
			t.Errorf("observation %d with outcome %v: inSync is %v", obs, entry.outcome, entry.inSync)
		}
	}
}
