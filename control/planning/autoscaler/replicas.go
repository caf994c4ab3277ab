package autoscaler

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// ReplicaType is one kind of replica to the linear program: the runners of a service
// in a region.
type ReplicaType struct {
	// Cost is the cost of one replica: how badly its memory fits the need.
	Cost float64
	// RateLimit is n_limit of one replica.
	RateLimit float64
	// Max is how many there are.
	Max float64
}

// SolveReplicas finds how many replicas of each type bear the load at the least cost:
// the paper's program (8), with the sign of the first constraint turned, so
// that the replicas cover the load. Where all replicas together don't, it
// gives all of them.
func SolveReplicas(types []ReplicaType, load float64) []float64 {
	needed := make([]float64, len(types))
	able := 0.0
	for index, kind := range types {
		needed[index] = kind.Max
		able += kind.Max * kind.RateLimit
	}
	if len(types) == 0 || able <= load {
		return needed
	}
	costs := make([]float64, len(types))
	limits := mat.NewDense(2*len(types)+1, len(types), nil)
	bounds := make([]float64, 2*len(types)+1)
	for index, kind := range types {
		costs[index] = kind.Cost
		limits.Set(0, index, -kind.RateLimit)
		limits.Set(index+1, index, 1)
		bounds[index+1] = kind.Max
		// Convert takes variables that may be negative: none may be here.
		limits.Set(len(types)+index+1, index, -1)
	}
	bounds[0] = -load
	cost, equal, right := lp.Convert(costs, limits, bounds, nil, nil)
	_, found, err := lp.Simplex(cost, equal, right, 1e-9, nil)
	if err != nil {
		return needed
	}
	// Convert splits each variable into a positive and a negative part.
	for index := range types {
		needed[index] = math.Ceil(found[index] - found[index+len(types)] - 1e-6)
	}
	return needed
}

// memoryMismatchCost is the paper's matching score: the gap between the memory that a
// replica needs and what its type has; a small part for each replica keeps
// fewer of them better than more.
func memoryMismatchCost(memory float64) float64 { return 0.1 + math.Abs(1-memory) }
