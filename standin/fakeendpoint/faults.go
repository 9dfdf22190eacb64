package fakeendpoint

// Faults are the fault switches of an endpoint that act on single requests.
// The zero value is an endpoint without faults.
type Faults struct {
	FailFast       bool    `json:"fail_fast,omitempty" doc:"Every task starts and fails at once"`
	StraggleFactor float64 `json:"straggle_factor,omitempty" doc:"Tasks that start run this many times longer; 0 and 1 are normal"`
	BreakAfterRead bool    `json:"break_after_read,omitempty" doc:"The connection breaks after the request was read; the task does not start"`
	LoseReply      bool    `json:"lose_reply,omitempty" doc:"The task runs, then the connection breaks instead of the answer"`
	Paused         bool    `json:"paused,omitempty" doc:"Nothing moves until it is switched off; connections are accepted"`
}

func (f Faults) straggle() float64 {
	if f.StraggleFactor <= 0 {
		return 1
	}
	return f.StraggleFactor
}
