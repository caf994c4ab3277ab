// Package autoscaler plans how requests are distributed over runners and regions,
// following the ENOVA paper. It estimates the rate and concurrency limits of each
// runner from how its rate of finished requests depends on the number of running
// ones, solves a linear program for the replicas that the load needs, weights runners
// by their rate limits, and makes a new plan when it detects an anomalous runner.
// docs/enova.md describes where it differs from the paper, and why. The package also
// decides how many runners of a scaled service each zone should have.
//
// Only one daemon plans: the owner of the planner's lease, to which all zones send
// their reports. Published items carry the epoch of the lease, so that a former owner
// cannot overwrite a later plan. Small changes to a plan are suppressed, because
// each change moves prompts away from the runners that have their prefixes cached.
package autoscaler

import (
	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/control/transport"
)

// Plan describes how routers distribute requests over runners, and holds the estimates
// that it is based on.
type Plan struct {
	Owner    ids.Address  `avro:"Holder"`
	Runners  []RunnerPlan `avro:"Runners"`
	Flows    []Flow       `avro:"Flows"`
	Replicas []Replicas   `avro:"Replicas"`
	// Lengths holds the expected request durations of each region, for its routers.
	Lengths []RegionLengths `avro:"Lengths"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Plan) SchemaName() string { return "Plan_23" }

// RegionLengths holds the expected request durations of a region, and the splits of
// its services into short and long requests.
type RegionLengths struct {
	Region   ids.Region             `avro:"Region"`
	Expected []lengthstats.Expected `avro:"Expected"`
	Splits   []lengthstats.Split    `avro:"Splits"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (RegionLengths) SchemaName() string { return "RegionLengths_23" }

// RunnerPlan is the plan for one runner.
type RunnerPlan struct {
	Runner ids.RunnerID `avro:"Runner"`
	// RateLimit is n_limit, the maximum rate of finished requests per second.
	RateLimit float64 `avro:"Limit"`
	// ConcurrencyLimit is max_num_seqs, the maximum number of requests that should
	// run concurrently.
	ConcurrencyLimit float64 `avro:"Cap"`
	// MemoryUtilization is the fraction of its memory that the runner needs at
	// ConcurrencyLimit.
	MemoryUtilization float64 `avro:"Memory"`
	// Weight is the runner's weight in load balancing, in requests per second.
	Weight float64 `avro:"Weight"`
	// Group is the class of the requests that prefer this runner. It is Unknown if
	// the service's runners in the region are not grouped by length.
	Group lengthstats.Class `avro:"Group"`
	// Quarantined temporarily takes the runner out of rotation.
	Quarantined bool `avro:"Resting"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (RunnerPlan) SchemaName() string { return "RunnerPlan_23" }

// Flow is the fraction of the requests received in the origin region that are sent to
// runners in the target region. HomeRegions has the format described at Demand.
type Flow struct {
	Service     ids.Service `avro:"Service"`
	HomeRegions string      `avro:"Homes"`
	Origin      ids.Region  `avro:"Origin"`
	Target      ids.Region  `avro:"Target"`
	Share       float64     `avro:"Share"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Flow) SchemaName() string { return "Flow_23" }

// Replicas is the number of a region's ready runners that the load needs. It is
// advisory. Load is the load on all regions, RateLimit the mean rate limit of the
// region's runners, both in requests per second.
type Replicas struct {
	Service   ids.Service `avro:"Service"`
	Region    ids.Region  `avro:"Region"`
	Needed    float64     `avro:"Needed"`
	Ready     int64       `avro:"Ready"`
	Load      float64     `avro:"Load"`
	RateLimit float64     `avro:"Ceiling"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Replicas) SchemaName() string { return "Replicas_23" }

// Sample holds what one router, or all routers of a zone, measured for one runner
// during an interval. Running and Pending are integrals over time, in
// request-seconds; Arrived, Finished and Failed count requests.
type Sample struct {
	Runner   ids.RunnerID `avro:"Runner"`
	Service  ids.Service  `avro:"Service"`
	Arrived  float64      `avro:"Arrived"`
	Finished float64      `avro:"Finished"`
	Running  float64      `avro:"Running"`
	Pending  float64      `avro:"Pending"`
	Failed   float64      `avro:"Failed"`
	// ExecutionMS is the sum of the execution times of the finished requests.
	ExecutionMS float64 `avro:"SpentMS"`
	// MemoryUtilization and Utilization are the fractions of memory and of slots in
	// use, from 0 to 1. They are 0 if unknown.
	MemoryUtilization float64 `avro:"Memory"`
	Utilization       float64 `avro:"Busy"`
	// Units is the work that was sent to the runner: prompt tokens, or 1 for a request
	// without any.
	Units float64 `avro:"Units"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Sample) SchemaName() string { return "Sample_23" }

// Demand counts the client requests for a service whose routes have the same home
// regions. HomeRegions lists these, each followed by a comma; it is empty if all
// regions are allowed.
type Demand struct {
	Service     ids.Service `avro:"Service"`
	HomeRegions string      `avro:"Homes"`
	Arrived     float64     `avro:"Arrived"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Demand) SchemaName() string { return "Demand_23" }

// ReportRequest reports the measurements of an interval to the owner of the planner's
// lease. It is sent as a ReportMessage.
type ReportRequest struct {
	From    ids.Address `avro:"From"`
	Region  ids.Region  `avro:"Region"`
	Samples []Sample    `avro:"Samples"`
	Demands []Demand    `avro:"Demands"`
	// Readings holds the times to first token of each route.
	Readings []headroom.Reading `avro:"Readings"`
	// Lengths holds the request durations of each key.
	Lengths []lengthstats.Totals `avro:"Lengths"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (ReportRequest) SchemaName() string { return "ReportAsk_23" }

// ReportResponse is the response to a report. Owner is false if the receiver does not
// own the lease and dropped the report.
type ReportResponse struct {
	Owner bool `avro:"Holding"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (ReportResponse) SchemaName() string { return "ReportTold_23" }

// ReadPlan decodes the body of the gossiped item with the key PlanKey.
func ReadPlan(body []byte) (Plan, error) { return transport.Unmarshal[Plan](body) }
