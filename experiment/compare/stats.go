package compare

import "math"

// Figure is the mean and spread of a measure over several seeds.
type Figure struct {
	Mean   float64 `json:"mean"`
	StdDev float64 `json:"spread"` // standard deviation between seeds
}

func figure(values []float64) Figure {
	var sum, square float64
	for _, v := range values {
		sum += v
	}
	mean := sum / float64(len(values))
	for _, v := range values {
		square += (v - mean) * (v - mean)
	}
	if len(values) < 2 {
		return Figure{Mean: mean}
	}
	return Figure{Mean: mean, StdDev: math.Sqrt(square / float64(len(values)-1))}
}
