package fleet

import (
	"context"
	"net"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	linkBufferBytes = 32 << 10
)

type (
	// Link forwards TCP connections from one process to another, and can be cut.
	Link struct {
		address string
		target  string

		mu       sync.Mutex
		listener net.Listener
		open     chan struct{}
		conns    map[net.Conn]bool
		done     context.Context
		end      context.CancelFunc
	}
)

// NewLink returns a link that listens at a loopback address and forwards to target.
func NewLink(host, target string) (*Link, error) {
	listener, err := listenFree(host)
	if err != nil {
		return nil, err
	}
	l := &Link{
		address:  listener.Addr().String(),
		target:   target,
		listener: listener,
		conns:    make(map[net.Conn]bool),
	}
	l.done, l.end = context.WithCancel(context.Background())
	l.open = make(chan struct{})
	close(l.open)
	go l.accept(listener)
	return l, nil
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

// Cut holds back all bytes both ways, without a sign to either end.
func (l *Link) Cut() {
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

// Reset closes all connections of the link.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.Close()
	}
}

// Close ends the link.
func (l *Link) Close() {
	l.end()
	l.Refuse()
	l.Reset()
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
		l.forward(from, to)
	}()
	l.forward(to, from)
	<-done
}

// forward passes bytes on until either end closes.
func (l *Link) forward(from, to net.Conn) {
	defer closeBoth(from, to)
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !l.pass() {
			return
		}
		if n > 0 {
			if _, errWrite := to.Write(buffer[:n]); errWrite != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// pass waits while the link is cut, and tells whether it still exists.
func (l *Link) pass() bool {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	select {
	case <-open:
		return true
	case <-l.done.Done():
		return false
	}
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
