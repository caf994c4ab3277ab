// Package store checks the operator's changes to the spec and keeps the spec
// in force. It stands apart from package spec, which routers need too: they read
// what was checked before.
package store

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config"
)

//go:embed schema.json
var schemaJSON []byte

var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource("spec.json", document); err != nil {
		return nil, err
	}
	return compiler.Compile("spec.json")
})

// Schema gives the JSON schema of a whole configuration.
func Schema() []byte { return schemaJSON }

// Validate reads a whole document and refuses an invalid one with a BadSpec
// failure that names the field.
func Validate(document []byte) (*config.Config, error) {
	loose, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return nil, errkind.Errorf(errkind.InvalidConfig, "not JSON: %v", err)
	}
	schema, err := compiledSchema()
	if err != nil {
		return nil, errkind.Errorf(errkind.Internal, "schema: %v", err)
	}
	if err := schema.Validate(loose); err != nil {
		return nil, errkind.Errorf(errkind.InvalidConfig, "%v", err)
	}
	read, err := config.Parse(document)
	if err != nil {
		return nil, errkind.Errorf(errkind.InvalidConfig, "%v", err)
	}
	for _, rule := range rules {
		if err := rule(read); err != nil {
			return nil, err
		}
	}
	return read, nil
}

// rules are what the schema can't say.
var rules = []func(*config.Config) error{uniqueNames, uniquePaths, knownServices, positiveWeights}

func uniqueNames(version *config.Config) error {
	routes := map[string]bool{}
	for index, route := range version.Routes {
		if routes[route.Name] {
			return errkind.Errorf(errkind.InvalidConfig, "routes[%d].name: %q stands twice", index, route.Name)
		}
		routes[route.Name] = true
	}
	services := map[ids.Service]bool{}
	for index, service := range version.Services {
		if services[service.Name] {
			return errkind.Errorf(errkind.InvalidConfig, "services[%d].name: %q stands twice", index, service.Name)
		}
		services[service.Name] = true
	}
	return nil
}

func uniquePaths(version *config.Config) error {
	places := map[[2]string]bool{}
	for index, route := range version.Routes {
		place := [2]string{config.NormalizeHost(route.Host), route.PathPrefix}
		if places[place] {
			return errkind.Errorf(errkind.InvalidConfig, "routes[%d].path_prefix: %q stands twice for this host", index, route.PathPrefix)
		}
		places[place] = true
	}
	return nil
}

func knownServices(version *config.Config) error {
	for index, route := range version.Routes {
		if route.Service == "" && len(route.Services) == 0 {
			return errkind.Errorf(errkind.InvalidConfig, "routes[%d].service: missing", index)
		}
		if route.Service != "" && version.Service(route.Service) == nil {
			return errkind.Errorf(errkind.InvalidConfig, "routes[%d].service: %q is not known", index, route.Service)
		}
		for part, share := range route.Services {
			if version.Service(share.Service) == nil {
				return errkind.Errorf(errkind.InvalidConfig, "routes[%d].shares[%d].service: %q is not known", index, part, share.Service)
			}
		}
	}
	return nil
}

func positiveWeights(version *config.Config) error {
	for index, route := range version.Routes {
		total := 0.0
		for _, part := range route.WeightedServices() {
			total += part.Weight
		}
		if total <= 0 {
			return errkind.Errorf(errkind.InvalidConfig, "routes[%d].shares: the weights add up to 0", index)
		}
	}
	return nil
}

type patch struct {
	Version ids.Serial                 `json:"config_version"`
	Changes map[string]json.RawMessage `json:"changes"`
	Remove  map[string][]string        `json:"remove"`
}

type namedItem struct {
	Name string `json:"name"`
}
