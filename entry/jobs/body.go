package jobs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"lovagespread.example/client/callerapi"
	"lovagespread.example/entry/problem"
)

// maxServiceName is the maximum length of a service name, in bytes.
const maxServiceName = 128

// parseJob reads and checks the body of a submission.
func parseJob(body []byte) (callerapi.Job, *callerapi.Problem) {
	var job callerapi.Job
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&job); err != nil {
		return job, badRequest("the body is not a valid JSON job (" + err.Error() + "): correct it as /openapi.json describes")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return job, badRequest("the body contains more than one JSON value: send one job")
	}
	return job, checkJob(&job)
}

func checkJob(job *callerapi.Job) *callerapi.Problem {
	if job.Service == "" || len(job.Service) > maxServiceName {
		return badRequest(fmt.Sprintf("service is missing or longer than %d bytes: use a service name from the services file", maxServiceName))
	}
	if len(job.Tasks) == 0 || len(job.Tasks) > callerapi.MaxTasks {
		return badRequest(fmt.Sprintf("the job has %d tasks: send 1 to %d", len(job.Tasks), callerapi.MaxTasks))
	}
	for i := range job.Tasks {
		if p := checkTask(i, &job.Tasks[i]); p != nil {
			return p
		}
	}
	return nil
}

func checkTask(index int, task *callerapi.Task) *callerapi.Problem {
	if len(task.Service) > maxServiceName {
		return badRequest(fmt.Sprintf("tasks[%d].service is longer than %d bytes: use a service name from the services file", index, maxServiceName))
	}
	if task.DeclaredMS < 0 {
		return badRequest(fmt.Sprintf("tasks[%d].declared_ms is negative: set a number of milliseconds or omit it", index))
	}
	needs := task.Needs
	if needs == nil {
		return nil
	}
	if needs.MilliCores < 0 || needs.MemoryMiB < 0 || needs.Accelerators < 0 {
		return badRequest(fmt.Sprintf("tasks[%d].needs contains a negative number: set amounts of 0 or more", index))
	}
	return nil
}

func badRequest(detail string) *callerapi.Problem {
	return problem.NotRun(callerapi.CodeBadRequest, detail+"; use a new job ID")
}
