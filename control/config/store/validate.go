package store

import (
	"bytes"
	_ "embed"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config"
)

//go:embed schema.json
var schemaJSON []byte

// compiledSchema compiles the schema once. The name of the schema resource is part of
// validation errors, which operators see.
var compiledSchema = sync.OnceValues(func() (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaJSON))
	if err != nil {
		return nil, err
	}
	vocabulary, err := elementsVocabulary()
	if err != nil {
		return nil, err
	}
	compiler := jsonschema.NewCompiler()
	compiler.RegisterVocabulary(vocabulary)
	compiler.AssertVocabs()
	if err := compiler.AddResource("spec.json", document); err != nil {
		return nil, err
	}
	return compiler.Compile("spec.json")
})

// Validate parses and validates a whole document. For an invalid document it returns
// an error of kind errkind.InvalidConfig that names the field.
func Validate(document []byte) (*config.Config, error) {
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(document))
	if err != nil {
		return nil, errkind.Errorf(errkind.InvalidConfig, "not JSON: %v", err)
	}
	schema, err := compiledSchema()
	if err != nil {
		return nil, errkind.Errorf(errkind.Internal, "schema: %v", err)
	}
	if err := schema.Validate(value); err != nil {
		return nil, errkind.Errorf(errkind.InvalidConfig, "%v", err)
	}
	cfg, err := config.Parse(document)
	if err != nil {
		return nil, errkind.Errorf(errkind.InvalidConfig, "%v", err)
	}
	for _, rule := range rules {
		if err := rule(cfg); err != nil {
			return nil, err
		}
	}
	return cfg, nil
}

// rules check the relations between fields, which schema.json cannot express. Types and
// ranges of single fields belong in schema.json.
var rules = []func(*config.Config) error{uniqueNames, uniquePaths, knownServices, positiveWeights, uniqueTenants, validScalingBounds}

func uniqueNames(cfg *config.Config) error {
	routes := map[string]bool{}
	for index, route := range cfg.Routes {
		if routes[route.Name] {
			return errkind.Errorf(errkind.InvalidConfig, "routes[%d].name: duplicate name %q", index, route.Name)
		}
		routes[route.Name] = true
	}
	services := map[ids.Service]bool{}
	for index, service := range cfg.Services {
		if services[service.Name] {
			return errkind.Errorf(errkind.InvalidConfig, "services[%d].name: duplicate name %q", index, service.Name)
		}
		services[service.Name] = true
	}
	return nil
}

// validScalingBounds checks that no service has a scaling.min above its scaling.max.
func validScalingBounds(cfg *config.Config) error {
	for index, service := range cfg.Services {
		if scaling := service.Scaling; scaling != nil && scaling.Min > scaling.Max {
			return errkind.Errorf(errkind.InvalidConfig, "services[%d].scaling.min: %d must not be above scaling.max, %d", index, scaling.Min, scaling.Max)
		}
	}
	return nil
}

func uniquePaths(cfg *config.Config) error {
	type path struct{ host, prefix string }
	paths := map[path]bool{}
	for index, route := range cfg.Routes {
		p := path{host: config.NormalizeHost(route.Host), prefix: route.PathPrefix}
		if paths[p] {
			return errkind.Errorf(errkind.InvalidConfig, "routes[%d].path_prefix: %q is already used for this host", index, route.PathPrefix)
		}
		paths[p] = true
	}
	return nil
}

func knownServices(cfg *config.Config) error {
	for index, route := range cfg.Routes {
		if route.Service == "" && len(route.Services) == 0 {
			return errkind.Errorf(errkind.InvalidConfig, "routes[%d].service: missing", index)
		}
		if route.Service != "" && cfg.Service(route.Service) == nil {
			return errkind.Errorf(errkind.InvalidConfig, "routes[%d].service: unknown service %q", index, route.Service)
		}
		for position, weighted := range route.Services {
			if cfg.Service(weighted.Service) == nil {
				return errkind.Errorf(errkind.InvalidConfig, "routes[%d].shares[%d].service: unknown service %q", index, position, weighted.Service)
			}
		}
	}
	return nil
}

func positiveWeights(cfg *config.Config) error {
	for index, route := range cfg.Routes {
		total := 0.0
		for _, weighted := range route.WeightedServices() {
			total += weighted.Weight
		}
		if total <= 0 {
			return errkind.Errorf(errkind.InvalidConfig, "routes[%d].shares: the sum of the weights must be above 0", index)
		}
	}
	return nil
}

// uniqueTenants checks that no two tenants have the same name or share an API key. A
// request with a shared key could not be attributed to one tenant.
func uniqueTenants(cfg *config.Config) error {
	names, holders := map[ids.Tenant]bool{}, map[string]ids.Tenant{}
	for index, tenant := range cfg.Tenants {
		if names[tenant.Name] {
			return errkind.Errorf(errkind.InvalidConfig, "customers[%d].name: duplicate name %q", index, tenant.Name)
		}
		names[tenant.Name] = true
		for position, key := range tenant.APIKeys {
			if holder, ok := holders[key]; ok && holder != tenant.Name {
				return errkind.Errorf(errkind.InvalidConfig, "customers[%d].api_keys[%d]: also belongs to tenant %q", index, position, holder)
			}
			holders[key] = tenant.Name
		}
	}
	return nil
}
