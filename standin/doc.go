// Package standin holds small stand-ins for the systems around an entry, each
// with fault switches. Tests, benchmarks and the demo use them.
package standin
