package exchange

import (
	"sync"
	"time"
)

const (
	// defaultDialTimeout covers one lost SYN packet, which is retransmitted after a second.
	defaultDialTimeout = 1200 * time.Millisecond
	// defaultAckTimeout is how long sent bytes may stay unacknowledged: many round trips between any two data
	// centres of a region.
	defaultAckTimeout = 2 * time.Second
	// defaultIdleTimeout is how long an unused connection is kept.
	defaultIdleTimeout = 10 * time.Second
	// DefaultIdlePerAddress is the largest number of idle connections to one upstream.
	DefaultIdlePerAddress = 8
)

type (
	// Option configures a client.
	Option func(*options)

	options struct {
		dialTimeout time.Duration
		ackTimeout  time.Duration
		idleTimeout time.Duration
		perAddress  func() int
		// receiveBytes and sendBytes are the socket buffers; 0 leaves them to the kernel.
		receiveBytes, sendBytes int
	}

	// idlePool holds idle connections by address, the most recently used last.
	idlePool struct {
		mu         sync.Mutex
		timeout    time.Duration
		perAddress func() int
		conns      map[string][]*conn
	}
)

// NewClient returns a client with an empty connection pool.
func NewClient(opts ...Option) *Client {
	o := options{
		dialTimeout: defaultDialTimeout,
		ackTimeout:  defaultAckTimeout,
		idleTimeout: defaultIdleTimeout,
		perAddress:  func() int { return DefaultIdlePerAddress },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Client{
		dial: newDialer(o),
		idle: &idlePool{timeout: o.idleTimeout, perAddress: o.perAddress, conns: make(map[string][]*conn)},
	}
}

// WithDialTimeout sets the timeout for opening a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(o *options) { o.dialTimeout = timeout }
}

// WithAckTimeout sets how long a peer may leave sent bytes unacknowledged before its connection is closed.
func WithAckTimeout(timeout time.Duration) Option {
	return func(o *options) { o.ackTimeout = timeout }
}

// WithIdleTimeout sets how long an unused connection is kept.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(o *options) { o.idleTimeout = timeout }
}

// WithIdlePerAddress sets the function that returns the maximum number of idle connections to one upstream.
func WithIdlePerAddress(connections func() int) Option {
	return func(o *options) { o.perAddress = connections }
}

// WithSocketBuffers sets the sizes of the socket buffers of connections, which the kernel doubles. Bytes that an upstream has
// sent and that are not read yet stay within them.
func WithSocketBuffers(receiveBytes, sendBytes int) Option {
	return func(o *options) { o.receiveBytes, o.sendBytes = receiveBytes, sendBytes }
}

// CloseIdle closes the idle connections that have expired, so that the upstream can accept others.
func (c *Client) CloseIdle(now time.Time) {
	for _, k := range c.idle.removeExpired(now) {
		k.abort()
	}
}

// take removes and returns an open idle connection, or returns nil. It closes connections that have expired
// or failed.
func (p *idlePool) take(address string, now time.Time) *conn {
	for {
		k := p.pop(address)
		if k == nil {
			return nil
		}
		if now.Before(k.expires) && k.isOpenAndIdle() {
			return k
		}
		k.abort()
	}
}

func (p *idlePool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.conns[address]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	p.conns[address] = conns[:len(conns)-1]
	return last
}

func (p *idlePool) put(k *conn, now time.Time) {
	if latest := now.Add(p.timeout); k.expires.IsZero() || k.expires.After(latest) {
		k.expires = latest
	}
	if !p.push(k) {
		k.abort()
	}
}

func (p *idlePool) push(k *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns[k.address]) >= p.perAddress() {
		return false
	}
	p.conns[k.address] = append(p.conns[k.address], k)
	return true
}

// removeExpired removes and returns the connections that have expired.
func (p *idlePool) removeExpired(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*conn
	for address, conns := range p.conns {
		kept := conns[:0]
		for _, k := range conns {
			if now.Before(k.expires) {
				kept = append(kept, k)
			} else {
				expired = append(expired, k)
			}
		}
		p.conns[address] = kept
		if len(kept) == 0 {
			delete(p.conns, address)
		}
	}
	return expired
}
