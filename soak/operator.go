package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/controller"
	"onyxwell/soak/localcluster"
)

// operator sends orders as the protocol tells operators to.
type operator struct {
	cluster *cluster
	random  *rand.Rand
	client  http.Client
	// lastAcked is the newest change of this operator that was acknowledged.
	lastAcked *configChange
}

func newOperator(e *cluster, drawn *rand.Rand) *operator {
	return &operator{cluster: e, random: drawn, client: http.Client{
		Timeout: clock.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: clock.Second},
	}}
}

// controlResponse is the clear answer to a call; status 0 is none.
type controlResponse struct {
	status int
	body   []byte
}

// callTimeout is how long a call is sent again, for want of a clear answer.
const callTimeout = 6 * clock.Second

// retryableStatuses are the statuses after which a call is sent again.
var retryableStatuses = map[int]bool{408: true, 429: true, 500: true, 502: true, 503: true, 504: true}

// do sends an order to one controller after another until it has a clear answer.
func (o *operator) do(ctx scope.Scope, method string, path string, match int64, body []byte) controlResponse {
	all := o.cluster.machinesByRole(controller.Role)
	first, pause := o.random.IntN(len(all)), 20*clock.Millisecond
	for begin, turn := ctx.Now(), 0; ctx.Now().Since(begin) < callTimeout; turn++ {
		target := all[(first+turn)%len(all)].Address(localcluster.ControlPort)
		if got := o.doOnce(ctx, target, method, path, match, body); got.status != 0 && !retryableStatuses[got.status] {
			return got
		}
		if !ctx.Wait(pause) {
			break
		}
		pause = min(2*pause, 400*clock.Millisecond)
	}
	return controlResponse{}
}

// doOnce sends an order to one controller.
func (o *operator) doOnce(ctx scope.Scope, target string, method string, path string, match int64, body []byte) controlResponse {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return controlResponse{}
	}
	if match >= 0 {
		request.Header.Set("If-Match", strconv.FormatInt(match, 10))
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return controlResponse{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return controlResponse{}
	}
	return controlResponse{status: response.StatusCode, body: text}
}

// sendChange sends a change and notes what came of it.
func (o *operator) sendChange(ctx scope.Scope, sent *configChange) controlResponse {
	sent.sentAt = ctx.Now()
	o.cluster.history.recordSent(sent)
	got := o.do(ctx, sent.method, "/settings", sent.baseVersion, sent.body)
	o.cluster.history.recordAnswer(sent, got.status, ctx.Now())
	o.cluster.logEvent("%s %s on %d to %d (%s): %d after %v", sent.method, sent.id, sent.baseVersion, sent.version, sent.action, got.status, ctx.Now().Since(sent.sentAt))
	return got
}

func (o *operator) newPatch(base int64, version int64, note string) *configChange {
	id := fmt.Sprintf("%x", o.random.Uint64())
	body, _ := json.Marshal(patch{Version: version, Changes: patchChanges{Routes: []route{markerRoute(id)}}})
	return &configChange{id: id, method: http.MethodPatch, baseVersion: base, version: version, body: body, valid: true, action: note}
}

// changeConfig sends one proper change on the newest version that is known.
func (o *operator) changeConfig(ctx scope.Scope) {
	base := o.cluster.history.latestVersion()
	sent := o.newPatch(base, base+1+int64(o.random.IntN(3)), "change")
	switch got := o.sendChange(ctx, sent); got.status {
	case http.StatusOK:
		o.lastAcked = sent
	case http.StatusPreconditionFailed:
		o.readConfig(ctx)
	}
}

// raceChanges has two change the same version at once.
func (o *operator) raceChanges(ctx scope.Scope) {
	base := o.cluster.history.latestVersion()
	var both sync.WaitGroup
	for index := range 2 {
		own := newOperator(o.cluster, rand.New(rand.NewPCG(o.random.Uint64(), uint64(index))))
		sent := own.newPatch(base, base+1+int64(index*o.random.IntN(2)), "race")
		both.Add(1)
		go func() {
			defer both.Done()
			own.sendChange(ctx, sent)
		}()
	}
	both.Wait()
}

// sendInvalidChange sends a configuration that is invalid.
func (o *operator) sendInvalidChange(ctx scope.Scope) {
	base := o.cluster.history.latestVersion()
	sent := o.newPatch(base, base+1, "invalid")
	spoils := []func(){
		func() { sent.body = sent.body[:len(sent.body)/2] },
		func() {
			sent.body = bytes.Replace(sent.body, []byte(`"service":"desk"`), []byte(`"service":"nobody"`), 1)
		},
		func() { sent.body = bytes.Replace(sent.body, []byte(`"give_up_ms":5000`), []byte(`"give_up_ms":0`), 1) },
		func() { sent.version, sent.body = base, o.newPatch(base, base, "").body },
	}
	pick(o.random, spoils)()
	sent.valid = false
	o.sendChange(ctx, sent)
}

// resendLastAcked sends the last acknowledged change of this operator again.
func (o *operator) resendLastAcked(ctx scope.Scope) {
	if o.lastAcked == nil {
		o.changeConfig(ctx)
		return
	}
	got := o.do(ctx, o.lastAcked.method, "/settings", o.lastAcked.baseVersion, o.lastAcked.body)
	if got.status != 0 && got.status != http.StatusOK {
		o.cluster.addFinding("CONFIG", "change %s to %d was acknowledged, is sent again and gets %d: %s", o.lastAcked.id, o.lastAcked.version, got.status, got.body)
	}
}

// readConfig reads the configuration.
func (o *operator) readConfig(ctx scope.Scope) (version int64, found bool) {
	begin := ctx.Now()
	got := o.do(ctx, http.MethodGet, "/settings", -1, nil)
	if got.status != http.StatusOK {
		return 0, false
	}
	return o.recordRead(begin, ctx.Now(), got)
}

// recordRead keeps what a read told.
func (o *operator) recordRead(begin clock.Instant, end clock.Instant, got controlResponse) (version int64, found bool) {
	var told document
	if err := json.Unmarshal(got.body, &told); err != nil {
		o.cluster.addFinding("CONFIG", "a read is no configuration: %v", err)
		return 0, false
	}
	id := ""
	for _, route := range told.Routes {
		if route.Name == "mark" {
			id = strings.Trim(strings.TrimPrefix(route.PathPrefix, markerPrefix), "/")
		}
	}
	o.cluster.history.recordRead(configRead{start: begin, end: end, version: told.Version, changeID: id})
	return told.Version, true
}

// evacuateZone empties a zone for a moment.
func (o *operator) evacuateZone(ctx scope.Scope) {
	zone := pick(o.random, o.cluster.layout.AllZones()).Name
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		got := o.do(ctx, method, "/empty/"+string(zone), -1, nil)
		if got.status != 0 && got.status != http.StatusOK {
			o.cluster.addFinding("EVAC", "%s /empty/%s gets %d: %s", method, zone, got.status, got.body)
		}
		ctx.Wait(randomDuration(o.random, 100*clock.Millisecond, 2*clock.Second))
	}
}

// run sends one order after another until the scope ends.
func (o *operator) run(ctx scope.Scope) {
	acts := []func(scope.Scope){o.changeConfig, o.changeConfig, o.raceChanges, o.resendLastAcked, o.sendInvalidChange, o.evacuateZone, func(ctx scope.Scope) { o.readConfig(ctx) }, func(ctx scope.Scope) { o.readConfig(ctx) }}
	for ctx.Wait(randomDuration(o.random, 20*clock.Millisecond, 400*clock.Millisecond)) {
		pick(o.random, acts)(ctx)
	}
}

// toleratesLoss tells whether some controller says that one more loss changes nothing
// and all is made good.
func (c *cluster) toleratesLoss(ctx scope.Scope) bool {
	asker := newOperator(c, rand.New(rand.NewPCG(c.options.Seed, 0)))
	for _, machine := range c.machinesByRole(controller.Role) {
		got := asker.doOnce(ctx, machine.Address(localcluster.ControlPort), http.MethodGet, "/status", -1, nil)
		var told struct {
			Redundancy struct {
				Bears int  `json:"bears_losses"`
				Whole bool `json:"whole"`
			} `json:"redundancy"`
		}
		if json.Unmarshal(got.body, &told) == nil && told.Redundancy.Bears >= 1 && told.Redundancy.Whole {
			return true
		}
	}
	return false
}
