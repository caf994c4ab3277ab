package upstream

import "testing"

// TestReuseBlocker_eachCondition spoils one thing at a time of an exchange that went well.
func TestReuseBlocker_eachCondition(t *testing.T) {
	well := exchangeEnd{observation: validResponse, bodyComplete: true, selfDelimited: true, requestWritten: true}
	if reason := reuseBlocker(well); reason != "" {
		t.Fatalf("a good connection is not kept: %s", reason)
	}
	spoils := []func(ending *exchangeEnd){
		func(ending *exchangeEnd) { ending.observation = wrongAttempt },
		func(ending *exchangeEnd) { ending.bodyComplete = false },
		func(ending *exchangeEnd) { ending.selfDelimited = false },
		func(ending *exchangeEnd) { ending.closeRequested = true },
		func(ending *exchangeEnd) { ending.requestWritten = false },
		func(ending *exchangeEnd) { ending.canceled = true },
		func(ending *exchangeEnd) { ending.bufferedBytes = 1 },
	}
	for index, spoil := range spoils {
		spoilt := well
		if spoil(&spoilt); reuseBlocker(spoilt) == "" {
			t.Errorf("spoil %d: the connection is kept", index)
		}
	}
	for sign, verdict := range conclusions {
		if fits := verdict.outcome == Answered || verdict.outcome == Rejected; verdict.inStep != fits {
			t.Errorf("sign %d: fate %v and fit %v", sign, verdict.outcome, verdict.inStep)
		}
	}
}
