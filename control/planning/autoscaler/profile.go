package autoscaler

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Anomaly is where a detected runner pulls the plan.
type Anomaly int

// The directions: up where it is overloaded, down where it is idle.
const (
	NoAnomaly Anomaly = iota
	Overload
	Underload
)

const (
	// latentDimensions is how many components stand in for the hidden variable.
	latentDimensions = 2
	// minProfileSamples is how many looks a profile must rest on.
	minProfileSamples = 24
	// anomalyThreshold is by how many deviations a miss must stand out to count.
	anomalyThreshold = 6.0
)

// Profile is what is normal for a type of runners: the mean and spread of each
// metric and the main directions in which they move together. It stands in
// for the paper's auto-encoder: a linear one, whose hidden variable is held to
// what it was in normal looks, as the paper's prior holds it. So an overloaded
// runner is reconstructed as a normal one, and the difference has a sign.
type Profile struct {
	mean           []float64
	deviation      []float64
	basis          *mat.Dense
	latentBound    []float64
	errorMean      float64
	errorDeviation float64
}

// FitProfile makes a profile from metric vectors; too few give none.
func FitProfile(vectors [][]float64) *Profile {
	if len(vectors) < minProfileSamples {
		return nil
	}
	width := len(vectors[0])
	made := &Profile{mean: make([]float64, width), deviation: make([]float64, width)}
	column := make([]float64, len(vectors))
	for metric := range width {
		for index, vector := range vectors {
			column[index] = vector[metric]
		}
		made.mean[metric], made.deviation[metric] = stat.MeanStdDev(column, nil)
		if made.deviation[metric] < 1e-9 {
			made.deviation[metric] = math.Max(1e-3, math.Abs(made.mean[metric]))
		}
	}
	table := mat.NewDense(len(vectors), width, nil)
	for index, vector := range vectors {
		table.SetRow(index, made.normalise(vector))
	}
	var parts mat.SVD
	if !parts.Factorize(table, mat.SVDThin) {
		return nil
	}
	var directions mat.Dense
	parts.VTo(&directions)
	made.basis = mat.DenseCopyOf(directions.Slice(0, width, 0, min(latentDimensions, width)))
	made.latentBound = make([]float64, min(latentDimensions, width))
	for _, vector := range vectors {
		var hidden mat.VecDense
		hidden.MulVec(made.basis.T(), mat.NewVecDense(width, made.normalise(vector)))
		for part := range made.latentBound {
			made.latentBound[part] = math.Max(made.latentBound[part], math.Abs(hidden.AtVec(part)))
		}
	}
	misses := make([]float64, len(vectors))
	for index, vector := range vectors {
		misses[index], _ = made.reconstruct(vector)
	}
	made.errorMean, made.errorDeviation = stat.MeanStdDev(misses, nil)
	return made
}

func (p *Profile) normalise(vector []float64) []float64 {
	normal := make([]float64, len(vector))
	for metric, value := range vector {
		normal[metric] = (value - p.mean[metric]) / p.deviation[metric]
	}
	return normal
}

// reconstruct gives how far the vector is from what the profile makes of it,
// and the mean difference between the two.
func (p *Profile) reconstruct(vector []float64) (float64, float64) {
	input := mat.NewVecDense(len(vector), p.normalise(vector))
	var hidden, output mat.VecDense
	hidden.MulVec(p.basis.T(), input)
	for part, reach := range p.latentBound {
		hidden.SetVec(part, math.Min(reach, math.Max(-reach, hidden.AtVec(part))))
	}
	output.MulVec(p.basis, &hidden)
	miss, difference := 0.0, 0.0
	for metric := range vector {
		gap := input.AtVec(metric) - output.AtVec(metric)
		miss += gap * gap
		difference += gap / float64(len(vector))
	}
	return math.Sqrt(miss), difference
}

// Detect tells whether a vector stands out from the profile, and by the sign
// of the mean reconstruction difference, in which direction.
func (p *Profile) Detect(vector []float64) Anomaly {
	if p == nil {
		return NoAnomaly
	}
	miss, difference := p.reconstruct(vector)
	if miss <= p.errorMean+anomalyThreshold*math.Max(p.errorDeviation, 0.1*p.errorMean) {
		return NoAnomaly
	}
	if difference > 0 {
		return Overload
	}
	return Underload
}
