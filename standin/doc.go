// Package standin holds small fakes of the systems around an entry, each with
// fault switches. Tests, benchmarks and the demo use them.
package standin
