package scenario

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Fault is a fault of the table, with the lines of the scenario language that
// begin and end it.
type Fault struct {
	Name        string
	Begin       []string
	End         []string
	BeginRepeat []string // replaces Begin for the second occurrence; empty: Begin
}

// Faults returns the faults that the table combines. The deployment of the
// table has entries a1 and a2 with endpoints e1, e2 (booking) and v1, v2
// (valuation) in failure domain a, and b1, e3 and v3 in b.
func Faults() []Fault {
	return []Fault{
		{Name: "entry crash", Begin: []string{"crash a1"}, BeginRepeat: []string{"crash b1"}},
		{Name: "endpoint crash", Begin: []string{"crash e1", "crash v1"}},
		{Name: "log outage", Begin: []string{"platform down"}, End: []string{"platform none"}},
		{Name: "lost reply", Begin: []string{"fault e1 lose-reply", "fault v1 lose-reply", "platform lose-replies=3"},
			End: []string{"fault e1 none", "fault v1 none"}},
		{Name: "silent connection", Begin: []string{"silence e1", "silence v1", "silence a2"}},
		{Name: "pause past the lease", Begin: []string{"freeze a1"}, End: []string{"thaw a1"}},
		{Name: "partition", Begin: []string{"cut domain:a domain:b", "cut domain:a platform", "cut a1 a2"},
			End: []string{"heal domain:a domain:b", "heal domain:a platform", "heal a1 a2"}},
		{Name: "cancellation", Begin: []string{"cancel-all via=a2"}},
		{Name: "configuration change", Begin: []string{"republish"}},
	}
}

// Times of the schedule.
const (
	jobInterval       = 50 * time.Millisecond
	firstFaultDelay   = 200 * time.Millisecond
	faultInterval     = 300 * time.Millisecond // between the starts of two faults
	faultDuration     = 8 * time.Second
	recoveryTime      = 30 * time.Second
	finalReplyTimeout = 30 * time.Second
)

// jobsPerService is the number of jobs of each service in the workload.
const jobsPerService = 10

const tableServices = `
[[service]]
name = "booking"
depends_on = ["valuation"]
slots = 4
run_time = "300ms"
timeout = "3s"

[[service]]
name = "valuation"
idempotent = true
slots = 4
run_time = "300ms"
timeout = "3s"
`

func (f Fault) sameKind(other Fault) bool { return f.Name == other.Name }

func (f Fault) beginLines(repeated bool) []string {
	if repeated && len(f.BeginRepeat) > 0 {
		return f.BeginRepeat
	}
	return f.Begin
}

// RunFaults runs the workload of the table under the given faults, which begin
// faultInterval after each other. It fails the test if a guarantee is
// violated, if a job has no final reply, or if a job that is submitted after
// the end of the faults gets no complete answer.
func RunFaults(t *testing.T, faults ...Fault) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		env := newEnvironment(t, dir)
		defer env.close()
		env.deploy()
		env.runLines(append(workload(), schedule(faults)...))
		env.checkFinalReplies()
		env.checkRecovery()
		env.checkGuarantees()
	})
}

func (env *environment) deploy() {
	env.runLine("services", tableServices)
	for i, domain := range []string{"a", "a", "b"} {
		env.runLine(fmt.Sprintf("endpoint e%d domain=%s service=booking slots=4", i+1, domain), "")
		env.runLine(fmt.Sprintf("endpoint v%d domain=%s service=valuation slots=4", i+1, domain), "")
	}
	env.runLine("entry a1 domain=a", "")
	env.runLine("entry a2 domain=a", "")
	env.runLine("entry b1 domain=b", "")
	env.runLine("advance 5s", "")
	for i := range jobsPerService {
		for _, service := range tableServiceNames {
			env.runLine(fmt.Sprintf("id %s via=%s", jobName(service, i), entryFor(i)), "")
		}
	}
}

var tableServiceNames = []string{"booking", "valuation"}

func jobName(service string, i int) string { return fmt.Sprintf("%s-%d", service, i) }

// entryFor returns the entry that the balancer chooses for the i-th jobs.
func entryFor(i int) string { return []string{"a1", "a2"}[i%2] }

// timedLine is a line of the scenario language with its start time.
type timedLine struct {
	at   time.Duration
	line string
}

func workload() []timedLine {
	var lines []timedLine
	for i := range jobsPerService {
		for _, service := range tableServiceNames {
			lines = append(lines, timedLine{
				at:   time.Duration(i) * jobInterval,
				line: fmt.Sprintf("submit %s via=%s else=a2 service=%s tasks=2 run=300ms", jobName(service, i), entryFor(i), service),
			})
		}
	}
	return lines
}

func schedule(faults []Fault) []timedLine {
	var lines []timedLine
	for i, fault := range faults {
		begin := firstFaultDelay + time.Duration(i)*faultInterval
		for _, line := range fault.beginLines(slices.ContainsFunc(faults[:i], fault.sameKind)) {
			lines = append(lines, timedLine{at: begin, line: line})
		}
		for _, line := range fault.End {
			lines = append(lines, timedLine{at: begin + faultDuration, line: line})
		}
	}
	return lines
}

// runLines runs the lines at their times, then lets the system recover.
func (env *environment) runLines(lines []timedLine) {
	slices.SortStableFunc(lines, func(a, b timedLine) int { return cmp.Compare(a.at, b.at) })
	start := time.Now()
	for _, l := range lines {
		time.Sleep(l.at - time.Since(start))
		env.runLine(l.line, "")
	}
	time.Sleep(recoveryTime)
	waitIdle()
}

// checkFinalReplies asks again for every job without a final reply, and fails
// the test if a job still has none.
func (env *environment) checkFinalReplies() {
	names := slices.Sorted(maps.Keys(env.jobs))
	for _, name := range names {
		if !env.jobs[name].final() {
			env.runLine("ask "+name+" via=a2 wait=20s", "")
		}
	}
	time.Sleep(finalReplyTimeout)
	waitIdle()
	for _, name := range names {
		if j := env.jobs[name]; !j.final() {
			env.t.Errorf("%s has no final reply: %v", name, j.lastReply())
		}
	}
}

// checkRecovery submits a job of each service after the faults and fails the
// test if one is not completed.
func (env *environment) checkRecovery() {
	for _, service := range tableServiceNames {
		env.runLine(fmt.Sprintf("submit after-%s via=a2 service=%s tasks=2 run=300ms", service, service), "")
	}
	time.Sleep(finalReplyTimeout)
	waitIdle()
	for _, service := range tableServiceNames {
		j := env.jobs["after-"+service]
		if j == nil {
			env.t.Errorf("no job ID was issued after the faults")
			continue
		}
		if got := j.lastReply(); got.status != http.StatusOK {
			env.t.Errorf("a job of %s after the faults got %v", service, got)
		}
	}
}
