// Package autoscaler is the ENOVA design: ceilings from what each runner finished
// while so many were running, a linear program over ceilings and load, weights
// in proportion to the ceilings, and a detector that has the plan made anew.
package autoscaler

import (
	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/control/transport"
)

// Plan says how routers share requests out among runners, and why.
type Plan struct {
	Owner    ids.Address  `avro:"Holder"`
	Runners  []RunnerPlan `avro:"Runners"`
	Flows    []Flow       `avro:"Flows"`
	Replicas []Replicas   `avro:"Replicas"`
	// Lengths are how long answers take in each region, told back to its routers.
	Lengths []RegionLengths `avro:"Lengths"`
}

// SchemaName names the stored and sent form; it must never change.
func (Plan) SchemaName() string { return "Plan_23" }

// RegionLengths is what was learnt of a region's answers.
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
	// RateLimit is n_limit, the most requests that it can finish in a second.
	RateLimit float64 `avro:"Limit"`
	// ConcurrencyLimit is max_num_seqs, how many requests it should have running at most.
	ConcurrencyLimit float64 `avro:"Cap"`
	// MemoryUtilization is the part of its memory that it needs at the cap.
	MemoryUtilization float64 `avro:"Memory"`
	// Weight is its share in routing.
	Weight float64 `avro:"Weight"`
	// Group is the class of requests that it takes first, if its region's are
	// grouped by length.
	Group lengthstats.Class `avro:"Group"`
	// Quarantined takes it out of rotation while it is looked at.
	Quarantined bool `avro:"Resting"`
}

// SchemaName names the stored and sent form; it must never change.
func (RunnerPlan) SchemaName() string { return "RunnerPlan_23" }

// Flow is the share of an origin's requests that a region's runners take.
type Flow struct {
	Service     ids.Service `avro:"Service"`
	HomeRegions string      `avro:"Homes"`
	Origin      ids.Region  `avro:"Origin"`
	Target      ids.Region  `avro:"Target"`
	Share       float64     `avro:"Share"`
}

// SchemaName names the stored and sent form; it must never change.
func (Flow) SchemaName() string { return "Flow_23" }

// Replicas is how many runners of a type the load needs.
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

// Sample is what one router saw of one runner in one span. Running and Pending
// are sums over time: so many requests for so many seconds.
type Sample struct {
	Runner   ids.RunnerID `avro:"Runner"`
	Service  ids.Service  `avro:"Service"`
	Arrived  float64      `avro:"Arrived"`
	Finished float64      `avro:"Finished"`
	Running  float64      `avro:"Running"`
	Pending  float64      `avro:"Pending"`
	Failed   float64      `avro:"Failed"`
	// ExecutionMS is the execution time summed over the finished requests.
	ExecutionMS float64 `avro:"SpentMS"`
	// MemoryUtilization and Busy are utilisations, from 0 to 1, as far as they are known.
	MemoryUtilization float64 `avro:"Memory"`
	Utilization       float64 `avro:"Busy"`
	// Units is the work sent: prompt tokens, or one a request without any.
	Units float64 `avro:"Units"`
}

// SchemaName names the stored and sent form; it must never change.
func (Sample) SchemaName() string { return "Sample_23" }

// Demand is what visitors of a region asked of a service.
type Demand struct {
	Service     ids.Service `avro:"Service"`
	HomeRegions string      `avro:"Homes"`
	Arrived     float64     `avro:"Arrived"`
}

// SchemaName names the stored and sent form; it must never change.
func (Demand) SchemaName() string { return "Demand_23" }

// ReportRequest carries a router's samples to the holder of the plan.
type ReportRequest struct {
	From    ids.Address `avro:"From"`
	Region  ids.Region  `avro:"Region"`
	Samples []Sample    `avro:"Samples"`
	Demands []Demand    `avro:"Demands"`
	// Readings are how long first answers took.
	Readings []headroom.Reading `avro:"Readings"`
	// Lengths are how long whole answers took, by kind.
	Lengths []lengthstats.Totals `avro:"Lengths"`
}

// SchemaName names the stored and sent form; it must never change.
func (ReportRequest) SchemaName() string { return "ReportAsk_23" }

// ReportResponse answers it.
type ReportResponse struct {
	Owner bool `avro:"Holding"`
}

// SchemaName names the stored and sent form; it must never change.
func (ReportResponse) SchemaName() string { return "ReportTold_23" }

// ReadPlan reads the body of the news item that has the whole plan.
func ReadPlan(body []byte) (Plan, error) { return transport.Unmarshal[Plan](body) }
