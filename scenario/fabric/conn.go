package fabric

import (
	"io"
	"net"
	"sync"
	"time"
)

// maxChunkBytes is the maximum size of a chunk.
const maxChunkBytes = 32 << 10

// conn is a connection of two hosts. It joins two in-memory pipes and forwards
// chunks between them in both directions while the link is open.
type conn struct {
	fabric         *Fabric
	client, server string
	clientEnd      net.Conn // returned to the dialing host
	serverEnd      net.Conn // returned to the listening host
	clientSide     net.Conn // peer of clientEnd, used by the fabric
	serverSide     net.Conn // peer of serverEnd, used by the fabric
	done           chan struct{}
	resetOnce      sync.Once
	silenced       chan struct{}
	silenceOnce    sync.Once
}

func newConn(f *Fabric, client, server string) *conn {
	c := &conn{fabric: f, client: client, server: server, done: make(chan struct{}), silenced: make(chan struct{})}
	c.clientEnd, c.clientSide = net.Pipe()
	c.serverEnd, c.serverSide = net.Pipe()
	return c
}

func (c *conn) start() {
	var directions sync.WaitGroup
	directions.Go(func() { c.forward(c.clientSide, c.serverSide, c.client, c.server) })
	directions.Go(func() { c.forward(c.serverSide, c.clientSide, c.server, c.client) })
	go func() {
		directions.Wait()
		if !c.isSilent() {
			c.reset()
		}
	}()
}

// chunk is data in transit with its time of arrival.
type chunk struct {
	data   []byte
	arrive time.Time
}

// maxInTransit is the maximum number of chunks in transit in one direction of a
// connection.
const maxInTransit = 64

// forward moves chunks from one side to the other until either end is closed.
func (c *conn) forward(from, to net.Conn, sender, receiver string) {
	inTransit := make(chan chunk, maxInTransit)
	go c.readChunks(from, inTransit)
	c.deliverChunks(inTransit, to, sender, receiver)
}

// readChunks reads chunks and puts them in transit.
func (c *conn) readChunks(from net.Conn, inTransit chan<- chunk) {
	defer close(inTransit)
	for {
		buffer := make([]byte, maxChunkBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			inTransit <- chunk{data: buffer[:n], arrive: time.Now().Add(c.fabric.delay)}
		}
		if err != nil {
			return
		}
	}
}

// deliverChunks writes chunks at their time of arrival, then closes the
// receiving side. A silent connection does neither.
func (c *conn) deliverChunks(inTransit <-chan chunk, to net.Conn, sender, receiver string) {
	failed := false
	for next := range inTransit {
		if !failed {
			failed = !c.deliverChunk(next, to, sender, receiver)
		}
	}
	if c.isSilent() {
		return
	}
	if c.fabric.waitOpen(sender, receiver, c.done) {
		_ = to.Close()
	}
}

func (c *conn) deliverChunk(next chunk, to net.Conn, sender, receiver string) bool {
	time.Sleep(time.Until(next.arrive))
	if !c.fabric.waitOpen(sender, receiver, c.done) {
		return false
	}
	if c.isSilent() {
		return false
	}
	_, err := to.Write(next.data)
	return err == nil || err == io.ErrClosedPipe
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silenced:
		return true
	default:
		return false
	}
}

func (c *conn) silence() { c.silenceOnce.Do(func() { close(c.silenced) }) }

// reset closes both ends of the connection immediately.
func (c *conn) reset() {
	c.resetOnce.Do(func() {
		close(c.done)
		for _, end := range []net.Conn{c.clientSide, c.serverSide} {
			_ = end.Close()
		}
		c.fabric.mu.Lock()
		defer c.fabric.mu.Unlock()
		delete(c.fabric.conns, c)
	})
}
