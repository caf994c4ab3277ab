package upstream

import "testing"

// TestEachBarHolds spoils one thing at a time of an exchange that went well.
func TestEachBarHolds(t *testing.T) {
	well := ending{sign: proper, whole: true, framed: true, written: true}
	if reason := barred(well); reason != "" {
		t.Fatalf("a good connection is not kept: %s", reason)
	}
	spoils := []func(ending *ending){
		func(ending *ending) { ending.sign = foreign },
		func(ending *ending) { ending.whole = false },
		func(ending *ending) { ending.framed = false },
		func(ending *ending) { ending.closing = true },
		func(ending *ending) { ending.written = false },
		func(ending *ending) { ending.cut = true },
		func(ending *ending) { ending.rest = 1 },
	}
	for index, spoil := range spoils {
		spoilt := well
		if spoil(&spoilt); barred(spoilt) == "" {
			t.Errorf("spoil %d: the connection is kept", index)
		}
	}
	for sign, verdict := range verdicts {
		if fits := verdict.fate == Answered || verdict.fate == Refused; verdict.fit != fits {
			t.Errorf("sign %d: fate %v and fit %v", sign, verdict.fate, verdict.fit)
		}
	}
}
