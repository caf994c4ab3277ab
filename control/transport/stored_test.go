package transport

import (
	"errors"
	"strings"
	"testing"

	"onyxwell/base/errkind"
)

func TestStoredValueError_namesKeyFormsAndRemedy(t *testing.T) {
	body, err := Marshal(sampleMessage{Number: 7})
	if err != nil {
		t.Fatal(err)
	}
	_, cause := Unmarshal[olderMessage](body)
	err = NewStoredValueError("spec", cause)
	var stored *StoredValueError
	if !errors.As(err, &stored) || stored.Key != "spec" || errkind.KindOf(err) != errkind.Internal || RejectReasonOf(err) != SchemaMismatch {
		t.Fatalf("%v", err)
	}
	for _, want := range []string{"key spec", "has form", "here, not", "run the build that wrote it"} {
		if !strings.Contains(errkind.DetailOf(err), want) {
			t.Errorf("%q does not say %q", errkind.DetailOf(err), want)
		}
	}
}
