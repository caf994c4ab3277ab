package autoscaler

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// ReplicaType is a kind of replica to the linear program: a service's runners in
// one region.
type ReplicaType struct {
	// Cost is that of one replica.
	Cost float64
	// RateLimit is n_limit of one replica, in requests a second.
	RateLimit float64
	// Max is the number of replicas that there are.
	Max float64
}

const (
	// simplexTolerance is the tolerance of the simplex method.
	simplexTolerance = 1e-9
	// roundingSlack keeps a whole number of replicas from being rounded up.
	roundingSlack = 1e-6
)

// SolveReplicas returns how many replicas of each type carry a load in requests a
// second at the least cost. It is the linear program (8) of the paper,
//
//	minimise Σ cost·n  subject to  Σ rateLimit·n ≥ load,  0 ≤ n ≤ max,
//
// with the first constraint turned: as printed, no replica at all is optimal.
// Solutions are rounded up. If all replicas together don't carry the load, or the
// method fails, it returns all of them.
func SolveReplicas(types []ReplicaType, load float64) []float64 {
	needed := make([]float64, len(types))
	total := 0.0
	for index, replicaType := range types {
		needed[index] = replicaType.Max
		total += replicaType.Max * replicaType.RateLimit
	}
	if len(types) == 0 || total <= load {
		return needed
	}
	// One row says that the load is carried; one for each type bounds it from
	// above, one from below, since Convert takes variables that may be negative.
	costs := make([]float64, len(types))
	constraints := mat.NewDense(2*len(types)+1, len(types), nil)
	bounds := make([]float64, 2*len(types)+1)
	bounds[0] = -load
	for index, replicaType := range types {
		costs[index] = replicaType.Cost
		constraints.Set(0, index, -replicaType.RateLimit)
		constraints.Set(index+1, index, 1)
		bounds[index+1] = replicaType.Max
		constraints.Set(len(types)+index+1, index, -1)
	}
	cost, equalities, values := lp.Convert(costs, constraints, bounds, nil, nil)
	_, solution, err := lp.Simplex(cost, equalities, values, simplexTolerance, nil)
	if err != nil {
		return needed
	}
	// Convert splits each variable into a positive and a negative part.
	for index := range types {
		needed[index] = math.Ceil(solution[index] - solution[index+len(types)] - roundingSlack)
	}
	return needed
}

// replicaCost is the part of a replica's cost that does not depend on its memory:
// of two solutions that fit alike, the one with fewer replicas is better.
const replicaCost = 0.1

// memoryMismatchCost is the paper's matching score: the gap between the memory
// that a replica needs and what its type has, both as fractions.
func memoryMismatchCost(memoryUtilization float64) float64 {
	return replicaCost + math.Abs(1-memoryUtilization)
}
