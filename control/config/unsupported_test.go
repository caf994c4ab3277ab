package config

import (
	"slices"
	"testing"
)

func TestUnsupportedFields(t *testing.T) {
	cases := []struct {
		name, document string
		want           []string
	}{
		{"all supported", `{"config_version":7,"routes":[{"name":"r","shares":[{"service":"s","weight":1}]}],"services":[{"name":"s","engine":{"capacity":3}}],"limits":{"idle_ms":1}}`, nil},
		{"top-level field", `{"config_version":7,"later":[{"name":"x"}]}`, []string{"later"}},
		{"in lists, without duplicates", `{"routes":[{"later":1},{"later":2,"shares":[{"cost":3}]}]}`, []string{"routes[].later", "routes[].shares[].cost"}},
		{"in objects", `{"services":[{"engine":{"later":1}}],"limits":{"later":1}}`, []string{"limits.later", "services[].engine.later"}},
		{"unexpected type", `{"routes":{"later":1},"limits":[1]}`, nil},
		{"not an object", `[]`, nil},
		{"invalid JSON", `{"later":`, nil},
	}
	for _, test := range cases {
		if got := UnsupportedFields([]byte(test.document)); !slices.Equal(got, test.want) {
			t.Errorf("%s: got fields %q, want %q", test.name, got, test.want)
		}
	}
}
