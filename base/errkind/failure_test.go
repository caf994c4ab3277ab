package errkind

import (
	"errors"
	"fmt"
	"testing"
)

func TestEveryKindHasItsAnswer(t *testing.T) {
	names := map[string]bool{}
	// Orders may be left without a clear answer; a client's request never.
	unclear := map[Kind]bool{Unsettled: true, Forgotten: true}
	promise := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for kind := None; kind < kinds; kind++ {
		told := kind.Answer()
		if told.Status == 0 || told.Name == "" || names[told.Name] {
			t.Errorf("kind %d: %+v", kind, told)
		}
		names[told.Name] = true
		if promise[told.Status] && !told.NotRun && !unclear[kind] {
			t.Errorf("%s promises what may not be so", told.Name)
		}
	}
	if Kind(-1).Answer().Status != 500 || kinds.Answer().Status != 500 {
		t.Error("an unknown kind is not internal")
	}
}

func TestKindIsFoundInWraps(t *testing.T) {
	err := fmt.Errorf("outside: %w", Of(StaleSpec, "version %d", 7))
	if KindOf(err) != StaleSpec || DetailOf(err) != "version 7" || KindOf(nil) != None || KindOf(errors.New("x")) != Internal {
		t.Fatalf("%v %q", KindOf(err), DetailOf(err))
	}
}
