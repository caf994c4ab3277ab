package store

import (
	"encoding/json"
	"fmt"
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
	cfg, err := Validate([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	cases := map[[2]string]string{
		{"shop.example", "/a/x"}: "a", {"SHOP.example:80", "/a/b/x"}: "b", {"shop.example", "/a/bx"}: "a",
		{"shop.example", "/b/"}: "", {"other.example", "/a/x"}: "", {"shop.example", "/a"}: "",
	}
	for target, name := range cases {
		route := cfg.Match(target[0], target[1])
		if (route == nil) != (name == "") || (route != nil && route.Name != name) {
			t.Errorf("host and path %q: got route %+v", target, route)
		}
	}
}

func TestValidate_namesInvalidField(t *testing.T) {
	cases := []struct{ name, from, to, field string }{
		{"truncated", validConfig, validConfig[:200], "not JSON"},
		{"two documents", validConfig, validConfig + validConfig, "not JSON"},
		{"unknown service", `"give_up_ms":100,"service":"s"`, `"give_up_ms":100,"service":"x"`, "routes[0].service"},
		{"unknown weighted service", `{"service":"s","weight":1}`, `{"service":"x","weight":1}`, "routes[1].shares[0].service"},
		{"duplicate path", `"/a/b/"`, `"/a/"`, "routes[1].path_prefix"},
		{"weights add up to 0", `"weight":1`, `"weight":0`, "routes[1].shares"},
		{"timeout of 0", `"give_up_ms":100,"service"`, `"give_up_ms":0,"service"`, "give_up_ms"},
		{"duplicate route", `"name":"b"`, `"name":"a"`, "routes[1].name"},
		{"duplicate service", `{"name":"t"`, `{"name":"s"`, "services[1].name"},
		{"no service", `,"service":"s"`, ``, "routes[0].service"},
		{"no version", `"config_version":7,`, ``, "config_version"},
		{"version as a string", `"config_version":7`, `"config_version":"7"`, "config_version"},
		{"unknown type", `"type":"safe"`, `"type":"odd"`, "type"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			document := strings.Replace(validConfig, test.from, test.to, 1)
			if document == validConfig {
				t.Fatal("the replacement did not change the document")
			}
			_, err := Validate([]byte(document))
			if errkind.KindOf(err) != errkind.InvalidConfig || !strings.Contains(err.Error(), test.field) {
				t.Error(err)
			}
		})
	}
}

// mustApply applies a change and returns the new value. It fails the test if the error
// is not of the wanted kind.
func mustApply(t *testing.T, current []byte, change Change, want errkind.Kind) []byte {
	t.Helper()
	next, err := change.Apply(current)
	if errkind.KindOf(err) != want {
		t.Fatalf("got error %v, want one of kind %v", err, want)
	}
	return next
}

func TestApply_requiresBaseVersion(t *testing.T) {
	first := Change{Full: true, BaseVersion: 0, Body: []byte(validConfig)}
	value := mustApply(t, nil, first, errkind.None)
	if next := mustApply(t, value, first, errkind.None); next != nil {
		t.Fatal("sending the change again changed the value")
	}
	conflicting := Change{Full: true, BaseVersion: 0, Body: []byte(strings.Replace(validConfig, ":7", ":8", 1))}
	mustApply(t, value, conflicting, errkind.VersionConflict)
	mustApply(t, value, Change{Full: true, BaseVersion: 7, Body: []byte(strings.Replace(validConfig, ":7", ":6", 1))}, errkind.InvalidConfig)
	mustApply(t, value, Change{Full: true, BaseVersion: 7, Body: []byte("{")}, errkind.InvalidConfig)
	patch := Change{BaseVersion: 7, Body: []byte(`{"config_version":9,"changes":{"routes":[
	 {"name":"a","hostname":"shop.example","path_prefix":"/a/","type":"safe","give_up_ms":200,"service":"t"},
	 {"name":"c","hostname":"shop.example","path_prefix":"/c/","type":"safe","give_up_ms":1,"service":"t"}]},
	 "remove":{"routes":["b","unknown"]}}`)}
	newer := mustApply(t, value, patch, errkind.None)
	// An older change that is sent again is acknowledged, whatever the current version is.
	if next := mustApply(t, newer, first, errkind.None); next != nil {
		t.Fatal("sending an older change again changed the value")
	}
	record, err := Decode(newer)
	if err != nil || record.Version != 9 {
		t.Fatalf("got version %+v, error %v", record.Version, err)
	}
	var document struct {
		Version ids.Version       `json:"config_version"`
		Routes  []config.Route    `json:"routes"`
		Extra   map[string]int    `json:"extra"`
		Limits  map[string]int    `json:"limits"`
		Rest    []json.RawMessage `json:"services"`
	}
	if err := json.Unmarshal(record.Document, &document); err != nil {
		t.Fatal(err)
	}
	if document.Version != 9 || len(document.Routes) != 2 || document.Routes[0].Service != "t" || document.Routes[1].Name != "c" ||
		document.Extra["kept"] != 1 || document.Limits["max_body_bytes"] != 10 || len(document.Rest) != 2 {
		t.Fatalf("unexpected document: %s", record.Document)
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

// TestErrors_keepKindAndText guards the kinds and the texts of errors that operators see.
func TestErrors_keepKindAndText(t *testing.T) {
	archived := &ArchivedError{baseVersion: 3, index: 1}
	cases := []struct {
		err  error
		kind errkind.Kind
		text string
	}{
		{History{}.lookup(3, nil, 7), errkind.VersionConflict, "stale-spec: If-Match: version 3 is not the current version, version 7 is"},
		{&VersionConflictError{BaseVersion: 3}, errkind.VersionConflict, "stale-spec: If-Match: version 3 is not the current version, a newer version is"},
		{archived, errkind.OutcomeExpired, "forgotten: If-Match: the outcome of changes to version 3 is no longer known"},
		{archived.Resolve(nil), errkind.OutcomeExpired, "forgotten: If-Match: the outcome of changes to version 3 is no longer known"},
		{History{Offset: chunkLength, BaseVersion: 5}.lookup(3, nil, 7), errkind.OutcomeExpired, "forgotten: If-Match: the outcome of changes to version 3 is no longer known, the current version is 7"},
	}
	for _, test := range cases {
		if errkind.KindOf(test.err) != test.kind || test.err.Error() != test.text {
			t.Errorf("got %v, want %s", test.err, test.text)
		}
	}
}

// TestApplyWith_boundsDecodedSize guards against changes that take many times their bytes
// once they are decoded: whole documents, patches, and documents that patches make too
// large together.
func TestApplyWith_boundsDecodedSize(t *testing.T) {
	const maxDecodedBytes = 50_000
	options := ApplyOptions{MaxDecodedBytes: maxDecodedBytes}
	current, err := Change{Full: true, Body: []byte(validConfig)}.ApplyWith(options)(nil)
	if err != nil {
		t.Fatal(err)
	}
	// list returns a list that takes nearly half of what is allowed.
	list := func() string { return "[" + strings.Repeat("0,", maxDecodedBytes/2/110) + "0]" }
	patch := func(version int, field string, values ...string) Change {
		body := fmt.Sprintf(`{"config_version":%d,"changes":{"%s":[%s]}}`, version, field, strings.Join(values, ","))
		return Change{BaseVersion: ids.Version(version - 1), Body: []byte(body)}
	}
	named := func(name string) string { return `{"name":"` + name + `","x":` + list() + `}` }
	for _, c := range []struct {
		name   string
		change Change
		want   errkind.Kind
	}{
		{"document", Change{Full: true, BaseVersion: 7, Body: []byte(strings.Replace(validConfig, `"extra":{"kept":1}`, `"extra":[`+list()+","+list()+","+list()+`]`, 1))}, errkind.BodyTooLarge},
		{"patch", patch(8, "services", named("u"), named("v"), named("w")), errkind.BodyTooLarge},
		{"patch within the limit", patch(8, "services", named("u")), errkind.None},
		{"patch that makes the document too large", patch(9, "services", named("v")), errkind.BodyTooLarge},
		{"patch that makes it smaller", Change{BaseVersion: 8, Body: []byte(`{"config_version":9,"remove":{"services":["u"]}}`)}, errkind.None},
	} {
		next, err := c.change.Compress().ApplyWith(options)(current)
		if errkind.KindOf(err) != c.want {
			t.Errorf("%s: error %v, want kind %v", c.name, err, c.want)
		}
		if err == nil {
			current = next
		}
	}
}
