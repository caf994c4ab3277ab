package rollout

import (
	"onyxwell/base/ids"
)

// Names of messages, gossiped items and the lease. They are sent or stored and must never
// change.
const (
	// RelayMessage goes from a router to its zone's relay, DirectMessage from a relay to the
	// director. OrderMessage carries an order from a non-voting controller.
	RelayMessage  = "rollout-relay"
	DirectMessage = "rollout-direct"
	OrderMessage  = "rollout-order"
	// DirectorKey is the key of the gossiped item that holds the director's address.
	DirectorKey = "rollout-director"
	// LeaseName is the name of the lease that the director holds.
	LeaseName = "rollouts"
)

// ExchangeRequest reports what routers observed, and requests permits.
type ExchangeRequest struct {
	From     ids.Address     `avro:"From"`
	Zone     ids.Zone        `avro:"Zone"`
	Services []ServiceReport `avro:"Services"`
}

// SchemaName names the sent form; it must never change.
func (ExchangeRequest) SchemaName() string { return "RolloutExchangeRequest" }

// ServiceReport is what one router, or the routers of a zone, observed of a rollout since the
// previous report.
type ServiceReport struct {
	Service ids.Service `avro:"Service"`
	Order   int64       `avro:"Order"`
	// Unconfirmed counts the routers that may still send to old runners, or have requests
	// running there; in a router's own report it is 0 or 1.
	Unconfirmed int64        `avro:"Unconfirmed"`
	Routes      []RouteCount `avro:"Routes"`
}

// SchemaName names the sent form; it must never change.
func (ServiceReport) SchemaName() string { return "RolloutServiceReport" }

// RouteCount holds the outcomes of a route's attempts at the runners of one arm: those of the
// target version or the old ones.
type RouteCount struct {
	// Route is the route's name, or for the load test pair the result of LoadTestRoute.
	Route string `avro:"Route"`
	// Target is true for runners of the target version.
	Target bool `avro:"Target"`
	// Ended counts the attempts whose outcome says something about their runner, Failed the
	// failed ones among them.
	Ended  int64 `avro:"Ended"`
	Failed int64 `avro:"Failed"`
	// FirstByte and Whole are histograms of the durations up to the head of the response and
	// up to its end (see Histogram).
	FirstByte []Bucket `avro:"FirstByte"`
	Whole     []Bucket `avro:"Whole"`
}

// SchemaName names the sent form; it must never change.
func (RouteCount) SchemaName() string { return "RolloutRouteCount" }

// Bucket is a bucket of a Histogram with its count.
type Bucket struct {
	Index int64 `avro:"Index"`
	Count int64 `avro:"Count"`
}

// SchemaName names the sent form; it must never change.
func (Bucket) SchemaName() string { return "RolloutBucket" }

// ExchangeResponse grants permits.
type ExchangeResponse struct {
	// Directing is false if the receiver does not hold the lease, or is a relay that is out of
	// contact with the holder.
	Directing bool     `avro:"Directing"`
	Permits   []Permit `avro:"Permits"`
}

// SchemaName names the sent form; it must never change.
func (ExchangeResponse) SchemaName() string { return "RolloutExchangeResponse" }

// Permit allows requests to go to runners of a rollout's target version.
type Permit struct {
	Service ids.Service `avro:"Service"`
	Order   int64       `avro:"Order"`
	Stage   int64       `avro:"Stage"`
	// RunnersMilli is the fraction of the target version's runners that get requests, and
	// LoadMilli the load of each relative to that of an old runner, both in thousandths. For the
	// stage LoadTest, they are the shares of a router's requests that go to each runner of
	// the load test pair: LoadMilli at routers of the pair's region, RunnersMilli at all others.
	RunnersMilli int64 `avro:"RunnersMilli"`
	LoadMilli    int64 `avro:"LoadMilli"`
	// TTLMS is how long the permit lasts from when it was requested, in milliseconds.
	TTLMS int64 `avro:"TTLMS"`
}

// SchemaName names the sent form; it must never change.
func (Permit) SchemaName() string { return "RolloutPermit" }

// DirectorItem is the body of the gossiped item under DirectorKey.
type DirectorItem struct {
	Address ids.Address `avro:"Address"`
}

// SchemaName names the sent form; it must never change.
func (DirectorItem) SchemaName() string { return "RolloutDirector" }

// OrderRequest carries an operator's order.
type OrderRequest struct {
	Service ids.Service `avro:"Service"`
	Target  string      `avro:"Target"`
	TermMS  int64       `avro:"TermMS"`
	UnixMS  int64       `avro:"UnixMS"`
}

// SchemaName names the sent form; it must never change.
func (OrderRequest) SchemaName() string { return "RolloutOrderRequest" }

// WithoutCounts returns the request without the counts of attempts.
func (e ExchangeRequest) WithoutCounts() ExchangeRequest {
	bare := ExchangeRequest{From: e.From, Zone: e.Zone}
	for _, report := range e.Services {
		report.Routes = nil
		bare.Services = append(bare.Services, report)
	}
	return bare
}
