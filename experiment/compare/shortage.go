package compare

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"golang.org/x/sync/errgroup"

	"lovagespread.example/dispatch/leased"
)

// ShortageSet compares policies of leased endpoints under a lasting shortage.
const ShortageSet Set = "shortage"

// shortageDemands are the demands as multiples of the capacity.
var shortageDemands = []float64{1.1, 1.5, 2, 3}

// shortagePolicies are the policies that are compared.
var shortagePolicies = []leased.Policy{
	leased.WithAdmission, leased.WithoutAdmission, leased.ArrivalOrder, leased.EarliestDue, leased.EarliestStart, leased.NewestFirstOrder,
}

// ShortageRow is the mean result of one policy at one demand.
type ShortageRow struct {
	Demand       float64 // ÷ capacity
	Policy       string
	Kept         float64            // share of the value of all jobs that was kept
	Bound        float64            // share that the offline bound keeps
	KeptByQueue  map[string]float64 // kept share of each queue's value
	LargestTenth float64            // kept share of the value of the largest tenth of each queue's jobs
	Used         float64            // share of the capacity that the started runs use
	Rejected     float64            // share of the jobs
	Unanswered   float64            // share of the jobs whose callers timed out
	MedianWait   time.Duration      // of rejected callers, mean over the seeds
}

// LossRatio returns the lost value ÷ the value that the bound loses.
func (r *ShortageRow) LossRatio() float64 { return (1 - r.Kept) / (1 - r.Bound) }

// Shortages simulates all demands and policies with the seeds from 1 to the given
// number. It runs up to parallel simulations at the same time.
func Shortages(seeds, parallel int) []ShortageRow {
	rows := make([]ShortageRow, len(shortageDemands)*len(shortagePolicies))
	var group errgroup.Group
	var mutex sync.Mutex // of the rows
	group.SetLimit(parallel)
	for d, demand := range shortageDemands {
		for seed := range seeds {
			group.Go(func() error {
				jobs := shortageJobs(rand.New(rand.NewPCG(uint64(seed+1), 1)), demand)
				bound := offlineBound(jobs) / totalValue(jobs)
				for p, policy := range shortagePolicies {
					one := runShortage(policy, jobs)
					mutex.Lock()
					row := &rows[d*len(shortagePolicies)+p]
					row.Demand, row.Policy = demand, policy.String()
					row.Bound += bound / float64(seeds)
					row.add(&one, 1/float64(seeds))
					mutex.Unlock()
				}
				return nil
			})
		}
	}
	_ = group.Wait() // no run fails
	return rows
}

func (r *ShortageRow) add(o *ShortageRow, weight float64) {
	r.Kept += weight * o.Kept
	r.LargestTenth += weight * o.LargestTenth
	r.Used += weight * o.Used
	r.Rejected += weight * o.Rejected
	r.Unanswered += weight * o.Unanswered
	r.MedianWait += time.Duration(weight * float64(o.MedianWait))
	if r.KeptByQueue == nil {
		r.KeptByQueue = make(map[string]float64)
	}
	for queue, kept := range o.KeptByQueue {
		r.KeptByQueue[queue] += weight * kept
	}
}

func totalValue(jobs []shortageJob) (sum float64) {
	for i := range jobs {
		sum += jobs[i].value
	}
	return sum
}

// warmUpShortage is the time in which the holder takes its endpoints over.
const warmUpShortage = 100 * time.Millisecond

// runShortage simulates a holder with the given policy that gets the jobs.
func runShortage(policy leased.Policy, jobs []shortageJob) ShortageRow {
	s := newShortageSim(policy)
	for i := range jobs {
		s.at(warmUpShortage+jobs[i].arrival, func() { s.submit(leased.Ticket(i+1), &jobs[i]) })
	}
	s.runUntil(warmUpShortage + shortageTime)
	used := s.busy / shortageCores / shortageTime.Seconds()
	s.runUntil(s.now + 3*time.Second)
	row := s.measure(jobs)
	row.Used = used
	return row
}

// measure computes the kept value, the outcomes of the jobs and the waits.
func (s *shortageSim) measure(jobs []shortageJob) ShortageRow {
	row := ShortageRow{KeptByQueue: make(map[string]float64)}
	kept := make(map[leased.JobID]float64)
	var waits []time.Duration
	for i := range jobs {
		j := &jobs[i]
		a, answered := s.answers[j.id]
		took := s.answeredAt[j.id] - j.arrival - warmUpShortage
		switch {
		case answered && a.Verdict == leased.Completed:
			kept[j.id] = j.keeps(took)
		case answered && a.Verdict == leased.Rejected:
			waits = append(waits, took)
		default:
			row.Unanswered += 1 / float64(len(jobs))
		}
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		row.MedianWait = waits[len(waits)/2]
	}
	row.Rejected = float64(len(waits)) / float64(len(jobs))
	row.Kept = keptShare(jobs, kept)
	var largest []shortageJob
	for i := range shortageQueues {
		ofQueue := slices.DeleteFunc(slices.Clone(jobs), func(j shortageJob) bool { return j.queue != &shortageQueues[i] })
		row.KeptByQueue[shortageQueues[i].name] = keptShare(ofQueue, kept)
		slices.SortFunc(ofQueue, func(a, b shortageJob) int { return b.tasks - a.tasks })
		largest = append(largest, ofQueue[:len(ofQueue)/10]...)
	}
	row.LargestTenth = keptShare(largest, kept)
	return row
}

// keptShare returns the share of the value of the jobs that was kept.
func keptShare(jobs []shortageJob, kept map[leased.JobID]float64) float64 {
	var sum float64
	for i := range jobs {
		sum += jobs[i].value * kept[jobs[i].id]
	}
	return sum / totalValue(jobs)
}

// WriteShortageTable writes the rows as a table.
func WriteShortageTable(out io.Writer, rows []ShortageRow) {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "demand\tpolicy\tkept\tbound\tlost / bound's\tcheck\tnumber\tpickup\tlargest tenth\tused\trejected\tmedian wait\ttimed out")
	for i := range rows {
		r := &rows[i]
		fmt.Fprintf(w, "%.0f%%\t%s\t%.3f\t%.3f\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d ms\t%.3f\n", 100*r.Demand, r.Policy, r.Kept, r.Bound, r.LossRatio(),
			r.KeptByQueue["check"], r.KeptByQueue["number"], r.KeptByQueue["pickup"], r.LargestTenth, r.Used, r.Rejected, r.MedianWait.Milliseconds(), r.Unanswered)
	}
	w.Flush()
}
