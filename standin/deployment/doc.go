// Package deployment starts all stand-ins of one region from one settings
// text: the platform, the balancer, and the workers with their endpoints.
//
// A control listener serves the fault switches and what the endpoints saw;
// its OpenAPI description is at /openapi.json.
package deployment
