package autoscaler

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// ReplicaType is a type of replicas in the linear program, such as the runners of a
// service in one region or in one zone.
type ReplicaType struct {
	// Cost is the cost of one replica.
	Cost float64
	// RateLimit is n_limit of one replica, in requests per second.
	RateLimit float64
	// Max is the maximum number of replicas.
	Max float64
}

const (
	// simplexTolerance is the tolerance of the simplex method.
	simplexTolerance = 1e-9
	// roundingSlack prevents numerical errors from rounding a whole number of replicas
	// up to the next one.
	roundingSlack = 1e-6
)

// SolveReplicas returns the number of replicas of each type that serve a load, in
// requests per second, at the lowest cost. It solves the linear program (8) of the
// paper,
//
//	minimize Σ cost·n  subject to  Σ rateLimit·n ≥ load,  0 ≤ n ≤ max,
//
// with the first inequality reversed: as printed in the paper, the optimum is to have
// no replicas at all. Solutions are rounded up. If all replicas together cannot serve
// more than the load, or if the simplex method fails, it returns Max for each type.
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
	// The first row requires that the load is served. Each type has one row for its
	// upper bound, and one for its lower bound because Convert assumes that variables
	// may be negative.
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

// replicaCost is the part of a replica's cost that does not depend on its memory. It
// makes the solution with fewer replicas the better one of two that match equally well.
const replicaCost = 0.1

// memoryMismatchCost returns the cost of a replica: replicaCost plus the paper's
// matching score, which is the difference between the memory that a replica needs and
// the memory that its type has, as a fraction of the latter.
func memoryMismatchCost(memoryUtilization float64) float64 {
	return replicaCost + math.Abs(1-memoryUtilization)
}
