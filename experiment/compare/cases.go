package compare

import (
	"lovagespread.example/dispatch"
	"lovagespread.example/dispatch/urgency"
)

func overload(load float64) func() *Scenario {
	return func() *Scenario { return Overload(load) }
}

// goodputLoads are the offered loads of the goodput curve. The last one is the
// overload, whose goodput is compared with the peak.
var goodputLoads = []float64{0.9, 1.1, 2}

func standardCases() []Case {
	var cases []Case
	for _, policy := range []Policy{Inferred(), GlobalFIFO(), ServiceFIFO(), ShortestDeclared(), Random(), TwoChoices()} {
		cases = append(cases, Case{Load80, policy})
	}
	for _, policy := range []Policy{Inferred(), Oracle(), GlobalFIFO(), ServiceFIFO(), ShortestDeclared()} {
		cases = append(cases, Case{Burst, policy})
	}
	for _, load := range goodputLoads {
		cases = append(cases, Case{overload(load), Inferred()})
	}
	return append(cases,
		Case{overload(2), ServiceFIFO()},
		Case{Metastable, Inferred()},
		Case{FalseDeclarations, Inferred()}, Case{FalseDeclarations, ShortestDeclared()},
		Case{FloodBase, Inferred()}, Case{Flood, Inferred()},
		Case{Cancellations, Inferred()},
		Case{Entries3, Inferred()},
		Case{Faults, Inferred()}, Case{Faults, ServiceFIFO()},
	)
}

func ablationCases() []Case {
	var cases []Case
	add := func(scenario func() *Scenario, policies ...Policy) {
		cases = append(cases, Case{scenario, Inferred()})
		for _, policy := range policies {
			cases = append(cases, Case{scenario, policy})
		}
	}
	noLearning := Without("learning", dispatch.Learning)
	noEjection := Without("ejection", dispatch.Ejection)
	noHedging := Without("hedging", dispatch.Hedging)
	noFairShare := Without("fair_share", dispatch.FairShare)
	noAdmission := Without("admission", dispatch.Admission)
	arrival := WithOrder("arrival_order", urgency.FIFO{})
	add(Load80, arrival, noHedging, noFairShare)
	add(Burst, arrival, noLearning, noFairShare, noAdmission, WithOrder("stretch_4", urgency.Stretch{Factor: 4}), WithOrder("stretch_32", urgency.Stretch{Factor: 32}))
	add(FalseDeclarations, noLearning)
	add(Flood, noFairShare)
	add(overload(2), noAdmission)
	add(Metastable, noAdmission)
	add(Stragglers, noEjection, noHedging)
	add(BlackHoles, noEjection)
	add(RackLoss, noEjection, noHedging)
	add(Entries3)
	add(Overlapping)
	return cases
}
