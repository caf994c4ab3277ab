package config

import (
	"slices"

	"onyxwell/base/ids"
)

// QuotaUnit is what a tenant's requests are counted in.
type QuotaUnit string

// The units of quotas. A tenant without a unit counts requests.
const (
	Requests QuotaUnit = "requests"
	// Tokens counts the prompt's tokens and the most that may be generated.
	Tokens QuotaUnit = "tokens"
)

// Tenant is a customer whose requests are told apart by their keys.
type Tenant struct {
	// Name is sent to runners; unique, required.
	Name ids.Tenant `json:"name"`
	// APIKeys identify the tenant's clients. No key belongs to two tenants. By
	// default empty: the tenant sends no requests.
	APIKeys []string `json:"api_keys"`
	// Priority takes the place of the route's; nil leaves the route's.
	Priority *int `json:"urgency"`
	// HomeRegions are the regions whose runners may serve the tenant, within those
	// of the route. By default empty: all regions.
	HomeRegions []ids.Region `json:"home_regions"`
	// RatePerSecond is the quota of all routers together, in Unit a second. By
	// default 0: no limit.
	RatePerSecond float64 `json:"rate_per_s"`
	// Burst is how much more than the rate may be used at once, in Unit.
	Burst float64 `json:"burst"`
	// Unit is what RatePerSecond and Burst are measured in.
	Unit QuotaUnit `json:"measured_in"`
	// DefaultTokens is what a request without a token count counts as.
	DefaultTokens float64 `json:"uncached_tokens"`
}

// HasQuota tells whether the tenant has a quota.
func (t *Tenant) HasQuota() bool { return t.RatePerSecond > 0 }

// Cost is what a request counts as towards the quota; tokens are those of its
// prompt and the most that it may generate, below 0 where it does not state them.
func (t *Tenant) Cost(tokens float64) float64 {
	switch {
	case t.Unit != Tokens:
		return 1
	case tokens < 0:
		return t.DefaultTokens
	}
	return tokens
}

// AllowsRegion tells whether runners of a region may serve the tenant.
func (t *Tenant) AllowsRegion(region ids.Region) bool {
	return len(t.HomeRegions) == 0 || slices.Contains(t.HomeRegions, region)
}

// RequiresKey tells whether a request of a route has to carry a tenant's key: it
// has wherever the configuration has a list of tenants, also an empty one, but on
// public routes.
func (c *Config) RequiresKey(route *Route) bool { return c.Tenants != nil && !route.Public }

// TenantByKey finds the tenant that holds a key; nil if none does.
func (c *Config) TenantByKey(key string) *Tenant { return c.tenantsByKey[key] }

// Tenant finds a tenant by its name; nil if there is none.
func (c *Config) Tenant(name ids.Tenant) *Tenant { return c.tenantsByName[name] }

// HasQuotas tells whether any tenant has a quota.
func (c *Config) HasQuotas() bool {
	return slices.ContainsFunc(c.Tenants, func(tenant Tenant) bool { return tenant.HasQuota() })
}

// WithTenants returns the configuration with other tenants.
func (c *Config) WithTenants(tenants []Tenant) *Config {
	changed := *c
	changed.Tenants = tenants
	changed.indexTenants()
	return &changed
}

// indexTenants fills the maps of tenants.
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
