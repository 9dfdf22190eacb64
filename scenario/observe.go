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

// advance lets time pass.
func advance(_ *world, a *args) string {
	time.Sleep(a.parseDuration(a.word("a duration")))
	settle()
	return ""
}

// await lets time pass until every call of a job has its reply, and shows the
// last one. It fails the scenario if that takes longer than within=.
func await(w *world, a *args) string {
	j := w.job(a, a.word("the job"))
	limit := time.After(a.duration("within", 10*time.Second))
	for _, c := range j.calls {
		select {
		case <-c.done:
		case <-limit:
			a.fail("%s has no reply to %s via %s in time", j.name, c.method, c.via)
		}
	}
	if len(j.calls) == 0 {
		a.fail("%s was never called", j.name)
	}
	return j.calls[len(j.calls)-1].reply.String()
}

// replies shows what each call of a job returned so far.
func replies(w *world, a *args) string {
	j := w.job(a, a.word("the job"))
	var lines []string
	for _, c := range j.calls {
		text := "waiting"
		if c.ended() {
			text = c.reply.String()
		}
		lines = append(lines, fmt.Sprintf("%s via %s: %s", c.method, c.via, text))
	}
	return strings.Join(lines, "\n")
}

// starts shows how many tasks of a job were started at endpoints, and the
// largest number of starts of one task.
func starts(w *world, a *args) string {
	j := w.job(a, a.word("the job"))
	tasks, most := 0, 0
	for i := range j.tasks {
		n := w.startCount(j.name, i)
		if n > 0 {
			tasks++
		}
		most = max(most, n)
	}
	return ok("%d of %d tasks started, at most %d times", tasks, j.tasks, most)
}

func (w *world) startCount(request string, task int) int {
	return w.starts.CountByRequest(fakeendpoint.TaskKey{Job: request, Index: task})
}

// messages shows what has arrived at an endpoint.
func messages(w *world, a *args) string {
	m := w.endpoint(a, a.word("an endpoint")).Messages()
	return ok("tasks=%d refusals=%d failures=%d stops=%d", m.Tasks, m.Refusals, m.Failures, m.Stops)
}

// logFlush is longer than the entries' log is buffered.
const logFlush = time.Second

// logLines shows whether a line of an entry's log holds all of the given
// texts. It lets a second pass, so that buffered lines are written.
func logLines(w *world, a *args) string {
	e := w.entry(a, a.word("an entry"))
	time.Sleep(logFlush)
	text, err := os.ReadFile(e.file)
	if err != nil {
		a.fail("%v", err)
	}
	wanted := strings.Split(a.text("holds", ""), ",")
	for line := range bytes.Lines(text) {
		if !slices.ContainsFunc(wanted, func(part string) bool { return !bytes.Contains(line, []byte(part)) }) {
			return ok("found")
		}
	}
	return ok("not found")
}

// readiness shows whether an entry takes new jobs.
func readiness(w *world, a *args) string {
	e := w.entry(a, a.word("an entry"))
	ctx, cancel := w.context(idLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.caller()+"/readyz", nil)
	if err != nil {
		a.fail("%v", err)
	}
	response, err := w.caller.Do(req)
	if err != nil {
		return ok("unreachable")
	}
	_ = response.Body.Close()
	return ok("%d", response.StatusCode)
}

// configuration shows the version that is in force at each entry.
func configuration(w *world, a *args) string {
	var lines []string
	for _, name := range w.order {
		if e := w.entries[name]; e != nil {
			lines = append(lines, fmt.Sprintf("%s: version %d", name, e.ConfigurationVersion()))
		}
	}
	return strings.Join(lines, "\n")
}

// awaitStop waits for the end of a planned stop.
func (w *world) awaitStop(e *entryHost) string {
	select {
	case <-e.done:
	case <-time.After(stopLimit):
		return ok("still running after %v", stopLimit)
	}
	w.listVMs()
	if e.err != nil {
		return ok("stopped: %v", e.err)
	}
	return ok("stopped")
}

// checkPromises fails the scenario if a promise was broken.
func (w *world) checkPromises() {
	for _, broken := range w.brokenPromises() {
		w.t.Error(broken)
	}
}

// brokenPromises returns a sentence for each promise that was broken.
func (w *world) brokenPromises() []string {
	var broken []string
	report := w.starts.Report()
	for _, r := range report.RepeatedRequests {
		if !w.idempotent[r.Service] {
			broken = append(broken, fmt.Sprintf("task %d of %s was started %d times; %s is not idempotent", r.Index, r.Job, r.Count, r.Service))
		}
	}
	for name, j := range w.jobs {
		for _, c := range j.calls {
			broken = append(broken, c.broken(name, report.StartedRequests[name])...)
		}
	}
	return broken
}

// broken returns what a call's reply breaks, given how many tasks of its job
// were started.
func (c *call) broken(job string, started int) []string {
	if !c.ended() {
		return nil
	}
	var broken []string
	if c.reply.wrong != "" {
		broken = append(broken, fmt.Sprintf("%s of %s via %s: %s", c.method, job, c.via, c.reply.wrong))
	}
	if c.reply.execution == callerapi.NotRun && started > 0 {
		broken = append(broken, fmt.Sprintf("%s of %s via %s says not run; %d of its tasks were started", c.method, job, c.via, started))
	}
	return broken
}

func (w *world) entry(a *args, name string) *entryHost {
	e := w.entries[name]
	if e == nil {
		a.fail("there is no entry %q", name)
	}
	return e
}

// either returns the named entry, or the other one if it has crashed, as a
// balancer would.
func (w *world) either(a *args, name, other string) *entryHost {
	if e := w.entries[name]; e != nil || other == "" {
		return w.entry(a, name)
	}
	return w.entry(a, other)
}

func (w *world) endpoint(a *args, name string) *endpointHost {
	e := w.endpoints[name]
	if e == nil {
		a.fail("there is no endpoint %q", name)
	}
	return e
}

func (w *world) job(a *args, name string) *job {
	j := w.jobs[name]
	if j == nil {
		a.fail("there is no job %q", name)
	}
	return j
}
