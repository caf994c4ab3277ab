package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"onyxwell/data/upstreamtest"
)

// These tests guard against an incident in which runners received clients' API
// keys, and revoked and unknown keys were served (docs/incidents/router-fleets.md,
// "UNASKED, CONFIG, ROUTE"). The configuration had tenants and keys and was in
// force at every router within 20 ms, but no type of package config had the fields
// "customers" and "public": a field that none has is stored, distributed and ignored.
// Logs of the version that each router acts on, and of the fields that nobody reads,
// confirmed it over a day: the version was right everywhere, the two fields unread.

// tenantConfig is configDocument with tenants, a route with a priority and a public
// route.
var tenantConfig = strings.Replace(configDocument, `"routes":[`, `"customers":[
 {"name":"alpha","api_keys":["key-a1","key-a2"],"urgency":1},
 {"name":"beta","api_keys":["key-b"]}],
 "routes":[
 {"name":"open","hostname":"shop.example","path_prefix":"/open/","type":"safe","give_up_ms":5000,"service":"desk","public":true},
 {"name":"ranked","hostname":"shop.example","path_prefix":"/ranked/","type":"safe","give_up_ms":5000,"service":"desk","urgency":4},`, 1)

func TestProxy_tenantKeys(t *testing.T) {
	cases := []struct {
		name, path string
		headers    []string
		status     int
		// The tenant and priority that the runner receives.
		tenant, priority string
	}{
		{"a tenant's key", "/ranked/x", []string{"Api-Key", "key-a1"}, 200, "alpha", "1"},
		{"its other key", "/ranked/x", []string{"Api-Key", "key-a2"}, 200, "alpha", "1"},
		{"a tenant without a priority", "/ranked/x", []string{"Api-Key", "key-b"}, 200, "beta", "4"},
		{"claiming another tenant", "/safe/x", []string{"Api-Key", "key-b", "Onyxwell-Customer", "alpha"}, 200, "beta", "0"},
		{"unknown key", "/safe/x", []string{"Api-Key", "stranger"}, 401, "", ""},
		{"no key", "/safe/x", nil, 401, "", ""},
		{"empty key", "/safe/x", []string{"Api-Key", ""}, 401, "", ""},
		{"a tenant's name as the key", "/safe/x", []string{"Api-Key", "alpha"}, 401, "", ""},
		{"no route", "/nowhere/x", nil, 404, "", ""},
		{"public, no key", "/open/x", []string{"Onyxwell-Customer", "alpha"}, 200, "", "0"},
		{"public, unknown key", "/open/x", []string{"Api-Key", "stranger"}, 200, "", "0"},
		{"public, a tenant's key", "/open/x", []string{"Api-Key", "key-a1"}, 200, "alpha", "1"},
	}
	for _, tc := range cases {
		runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
		p := newTestProxy(t, 10, runner)
		p.setConfig(2, tenantConfig)
		if got := p.do(tc.path, "x", tc.headers...); got.status != tc.status {
			t.Errorf("%s: status %d, want %d", tc.name, got.status, tc.status)
		}
		for _, seen := range runner.Requests() {
			if tc.status != http.StatusOK {
				t.Errorf("%s: a rejected request reached the runner", tc.name)
			}
			if got := seen.Header.Get("Onyxwell-Customer"); got != tc.tenant {
				t.Errorf("%s: the runner got tenant %q, want %q", tc.name, got, tc.tenant)
			}
			if got := seen.Header.Get("Onyxwell-Urgency"); got != tc.priority {
				t.Errorf("%s: the runner got priority %q, want %q", tc.name, got, tc.priority)
			}
			if seen.Header.Get("Api-Key") != "" {
				t.Errorf("%s: the key was sent to the runner", tc.name)
			}
		}
	}
}

// TestProxy_cutOff checks a router that is cut off: it must respond with 503 to unknown keys
// and routes, which a newer configuration may have, and serve the known ones. After
// revokedKeyTimeout it must reject known keys too.
func TestProxy_cutOff(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	p.setConfig(2, tenantConfig)
	check := func(name string, unknownKey, unknownRoute int) {
		t.Helper()
		stranger, nowhere := p.do("/safe/x", "x", "Api-Key", "stranger"), p.do("/nowhere/x", "x", "Api-Key", "key-a1")
		if stranger.status != unknownKey || nowhere.status != unknownRoute {
			t.Errorf("%s: an unknown key gets %d, an unknown route %d", name, stranger.status, nowhere.status)
		}
		if known := p.do("/safe/x", "x", "Api-Key", "key-a1"); known.status != 200 {
			t.Errorf("%s: a known key gets %d", name, known.status)
		}
	}
	check("in contact", 401, 404)
	p.setLostZones(1, "s")
	check("cut off", 503, 503)
	p.proxy.revokedKeyTimeout = time.Minute
	check("cut off for less than revokedKeyTimeout", 503, 503)
	p.clock.Advance(time.Minute)
	if got := p.do("/safe/x", "x", "Api-Key", "key-a1"); got.status != 503 {
		t.Errorf("a key that may have been revoked gets %d", got.status)
	}
	if got := p.do("/open/x", "x"); got.status != 200 {
		t.Errorf("a public route gets %d", got.status)
	}
	p.setLostZones(2)
	check("in contact again", 401, 404)
}

// TestProxy_revokedKeyOnOpenConnection revokes keys while their client's connection
// stays open: the next requests with them must be rejected.
func TestProxy_revokedKeyOnOpenConnection(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	statusOf := func(key string) int { return p.do("/safe/x", "x", "Api-Key", key).status }
	p.setConfig(2, tenantConfig)
	if got := statusOf("key-a1"); got != 200 {
		t.Fatalf("status %d before the revocation", got)
	}
	p.setConfig(3, strings.Replace(tenantConfig, `["key-a1","key-a2"]`, `["key-a2"]`, 1))
	if revoked, kept := statusOf("key-a1"), statusOf("key-a2"); revoked != 401 || kept != 200 {
		t.Errorf("the revoked key gets %d, the other %d", revoked, kept)
	}
	from, to := strings.Index(tenantConfig, "[\n {\"name\":\"alpha\""), strings.Index(tenantConfig, "],\n \"routes\"")
	p.setConfig(4, tenantConfig[:from]+"["+tenantConfig[to:])
	if got := statusOf("key-a2"); got != 401 {
		t.Errorf("status %d after all tenants were removed, want 401", got)
	}
	if got := countRequests(runner); got != 2 {
		t.Errorf("%d requests reached the runner, want 2", got)
	}
}
