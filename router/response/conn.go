// Package response rejects broken HTTP/1.1 responses that net/http takes for valid ones.
package response

import (
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

type (
	// Conn is a connection whose end of stream is always that of its peer. The kernel reports the failure of a connection to one
	// call only. If a concurrent write receives it, reads return io.EOF, and the part of a response without a length that has
	// arrived looks complete. Read returns the failure in that case too.
	//
	// Conn also checks the heads of responses, from BeginHead to CheckHead.
	Conn struct {
		net.Conn
		// mu guards head.
		mu   sync.Mutex
		head headScanner
		// writing is held during a write.
		writing sync.Mutex
		// failure is the error with which the connection failed in a write.
		failure error
	}
)

// NewConn returns a connection that reads and writes over another one.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c}
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// Read implements io.Reader. At the end of the stream it ends the writes, as their outcome decides how the connection ended.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.scan(p[:n])
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.endWrites(); failure != nil {
		return n, eris.Wrap(failure, "connection failed during a write")
	}
	return n, err
}

// BeginHead begins the check of a response head, with the interim ones before it. Buffered are the bytes of it that were read already.
func (c *Conn) BeginHead(buffered []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = headScanner{state: scanProtocol}
	c.head.scan(buffered)
}

// CheckHead returns an error for a response, with the head that was read last, if http.ReadResponse accepts it although it is broken.
func (c *Conn) CheckHead(a *http.Response) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return cmp.Or(checkStatus(a), c.head.err)
}

func (c *Conn) scan(p []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.scan(p)
}

// endWrites interrupts a write that waits for the peer, and returns the failure of the connection that a write has received.
func (c *Conn) endWrites() error {
	// An error means that the connection is closed, which ends writes as well.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// isFailure reports whether an error of a write is a failure of the connection that reads would have returned as well. EPIPE is
// none: the stream of the peer had ended before.
func isFailure(err error) bool {
	return !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed)
}
