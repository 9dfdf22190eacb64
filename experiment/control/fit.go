package control

import (
	"github.com/go-faster/errors"
	"gonum.org/v1/gonum/stat"
)

// Line is a least-squares line: value = Intercept + Slope · size.
type Line struct {
	Intercept float64 `json:"base"`
	Slope     float64 `json:"slope"`
	R2        float64 `json:"r2"`
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Fits holds the line of each cost against one size.
type Fits struct {
	Against       string `json:"against"`
	Sizes         int    `json:"sizes"` // number of different sizes
	CPUPercent    Line   `json:"cpu_percent"`
	MemoryMiB     Line   `json:"memory_mib"`
	PeerBytes     Line   `json:"peer_bytes_s"`
	PlatformBytes Line   `json:"platform_bytes_s"`
	Heartbeats    Line   `json:"heartbeats_s"`
}

// Sizes that samples can be fitted against.
const (
	AgainstEntries   = "entries"
	AgainstEndpoints = "endpoints"
	AgainstChanges   = "changes_per_day"
)

// UnknownSizeError reports a size that is no field of samples.
type UnknownSizeError struct{ Name string }

func (e *UnknownSizeError) Error() string {
	return "samples have no size " + e.Name + ": use entries, endpoints or changes_per_day"
}

// minSizes is the minimum number of different sizes for a meaningful slope.
const minSizes = 4

// Fit returns the lines of the samples against a size. It requires samples of
// at least four different sizes.
func Fit(samples []Sample, against string) (Fits, error) {
	size, err := sizeOf(against)
	if err != nil {
		return Fits{}, err
	}
	xs := make([]float64, len(samples))
	sizes := make(map[float64]bool)
	for i, s := range samples {
		xs[i] = size(s)
		sizes[xs[i]] = true
	}
	if len(sizes) < minSizes {
		return Fits{}, errors.Errorf("samples of %d different %s: measure at %d or more", len(sizes), against, minSizes)
	}
	line := func(value func(Sample) float64) Line { return fitLine(xs, samples, value) }
	return Fits{
		Against:       against,
		Sizes:         len(sizes),
		CPUPercent:    line(func(s Sample) float64 { return s.CPUPercent }),
		MemoryMiB:     line(func(s Sample) float64 { return s.MemoryMiB }),
		PeerBytes:     line(func(s Sample) float64 { return s.PeerBytes }),
		PlatformBytes: line(func(s Sample) float64 { return s.PlatformBytes }),
		Heartbeats:    line(func(s Sample) float64 { return s.Heartbeats }),
	}, nil
}

func fitLine(xs []float64, samples []Sample, value func(Sample) float64) Line {
	ys := make([]float64, len(samples))
	for i, s := range samples {
		ys[i] = value(s)
	}
	base, slope := stat.LinearRegression(xs, ys, nil, false)
	r2 := stat.RSquared(xs, ys, nil, base, slope)
	if r2 != r2 { // NaN: all values are equal
		r2 = 1
	}
	return Line{Intercept: base, Slope: slope, R2: r2}
}

func sizeOf(against string) (func(Sample) float64, error) {
	switch against {
	case AgainstEntries:
		return func(s Sample) float64 { return float64(s.Entries) }, nil
	case AgainstEndpoints:
		return func(s Sample) float64 { return float64(s.Endpoints) }, nil
	case AgainstChanges:
		return func(s Sample) float64 { return s.ChangesPerDay }, nil
	}
	return nil, &UnknownSizeError{Name: against}
}
