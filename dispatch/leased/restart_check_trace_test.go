package leased_test

import (
	"fmt"
	"strings"

	"lovagespread.example/dispatch/leased"
)

// traceInput logs the inputs that concern the job under test.
func (w *restartWorld) traceInput(h int, in leased.Input) {
	if w.log == nil {
		return
	}
	switch in := in.(type) {
	case *leased.Submit:
		w.tracef("h%d: gets %s, resubmitted %t", h, in.Job.ID, in.Job.Resubmitted)
	case *leased.SubmitDelegated:
		w.tracef("h%d: gets delegated %s run %d", h, taskName(in.Task.ID), in.Task.Run)
	case *leased.Cancel:
		w.tracef("h%d: gets the Cancel of ticket %d", h, in.Ticket)
	case *leased.StartReply:
		w.tracef("h%d: Start %s of %s run %d is answered: %v", h, in.Endpoint, taskName(in.Task), in.Run, in.Result)
	case *leased.StopReply:
		w.tracef("h%d: Stop %s of %s run %d, answered %t", h, in.Endpoint, taskName(in.Task), in.Run, in.Answered)
	case *leased.DelegateReply:
		w.tracef("h%d: delegation of %s run %d has ended: %v", h, taskName(in.Task), in.Run, in.End)
	case *leased.SetEndpoints:
		w.tracef("h%d: holds %s", h, endpointNames(in.Endpoints))
	case *leased.HoldReply:
		w.traceHoldReply(h, in)
	}
}

func (w *restartWorld) traceHoldReply(h int, in *leased.HoldReply) {
	job := w.calls[0].job.ID
	var rows []string
	for _, r := range in.Running {
		if r.Task.Job == job {
			rows = append(rows, fmt.Sprintf("%s run %d runs", taskName(r.Task), r.Run))
		}
	}
	for _, r := range in.Ended {
		if r.Task.Job == job {
			rows = append(rows, fmt.Sprintf("%s run %d is %v", taskName(r.Task), r.Run, r.End))
		}
	}
	if in.Result != leased.HoldAnswered || len(rows) > 0 {
		w.tracef("h%d: Hold %s: %v %s", h, in.Endpoint, in.Result, strings.Join(rows, ", "))
	}
}

func (w *restartWorld) traceEvents(h int, out *leased.Actions) {
	if w.log == nil {
		return
	}
	for _, e := range out.EndpointEvents {
		w.tracef("h%d: %s %s: %s", h, e.Event, e.Endpoint, e.Reason)
	}
	for _, e := range out.RunEnds {
		w.tracef("h%d: %s run %d on %s has ended: %v", h, taskName(e.Task), e.Run, e.Endpoint, e.End)
	}
}

func endpointNames(list []leased.Endpoint) string {
	names := make([]string, len(list))
	for i := range list {
		names[i] = string(list[i].ID)
	}
	return strings.Join(names, " ")
}
