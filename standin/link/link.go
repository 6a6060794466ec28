// Package link forwards TCP connections and injects network faults.
package link

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	linkBufferBytes = 32 << 10
)

type (
	// Link forwards TCP connections from one process to another and injects faults on request. It is safe
	// for concurrent use.
	Link struct {
		address string
		target  string

		mu       sync.Mutex
		listener net.Listener
		// unblocked is closed unless the link holds back bytes.
		unblocked   chan struct{}
		connections map[net.Conn]bool
		// delay is the time by which each new connection and each chunk of bytes is delayed.
		delay time.Duration
		// dropToTarget and dropFromTarget are set while all bytes of the direction are dropped.
		dropToTarget, dropFromTarget bool
		closed                       context.Context
		cancel                       context.CancelFunc
	}
)

// New returns a link that accepts connections from the listener, which it owns, and forwards them to target.
func New(listener net.Listener, target string) *Link {
	l := &Link{
		address:     listener.Addr().String(),
		target:      target,
		listener:    listener,
		connections: make(map[net.Conn]bool),
		unblocked:   make(chan struct{}),
	}
	l.closed, l.cancel = context.WithCancel(context.Background())
	close(l.unblocked)
	go l.accept(listener)
	return l
}

// Listen accepts connections again after Refuse. Otherwise it has no effect.
func (l *Link) Listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return eris.Wrap(err, "link")
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// Refuse stops listening, so that the operating system refuses new connections. Open connections stay.
func (l *Link) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// Address returns the host:port of the link, to which the client process connects.
func (l *Link) Address() string {
	return l.address
}

// Partition holds back all bytes in both directions until Heal. Connections stay open, so that neither
// end receives an error.
func (l *Link) Partition() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.unblocked:
		l.unblocked = make(chan struct{})
	default:
	}
}

// Heal forwards the bytes held back by Partition and all later ones.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.unblocked:
	default:
		close(l.unblocked)
	}
}

// SetDelay sets the delay of each new connection and of each chunk of bytes in either direction.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// DropBytes sets whether the bytes to the target and those from the target are dropped. Connections stay open, so
// that neither end receives an error.
func (l *Link) DropBytes(toTarget, fromTarget bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropToTarget, l.dropFromTarget = toTarget, fromTarget
}

// CloseConnections closes all open connections.
func (l *Link) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		_ = c.Close()
	}
}

// ResetConnections closes all open connections with a TCP reset.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	for c := range l.connections {
		if t, ok := c.(*net.TCPConn); ok {
			// A connection that is closed already needs no reset.
			_ = t.SetLinger(0)
		}
	}
	l.mu.Unlock()
	l.CloseConnections()
}

// Close stops listening and closes all connections.
func (l *Link) Close() {
	l.cancel()
	l.Refuse()
	l.CloseConnections()
}

func (l *Link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *Link) serve(from net.Conn) {
	l.add(from)
	defer l.remove(from)
	if !l.waitToForward() {
		return
	}
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	l.add(to)
	defer l.remove(to)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.forward(from, to, &l.dropToTarget)
	}()
	l.forward(to, from, &l.dropFromTarget)
	<-done
}

// forward copies bytes from one connection to the other until either is closed. It then closes both.
func (l *Link) forward(from, to net.Conn, drop *bool) {
	defer closeBoth(from, to)
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !l.waitToForward() {
			return
		}
		if n > 0 && !l.dropsBytes(drop) {
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitToForward waits while the link holds back bytes, then for its delay. It returns false if the link is closed.
func (l *Link) waitToForward() bool {
	l.mu.Lock()
	unblocked, delay := l.unblocked, l.delay
	l.mu.Unlock()
	select {
	case <-unblocked:
	case <-l.closed.Done():
		return false
	}
	if delay == 0 {
		return true
	}
	select {
	case <-time.After(delay):
		return true
	case <-l.closed.Done():
		return false
	}
}

// dropsBytes reports whether the bytes of a direction are dropped, which is the value of its flag.
func (l *Link) dropsBytes(drop *bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *drop
}

func (l *Link) add(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = true
}

func (l *Link) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
	_ = c.Close()
}

func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}
