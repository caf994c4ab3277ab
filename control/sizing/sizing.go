// Package sizing sends orders to the platform that set the number of runners of each service
// in a zone, for the size parts that this controller holds (package duty). The numbers are
// those of the planner (package autoscaler), within the bounds of the configuration in force.
//
// Invariants: an order is stored on a majority of disks before its first byte is sent. A new
// holder sends the newest stored orders once, and then follows the planner. If the planner has
// no decision for a service, its last order remains in force.
package sizing

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/duty"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/transport"
)

// keyPrefix is the prefix of the register keys of orders; the zone's name follows it. It is
// stored and must never change.
const keyPrefix = "sizes/"

// Orders is the register value of a zone: the newest order of each service.
type Orders struct {
	Orders []Order `avro:"Orders"`
}

// SchemaName returns the name of the stored Avro schema, which must never change.
func (Orders) SchemaName() string { return "SizeOrders" }

// Order is the number of runners that were ordered for a service.
type Order struct {
	Service ids.Service `avro:"Service"`
	Wanted  int64       `avro:"Wanted"`
}

// SchemaName returns the name of the stored Avro schema, which must never change.
func (Order) SchemaName() string { return "SizeOrder" }

// Options configure an Orderer. All are required but Frozen and Log.
type Options struct {
	Clock clock.Clock
	// Zones lists all zones of the deployment.
	Zones []ids.Zone
	// Config returns the configuration in force, or nil if there is none.
	Config func() *config.Config
	// Planned returns the last decision of the planner.
	Planned func() autoscaler.Sizes
	// Frozen reports whether the size of a service must not change, because the platform would
	// remove runners of one of the two versions that run. It may be nil.
	Frozen func(service ids.Service) bool
	// Held returns the fence of a part if calls for it are permitted from this controller.
	Held func(part duty.Part) (fence int64, ok bool)
	// Update replaces the value of a register key on a majority and returns the stored value.
	Update func(ctx context.Context, key string, update duty.UpdateFunc) ([]byte, error)
	// Call makes a platform call for a part.
	Call func(ctx context.Context, part duty.Part, fence int64, call duty.Call) (status int, err error)
	// RetryPause is the pause of a zone after an order could not be stored or was not accepted
	// by the platform.
	RetryPause time.Duration
	Log        *log.Logger
}

// Orderer sends the orders of the zones whose parts this controller holds. It is not safe for
// concurrent use: Step is called by Run only.
type Orderer struct {
	options Options
	zones   map[ids.Zone]*zoneOrders
}

// zoneOrders is the state of a zone's orders under one fence.
type zoneOrders struct {
	fence  int64
	loaded bool
	stored Orders
	// acknowledged holds, by service, the last order that the platform has accepted or finally
	// rejected under the fence.
	acknowledged map[ids.Service]int64
	retryAt      clock.Instant
}

// New returns an Orderer that has not sent any orders.
func New(options Options) *Orderer {
	return &Orderer{options: options, zones: map[ids.Zone]*zoneOrders{}}
}

// Run calls Step at an interval until ctx is canceled.
func (o *Orderer) Run(ctx context.Context, interval time.Duration) {
	for clock.Wait(ctx, o.options.Clock, interval) {
		o.Step(ctx)
	}
}

// Step stores and sends the orders that are due in each zone whose part this controller
// holds. Zones are processed in parallel, so that none delays another.
func (o *Orderer) Step(ctx context.Context) {
	cfg := o.options.Config()
	if cfg == nil {
		return
	}
	planned := o.options.Planned()
	var steps sync.WaitGroup
	for _, zone := range o.options.Zones {
		part := duty.SizePart(zone)
		fence, held := o.options.Held(part)
		if !held {
			continue
		}
		state := o.zones[zone]
		if state == nil || state.fence != fence {
			state = &zoneOrders{fence: fence, acknowledged: map[ids.Service]int64{}}
			o.zones[zone] = state
		}
		steps.Go(func() { o.stepZone(ctx, zone, state, o.wantedOrders(cfg, planned, zone)) })
	}
	steps.Wait()
}

// isFrozen reports whether the size of a service must not change now.
func (o *Orderer) isFrozen(service ids.Service) bool {
	return o.options.Frozen != nil && o.options.Frozen(service)
}

// wantedOrders returns the planned orders of a zone within the bounds of the configuration,
// for the configured services that are scaled and not frozen.
func (o *Orderer) wantedOrders(cfg *config.Config, planned autoscaler.Sizes, zone ids.Zone) []Order {
	var wanted []Order
	for _, size := range planned.Sizes {
		service := cfg.Service(size.Service)
		if size.Zone != zone || service == nil || service.Scaling == nil || o.isFrozen(size.Service) {
			continue
		}
		wanted = append(wanted, Order{Service: size.Service, Wanted: service.Scaling.Clamp(size.Wanted)})
	}
	return wanted
}

func (o *Orderer) stepZone(ctx context.Context, zone ids.Zone, state *zoneOrders, wanted []Order) {
	if o.options.Clock.Now().Before(state.retryAt) {
		return
	}
	if !state.loaded || state.stored.lacksAny(wanted) {
		if !o.store(ctx, zone, state, wanted) {
			return
		}
	}
	for _, order := range state.stored.Orders {
		acknowledged, ok := state.acknowledged[order.Service]
		if (ok && acknowledged == order.Wanted) || o.isFrozen(order.Service) {
			continue
		}
		if !o.send(ctx, zone, state, order) {
			return
		}
	}
}

// lacksAny reports whether any of the wanted orders differs from the newest order of its
// service.
func (o Orders) lacksAny(wanted []Order) bool {
	return slices.ContainsFunc(wanted, func(order Order) bool { return !slices.Contains(o.Orders, order) })
}

// set replaces or adds the order of a service.
func (o *Orders) set(order Order) {
	for index := range o.Orders {
		if o.Orders[index].Service == order.Service {
			o.Orders[index] = order
			return
		}
	}
	o.Orders = append(o.Orders, order)
}

// store merges the wanted orders into the stored ones, and loads the result. It returns false
// if this fails.
func (o *Orderer) store(ctx context.Context, zone ids.Zone, state *zoneOrders, wanted []Order) bool {
	key := keyPrefix + string(zone)
	value, err := o.options.Update(ctx, key, func(current []byte) ([]byte, error) {
		orders, err := transport.UnmarshalStored[Orders](key, current)
		if err != nil {
			return nil, err
		}
		for _, order := range wanted {
			orders.set(order)
		}
		return transport.Marshal(orders)
	})
	if err != nil {
		state.retryAt = o.options.Clock.Now().Add(o.options.RetryPause)
		return false
	}
	orders, err := transport.UnmarshalStored[Orders](key, value)
	if err != nil {
		return false
	}
	state.stored, state.loaded = orders, true
	return true
}

// sizeRequest is the JSON document that is sent to the platform.
type sizeRequest struct {
	Service ids.Service `json:"service"`
	Zone    ids.Zone    `json:"zone"`
	Wanted  int64       `json:"wanted"`
}

// send sends an order. It returns false if the platform did not accept it and it must be sent
// again.
func (o *Orderer) send(ctx context.Context, zone ids.Zone, state *zoneOrders, order Order) bool {
	body, err := json.Marshal(sizeRequest{Service: order.Service, Zone: zone, Wanted: order.Wanted})
	if err != nil {
		return false
	}
	status, err := o.options.Call(ctx, duty.SizePart(zone), state.fence, duty.Call{Path: "/size", Body: body})
	final := status == http.StatusBadRequest || status == http.StatusNotFound || status == http.StatusUnprocessableEntity
	accepted := status >= http.StatusOK && status < http.StatusMultipleChoices
	if err == nil && (accepted || final) {
		state.acknowledged[order.Service] = order.Wanted
	} else {
		state.retryAt = o.options.Clock.Now().Add(o.options.RetryPause)
	}
	if o.options.Log != nil {
		o.options.Log.Info().Str("part", "sizing").Str("service", string(order.Service)).Str("zone", string(zone)).
			Int64("wanted", order.Wanted).Int64("fence", state.fence).Int("status", status).Err(err).Msg("size ordered")
	}
	return err == nil && (accepted || final)
}
