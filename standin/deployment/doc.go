// Package deployment starts the stand-ins of one region from one settings file:
// the platform, the balancer, and the workers with their endpoints.
//
// A control listener serves the fault switches and reports of the task starts
// and messages that the endpoints received. Its OpenAPI description is at
// /openapi.json.
package deployment
