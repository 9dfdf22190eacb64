package compare

import (
	"math"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// plottedQuantiles are the quantiles that each curve shows.
var plottedQuantiles = []float64{0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.998, 0.999}

// Plot draws response ÷ ideal by quantile, with one curve for each policy of a
// scenario. The extension of the file, for example .png, selects its format.
func (r *Report) Plot(scenario, file string) error {
	p := plot.New()
	p.Title.Text = "Response ÷ ideal, scenario " + scenario
	p.X.Label.Text = "quantile"
	p.X.Tick.Marker = plot.ConstantTicks{{Value: nines(0.5), Label: "p50"}, {Value: nines(0.9), Label: "p90"},
		{Value: nines(0.99), Label: "p99"}, {Value: nines(0.999), Label: "p99.9"}}
	p.Y.Label.Text = "response ÷ ideal"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.ConstantTicks{{Value: 1, Label: "1"}, {Value: 2, Label: "2"}, {Value: 5, Label: "5"},
		{Value: 10, Label: "10"}, {Value: 20, Label: "20"}, {Value: 50, Label: "50"}, {Value: 100, Label: "100"}}
	p.Legend.Top, p.Legend.Left = true, true
	var curves []any
	for i := range r.Rows {
		if row := &r.Rows[i]; row.Scenario == scenario {
			curves = append(curves, row.Policy, row.curve())
		}
	}
	if len(curves) == 0 {
		return &NoRowsError{Scenario: scenario}
	}
	if err := plotutil.AddLinePoints(p, curves...); err != nil {
		return errors.Wrap(err, "draw the curves")
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrap(err, "write the plot")
	}
	return nil
}

// nines returns the position of a quantile on the axis: 1 for 0.9, 2 for 0.99.
func nines(quantile float64) float64 { return -math.Log10(1 - quantile) }

// curve returns the means over the seeds as points of a curve.
func (r *Row) curve() plotter.XYs {
	points := make(plotter.XYs, len(plottedQuantiles))
	for i, q := range plottedQuantiles {
		points[i].X = nines(q)
		points[i].Y = aggregate(r.runs, func(run *Results) float64 { return run.All.Slowdown(q) }).Mean
	}
	return points
}

// NoRowsError reports that the scenario to plot was not run.
type NoRowsError struct{ Scenario string }

func (e *NoRowsError) Error() string {
	return "scenario " + e.Scenario + " was not run: choose one that -only selects"
}
