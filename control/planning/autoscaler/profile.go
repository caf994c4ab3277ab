package autoscaler

import (
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat"
)

// Anomaly is the way in which a runner deviates from its profile.
type Anomaly int

// The kinds of Anomaly.
const (
	NoAnomaly Anomaly = iota
	// Overload means that the metrics of the runner are higher than normal.
	Overload
	// Underload means that the metrics of the runner are lower than normal.
	Underload
)

const (
	// latentDimensions is the number of principal components of a profile.
	latentDimensions = 2
	// minProfileSamples is the minimum number of vectors for a profile.
	minProfileSamples = 24
	// anomalyThreshold is the number of standard deviations above the mean at which a
	// reconstruction error counts as an anomaly.
	anomalyThreshold = 6.0
	// minErrorDeviation is the lower bound of the standard deviation of the
	// reconstruction error, as a fraction of its mean.
	minErrorDeviation = 0.1
	// constantDeviation is the standard deviation below which a metric counts as
	// constant. Such a metric is scaled by its mean, but at least by minScale.
	constantDeviation = 1e-9
	minScale          = 1e-3
)

// Profile models the normal metrics of a service's runners: the mean and standard
// deviation of each metric, and the principal components along which the metrics vary
// together. It is a linear autoencoder in place of the one in the paper: the latent
// variables are clamped to the range that they have in the normal vectors, as the prior
// constrains them in the paper. An overloaded runner is therefore reconstructed as a
// normal one, and the sign of the difference distinguishes an overload from an
// underload. A Profile is immutable; a nil Profile detects no anomalies.
type Profile struct {
	mean      []float64
	deviation []float64
	// basis has a principal component in each column.
	basis *mat.Dense
	// latentBound is the largest absolute value of each latent variable.
	latentBound []float64
	// errorMean and errorDeviation are the mean and the standard deviation of the
	// reconstruction error.
	errorMean      float64
	errorDeviation float64
}

// FitProfile fits a profile to normal metric vectors, which must have the same length.
// It returns nil if there are too few vectors, or if the singular value decomposition
// fails.
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

// fitScale fits the mean and the standard deviation of each metric.
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

// fitBasis fits the principal components and the bounds of the latent variables. It
// returns false if the singular value decomposition fails.
func (p *Profile) fitBasis(vectors [][]float64) bool {
	width := len(p.mean)
	dimensions := min(latentDimensions, width)
	matrix := mat.NewDense(len(vectors), width, nil)
	for index, vector := range vectors {
		matrix.SetRow(index, p.normalize(vector))
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
		latent := p.encode(mat.NewVecDense(width, p.normalize(vector)))
		for dimension := range p.latentBound {
			p.latentBound[dimension] = math.Max(p.latentBound[dimension], math.Abs(latent.AtVec(dimension)))
		}
	}
	return true
}

func (p *Profile) normalize(vector []float64) []float64 {
	normalized := make([]float64, len(vector))
	for metric, value := range vector {
		normalized[metric] = (value - p.mean[metric]) / p.deviation[metric]
	}
	return normalized
}

// encode returns the latent variables of a normalized vector.
func (p *Profile) encode(input *mat.VecDense) *mat.VecDense {
	var latent mat.VecDense
	latent.MulVec(p.basis.T(), input)
	return &latent
}

// reconstruct returns the Euclidean distance of the normalized vector from its
// reconstruction, and the mean difference between the two.
func (p *Profile) reconstruct(vector []float64) (distance float64, meanDifference float64) {
	input := mat.NewVecDense(len(vector), p.normalize(vector))
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
