// Package link forwards TCP connections and disturbs them, as networks do.
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
	// Link forwards TCP connections from one process to another, and can be disturbed. It is safe for
	// concurrent use.
	Link struct {
		address string
		target  string

		mu       sync.Mutex
		listener net.Listener
		open     chan struct{}
		conns    map[net.Conn]bool
		// delay holds up what passes; there and back tell which way loses all.
		delay       time.Duration
		there, back bool
		done        context.Context
		end         context.CancelFunc
	}
)

// New returns a link that takes connections from the listener, which it owns, and forwards to target.
func New(listener net.Listener, target string) *Link {
	l := &Link{
		address:  listener.Addr().String(),
		target:   target,
		listener: listener,
		conns:    make(map[net.Conn]bool),
		open:     make(chan struct{}),
	}
	l.done, l.end = context.WithCancel(context.Background())
	close(l.open)
	go l.accept(listener)
	return l
}

// Listen takes connections again after Refuse.
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

// Refuse refuses new connections, as the system does where no process listens.
func (l *Link) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
}

// Address returns the address that the dialling process uses.
func (l *Link) Address() string {
	return l.address
}

// Partition holds back all bytes both ways, without a sign to either end.
func (l *Link) Partition() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open:
		l.open = make(chan struct{})
	default:
	}
}

// Heal forwards what was held back, and all that follows.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open:
	default:
		close(l.open)
	}
}

// SetDelay holds up whatever passes from now on.
func (l *Link) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// DropBytes drops the bytes of one way or both from now on, without a sign to either end.
func (l *Link) DropBytes(there, back bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.there, l.back = there, back
}

// CloseConnections closes all connections of the link.
func (l *Link) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

// ResetConnections ends all connections of the link with a TCP reset.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	for c := range l.conns {
		if t, ok := c.(*net.TCPConn); ok {
			// A connection that is closed already needs no reset.
			_ = t.SetLinger(0)
		}
	}
	l.mu.Unlock()
	l.CloseConnections()
}

// Close ends the link.
func (l *Link) Close() {
	l.end()
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
	if !l.pass() {
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
		l.forward(from, to, &l.there)
	}()
	l.forward(to, from, &l.back)
	<-done
}

// forward passes bytes on until either end closes.
func (l *Link) forward(from, to net.Conn, lost *bool) {
	defer closeBoth(from, to)
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !l.pass() {
			return
		}
		if n > 0 && !l.loses(lost) {
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits while the link is cut or holds up, and tells whether it still exists.
func (l *Link) pass() bool {
	l.mu.Lock()
	open, delay := l.open, l.delay
	l.mu.Unlock()
	select {
	case <-open:
	case <-l.done.Done():
		return false
	}
	if delay == 0 {
		return true
	}
	select {
	case <-time.After(delay):
		return true
	case <-l.done.Done():
		return false
	}
}

// loses reads whether one way loses all.
func (l *Link) loses(lost *bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return *lost
}

func (l *Link) add(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
}

func (l *Link) remove(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}
