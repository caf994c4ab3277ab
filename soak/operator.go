package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/control/controller"
	"onyxwell/emulator/client"
	"onyxwell/soak/localcluster"
)

const (
	configPath     = "/settings"
	evacuationPath = "/empty/"
	statusPath     = "/status"

	// noVersion is the base version of requests without a precondition.
	noVersion = -1
	// callTimeout is how long a request is retried, attemptTimeout how long one
	// attempt may take.
	callTimeout    = 6 * time.Second
	attemptTimeout = time.Second
	// minBackoff is the pause after the first attempt; it doubles up to maxBackoff.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// retryableStatuses leave open whether the request was executed, or say that it
// was not; it is sent again.
var retryableStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusTooManyRequests: true, http.StatusInternalServerError: true,
	http.StatusBadGateway: true, http.StatusServiceUnavailable: true, http.StatusGatewayTimeout: true,
}

// operator is a client of the admin API. It sends each request until it has a
// clear answer. It is not safe for concurrent use.
type operator struct {
	cluster *cluster
	random  *rand.Rand
	client  http.Client
	// lastAcked is the newest acknowledged change of this operator.
	lastAcked *configChange
}

func newOperator(c *cluster, random *rand.Rand) *operator {
	return &operator{cluster: c, random: random, client: http.Client{
		Timeout: attemptTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Second},
	}}
}

// controlResponse is the clear answer to a request; status 0 is none.
type controlResponse struct {
	status int
	body   []byte
}

// rejected reports whether the answer is clear and not 200.
func (c controlResponse) rejected() bool { return c.status != 0 && c.status != http.StatusOK }

// do sends a request to one controller after another, with backoff, until it has
// a clear answer.
func (o *operator) do(ctx context.Context, method string, path string, baseVersion int64, body []byte) controlResponse {
	controllers := o.cluster.machinesByRole(controller.Role)
	first, backoff := o.random.IntN(len(controllers)), minBackoff
	clk := o.cluster.clock
	for start, attempt := clk.Now(), 0; clk.Now().Since(start) < callTimeout; attempt++ {
		target := controllers[(first+attempt)%len(controllers)]
		if resp := o.doOnce(ctx, target, method, path, baseVersion, body); resp.status != 0 && !retryableStatuses[resp.status] {
			return resp
		}
		if !o.cluster.wait(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return controlResponse{}
}

// doOnce sends a request to one controller. The base version is sent as its
// precondition, unless it is noVersion.
func (o *operator) doOnce(ctx context.Context, target *machine, method string, path string, baseVersion int64, body []byte) controlResponse {
	return callControl(ctx, &o.client, target, method, path, baseVersion, body)
}

// callControl is one call to a controller.
func callControl(ctx context.Context, sender *http.Client, target *machine, method string, path string, baseVersion int64, body []byte) controlResponse {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+target.Address(localcluster.ControlPort)+path, bytes.NewReader(body))
	if err != nil {
		return controlResponse{}
	}
	if baseVersion >= 0 {
		req.Header.Set("If-Match", strconv.FormatInt(baseVersion, 10))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := sender.Do(req)
	if err != nil {
		return controlResponse{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return controlResponse{}
	}
	return controlResponse{status: resp.StatusCode, body: text}
}

// run sends one request after another until ctx ends.
func (o *operator) run(ctx context.Context) {
	actions := []func(context.Context){
		o.changeConfig, o.changeConfig, o.raceChanges, o.toggleKey, o.resendLastAcked, o.sendInvalidChange, o.evacuateZone,
		func(ctx context.Context) { o.readConfig(ctx) }, func(ctx context.Context) { o.readConfig(ctx) },
	}
	for o.cluster.wait(ctx, randomDuration(o.random, 20*time.Millisecond, 400*time.Millisecond)) {
		pick(o.random, actions)(ctx)
	}
}

// sendChange sends a change and records its outcome.
func (o *operator) sendChange(ctx context.Context, change *configChange) controlResponse {
	clk := o.cluster.clock
	o.cluster.history.recordSent(change, clk.Now())
	resp := o.do(ctx, change.method, configPath, change.baseVersion, change.body)
	o.cluster.history.recordAnswer(change, resp.status, clk.Now())
	o.cluster.logEvent("%s %s on %d to %d (%s): %d after %v", change.method, change.id, change.baseVersion, change.version, change.action, resp.status, clk.Now().Since(change.sentAt))
	return resp
}

// newPatch returns a change that moves the marker route.
func (o *operator) newPatch(baseVersion int64, version int64, action string) *configChange {
	id := fmt.Sprintf("%x", o.random.Uint64())
	body, _ := json.Marshal(patch{Version: version, Changes: patchChanges{Routes: []route{markerRoute(id)}}})
	return &configChange{id: id, action: action, method: http.MethodPatch, baseVersion: baseVersion, version: version, body: body, valid: true}
}

// changeConfig sends a valid change of the latest known version.
func (o *operator) changeConfig(ctx context.Context) {
	base := o.cluster.history.latestVersion()
	change := o.newPatch(base, base+1+int64(o.random.IntN(3)), "change")
	switch resp := o.sendChange(ctx, change); resp.status {
	case http.StatusOK:
		o.lastAcked = change
	case http.StatusPreconditionFailed:
		o.readConfig(ctx)
	}
}

// raceChanges sends two changes of the same version at once.
func (o *operator) raceChanges(ctx context.Context) {
	base := o.cluster.history.latestVersion()
	var racers sync.WaitGroup
	for index := range 2 {
		racer := newOperator(o.cluster, rand.New(rand.NewPCG(o.random.Uint64(), uint64(index))))
		change := racer.newPatch(base, base+1+int64(index*o.random.IntN(2)), "race")
		racers.Add(1)
		go func() {
			defer racers.Done()
			racer.sendChange(ctx, change)
		}()
	}
	racers.Wait()
}

// sendInvalidChange sends a change that must be rejected: cut off, to an unknown
// service, out of bounds, to its own base version, or with a key of two tenants.
func (o *operator) sendInvalidChange(ctx context.Context) {
	base := o.cluster.history.latestVersion()
	change := o.newPatch(base, base+1, "invalid")
	invalidate := []func(){
		func() { change.body = change.body[:len(change.body)/2] },
		func() {
			change.body = bytes.Replace(change.body, []byte(`"service":"desk"`), []byte(`"service":"nobody"`), 1)
		},
		func() {
			change.body = bytes.Replace(change.body, []byte(`"give_up_ms":5000`), []byte(`"give_up_ms":0`), 1)
		},
		func() { change.version, change.body = base, o.newPatch(base, base, "").body },
		func() {
			sharing := `{"name":"gamma","api_keys":["` + client.Tenants()[0].APIKeys[0] + `"]}`
			change.body = bytes.Replace(change.body, []byte(`"changes":{`), []byte(`"changes":{"customers":[`+sharing+`],`), 1)
		},
	}
	pick(o.random, invalidate)()
	change.valid = false
	o.sendChange(ctx, change)
}

// resendLastAcked sends the last acknowledged change again, which must be
// acknowledged again.
func (o *operator) resendLastAcked(ctx context.Context) {
	change := o.lastAcked
	if change == nil {
		o.changeConfig(ctx)
		return
	}
	if resp := o.do(ctx, change.method, configPath, change.baseVersion, change.body); resp.rejected() {
		o.cluster.addFinding("CONFIG", "change %s to %d was acknowledged, is sent again and gets %d: %s", change.id, change.version, resp.status, resp.body)
	}
}

// readConfig reads the configuration and records what it returned; it reports
// whether there was an answer.
func (o *operator) readConfig(ctx context.Context) bool {
	start := o.cluster.clock.Now()
	resp := o.do(ctx, http.MethodGet, configPath, noVersion, nil)
	if resp.status != http.StatusOK {
		return false
	}
	return o.cluster.recordRead(start, resp.body)
}

// recordRead records the answer to a read that was sent at start; it reports
// whether the answer is a configuration.
func (c *cluster) recordRead(start clock.Instant, body []byte) bool {
	end := c.clock.Now()
	var doc document
	if err := json.Unmarshal(body, &doc); err != nil {
		c.addFinding("CONFIG", "a read returns no configuration: %v", err)
		return false
	}
	c.history.recordRead(configRead{start: start, end: end, version: doc.Version, changeID: doc.changeID()})
	return true
}

// evacuateZone drains a zone for a moment.
func (o *operator) evacuateZone(ctx context.Context) {
	zone := pick(o.random, o.cluster.layout.AllZones()).Name
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		path := evacuationPath + string(zone)
		if resp := o.do(ctx, method, path, noVersion, nil); resp.rejected() {
			o.cluster.addFinding("EVAC", "%s %s gets %d: %s", method, path, resp.status, resp.body)
		}
		o.cluster.wait(ctx, randomDuration(o.random, 100*time.Millisecond, 2*time.Second))
	}
}

// toleratesLoss reports whether some controller says that all replicas are
// complete and one more machine may be lost.
func (c *cluster) toleratesLoss(ctx context.Context) bool {
	op := newOperator(c, c.random(streamRedundancy))
	for _, target := range c.machinesByRole(controller.Role) {
		resp := op.doOnce(ctx, target, http.MethodGet, statusPath, noVersion, nil)
		var status struct {
			Redundancy struct {
				ToleratedLosses int  `json:"bears_losses"`
				Complete        bool `json:"whole"`
			} `json:"redundancy"`
		}
		if json.Unmarshal(resp.body, &status) == nil && status.Redundancy.ToleratedLosses >= 1 && status.Redundancy.Complete {
			return true
		}
	}
	return false
}
