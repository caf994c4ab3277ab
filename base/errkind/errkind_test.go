package errkind

import (
	"errors"
	"fmt"
	"testing"
)

func TestKind_everyKindHasResponse(t *testing.T) {
	names := map[string]bool{}
	// Orders may be left without a clear answer; a client's request never.
	unclear := map[Kind]bool{NoQuorum: true, OutcomeExpired: true}
	promise := map[int]bool{408: true, 421: true, 429: true, 503: true}
	for kind := None; kind < kindCount; kind++ {
		told := kind.Response()
		if told.Status == 0 || told.Name == "" || names[told.Name] {
			t.Errorf("kind %d: %+v", kind, told)
		}
		names[told.Name] = true
		if promise[told.Status] && !told.NotRun && !unclear[kind] {
			t.Errorf("%s promises what may not be so", told.Name)
		}
	}
	if Kind(-1).Response().Status != 500 || kindCount.Response().Status != 500 {
		t.Error("an unknown kind is not internal")
	}
}

func TestKindOf_wrappedError(t *testing.T) {
	err := fmt.Errorf("outside: %w", Errorf(VersionConflict, "version %d", 7))
	if KindOf(err) != VersionConflict || DetailOf(err) != "version 7" || KindOf(nil) != None || KindOf(errors.New("x")) != Internal {
		t.Fatalf("%v %q", KindOf(err), DetailOf(err))
	}
}
