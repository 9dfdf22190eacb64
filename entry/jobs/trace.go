package jobs

import "strings"

// Format of a W3C traceparent header: version-traceid-parentid-flags.
const (
	traceparentParts = 4
	traceIDDigits    = 32
)

// traceID returns the trace ID of a traceparent header, or an empty string.
func traceID(traceparent string) string {
	parts := strings.Split(traceparent, "-")
	if len(parts) < traceparentParts || len(parts[1]) != traceIDDigits {
		return ""
	}
	return parts[1]
}
