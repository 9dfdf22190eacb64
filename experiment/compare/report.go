package compare

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
)

// Row holds the results of one policy in one scenario over all seeds.
type Row struct {
	Scenario     string                `json:"scenario"`
	Policy       string                `json:"policy"`
	Services     map[string]ServiceRow `json:"services"` // "all" holds every service
	WellBehaved  ServiceRow            `json:"honest"`   // teams that neither flood nor misdeclare run times
	Misdeclaring ServiceRow            `json:"liars"`    // teams that misdeclare run times
	Waste        Figure                `json:"waste"`    // extra messages per task sent
	Messages     map[string]Figure     `json:"messages"` // per task sent, by kind
	Goodput      Figure                `json:"goodput"`  // share of the slots' capacity
	DoubleStarts int                   `json:"double_starts"`
	Unanswered   int                   `json:"without_answer"`
	runs         []*Results
}

// ServiceRow holds quantiles of response ÷ ideal and shares of jobs.
type ServiceRow struct {
	P50     Figure `json:"p50"`
	P99     Figure `json:"p99"`
	P999    Figure `json:"p999"`
	InTime  Figure `json:"in_time"`
	Failed  Figure `json:"failed"`
	Refused Figure `json:"refused"`
}

// allServices is the key of Row.Services for all services together.
const allServices = "all"

// Case is one scenario under one policy.
type Case struct {
	Scenario func() *Scenario
	Policy   Policy
}

// Measure runs every case with every seed, with at most parallel runs at a
// time.
func Measure(cases []Case, seeds []uint64, parallel int) ([]Row, error) {
	runs := make([][]*Results, len(cases))
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, c := range cases {
		runs[i] = make([]*Results, len(seeds))
		for k, seed := range seeds {
			group.Go(func() error {
				r := Run(c.Scenario(), c.Policy, seed)
				mu.Lock()
				defer mu.Unlock()
				runs[i][k] = r
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	rows := make([]Row, len(cases))
	for i, c := range cases {
		rows[i] = summarise(c, runs[i])
	}
	return rows, nil
}

func summarise(c Case, runs []*Results) Row {
	scenario := c.Scenario()
	row := Row{
		Scenario:     scenario.Name,
		Policy:       c.Policy.Name,
		Services:     map[string]ServiceRow{allServices: serviceRow(runs, func(r *Results) *ServiceResult { return r.All })},
		WellBehaved:  serviceRow(runs, func(r *Results) *ServiceResult { return r.WellBehaved }),
		Misdeclaring: serviceRow(runs, func(r *Results) *ServiceResult { return r.Misdeclaring }),
		Waste:        aggregate(runs, (*Results).Waste),
		Messages:     make(map[string]Figure),
		Goodput:      aggregate(runs, func(r *Results) float64 { return r.goodput(scenario) }),
		DoubleStarts: lo.SumBy(runs, func(r *Results) int { return r.DoubleStarts }),
		Unanswered:   lo.SumBy(runs, func(r *Results) int { return r.Unanswered }),
		runs:         runs,
	}
	for _, profile := range scenario.profiles {
		name := profile.service.Name
		row.Services[name] = serviceRow(runs, func(r *Results) *ServiceResult { return serviceResult(r.Services, name) })
	}
	for kind, name := range messageNames {
		row.Messages[name] = aggregate(runs, func(r *Results) float64 {
			return float64(r.Messages[kind]) / float64(max(r.Messages[messageTask], 1))
		})
	}
	return row
}

// goodput returns the work that was completed in time as a share of the
// capacity of the slots in the measured time.
func (r *Results) goodput(s *Scenario) float64 {
	capacity := (s.Duration - warmUp).Seconds() * executors * slots * float64(len(s.profiles))
	return r.InTimeWork.Seconds() / capacity
}

func aggregate(runs []*Results, f func(*Results) float64) Figure {
	return figure(lo.Map(runs, func(r *Results, _ int) float64 { return f(r) }))
}

func serviceRow(runs []*Results, pick func(*Results) *ServiceResult) ServiceRow {
	quantile := func(q float64) Figure {
		return aggregate(runs, func(r *Results) float64 { return pick(r).Slowdown(q) })
	}
	share := func(count func(*ServiceResult) int) Figure {
		return aggregate(runs, func(r *Results) float64 {
			s := pick(r)
			return float64(count(s)) / float64(max(s.Complete+s.Failed+s.Refused, 1))
		})
	}
	return ServiceRow{
		P50: quantile(0.5), P99: quantile(0.99), P999: quantile(0.999),
		InTime:  share(func(s *ServiceResult) int { return s.InTime }),
		Failed:  share(func(s *ServiceResult) int { return s.Failed }),
		Refused: share(func(s *ServiceResult) int { return s.Refused }),
	}
}

// WriteTable prints the rows as a table.
func WriteTable(w io.Writer, rows []Row) {
	scenario := ""
	for _, row := range rows {
		if row.Scenario != scenario {
			scenario = row.Scenario
			fmt.Fprintf(w, "\n"+tableFormat, "scenario", "policy", "service", "p50", "p99", "p99.9", "in time", "failed", "refused")
		}
		row.write(w)
	}
}

const tableFormat = "%-14s %-18s %-10s %14s %14s %14s %8s %8s %8s\n"

func (r *Row) write(w io.Writer) {
	names := lo.Keys(r.Services)
	slices.Sort(names)
	for _, name := range names {
		r.writeLine(w, name, r.Services[name])
	}
	switch r.Scenario {
	case Flood().Name, FloodBase().Name:
		r.writeLine(w, "others", r.WellBehaved)
	case FalseDeclarations().Name:
		r.writeLine(w, "honest", r.WellBehaved)
		r.writeLine(w, "liars", r.Misdeclaring)
	case Metastable().Name:
		fmt.Fprintf(w, "%-14s %-18s in time by second of arrival:%s\n", r.Scenario, r.Policy, inTimeBySecond(r.runs))
	}
	fmt.Fprintf(w, "%-14s %-18s waste %.4f ±%.4f  goodput %.4f ±%.4f  double starts %d  without answer %d\n",
		r.Scenario, r.Policy, r.Waste.Mean, r.Waste.StdDev, r.Goodput.Mean, r.Goodput.StdDev, r.DoubleStarts, r.Unanswered)
}

func (r *Row) writeLine(w io.Writer, name string, s ServiceRow) {
	fmt.Fprintf(w, tableFormat, r.Scenario, r.Policy, name, text(s.P50), text(s.P99), text(s.P999),
		percent(s.InTime), percent(s.Failed), percent(s.Refused))
}

// inTimeBySecond formats the share of jobs that were completed in time, for
// each second of arrival after the warm-up, over all runs.
func inTimeBySecond(runs []*Results) string {
	var out strings.Builder
	for i := int(warmUp / time.Second); i < len(runs[0].InTimeByArrival); i++ {
		inTime := lo.SumBy(runs, func(r *Results) int { return r.arrivalsIn(time.Duration(i) * time.Second).inTime })
		all := lo.SumBy(runs, func(r *Results) int { return r.arrivalsIn(time.Duration(i) * time.Second).all })
		fmt.Fprintf(&out, " %d:%.0f%%", i, 100*float64(inTime)/float64(max(all, 1)))
	}
	return out.String()
}

func text(f Figure) string { return fmt.Sprintf("%.3f ±%.3f", f.Mean, f.StdDev) }

func percent(f Figure) string { return fmt.Sprintf("%.2f%%", 100*f.Mean) }
