package endpointclient

import "fmt"

// ResultTooLargeError reports a response larger than MaxResultBytes.
type ResultTooLargeError struct{}

func (e *ResultTooLargeError) Error() string {
	return fmt.Sprintf("the result exceeds %d bytes: make the service return less", MaxResultBytes)
}

// WrongTaskError reports a response that belongs to another task.
type WrongTaskError struct{ Got string }

func (e *WrongTaskError) Error() string {
	return "the endpoint answered for task " + e.Got + ": fix its handling of task IDs"
}

// StatusError reports an HTTP status that the endpoint protocol does not define.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("the endpoint replied with status %d, which the protocol does not define: see package endpointapi", e.Status)
}
