package autoscaler

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Anomaly is how a runner differs from what is normal.
type Anomaly int

// The anomalies.
const (
	NoAnomaly Anomaly = iota
	// Overload is a runner that does more than normal.
	Overload
	// Underload is a runner that does less than normal.
	Underload
)

const (
	// latentDimensions is the number of principal components of a profile.
	latentDimensions = 2
	// minProfileSamples is the number of vectors that a profile needs.
	minProfileSamples = 24
	// anomalyThreshold is by how many deviations the reconstruction error of an
	// anomaly exceeds the mean.
	anomalyThreshold = 6.0
	// minErrorDeviation bounds the deviation of the reconstruction error from
	// below, as a fraction of the mean.
	minErrorDeviation = 0.1
	// constantDeviation is the deviation below which a metric counts as constant;
	// minScale bounds what it is then scaled by.
	constantDeviation = 1e-9
	minScale          = 1e-3
)

// Profile is what is normal for the runners of a service: the mean and deviation
// of each metric, and the principal components in which the metrics move
// together. It is a linear auto-encoder in the place of the paper's: the latent
// variables are held to the range that they had in the normal vectors, as the
// paper's prior holds them. So an overloaded runner is reconstructed as a normal
// one, and the sign of the difference tells an overload from an underload. A
// Profile is immutable; a nil one finds no anomalies.
type Profile struct {
	mean      []float64
	deviation []float64
	// basis has a principal component in each column.
	basis *mat.Dense
	// latentBound is the largest absolute value of each latent variable.
	latentBound []float64
	// errorMean and errorDeviation are those of the reconstruction error.
	errorMean      float64
	errorDeviation float64
}

// FitProfile returns the profile of normal metric vectors, which are equally
// long. It returns nil if there are too few, or if they have no principal
// components.
func FitProfile(vectors [][]float64) *Profile {
	if len(vectors) < minProfileSamples {
		return nil
	}
	profile := &Profile{}
	profile.fitScale(vectors)
	if !profile.fitBasis(vectors) {
		return nil
	}
	reconstructionErrors := make([]float64, len(vectors))
	for index, vector := range vectors {
		reconstructionErrors[index], _ = profile.reconstruct(vector)
	}
	profile.errorMean, profile.errorDeviation = stat.MeanStdDev(reconstructionErrors, nil)
	return profile
}

// fitScale fits the mean and the deviation of each metric.
func (p *Profile) fitScale(vectors [][]float64) {
	width := len(vectors[0])
	p.mean, p.deviation = make([]float64, width), make([]float64, width)
	column := make([]float64, len(vectors))
	for metric := range width {
		for index, vector := range vectors {
			column[index] = vector[metric]
		}
		p.mean[metric], p.deviation[metric] = stat.MeanStdDev(column, nil)
		if p.deviation[metric] < constantDeviation {
			p.deviation[metric] = math.Max(minScale, math.Abs(p.mean[metric]))
		}
	}
}

// fitBasis fits the principal components and the range of the latent variables.
func (p *Profile) fitBasis(vectors [][]float64) bool {
	width := len(p.mean)
	dimensions := min(latentDimensions, width)
	matrix := mat.NewDense(len(vectors), width, nil)
	for index, vector := range vectors {
		matrix.SetRow(index, p.normalise(vector))
	}
	var svd mat.SVD
	if !svd.Factorize(matrix, mat.SVDThin) {
		return false
	}
	var components mat.Dense
	svd.VTo(&components)
	p.basis = mat.DenseCopyOf(components.Slice(0, width, 0, dimensions))
	p.latentBound = make([]float64, dimensions)
	for _, vector := range vectors {
		latent := p.encode(mat.NewVecDense(width, p.normalise(vector)))
		for dimension := range p.latentBound {
			p.latentBound[dimension] = math.Max(p.latentBound[dimension], math.Abs(latent.AtVec(dimension)))
		}
	}
	return true
}

func (p *Profile) normalise(vector []float64) []float64 {
	normalised := make([]float64, len(vector))
	for metric, value := range vector {
		normalised[metric] = (value - p.mean[metric]) / p.deviation[metric]
	}
	return normalised
}

// encode returns the latent variables of a normalised vector.
func (p *Profile) encode(input *mat.VecDense) *mat.VecDense {
	var latent mat.VecDense
	latent.MulVec(p.basis.T(), input)
	return &latent
}

// reconstruct returns the Euclidean distance of the normalised vector from its
// reconstruction, and the mean difference between the two.
func (p *Profile) reconstruct(vector []float64) (distance float64, meanDifference float64) {
	input := mat.NewVecDense(len(vector), p.normalise(vector))
	latent := p.encode(input)
	for dimension, bound := range p.latentBound {
		latent.SetVec(dimension, math.Min(bound, math.Max(-bound, latent.AtVec(dimension))))
	}
	var output mat.VecDense
	output.MulVec(p.basis, latent)
	sumSquares := 0.0
	for metric := range vector {
		difference := input.AtVec(metric) - output.AtVec(metric)
		sumSquares += difference * difference
		meanDifference += difference / float64(len(vector))
	}
	return math.Sqrt(sumSquares), meanDifference
}

// Detect classifies a metric vector by its reconstruction error, and by the sign
// of the mean difference from the reconstruction.
func (p *Profile) Detect(vector []float64) Anomaly {
	if p == nil {
		return NoAnomaly
	}
	distance, meanDifference := p.reconstruct(vector)
	if distance <= p.errorMean+anomalyThreshold*math.Max(p.errorDeviation, minErrorDeviation*p.errorMean) {
		return NoAnomaly
	}
	if meanDifference > 0 {
		return Overload
	}
	return Underload
}
