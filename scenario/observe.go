package scenario

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/standin/fakeendpoint"
)

// advance lets virtual time pass.
func advance(_ *environment, a *args) string {
	time.Sleep(a.parseDuration(a.word("a duration")))
	waitIdle()
	return ""
}

// await lets time pass until every call of a job has its reply, and prints the
// last reply. It fails the scenario if that takes longer than within=.
func await(env *environment, a *args) string {
	j := env.job(a, a.word("the job"))
	limit := time.After(a.duration("within", 10*time.Second))
	for _, c := range j.calls {
		select {
		case <-c.done:
		case <-limit:
			a.fail("%s received no reply to %s via %s in time", j.name, c.method, c.via)
		}
	}
	if len(j.calls) == 0 {
		a.fail("no request about %s was sent", j.name)
	}
	return j.calls[len(j.calls)-1].reply.String()
}

// replies prints the replies to the calls of a job so far.
func replies(env *environment, a *args) string {
	j := env.job(a, a.word("the job"))
	var lines []string
	for _, c := range j.calls {
		text := "waiting"
		if c.finished() {
			text = c.reply.String()
		}
		lines = append(lines, fmt.Sprintf("%s via %s: %s", c.method, c.via, text))
	}
	return strings.Join(lines, "\n")
}

// starts prints how many tasks of a job were started at endpoints, and the
// largest number of starts of one task.
func starts(env *environment, a *args) string {
	j := env.job(a, a.word("the job"))
	tasks, maxStarts := 0, 0
	for i := range j.tasks {
		n := env.startCount(j.name, i)
		if n > 0 {
			tasks++
		}
		maxStarts = max(maxStarts, n)
	}
	return outputf("%d of %d tasks started, at most %d times", tasks, j.tasks, maxStarts)
}

func (env *environment) startCount(request string, task int) int {
	return env.starts.CountByRequest(fakeendpoint.TaskKey{Job: request, Index: task})
}

// messages prints the counts of messages at an endpoint.
func messages(env *environment, a *args) string {
	m := env.endpoint(a, a.word("an endpoint")).Messages()
	return outputf("tasks=%d refusals=%d failures=%d stops=%d", m.Tasks, m.Refusals, m.Failures, m.Stops)
}

// logFlushWait is longer than the flush interval of the entries' log.
const logFlushWait = time.Second

// logLines prints whether a line of an entry's log contains all texts of
// holds=. It first lets logFlushWait pass, so that buffered lines are written.
func logLines(env *environment, a *args) string {
	e := env.entry(a, a.word("an entry"))
	time.Sleep(logFlushWait)
	text, err := os.ReadFile(e.logFile)
	if err != nil {
		a.fail("%v", err)
	}
	texts := strings.Split(a.text("holds", ""), ",")
	for line := range bytes.Lines(text) {
		if !slices.ContainsFunc(texts, func(wanted string) bool { return !bytes.Contains(line, []byte(wanted)) }) {
			return outputf("found")
		}
	}
	return outputf("not found")
}

// readiness prints the status of an entry's /readyz, which tells whether the
// entry accepts new jobs.
func readiness(env *environment, a *args) string {
	e := env.entry(a, a.word("an entry"))
	ctx, cancel := env.contextWithTimeout(idTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.callerAddress()+"/readyz", nil)
	if err != nil {
		a.fail("%v", err)
	}
	response, err := env.caller.Do(req)
	if err != nil {
		return outputf("unreachable")
	}
	_ = response.Body.Close()
	return outputf("%d", response.StatusCode)
}

// configuration prints the version in force at each entry.
func configuration(env *environment, a *args) string {
	var lines []string
	for _, name := range env.hosts {
		if e := env.entries[name]; e != nil {
			lines = append(lines, fmt.Sprintf("%s: version %d", name, e.ConfigurationVersion()))
		}
	}
	return strings.Join(lines, "\n")
}

// awaitStop waits until an entry has stopped, for stopTimeout at most.
func (env *environment) awaitStop(e *entryHost) string {
	select {
	case <-e.done:
	case <-time.After(stopTimeout):
		return outputf("still running after %v", stopTimeout)
	}
	env.updateVMList()
	if e.err != nil {
		return outputf("stopped: %v", e.err)
	}
	return outputf("stopped")
}

// checkGuarantees fails the scenario if a guarantee was violated.
func (env *environment) checkGuarantees() {
	for _, violation := range env.violations() {
		env.t.Error(violation)
	}
}

// violations describes each violation of a guarantee.
func (env *environment) violations() []string {
	var violations []string
	report := env.starts.Report()
	for _, r := range report.RepeatedRequests {
		if !env.idempotent[r.Service] {
			violations = append(violations, fmt.Sprintf("task %d of %s was started %d times; %s is not idempotent", r.Index, r.Job, r.Count, r.Service))
		}
	}
	for name, j := range env.jobs {
		for _, c := range j.calls {
			violations = append(violations, c.violations(name, report.StartedRequests[name])...)
		}
	}
	return violations
}

// violations describes the guarantees that the call's reply violates, given
// the number of started tasks of its job.
func (c *call) violations(job string, started int) []string {
	if !c.finished() {
		return nil
	}
	var violations []string
	if c.reply.defect != "" {
		violations = append(violations, fmt.Sprintf("%s of %s via %s: %s", c.method, job, c.via, c.reply.defect))
	}
	if c.reply.execution == callerapi.NotRun && started > 0 {
		violations = append(violations, fmt.Sprintf("%s of %s via %s says not run; %d of its tasks were started", c.method, job, c.via, started))
	}
	return violations
}

func (env *environment) entry(a *args, name string) *entryHost {
	e := env.entries[name]
	if e == nil {
		a.fail("unknown entry %q", name)
	}
	return e
}

// entryOrFallback returns the named entry or, if it has crashed, the fallback,
// as a balancer would.
func (env *environment) entryOrFallback(a *args, name, fallback string) *entryHost {
	if e := env.entries[name]; e != nil || fallback == "" {
		return env.entry(a, name)
	}
	return env.entry(a, fallback)
}

func (env *environment) endpoint(a *args, name string) *endpointHost {
	e := env.endpoints[name]
	if e == nil {
		a.fail("unknown endpoint %q", name)
	}
	return e
}

func (env *environment) job(a *args, name string) *job {
	j := env.jobs[name]
	if j == nil {
		a.fail("unknown job %q", name)
	}
	return j
}
