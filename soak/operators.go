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
	"onyxwell/deployment"
)

// operator sends orders as the protocol tells operators to.
type operator struct {
	estate *estate
	drawn  *rand.Rand
	client http.Client
	// last is the newest change of this operator that was acknowledged.
	last *change
}

func newOperator(e *estate, drawn *rand.Rand) *operator {
	return &operator{estate: e, drawn: drawn, client: http.Client{
		Timeout: clock.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: clock.Second},
	}}
}

// answer is the clear answer to a call; status 0 is none.
type answer struct {
	status int
	body   []byte
}

// patience is how long a call is sent again, for want of a clear answer.
const patience = 6 * clock.Second

// unclear are the statuses after which a call is sent again.
var unclear = map[int]bool{408: true, 429: true, 500: true, 502: true, 503: true, 504: true}

// call sends an order to one controller after another until it has a clear answer.
func (o *operator) call(ctx scope.Scope, method string, path string, match int64, body []byte) answer {
	all := o.estate.role(controller.Role)
	first, pause := o.drawn.IntN(len(all)), 20*clock.Millisecond
	for begin, turn := ctx.Now(), 0; ctx.Now().Since(begin) < patience; turn++ {
		target := all[(first+turn)%len(all)].Address(deployment.ControlPort)
		if got := o.try(ctx, target, method, path, match, body); got.status != 0 && !unclear[got.status] {
			return got
		}
		if !ctx.Wait(pause) {
			break
		}
		pause = min(2*pause, 400*clock.Millisecond)
	}
	return answer{}
}

// try sends an order to one controller.
func (o *operator) try(ctx scope.Scope, target string, method string, path string, match int64, body []byte) answer {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+target+path, bytes.NewReader(body))
	if err != nil {
		return answer{}
	}
	if match >= 0 {
		request.Header.Set("If-Match", strconv.FormatInt(match, 10))
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := o.client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{status: response.StatusCode, body: text}
}

// send sends a change and notes what came of it.
func (o *operator) send(ctx scope.Scope, sent *change) answer {
	sent.sent = ctx.Now()
	o.estate.ledger.asked(sent)
	got := o.call(ctx, sent.method, "/settings", sent.base, sent.body)
	o.estate.ledger.answered(sent, got.status, ctx.Now())
	o.estate.tell("%s %s on %d to %d (%s): %d after %v", sent.method, sent.id, sent.base, sent.version, sent.note, got.status, ctx.Now().Since(sent.sent))
	return got
}

func (o *operator) patchOn(base int64, version int64, note string) *change {
	id := fmt.Sprintf("%x", o.drawn.Uint64())
	body, _ := json.Marshal(patch{Version: version, Changes: changes{Routes: []route{marking(id)}}})
	return &change{id: id, method: http.MethodPatch, base: base, version: version, body: body, valid: true, note: note}
}

// change sends one proper change on the newest version that is known.
func (o *operator) change(ctx scope.Scope) {
	base := o.estate.ledger.newest()
	sent := o.patchOn(base, base+1+int64(o.drawn.IntN(3)), "change")
	switch got := o.send(ctx, sent); got.status {
	case http.StatusOK:
		o.last = sent
	case http.StatusPreconditionFailed:
		o.read(ctx)
	}
}

// race has two change the same version at once.
func (o *operator) race(ctx scope.Scope) {
	base := o.estate.ledger.newest()
	var both sync.WaitGroup
	for index := range 2 {
		own := newOperator(o.estate, rand.New(rand.NewPCG(o.drawn.Uint64(), uint64(index))))
		sent := own.patchOn(base, base+1+int64(index*o.drawn.IntN(2)), "race")
		both.Add(1)
		go func() {
			defer both.Done()
			own.send(ctx, sent)
		}()
	}
	both.Wait()
}

// spoil sends a configuration that is invalid.
func (o *operator) spoil(ctx scope.Scope) {
	base := o.estate.ledger.newest()
	sent := o.patchOn(base, base+1, "invalid")
	spoils := []func(){
		func() { sent.body = sent.body[:len(sent.body)/2] },
		func() {
			sent.body = bytes.Replace(sent.body, []byte(`"service":"desk"`), []byte(`"service":"nobody"`), 1)
		},
		func() { sent.body = bytes.Replace(sent.body, []byte(`"give_up_ms":5000`), []byte(`"give_up_ms":0`), 1) },
		func() { sent.version, sent.body = base, o.patchOn(base, base, "").body },
	}
	one(o.drawn, spoils)()
	sent.valid = false
	o.send(ctx, sent)
}

// repeat sends the last acknowledged change of this operator again.
func (o *operator) repeat(ctx scope.Scope) {
	if o.last == nil {
		o.change(ctx)
		return
	}
	got := o.call(ctx, o.last.method, "/settings", o.last.base, o.last.body)
	if got.status != 0 && got.status != http.StatusOK {
		o.estate.find("CONFIG", "change %s to %d was acknowledged, is sent again and gets %d: %s", o.last.id, o.last.version, got.status, got.body)
	}
}

// read reads the configuration.
func (o *operator) read(ctx scope.Scope) (version int64, found bool) {
	begin := ctx.Now()
	got := o.call(ctx, http.MethodGet, "/settings", -1, nil)
	if got.status != http.StatusOK {
		return 0, false
	}
	return o.note(begin, ctx.Now(), got)
}

// note keeps what a read told.
func (o *operator) note(begin clock.Instant, end clock.Instant, got answer) (version int64, found bool) {
	var told document
	if err := json.Unmarshal(got.body, &told); err != nil {
		o.estate.find("CONFIG", "a read is no configuration: %v", err)
		return 0, false
	}
	id := ""
	for _, route := range told.Routes {
		if route.Name == "mark" {
			id = strings.Trim(strings.TrimPrefix(route.Prefix, markPrefix), "/")
		}
	}
	o.estate.ledger.read(read{begin: begin, end: end, version: told.Version, id: id})
	return told.Version, true
}

// evacuate empties a zone for a moment.
func (o *operator) evacuate(ctx scope.Scope) {
	zone := one(o.drawn, o.estate.layout.AllZones()).Name
	for _, method := range []string{http.MethodPost, http.MethodDelete} {
		got := o.call(ctx, method, "/empty/"+string(zone), -1, nil)
		if got.status != 0 && got.status != http.StatusOK {
			o.estate.find("EVAC", "%s /empty/%s gets %d: %s", method, zone, got.status, got.body)
		}
		ctx.Wait(span(o.drawn, 100*clock.Millisecond, 2*clock.Second))
	}
}

// work sends one order after another until the scope ends.
func (o *operator) work(ctx scope.Scope) {
	acts := []func(scope.Scope){o.change, o.change, o.race, o.repeat, o.spoil, o.evacuate, func(ctx scope.Scope) { o.read(ctx) }, func(ctx scope.Scope) { o.read(ctx) }}
	for ctx.Wait(span(o.drawn, 20*clock.Millisecond, 400*clock.Millisecond)) {
		one(o.drawn, acts)(ctx)
	}
}

// bearsLoss tells whether some controller says that one more loss changes nothing
// and all is made good.
func (e *estate) bearsLoss(ctx scope.Scope) bool {
	asker := newOperator(e, rand.New(rand.NewPCG(e.options.Seed, 0)))
	for _, machine := range e.role(controller.Role) {
		got := asker.try(ctx, machine.Address(deployment.ControlPort), http.MethodGet, "/status", -1, nil)
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
