package faultnet

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Sizes of the buffers of a stream in each direction.
const (
	chunkBytes   = 32 << 10
	queuedChunks = 256
)

// stream is a connection through a proxy.
type stream struct {
	ends [2]net.Conn // by Side
	cut  atomic.Bool // nothing is passed on any more, not even the end of the stream
}

// chunk is a piece of data, or the end of the stream if err is set.
type chunk struct {
	data []byte
	err  error
	due  time.Time
}

// run passes on data in both directions until both have ended.
func (s *stream) run(toTarget, toDialer *Direction) {
	var directions sync.WaitGroup
	directions.Go(func() { s.pass(s.ends[DialerSide], s.ends[TargetSide], toTarget) })
	directions.Go(func() { s.pass(s.ends[TargetSide], s.ends[DialerSide], toDialer) })
	directions.Wait()
	for _, end := range s.ends {
		_ = end.Close() // it may have been reset
	}
}

// pass passes on data and the end of the stream in one direction.
func (s *stream) pass(from, to net.Conn, d *Direction) {
	queue := make(chan chunk, queuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { s.write(to, queue) })
	lost := false
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		lost = lost || d.Silent()
		if !lost {
			queue <- chunk{slices.Clone(buffer[:n]), err, time.Now().Add(d.Delay())}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	writer.Wait()
}

// write writes chunks when they are due. It ignores failed writes, because the other
// direction reads the same connection and passes on its end.
func (s *stream) write(to net.Conn, queue <-chan chunk) {
	for c := range queue {
		time.Sleep(time.Until(c.due))
		if s.cut.Load() {
			continue
		}
		_, _ = to.Write(c.data)
		if c.err == nil {
			continue
		}
		if half, ok := to.(interface{ CloseWrite() error }); ok && errors.Is(c.err, io.EOF) {
			_ = half.CloseWrite()
			continue
		}
		reset(to)
	}
}
