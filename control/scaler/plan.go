// Package scaler is the ENOVA design: ceilings from what each runner finished
// while so many were running, a linear program over ceilings and load, weights
// in proportion to the ceilings, and a detector that has the plan made anew.
package scaler

import (
	"onyxwell/base/ids"
	"onyxwell/control/courier"
	"onyxwell/control/lengths"
	"onyxwell/control/room"
)

// Plan says how routers share requests out among runners, and why.
type Plan struct {
	Holder   ids.Address
	Runners  []RunnerPlan
	Flows    []Flow
	Replicas []Replicas
	// Lengths are how long answers take in each region, told back to its routers.
	Lengths []RegionLengths
}

// RegionLengths is what was learnt of a region's answers.
type RegionLengths struct {
	Region   ids.Region
	Expected []lengths.Expected
	Splits   []lengths.Split
}

// RunnerPlan is the plan for one runner.
type RunnerPlan struct {
	Runner ids.RunnerID
	// Limit is n_limit, the most requests that it can finish in a second.
	Limit float64
	// Cap is max_num_seqs, how many requests it should have running at most.
	Cap float64
	// Memory is the part of its memory that it needs at the cap.
	Memory float64
	// Weight is its share in routing.
	Weight float64
	// Group is the class of requests that it takes first, if its region's are
	// grouped by length.
	Group lengths.Class
	// Resting takes it out of rotation while it is looked at.
	Resting bool
}

// Flow is the share of an origin's requests that a region's runners take.
type Flow struct {
	Service ids.Service
	Homes   string
	Origin  ids.Region
	Target  ids.Region
	Share   float64
}

// Replicas is how many runners of a type the load needs.
type Replicas struct {
	Service ids.Service
	Region  ids.Region
	Needed  float64
	Ready   int64
	Load    float64
	Ceiling float64
}

// Sample is what one router saw of one runner in one span. Running and Pending
// are sums over time: so many requests for so many seconds.
type Sample struct {
	Runner   ids.RunnerID
	Service  ids.Service
	Arrived  float64
	Finished float64
	Running  float64
	Pending  float64
	Failed   float64
	// SpentMS is the execution time summed over the finished requests.
	SpentMS float64
	// Memory and Busy are utilisations, from 0 to 1, as far as they are known.
	Memory float64
	Busy   float64
	// Units is the work sent: prompt tokens, or one a request without any.
	Units float64
}

// Demand is what visitors of a region asked of a service.
type Demand struct {
	Service ids.Service
	Homes   string
	Arrived float64
}

// ReportAsk carries a router's samples to the holder of the plan.
type ReportAsk struct {
	From    ids.Address
	Region  ids.Region
	Samples []Sample
	Demands []Demand
	// Readings are how long first answers took.
	Readings []room.Reading
	// Lengths are how long whole answers took, by kind.
	Lengths []lengths.Sum
}

// ReportTold answers it.
type ReportTold struct{ Holding bool }

// ReadPlan reads the body of the news item that has the whole plan.
//
// Example:
//
//	plan, err := scaler.ReadPlan(item.Body)
func ReadPlan(body []byte) (Plan, error) { return courier.Unpack[Plan](body) }
