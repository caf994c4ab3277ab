package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"onyxwell/data/router"
	"onyxwell/emulator/client"
	"onyxwell/soak/localcluster"
)

// checkRevocation takes a key away while clients that use it keep their connections
// open, and checks that every router refuses it there within the bound, and goes on
// serving the tenant's other key.
func (c *cluster) checkRevocation(ctx context.Context, op *operator) {
	path := "/" + serviceNames[0] + "/safe/exam"
	routers := c.machinesByRole(router.Role)
	senders := make([]*http.Client, len(routers))
	if !op.setRevocableKey(ctx, true) {
		c.addFinding("ACKS", "a key that is given out gets no acknowledgement")
		return
	}
	for index, m := range routers {
		senders[index] = &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		defer senders[index].CloseIdleConnections()
		if err := c.eventually(ctx, localcluster.ApplyWithin, func() error {
			return probeWithKey(ctx, senders[index], m, path, client.RevocableKey, http.StatusOK)
		}); err != nil {
			c.addFinding("DENIED", "%s does not serve a tenant's second key: %v", m.Name(), err)
		}
	}
	if !op.setRevocableKey(ctx, false) {
		c.addFinding("ACKS", "the revocation of a key gets no acknowledgement")
		return
	}
	var checks sync.WaitGroup
	for index, m := range routers {
		checks.Go(func() {
			if err := c.eventually(ctx, localcluster.ApplyWithin, func() error {
				return probeWithKey(ctx, senders[index], m, path, client.RevocableKey, http.StatusUnauthorized)
			}); err != nil {
				c.addFinding("CONFIG", "%s serves a key %v after its revocation was acknowledged: %v", m.Name(), localcluster.ApplyWithin, err)
			}
			if err := probeRouter(ctx, m, path); err != nil {
				c.addFinding("DENIED", "%s refuses the key that is left: %v", m.Name(), err)
			}
		})
	}
	checks.Wait()
}

// toggleKey gives the revocable key to its tenant, or takes it away.
func (o *operator) toggleKey(ctx context.Context) { o.setRevocableKey(ctx, o.random.IntN(2) == 0) }

// setRevocableKey has the newest configuration hold the revocable key, or not. It
// reports whether the change was acknowledged.
func (o *operator) setRevocableKey(ctx context.Context, valid bool) bool {
	if !o.readConfig(ctx) {
		return false
	}
	tenant := client.Tenants()[0]
	if !valid {
		tenant.APIKeys = tenant.APIKeys[:1]
	}
	base := o.cluster.history.latestVersion()
	change := o.newPatch(base, base+1, "keys")
	changes := patchChanges{Routes: []route{markerRoute(change.id)}, Tenants: []client.Tenant{tenant}}
	change.body, _ = json.Marshal(patch{Version: change.version, Changes: changes})
	if o.sendChange(ctx, change).status != http.StatusOK {
		return false
	}
	o.lastAcked = change
	return true
}
