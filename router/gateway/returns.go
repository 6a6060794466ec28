package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// returnLife is how long a refused request is remembered: callers come back within a third
	// of their time, which is some ten seconds.
	returnLife = 15 * time.Second
	// maxReturns bounds the remembered refusals of one pool.
	maxReturns = 8192
)

type (
	// returns remembers refused requests, so that one that comes back is measured from its
	// first try, as its caller does. It is safe for concurrent use.
	returns struct {
		mu    sync.Mutex
		known map[uint64]firstTry
		swept time.Time
	}

	firstTry struct {
		arrived time.Time
		expires time.Time
	}
)

// fingerprint is the same for all tries of one request. Two requests with the same content are
// taken for one, which costs the second its place in a line only.
func (r *Request) fingerprint() uint64 {
	prompt := ""
	if r.Generation != nil {
		prompt = r.Generation.Content
	}
	return digest(r.Body, r.Host, r.Target, r.Header.Get("Authorization"), prompt)
}

// digest is the same for the same parts and body.
func digest(body []byte, parts ...string) uint64 {
	d := xxhash.New()
	for _, part := range parts {
		// A digest's writes don't fail.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// refused remembers a request that was refused with a time to come back.
func (s *returns) refused(key uint64, arrived time.Time, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if len(s.known) >= maxReturns {
		return
	}
	if s.known == nil {
		s.known = make(map[uint64]firstTry)
	}
	s.known[key] = firstTry{arrived: arrived, expires: now.Add(returnLife)}
}

// began returns when the first try of a request arrived.
func (s *returns) began(key uint64, arrived time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first, found := s.known[key]; found && arrived.Before(first.expires) {
		return first.arrived
	}
	return arrived
}

// sweep forgets what expired. The caller holds the lock.
func (s *returns) sweep(now time.Time) {
	if now.Sub(s.swept) < returnLife/4 {
		return
	}
	s.swept = now
	for key, first := range s.known {
		if now.After(first.expires) {
			delete(s.known, key)
		}
	}
}
