package soak

import (
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/soak/localcluster"
)

// TestBrokenDuties_plantedViolations plants what a platform may see of duties.
func TestBrokenDuties_plantedViolations(t *testing.T) {
	usage := func(at time.Duration, holder string, fence int64, window int64, body string) dutyCall {
		return dutyCall{DutyCall: localcluster.DutyCall{Path: "/usage", Holder: holder, Fence: fence, Body: []byte(body)}, at: clock.Instant(at), subject: "/usage", window: window}
	}
	late := usage(4*time.Second, "a", 1, 1, "x")
	late.late = true
	for name, test := range map[string]struct {
		calls []dutyCall
		want  int
	}{
		"one holder after another":        {[]dutyCall{usage(0, "a", 1, 1, "x"), usage(time.Second, "a", 1, 1, "x"), usage(4*time.Second, "b", 2, 2, "y")}, 0},
		"two reports of a window":         {[]dutyCall{usage(0, "a", 1, 1, "x"), usage(time.Second, "a", 1, 1, "y")}, 1},
		"one fence of two holders":        {[]dutyCall{usage(0, "a", 1, 1, "x"), usage(4*time.Second, "b", 1, 2, "y")}, 1},
		"a lower fence":                   {[]dutyCall{usage(0, "b", 2, 1, "x"), usage(4*time.Second, "a", 1, 2, "y")}, 1},
		"there and back":                  {[]dutyCall{usage(0, "a", 1, 1, "x"), usage(time.Second/2, "b", 2, 2, "y"), usage(time.Second, "a", 3, 3, "z")}, 1},
		"a lower fence just after a stop": {[]dutyCall{usage(0, "b", 2, 1, "x"), late}, 0},
	} {
		if got := brokenDuties(test.calls); len(got) != test.want {
			t.Errorf("%s: %v", name, got)
		}
	}
}
