package config

import (
	"slices"

	"onyxwell/base/ids"
)

// QuotaUnit is the unit of a tenant's quota.
type QuotaUnit string

// The units of quotas. The default is Requests.
const (
	Requests QuotaUnit = "requests"
	// Tokens counts the tokens of the prompt and the maximum that may be generated.
	Tokens QuotaUnit = "tokens"
)

// Tenant is a customer, whose requests are identified by API keys.
type Tenant struct {
	// Name is sent to runners. It is unique and required.
	Name ids.Tenant `json:"name"`
	// APIKeys identify the tenant's clients. No key belongs to two tenants. With the
	// default, an empty list, no request belongs to the tenant.
	APIKeys []string `json:"api_keys"`
	// Priority overrides the priority of the route unless it is nil.
	Priority *int `json:"urgency"`
	// HomeRegions are the regions whose runners may serve the tenant; the route's
	// HomeRegions must allow a runner as well. The default, an empty list, allows all
	// regions.
	HomeRegions []ids.Region `json:"home_regions"`
	// RatePerSecond is the quota for all routers together, in Unit per second. The
	// default 0 means no limit.
	RatePerSecond float64 `json:"rate_per_s"`
	// Burst is the amount beyond the rate that may be used at once, in Unit.
	Burst float64 `json:"burst"`
	// Unit is the unit of RatePerSecond and Burst.
	Unit QuotaUnit `json:"measured_in"`
	// DefaultTokens is the cost of a request without a token count, in tokens.
	DefaultTokens float64 `json:"uncached_tokens"`
}

// HasQuota reports whether the tenant's requests are limited by a quota.
func (t *Tenant) HasQuota() bool { return t.RatePerSecond > 0 }

// Cost returns the amount of quota that a request uses. The argument is the number
// of tokens of its prompt plus the maximum that it may generate, or a negative number
// if the request does not state them.
func (t *Tenant) Cost(tokens float64) float64 {
	switch {
	case t.Unit != Tokens:
		return 1
	case tokens < 0:
		return t.DefaultTokens
	}
	return tokens
}

// AllowsRegion reports whether runners of the region may serve the tenant.
func (t *Tenant) AllowsRegion(region ids.Region) bool {
	return len(t.HomeRegions) == 0 || slices.Contains(t.HomeRegions, region)
}

// RequiresKey reports whether a request for the route must carry a tenant's API key.
// It must if the configuration has a list of tenants, even an empty one, and the
// route is not public.
func (c *Config) RequiresKey(route *Route) bool { return c.Tenants != nil && !route.Public }

// TenantByKey returns the tenant that the API key belongs to, or nil if there is none.
func (c *Config) TenantByKey(key string) *Tenant { return c.tenantsByKey[key] }

// Tenant returns the tenant with the name, or nil if there is none.
func (c *Config) Tenant(name ids.Tenant) *Tenant { return c.tenantsByName[name] }

// HasQuotas reports whether any tenant has a quota.
func (c *Config) HasQuotas() bool {
	return slices.ContainsFunc(c.Tenants, func(tenant Tenant) bool { return tenant.HasQuota() })
}

// WithTenants returns a copy of the configuration with the tenants replaced.
func (c *Config) WithTenants(tenants []Tenant) *Config {
	changed := *c
	changed.Tenants = tenants
	changed.indexTenants()
	return &changed
}

// indexTenants rebuilds the maps that find tenants by name and by API key.
func (c *Config) indexTenants() {
	c.tenantsByKey = map[string]*Tenant{}
	c.tenantsByName = make(map[ids.Tenant]*Tenant, len(c.Tenants))
	for i := range c.Tenants {
		tenant := &c.Tenants[i]
		c.tenantsByName[tenant.Name] = tenant
		for _, key := range tenant.APIKeys {
			c.tenantsByKey[key] = tenant
		}
	}
}
