// Package trace explains the outcome of a job from the log lines of several
// entries. It orders lines causally rather than by time, because the clocks of
// VMs differ and may jump.
package trace

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line about a job. Fields that the event lacks are zero.
type Line struct {
	Source        string    `json:"-"` // last word of the line's prefix, or the file if there is none
	Number        int       `json:"-"` // in its source
	Event         string    `json:"event"`
	Time          time.Time `json:"time"`
	Job           string    `json:"job"`
	Queue         string    `json:"queue"`
	Step          int       `json:"step"`
	Task          int       `json:"task"`
	Run           int       `json:"run"`
	Endpoint      string    `json:"endpoint"`
	Holder        string    `json:"holder"`
	Cell          string    `json:"cell"`
	Result        string    `json:"result"`
	End           string    `json:"end"`
	Reason        string    `json:"reason"`
	Verdict       string    `json:"verdict"`
	Error         string    `json:"error"`
	Waited        float64   `json:"waited_ms"`
	Took          float64   `json:"took_ms"`
	Expected      float64   `json:"expected_ms"`
	CallerTimeout float64   `json:"patience_ms"`
	Begun         bool      `json:"may_have_begun"`
	Alone         bool      `json:"alone"`
}

// Read returns the lines about a job in a log. A line may have a prefix before
// its JSON object; lines without a JSON object are skipped.
func Read(source string, from io.Reader, job string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	marker := []byte(`"job":"` + job + `"`)
	for n := 1; scanner.Scan(); n++ {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 || !bytes.Contains(text, marker) {
			continue
		}
		line := Line{Source: source, Number: n}
		if prefix := strings.Fields(string(text[:start])); len(prefix) > 0 {
			line.Source = prefix[len(prefix)-1]
		}
		if json.Unmarshal(text[start:], &line) == nil && line.Job == job {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read the log "+source)
	}
	return lines, nil
}

// stages orders events of different entries causally.
var stages = map[string]int{
	"received": 0, "balanced": 1, "forwarded": 1, "job_moved": 2, "holder_lost": 2, "placed": 3, "lent": 3, "start_refused": 4, "stopped": 5,
	"lend_failed": 6, "lend_ended": 6, "run_ended": 6, "endpoint_crashed": 7, "answered": 9, "refused": 9,
}

// sortLines sorts lines by task, and those of a task by run and stage. Lines
// about the whole job come before or after those about tasks.
func sortLines(lines []Line) {
	phase := func(l *Line) int {
		switch stage := stages[l.Event]; {
		case stage <= 2:
			return 0
		case stage == 9:
			return 2
		}
		return 1
	}
	slices.SortStableFunc(lines, func(a, b Line) int {
		if c := cmp.Compare(phase(&a), phase(&b)); c != 0 {
			return c
		}
		if phase(&a) != 1 {
			if a.Source == b.Source {
				return cmp.Compare(a.Number, b.Number)
			}
			return cmp.Compare(stages[a.Event], stages[b.Event])
		}
		return cmp.Or(cmp.Compare(a.Step, b.Step), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Run, b.Run), cmp.Compare(stages[a.Event], stages[b.Event]))
	})
}

// Report explains the outcome of a job.
type Report struct {
	Job   string
	Cause string
	Lines []Line
}

// Explain sorts the lines about a job and determines the cause of its outcome.
func Explain(job string, lines []Line) Report {
	sortLines(lines)
	return Report{Job: job, Cause: explain(lines), Lines: lines}
}

func explain(lines []Line) string {
	if len(lines) == 0 {
		return "no log line names this job: it did not reach an entry, or its lines were dropped by the rate limit of the log"
	}
	answer := firstOf(lines, "answered")
	if answer == nil {
		answer = firstOf(lines, "refused")
	}
	if answer == nil {
		return explainUnanswered(lines)
	}
	switch answer.Verdict {
	case "rejected":
		return fmt.Sprintf("rejected after %.0f ms, nothing was run: %s", answer.Took, answer.Reason)
	case "failed":
		return "failed: " + answer.Reason + failedRuns(lines)
	case "abandoned":
		return explainAbandoned(lines, answer)
	case "completed":
		return explainCompleted(lines, answer)
	}
	return "refused: " + answer.Reason
}

func firstOf(lines []Line, event string) *Line {
	for i := range lines {
		if lines[i].Event == event {
			return &lines[i]
		}
	}
	return nil
}

func explainUnanswered(lines []Line) string {
	received := firstOf(lines, "received")
	if received == nil {
		return "no entry has logged that it received the job, though others worked on it: the entry with the caller's connection was lost before it wrote its log"
	}
	return fmt.Sprintf("no answer: %s received the job and ended before it answered (killed, or lost power)", received.Source)
}

func explainAbandoned(lines []Line, answer *Line) string {
	if lost := firstOf(lines, "holder_lost"); lost != nil {
		return fmt.Sprintf("abandoned after %.0f ms: its holder %s was lost while it ran; %s", answer.Took, lost.Holder, answer.Reason)
	}
	if received := firstOf(lines, "received"); received != nil && answer.Took < received.CallerTimeout*0.95 {
		return fmt.Sprintf("the caller disconnected after %.0f of %.0f ms", answer.Took, received.CallerTimeout)
	}
	started := firstOf(lines, "placed") != nil || firstOf(lines, "lent") != nil || firstOf(lines, "run_ended") != nil
	if !started {
		return fmt.Sprintf("abandoned after %.0f ms without a free endpoint: %s", answer.Took, answer.Reason)
	}
	return fmt.Sprintf("not done within the caller's deadline (%.0f ms)%s", answer.Took, delays(lines))
}

func failedRuns(lines []Line) string {
	var parts []string
	for i := range lines {
		switch l := &lines[i]; {
		case l.Event == "run_ended" && l.End == "failed":
			parts = append(parts, fmt.Sprintf("run %d of task %d failed on %s after %.0f ms", l.Run, l.Task, l.Endpoint, l.Took))
		case l.Event == "endpoint_crashed":
			parts = append(parts, crash(l))
		}
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, "; ") + ")"
}

// Thresholds above which a delay counts as a cause of a late answer.
const (
	minDelayMS = 50.0
	slowFactor = 1.8 // run time relative to the expected one
)

func explainCompleted(lines []Line, answer *Line) string {
	text := fmt.Sprintf("completed in %.0f ms", answer.Took)
	return text + delays(lines)
}

// delays describes what took most of the time.
func delays(lines []Line) string {
	var parts []string
	if lost := firstOf(lines, "holder_lost"); lost != nil {
		parts = append(parts, "its holder "+lost.Holder+" was lost")
	}
	longestWait := 0.0
	for i := range lines {
		l := &lines[i]
		switch {
		case l.Event == "stopped" && l.Reason == "too little progress":
			parts = append(parts, fmt.Sprintf("task %d made too little progress on %s and was moved", l.Task, l.Endpoint))
		case l.Event == "run_ended" && (l.End == "lapsed" || l.End == "failed" || l.End == "endpoint_lost"):
			parts = append(parts, fmt.Sprintf("run %d of task %d %s on %s", l.Run, l.Task, l.End, l.Endpoint))
		case l.Event == "run_ended" && l.End == "done" && l.Expected > 0 && l.Took > slowFactor*l.Expected && l.Took > minDelayMS:
			parts = append(parts, fmt.Sprintf("task %d took %.0f ms on %s, %.0f expected", l.Task, l.Took, l.Endpoint, l.Expected))
		case l.Event == "endpoint_crashed":
			parts = append(parts, crash(l))
		case l.Event == "lend_ended" || l.Event == "lend_failed":
			parts = append(parts, fmt.Sprintf("lent task %d was returned (%s)", l.Task, cmp.Or(l.End, "the connection broke")))
		}
		if l.Event == "placed" {
			longestWait = max(longestWait, l.Waited)
		}
	}
	if longestWait > minDelayMS {
		parts = append(parts, fmt.Sprintf("a task waited %.0f ms for a free endpoint", longestWait))
	}
	if len(parts) == 0 {
		return ""
	}
	return ": " + strings.Join(firstFew(parts), "; ")
}

// firstFew sorts the parts, removes duplicates and returns the first few.
func firstFew(parts []string) []string {
	const limit = 4
	slices.Sort(parts)
	parts = slices.Compact(parts)
	return parts[:min(len(parts), limit)]
}

// Write writes a human-readable report.
func (r Report) Write(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "job %s: %s\n", r.Job, r.Cause)
	for i := range r.Lines {
		l := &r.Lines[i]
		fmt.Fprintf(&b, "  %-16s %-14s %s\n", l.Source, l.Event, l.detail())
	}
	if _, err := io.WriteString(out, b.String()); err != nil {
		return errors.Wrap(err, "write the report")
	}
	return nil
}

func (l *Line) detail() string {
	switch l.Event {
	case "received":
		return fmt.Sprintf("queue %s, the caller waits %.0f ms", l.Queue, l.CallerTimeout)
	case "forwarded", "balanced":
		return "to " + l.Holder
	case "job_moved":
		return fmt.Sprintf("returned by %s after %.0f ms, because another holder will start it sooner", l.Holder, l.Waited)
	case "holder_lost":
		return fmt.Sprintf("%s: %s", l.Holder, l.Error)
	case "placed":
		return fmt.Sprintf("task %d run %d on %s, waited %.0f ms, %.0f ms expected", l.Task, l.Run, l.Endpoint, l.Waited, l.Expected)
	case "lent":
		return fmt.Sprintf("task %d run %d to the holder of %s", l.Task, l.Run, l.Cell)
	case "start_refused":
		return fmt.Sprintf("task %d run %d on %s: %s", l.Task, l.Run, l.Endpoint, l.Result)
	case "stopped":
		return fmt.Sprintf("task %d run %d on %s: %s", l.Task, l.Run, l.Endpoint, l.Reason)
	case "run_ended":
		return fmt.Sprintf("task %d run %d on %s: %s after %.0f ms, %.0f expected", l.Task, l.Run, l.Endpoint, l.End, l.Took, l.Expected)
	case "endpoint_crashed":
		return crash(l)
	case "lend_ended", "lend_failed":
		return fmt.Sprintf("task %d run %d: %s", l.Task, l.Run, cmp.Or(l.End, l.Error))
	case "answered":
		return fmt.Sprintf("%s after %.0f ms %s", l.Verdict, l.Took, l.Reason)
	}
	return l.Reason
}

// crash describes the crash of an endpoint under a run.
func crash(l *Line) string {
	text := fmt.Sprintf("%s crashed under run %d of task %d", l.Endpoint, l.Run, l.Task)
	if l.Alone {
		text += ", which was alone there"
	}
	return text
}
