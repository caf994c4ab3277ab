package scale

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Variables are the sizes that a sweep can change, each with its reading.
var Variables = map[string]func(*Size, int){
	"hollow":  func(size *Size, value int) { size.Hollow = value },
	"zones":   func(size *Size, value int) { size.Zones = value },
	"regions": func(size *Size, value int) { size.Regions = value },
	"runners": func(size *Size, value int) { size.Runners = value },
	"routes":  func(size *Size, value int) { size.Routes = value },
	"tenants": func(size *Size, value int) { size.Tenants = value },
	"changes": func(size *Size, value int) { size.ChangesPerS = float64(value) },
}

// readings are how much of each variable a result stands for.
var readings = map[string]func(Result) float64{
	"hollow":  func(result Result) float64 { return float64(result.Size.Hollow) },
	"zones":   func(result Result) float64 { return float64(result.ZoneCount) },
	"regions": func(result Result) float64 { return float64(result.Size.Regions) },
	"runners": func(result Result) float64 { return float64(result.Size.Runners) },
	"routes":  func(result Result) float64 { return float64(result.Size.Routes) },
	"tenants": func(result Result) float64 { return float64(result.Size.Tenants) },
	"changes": func(result Result) float64 { return result.Size.ChangesPerS },
}

// Measures are what is fitted, in the order in which tables show it.
var Measures = []struct {
	Name string
	Read func(Result) float64
}{
	{"messages/s of a daemon", func(result Result) float64 { return result.Messages }},
	{"bytes out/s of a daemon", func(result Result) float64 { return result.BytesOut }},
	{"processor ms/s of a daemon", func(result Result) float64 { return result.ProcessorMS }},
	{"live heap KB of a daemon", func(result Result) float64 { return result.HeapKB }},
	{"processor ms/s of a controller", func(result Result) float64 { return result.ControllerMS }},
	{"memory MB of a controller", func(result Result) float64 { return result.ControllerMB }},
	{"in force after ms, 95 in 100", func(result Result) float64 { return result.ForceMostMS }},
}

// Fit is a line through results of one variable.
type Fit struct {
	Measure string
	// At is the measure at no size at all, Slope what one more adds.
	At    float64
	Slope float64
	// Residual is the root of the mean squared distance from the line, Points on
	// how many results it rests.
	Residual float64
	Points   int
	Least    float64
	Most     float64
}

// At what a size gives by the line.
//
// Example:
//
//	fmt.Println(fit.Reckon(1200))
func (fit Fit) Reckon(size float64) float64 { return fit.At + fit.Slope*size }

// Fits puts lines through the results of a sweep: ordinary least squares.
//
// Example:
//
//	fits, err := scale.Fits("runners", results)
func Fits(variable string, results []Result) ([]Fit, error) {
	read := readings[variable]
	if read == nil {
		return nil, fmt.Errorf("unknown variable %q", variable)
	}
	var sizes []float64
	for _, result := range results {
		sizes = append(sizes, read(result))
	}
	if len(results) < 3 || slices.Min(sizes) == slices.Max(sizes) {
		return nil, fmt.Errorf("a fit over %s wants three results of different sizes", variable)
	}
	var fits []Fit
	for _, measure := range Measures {
		var values []float64
		for _, result := range results {
			values = append(values, measure.Read(result))
		}
		fit := Fit{Measure: measure.Name, Points: len(values), Least: slices.Min(sizes), Most: slices.Max(sizes)}
		fit.At, fit.Slope = stat.LinearRegression(sizes, values, nil, false)
		for index := range values {
			gap := values[index] - fit.Reckon(sizes[index])
			fit.Residual += gap * gap / float64(len(values))
		}
		fit.Residual = math.Sqrt(fit.Residual)
		fits = append(fits, fit)
	}
	return fits, nil
}
