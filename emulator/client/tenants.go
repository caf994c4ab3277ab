package client

import (
	"encoding/json"
	"fmt"

	"onyxwell/data/upstream"
	"onyxwell/emulator/piece"
)

// Tenant is a tenant of the emulated clients, as a configuration names it.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api_keys"`
	// RatePerSecond and Burst are its quota in requests; 0 is no limit.
	RatePerSecond float64 `json:"rate_per_s,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}

// Tenants are those of all configurations of the emulator and the soak. They have no
// quotas.
func Tenants() []Tenant {
	return []Tenant{
		{Name: "alpha", APIKeys: []string{"key-of-alpha", RevocableKey}},
		{Name: "beta", APIKeys: []string{"key-of-beta"}},
	}
}

const (
	// RevocableKey is a key that no client uses: the soak takes it away.
	RevocableKey = "old-key-of-alpha"
	// strangerKey is no tenant's.
	strangerKey = "key-of-nobody"
	// One in so many requests is a stranger's, or claims to be another tenant's.
	strangerOdds = 25
	posingOdds   = 20
)

// TenantsJSON returns the tenants as they stand in a configuration.
func TenantsJSON() string {
	text, err := json.Marshal(Tenants())
	if err != nil {
		panic(err)
	}
	return string(text)
}

// identity is who a request says that it comes from.
type identity struct {
	key string
	// claim is the tenant that the request names itself; "" for none.
	claim string
}

// identify draws from the attempt's id who a request comes from, apart from the
// draws of its other parts.
func (r *Request) identify() {
	tenants := Tenants()
	drawn := piece.Hash("tenant", r.Record.Attempt)
	chosen, other := tenants[drawn%2], tenants[1-drawn%2]
	drawn /= 2
	if drawn%posingOdds == 0 {
		r.identity.claim = other.Name
	}
	if drawn /= posingOdds; drawn%strangerOdds == 0 {
		r.identity.key, r.Record.Stranger = strangerKey, true
		return
	}
	r.identity.key, r.Record.Tenant = chosen.APIKeys[0], chosen.Name
}

// header returns the headers that tell who a request comes from.
func (i identity) header() string {
	header := fmt.Sprintf("%s: %s\r\n", upstream.APIKeyHeader, i.key)
	if i.claim != "" {
		header += fmt.Sprintf("%s: %s\r\n", upstream.TenantHeader, i.claim)
	}
	return header
}
