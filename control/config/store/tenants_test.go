package store

import (
	"strings"
	"testing"

	"onyxwell/base/errkind"
)

// TestValidate_tenants checks that invalid tenants are rejected, in particular two
// tenants that share an API key. Such a configuration was accepted in the incident of
// docs/incidents/router-fleets.md, in which routers did not read tenants at all.
func TestValidate_tenants(t *testing.T) {
	document := func(tenants string) []byte {
		return []byte(strings.Replace(validConfig, `"routes"`, `"customers":`+tenants+`,"routes"`, 1))
	}
	cases := []struct{ name, tenants, field string }{
		{"no tenants", `[]`, ""},
		{"two tenants", `[{"name":"a","api_keys":["1","2"],"urgency":1,"rate_per_s":5.5,"burst":10},{"name":"b","api_keys":["3"]}]`, ""},
		{"without keys", `[{"name":"a","api_keys":[]},{"name":"b"}]`, ""},
		{"quota in tokens", `[{"name":"a","measured_in":"tokens","uncached_tokens":200,"rate_per_s":5,"burst":10}]`, ""},
		{"shared key", `[{"name":"a","api_keys":["1","2"]},{"name":"b","api_keys":["3","2"]}]`, "customers[1].api_keys[1]"},
		{"duplicate name", `[{"name":"a"},{"name":"a"}]`, "customers[1].name"},
		{"no name", `[{"api_keys":["1"]}]`, "customers"},
		{"empty key", `[{"name":"a","api_keys":[""]}]`, "customers"},
		{"negative rate", `[{"name":"a","rate_per_s":-1}]`, "customers"},
		{"negative burst", `[{"name":"a","burst":-1}]`, "customers"},
		{"unknown unit", `[{"name":"a","measured_in":"euros","rate_per_s":1}]`, "customers"},
		{"not a list", `{}`, "customers"},
	}
	for _, test := range cases {
		_, err := Validate(document(test.tenants))
		if (err == nil) != (test.field == "") {
			t.Errorf("%s: unexpected result: %v", test.name, err)
		} else if err != nil && (errkind.KindOf(err) != errkind.InvalidConfig || !strings.Contains(err.Error(), test.field)) {
			t.Errorf("%s: error %v is not an InvalidConfig error that names %s", test.name, err, test.field)
		}
	}
}
