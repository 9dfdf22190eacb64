package fabric

import (
	"io"
	"net"
	"sync"
	"time"
)

// chunkBytes is the most that travels as one message.
const chunkBytes = 32 << 10

// conn joins two in-memory pipes and carries chunks in each direction, so that what
// one end writes reaches the other only while the link is up.
type conn struct {
	fabric         *Fabric
	client, server string
	clientEnd      net.Conn // held by the dialing host
	serverEnd      net.Conn // held by the listening host
	clientSide     net.Conn // the fabric's side of clientEnd
	serverSide     net.Conn
	done           chan struct{}
	once           sync.Once
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
	directions.Go(func() { c.carry(c.clientSide, c.serverSide, c.client, c.server) })
	directions.Go(func() { c.carry(c.serverSide, c.clientSide, c.server, c.client) })
	go func() {
		directions.Wait()
		if !c.isSilent() {
			c.reset()
		}
	}()
}

// message is a chunk on its way.
type message struct {
	data   []byte
	arrive time.Time
}

// inFlight bounds the chunks that travel in one direction of a connection.
const inFlight = 64

// carry moves chunks from one side to the other until either end closes.
func (c *conn) carry(from, to net.Conn, sender, receiver string) {
	travelling := make(chan message, inFlight)
	go c.collect(from, travelling)
	c.deliver(travelling, to, sender, receiver)
}

// collect reads chunks and sends them on their way.
func (c *conn) collect(from net.Conn, travelling chan<- message) {
	defer close(travelling)
	for {
		chunk := make([]byte, chunkBytes)
		n, err := from.Read(chunk)
		if n > 0 {
			travelling <- message{data: chunk[:n], arrive: time.Now().Add(c.fabric.delay)}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes chunks when they arrive. The end of the stream travels like
// a chunk; a silent connection swallows both.
func (c *conn) deliver(travelling <-chan message, to net.Conn, sender, receiver string) {
	failed := false
	for m := range travelling {
		if !failed {
			failed = !c.deliverOne(m, to, sender, receiver)
		}
	}
	if c.isSilent() {
		return
	}
	if c.fabric.await(sender, receiver, c.done) {
		_ = to.Close()
	}
}

func (c *conn) deliverOne(m message, to net.Conn, sender, receiver string) bool {
	time.Sleep(time.Until(m.arrive))
	if !c.fabric.await(sender, receiver, c.done) {
		return false
	}
	if c.isSilent() {
		return false
	}
	_, err := to.Write(m.data)
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

// reset ends the connection at both ends at once.
func (c *conn) reset() {
	c.once.Do(func() {
		close(c.done)
		for _, end := range []net.Conn{c.clientSide, c.serverSide} {
			_ = end.Close()
		}
		c.fabric.mu.Lock()
		defer c.fabric.mu.Unlock()
		delete(c.fabric.conns, c)
	})
}
