package store

import (
	"errors"
	"strings"
	"testing"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"onyxwell/base/errkind"
)

// countErrors returns the number of errors in the tree of a validation error.
func countErrors(err *jsonschema.ValidationError) int {
	count := 1
	for _, cause := range err.Causes {
		count += countErrors(cause)
	}
	return count
}

// TestValidate_reportsFirstInvalidElement guards against lists of many invalid elements,
// whose errors took more memory than a controller has.
func TestValidate_reportsFirstInvalidElement(t *testing.T) {
	const (
		elements  = 10_000
		maxErrors = 20
	)
	repeat := func(element string) string { return strings.Repeat(element+",", elements) + element }
	route := `{"name":"a","hostname":"h","path_prefix":"/","give_up_ms":1,"service":"s"`
	for name, c := range map[string]struct{ lists, place string }{
		"routes":       {`"routes":[` + route + `},` + repeat(`{}`) + `],"services":[]`, "/routes/1"},
		"services":     {`"routes":[],"services":[` + repeat(`7`) + `]`, "/services/0"},
		"shares":       {`"routes":[` + route + `,"shares":[` + repeat(`[]`) + `]}],"services":[]`, "/routes/0/shares/0"},
		"home regions": {`"routes":[` + route + `,"home_regions":[` + repeat(`null`) + `]}],"services":[]`, "/routes/0/home_regions/0"},
		"tenants":      {`"routes":[],"services":[],"customers":[` + repeat(`{"name":""}`) + `]`, "/customers/0"},
		"keys":         {`"routes":[],"services":[],"customers":[{"name":"t","api_keys":["k",` + repeat(`""`) + `]}]`, "/customers/0/api_keys/1"},
	} {
		t.Run(name, func(t *testing.T) {
			document := `{"config_version":7,` + c.lists + `}`
			value, err := jsonschema.UnmarshalJSON(strings.NewReader(document))
			if err != nil {
				t.Fatal(err)
			}
			schema, err := compiledSchema()
			if err != nil {
				t.Fatal(err)
			}
			var invalid *jsonschema.ValidationError
			if !errors.As(schema.Validate(value), &invalid) {
				t.Fatal("the document is valid")
			}
			if got := countErrors(invalid); got > maxErrors {
				t.Errorf("%d errors are reported, want at most %d", got, maxErrors)
			}
			if _, err := Validate([]byte(document)); errkind.KindOf(err) != errkind.InvalidConfig || !strings.Contains(err.Error(), "'"+c.place) {
				t.Errorf("error %v, want one at %s", err, c.place)
			}
		})
	}
}
