package store

import (
	"encoding/json"
	"strings"
	"testing"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config"
)

const validConfig = `{"config_version":7,"extra":{"kept":1},"routes":[
 {"name":"a","hostname":"Shop.example","path_prefix":"/a/","type":"safe","give_up_ms":100,"service":"s"},
 {"name":"b","hostname":"shop.example","path_prefix":"/a/b/","type":"streaming","resumable":true,"give_up_ms":100,"shares":[{"service":"s","weight":1},{"service":"t","weight":0}]}],
 "services":[{"name":"s"},{"name":"t","cold_per_s":2.5}],"limits":{"max_body_bytes":10}}`

func TestMatch_longestPrefixWins(t *testing.T) {
	read, err := Validate([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[[2]string]string{
		{"shop.example", "/a/x"}: "a", {"SHOP.example:80", "/a/b/x"}: "b", {"shop.example", "/a/bx"}: "a",
		{"shop.example", "/b/"}: "", {"other.example", "/a/x"}: "", {"shop.example", "/a"}: "",
	}
	for place, name := range cases {
		route := read.Match(place[0], place[1])
		if (route == nil) != (name == "") || (route != nil && route.Name != name) {
			t.Errorf("%v: %+v", place, route)
		}
	}
}

func TestValidate_namesInvalidField(t *testing.T) {
	cases := []struct{ name, from, to, field string }{
		{"cut short", validConfig, validConfig[:200], "not JSON"},
		{"two documents", validConfig, validConfig + validConfig, "not JSON"},
		{"unknown service", `"give_up_ms":100,"service":"s"`, `"give_up_ms":100,"service":"x"`, "routes[0].service"},
		{"unknown share", `{"service":"s","weight":1}`, `{"service":"x","weight":1}`, "routes[1].shares[0].service"},
		{"same place", `"/a/b/"`, `"/a/"`, "routes[1].path_prefix"},
		{"no weight", `"weight":1`, `"weight":0`, "routes[1].shares"},
		{"no time", `"give_up_ms":100,"service"`, `"give_up_ms":0,"service"`, "give_up_ms"},
		{"name twice", `"name":"b"`, `"name":"a"`, "routes[1].name"},
		{"service twice", `{"name":"t"`, `{"name":"s"`, "services[1].name"},
		{"no service", `,"service":"s"`, ``, "routes[0].service"},
		{"no version", `"config_version":7,`, ``, "config_version"},
		{"version as text", `"config_version":7`, `"config_version":"7"`, "config_version"},
		{"unknown type", `"type":"safe"`, `"type":"odd"`, "type"},
	}
	for _, example := range cases {
		text := strings.Replace(validConfig, example.from, example.to, 1)
		if text == validConfig {
			t.Fatalf("%s: the case changes nothing", example.name)
		}
		_, err := Validate([]byte(text))
		if errkind.KindOf(err) != errkind.InvalidConfig || !strings.Contains(err.Error(), example.field) {
			t.Errorf("%s: %v", example.name, err)
		}
	}
}

func mustApply(t *testing.T, current []byte, change Change, want errkind.Kind) []byte {
	t.Helper()
	next, err := change.Apply(current)
	if errkind.KindOf(err) != want {
		t.Fatalf("%v, not %v", err, want)
	}
	return next
}

func TestApply_requiresBaseVersion(t *testing.T) {
	first := Change{Full: true, BaseVersion: 0, Body: []byte(validConfig)}
	value := mustApply(t, nil, first, errkind.None)
	if again := mustApply(t, value, first, errkind.None); again != nil {
		t.Fatal("a repeat changed the value")
	}
	rival := Change{Full: true, BaseVersion: 0, Body: []byte(strings.Replace(validConfig, ":7", ":8", 1))}
	mustApply(t, value, rival, errkind.VersionConflict)
	mustApply(t, value, Change{Full: true, BaseVersion: 7, Body: []byte(strings.Replace(validConfig, ":7", ":6", 1))}, errkind.InvalidConfig)
	mustApply(t, value, Change{Full: true, BaseVersion: 7, Body: []byte("{")}, errkind.InvalidConfig)
	patch := Change{BaseVersion: 7, Body: []byte(`{"config_version":9,"changes":{"routes":[
	 {"name":"a","hostname":"shop.example","path_prefix":"/a/","type":"safe","give_up_ms":200,"service":"t"},
	 {"name":"c","hostname":"shop.example","path_prefix":"/c/","type":"safe","give_up_ms":1,"service":"t"}]},
	 "remove":{"routes":["b","unknown"]}}`)}
	newer := mustApply(t, value, patch, errkind.None)
	// A repeat of the older change is still known, whatever is in force.
	if again := mustApply(t, newer, first, errkind.None); again != nil {
		t.Fatal("a late repeat changed the value")
	}
	kept, err := Decode(newer)
	if err != nil || kept.Version != 9 {
		t.Fatalf("%+v, %v", kept.Version, err)
	}
	var whole struct {
		Serial ids.Serial        `json:"config_version"`
		Routes []config.Route    `json:"routes"`
		Extra  map[string]int    `json:"extra"`
		Limits map[string]int    `json:"limits"`
		Rest   []json.RawMessage `json:"services"`
	}
	if err := json.Unmarshal(kept.Document, &whole); err != nil {
		t.Fatal(err)
	}
	if whole.Serial != 9 || len(whole.Routes) != 2 || whole.Routes[0].Service != "t" || whole.Routes[1].Name != "c" ||
		whole.Extra["kept"] != 1 || whole.Limits["max_body_bytes"] != 10 || len(whole.Rest) != 2 {
		t.Fatalf("%s", kept.Document)
	}
}

func TestApply_rejectsInvalidPatch(t *testing.T) {
	value := mustApply(t, nil, Change{Full: true, Body: []byte(validConfig)}, errkind.None)
	bodies := []string{
		`{"config_version":9,"remove":{"services":["t"]}}`, `{"config_version":7}`, `{"config_version":9,"changes":{"routes":[{"hostname":"x"}]}}`,
		`{"config_version":9,"changes":{"routes":7}}`, `[]`,
	}
	for _, body := range bodies {
		mustApply(t, value, Change{BaseVersion: 7, Body: []byte(body)}, errkind.InvalidConfig)
	}
}
