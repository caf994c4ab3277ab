// Package autoscaler plans how requests are shared among runners and regions,
// after the ENOVA paper: it estimates the rate and concurrency limits of each
// runner from the requests that finish while others run, solves a linear program
// for the replicas that the load needs, weighs runners by their limits, and
// detects anomalous runners, which has it plan anew. docs/enova.md says where it
// differs from the paper, and why.
//
// One daemon plans: the owner of the planner's lease, to whom the zones' reports
// go. What it publishes carries the lease's epoch, so that a former owner can't
// overwrite a later plan. A plan changes only where that is worth more than the
// prefix caches that are lost.
package autoscaler

import (
	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/control/transport"
)

// Plan is how routers share requests among runners, and the estimates it rests on.
type Plan struct {
	Owner    ids.Address  `avro:"Holder"`
	Runners  []RunnerPlan `avro:"Runners"`
	Flows    []Flow       `avro:"Flows"`
	Replicas []Replicas   `avro:"Replicas"`
	// Lengths are the expected durations in each region, for its routers.
	Lengths []RegionLengths `avro:"Lengths"`
}

// SchemaName names the stored and sent form; it must never change.
func (Plan) SchemaName() string { return "Plan_23" }

// RegionLengths are the expected durations of requests in a region, and the
// thresholds between short and long ones.
type RegionLengths struct {
	Region   ids.Region             `avro:"Region"`
	Expected []lengthstats.Expected `avro:"Expected"`
	Splits   []lengthstats.Split    `avro:"Splits"`
}

// SchemaName names the stored and sent form; it must never change.
func (RegionLengths) SchemaName() string { return "RegionLengths_23" }

// RunnerPlan is the plan for one runner.
type RunnerPlan struct {
	Runner ids.RunnerID `avro:"Runner"`
	// RateLimit is n_limit, the most requests that finish in a second.
	RateLimit float64 `avro:"Limit"`
	// ConcurrencyLimit is max_num_seqs, the most requests that should run at once.
	ConcurrencyLimit float64 `avro:"Cap"`
	// MemoryUtilization is the fraction of its memory that it needs at that limit.
	MemoryUtilization float64 `avro:"Memory"`
	// Weight is its weight in load balancing, in requests a second.
	Weight float64 `avro:"Weight"`
	// Group is the class of requests that prefer it, Unknown if its region is not
	// grouped by length.
	Group lengthstats.Class `avro:"Group"`
	// Quarantined takes it out of rotation for some ticks.
	Quarantined bool `avro:"Resting"`
}

// SchemaName names the stored and sent form; it must never change.
func (RunnerPlan) SchemaName() string { return "RunnerPlan_23" }

// Flow is the fraction of an origin's requests that a region's runners take.
type Flow struct {
	Service     ids.Service `avro:"Service"`
	HomeRegions string      `avro:"Homes"`
	Origin      ids.Region  `avro:"Origin"`
	Target      ids.Region  `avro:"Target"`
	Share       float64     `avro:"Share"`
}

// SchemaName names the stored and sent form; it must never change.
func (Flow) SchemaName() string { return "Flow_23" }

// Replicas is how many of a region's ready runners the load needs. It is advisory.
type Replicas struct {
	Service   ids.Service `avro:"Service"`
	Region    ids.Region  `avro:"Region"`
	Needed    float64     `avro:"Needed"`
	Ready     int64       `avro:"Ready"`
	Load      float64     `avro:"Load"`
	RateLimit float64     `avro:"Ceiling"`
}

// SchemaName names the stored and sent form; it must never change.
func (Replicas) SchemaName() string { return "Replicas_23" }

// Sample is what one router, or the routers of a zone, measured of one runner in
// an interval. Running and Pending are integrals over time, in request seconds.
type Sample struct {
	Runner   ids.RunnerID `avro:"Runner"`
	Service  ids.Service  `avro:"Service"`
	Arrived  float64      `avro:"Arrived"`
	Finished float64      `avro:"Finished"`
	Running  float64      `avro:"Running"`
	Pending  float64      `avro:"Pending"`
	Failed   float64      `avro:"Failed"`
	// ExecutionMS is the execution time of the finished requests, summed.
	ExecutionMS float64 `avro:"SpentMS"`
	// MemoryUtilization and Utilization are of memory and of slots, from 0 to 1, and
	// 0 if unknown.
	MemoryUtilization float64 `avro:"Memory"`
	Utilization       float64 `avro:"Busy"`
	// Units is the work sent: prompt tokens, or one for a request without any.
	Units float64 `avro:"Units"`
}

// SchemaName names the stored and sent form; it must never change.
func (Sample) SchemaName() string { return "Sample_23" }

// Demand is the requests of clients for a service, by the home regions of their
// routes: a list in which a comma follows each, empty for all regions.
type Demand struct {
	Service     ids.Service `avro:"Service"`
	HomeRegions string      `avro:"Homes"`
	Arrived     float64     `avro:"Arrived"`
}

// SchemaName names the stored and sent form; it must never change.
func (Demand) SchemaName() string { return "Demand_23" }

// ReportRequest reports an interval to the owner of the planner's lease.
type ReportRequest struct {
	From    ids.Address `avro:"From"`
	Region  ids.Region  `avro:"Region"`
	Samples []Sample    `avro:"Samples"`
	Demands []Demand    `avro:"Demands"`
	// Readings are the times to first token, by route.
	Readings []headroom.Reading `avro:"Readings"`
	// Lengths are the durations of requests, by key.
	Lengths []lengthstats.Totals `avro:"Lengths"`
}

// SchemaName names the stored and sent form; it must never change.
func (ReportRequest) SchemaName() string { return "ReportAsk_23" }

// ReportResponse answers a report: Owner is false if the receiver does not own the
// lease, and so dropped it.
type ReportResponse struct {
	Owner bool `avro:"Holding"`
}

// SchemaName names the stored and sent form; it must never change.
func (ReportResponse) SchemaName() string { return "ReportTold_23" }

// ReadPlan decodes the body of the item with PlanKey.
func ReadPlan(body []byte) (Plan, error) { return transport.Unmarshal[Plan](body) }
