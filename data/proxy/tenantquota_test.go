package proxy

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"onyxwell/data/upstreamtest"
)

// TestProxy_tenantQuota sends more requests at once than a tenant's quota allows.
func TestProxy_tenantQuota(t *testing.T) {
	limited := strings.Replace(tenantConfig, `"urgency":1}`, `"urgency":1,"measured_in":"tokens","uncached_tokens":200,"rate_per_s":100,"burst":1000}`, 1)
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	p.setConfig(2, limited)
	// sendMany sends count requests and returns how many were served. The others must
	// be rejected with a 429, which promises that they were not executed, and a
	// Retry-After header.
	sendMany := func(count int, headers ...string) (served int) {
		for range count {
			got := p.do("/safe/x", "x", headers...)
			switch {
			case got.status == http.StatusOK:
				served++
			case got.status != http.StatusTooManyRequests || got.header.Get("Retry-After") == "":
				t.Errorf("%+v", got)
			}
		}
		return served
	}
	p.clock.Advance(100 * time.Second)
	// A request costs the tokens of its prompt and the maximum to be generated. The
	// last one may exceed the remaining quota.
	if got := sendMany(20, "Api-Key", "key-a1", "Onyxwell-Token-Count", "300,100"); got < 2 || got > 3 {
		t.Errorf("%d requests of 400 tokens were served from a quota of 1000", got)
	}
	if got := sendMany(20, "Api-Key", "key-b", "Onyxwell-Token-Count", "300,100"); got != 20 {
		t.Errorf("%d of 20 requests of a tenant without a quota were served", got)
	}
	// Without a token count, a request costs uncached_tokens.
	p.clock.Advance(100 * time.Second)
	if got := sendMany(20, "Api-Key", "key-a2"); got < 5 || got > 6 {
		t.Errorf("%d requests of 200 tokens were served from a quota of 1000", got)
	}
	if got := countRequests(runner); got > 3+20+6 {
		t.Errorf("%d requests reached the runner", got)
	}
}
