package fakeendpoint

// Faults are the fault switches of an endpoint that act on single requests.
// The zero value is an endpoint without faults.
type Faults struct {
	FailFast       bool    `json:"fail_fast,omitempty" doc:"Every task starts and fails immediately"`
	StraggleFactor float64 `json:"straggle_factor,omitempty" doc:"Factor by which the run time of new tasks increases; 0 and 1 mean no change"`
	BreakAfterRead bool    `json:"break_after_read,omitempty" doc:"The connection breaks after the request has been read, and the task does not start"`
	LoseReply      bool    `json:"lose_reply,omitempty" doc:"The task runs, but the connection breaks instead of a response"`
	Paused         bool    `json:"paused,omitempty" doc:"Requests and tasks make no progress until the switch is off; connections are accepted"`
}

func (f Faults) straggle() float64 {
	if f.StraggleFactor <= 0 {
		return 1
	}
	return f.StraggleFactor
}
