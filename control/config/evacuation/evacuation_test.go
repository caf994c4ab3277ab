package evacuation

import (
	"testing"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

func TestUpdate_togglesOnce(t *testing.T) {
	cases := []struct {
		name    string
		current State
		drained bool
		since   ids.Version
		want    State
	}{
		{"first write", State{}, true, 1, State{Version: 1, Drained: true}},
		{"first write undrains", State{}, false, 1, State{Version: 1}},
		{"drains", State{Version: 2}, true, 2, State{Version: 3, Drained: true}},
		{"already drained", State{Version: 3, Drained: true}, true, 3, State{}},
		{"toggled since the given version", State{Version: 4}, true, 2, State{}},
		{"drains regardless of the version", State{Version: 4}, true, 0, State{Version: 5, Drained: true}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var current []byte
			if test.current.Version > 0 {
				current, _ = transport.Marshal(test.current)
			}
			value, err := Update(Key("hall"), test.drained, test.since)(current)
			if err != nil {
				t.Fatal(err)
			}
			if state, err := Decode(value); err != nil || state != test.want {
				t.Errorf("state %+v, error %v", state, err)
			}
		})
	}
	if _, err := Update(Key("hall"), true, 0)([]byte("x")); errkind.KindOf(err) != errkind.Internal {
		t.Errorf("corrupted value: got error %v, want one of kind Internal", err)
	}
}

func TestZoneFromKey_invertsKey(t *testing.T) {
	if zone, ok := ZoneFromKey(Key("hall")); !ok || zone != "hall" {
		t.Errorf("ZoneFromKey returned zone %q, ok %v", zone, ok)
	}
	if _, ok := ZoneFromKey("spec"); ok {
		t.Error("ZoneFromKey accepted a key without the prefix")
	}
}
