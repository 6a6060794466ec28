package exchange

import (
	"sync"
	"time"
)

const (
	// defaultDialTimeout covers one lost opening packet, which is sent again after a second.
	defaultDialTimeout = 1200 * time.Millisecond
	// defaultSilence is how long sent bytes may stay unacknowledged: many round trips of any
	// two data centres of a region.
	defaultSilence = 2 * time.Second
	// defaultIdleLife closes connections that nothing has used.
	defaultIdleLife = 10 * time.Second
	// defaultIdlePerAddress bounds the idle connections to one upstream, which takes a few
	// hundred from all entries together.
	defaultIdlePerAddress = 8
)

type (
	// Option changes a client.
	Option func(*options)

	options struct {
		dialTimeout time.Duration
		silence     time.Duration
		idleLife    time.Duration
		perAddress  int
	}

	// idlePool keeps idle connections, the latest used last.
	idlePool struct {
		mu         sync.Mutex
		life       time.Duration
		perAddress int
		conns      map[string][]*conn
	}
)

// NewClient returns a client with an empty connection pool.
func NewClient(opts ...Option) *Client {
	o := options{
		dialTimeout: defaultDialTimeout,
		silence:     defaultSilence,
		idleLife:    defaultIdleLife,
		perAddress:  defaultIdlePerAddress,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Client{
		dial: dialer(o.dialTimeout, o.silence),
		idle: &idlePool{life: o.idleLife, perAddress: o.perAddress, conns: make(map[string][]*conn)},
	}
}

// WithDialTimeout bounds the opening of a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(o *options) { o.dialTimeout = timeout }
}

// WithSilence sets how long a peer may leave sent bytes unacknowledged.
func WithSilence(limit time.Duration) Option {
	return func(o *options) { o.silence = limit }
}

// WithIdleLife sets how long an unused connection is kept.
func WithIdleLife(life time.Duration) Option {
	return func(o *options) { o.idleLife = life }
}

// WithIdlePerAddress bounds the idle connections to one upstream.
func WithIdlePerAddress(connections int) Option {
	return func(o *options) { o.perAddress = connections }
}

// CloseIdle closes the connections that expired, so that an upstream's places are free for others.
func (c *Client) CloseIdle(now time.Time) {
	for _, k := range c.idle.expired(now) {
		k.abort()
	}
}

// take returns a live idle connection, or nil.
func (p *idlePool) take(address string, now time.Time) *conn {
	for {
		k := p.pop(address)
		if k == nil {
			return nil
		}
		if now.Before(k.expires) && k.quiet() {
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
	if limit := now.Add(p.life); k.expires.IsZero() || k.expires.After(limit) {
		k.expires = limit
	}
	if !p.push(k) {
		k.abort()
	}
}

func (p *idlePool) push(k *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns[k.address]) >= p.perAddress {
		return false
	}
	p.conns[k.address] = append(p.conns[k.address], k)
	return true
}

// expired removes and returns the connections that are no longer used.
func (p *idlePool) expired(now time.Time) []*conn {
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
