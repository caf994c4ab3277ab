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
		{"drained already", State{Version: 3, Drained: true}, true, 3, State{}},
		{"toggled back since", State{Version: 4}, true, 2, State{}},
		{"any version", State{Version: 4}, true, 0, State{Version: 5, Drained: true}},
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
				t.Errorf("%+v, %v", state, err)
			}
		})
	}
	if _, err := Update(Key("hall"), true, 0)([]byte("x")); errkind.KindOf(err) != errkind.Internal {
		t.Errorf("damaged value: %v", err)
	}
}

func TestZoneFromKey_invertsKey(t *testing.T) {
	if zone, ok := ZoneFromKey(Key("hall")); !ok || zone != "hall" {
		t.Errorf("%q, %v", zone, ok)
	}
	if _, ok := ZoneFromKey("spec"); ok {
		t.Error("a key of no zone has one")
	}
}
