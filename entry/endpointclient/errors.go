package endpointclient

import "fmt"

// ResultTooLargeError reports an answer above MaxResultBytes.
type ResultTooLargeError struct{}

func (e *ResultTooLargeError) Error() string {
	return fmt.Sprintf("the result exceeds %d bytes: make the service return less", MaxResultBytes)
}

// WrongTaskError reports an answer that belongs to another task.
type WrongTaskError struct{ Got string }

func (e *WrongTaskError) Error() string {
	return "the endpoint answered for task " + e.Got + ": repair its handling of task IDs"
}

// StatusError reports a status that is not of the endpoint protocol.
type StatusError struct{ Status int }

func (e *StatusError) Error() string {
	return fmt.Sprintf("the endpoint replied with status %d, which is not of the protocol: compare it with package endpointapi", e.Status)
}
