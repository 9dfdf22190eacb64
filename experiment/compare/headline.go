package compare

import "github.com/samber/lo"

// Headline holds the measures that have a target.
type Headline struct {
	SlowdownP99Load80 float64 `json:"slowdown_p99_load80"`
	BurstP99VsFIFO    float64 `json:"burst_p99_vs_fifo"`
	BurstP99VsOracle  float64 `json:"burst_p99_vs_oracle"`
	WasteNoFaults     float64 `json:"waste_no_faults"`
	WasteFaults       float64 `json:"waste_faults"`
	Goodput200        float64 `json:"goodput_200"`
	FloodP99Increase  float64 `json:"flood_p99_increase"`
}

// headline computes the measures with a target from the means over the seeds.
// It returns nil if a required row is missing.
func headline(rows []Row) *Headline {
	complete := true
	row := func(scenario, policy string) Row {
		found, ok := lo.Find(rows, func(r Row) bool { return r.Scenario == scenario && r.Policy == policy })
		complete = complete && ok
		return found
	}
	inferred := Inferred().Name
	p99 := func(scenario, policy string) float64 { return row(scenario, policy).Services[allServices].P99.Mean }
	h := &Headline{
		SlowdownP99Load80: p99(Load80().Name, inferred),
		BurstP99VsFIFO:    p99(Burst().Name, inferred) / p99(Burst().Name, GlobalFIFO().Name),
		BurstP99VsOracle:  p99(Burst().Name, inferred) / p99(Burst().Name, Oracle().Name),
		WasteNoFaults:     row(Load80().Name, inferred).Waste.Mean,
		WasteFaults:       row(Faults().Name, inferred).Waste.Mean,
		FloodP99Increase:  floodIncrease(row(Flood().Name, inferred), row(FloodBase().Name, inferred)),
	}
	peak := 0.0
	for _, load := range goodputLoads {
		goodput := row(Overload(load).Name, inferred).Goodput.Mean
		peak = max(peak, goodput)
		h.Goodput200 = goodput / peak // the last load is 200%
	}
	if !complete {
		return nil
	}
	return h
}

// floodIncrease returns the relative increase that the flood causes in the p99
// of the other teams.
func floodIncrease(flood, base Row) float64 {
	if base.WellBehaved.P99.Mean == 0 {
		return 0
	}
	return flood.WellBehaved.P99.Mean/base.WellBehaved.P99.Mean - 1
}
