// Package standin holds small stand-ins of the systems around an entry, each
// with fault switches. They are for tests, measurements and the demo.
package standin
