package gateway

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// refusedRequestTTL is how long a refused request is kept. Callers wait for some ten seconds and send a
	// refused request again within a third of that time.
	refusedRequestTTL = 15 * time.Second
	// maxRefusedRequests bounds the refused requests that are kept for one pool.
	maxRefusedRequests = 8192
)

type (
	// refusedRequests holds the requests that were refused with a retry delay, by their fingerprints. When a
	// caller sends one again, its latency is measured from the first attempt, as its caller measures it. It
	// is safe for concurrent use.
	refusedRequests struct {
		mu        sync.Mutex
		entries   map[uint64]refusedRequest
		lastSweep time.Time
	}

	refusedRequest struct {
		// firstArrival is when the first attempt of the request arrived.
		firstArrival time.Time
		expires      time.Time
	}
)

// fingerprint returns a digest that is the same for all attempts of one request of a customer. Two requests with the same
// content share a fingerprint. This only affects the position of the second one in the queue for decode
// memory.
func (r *Request) fingerprint() uint64 {
	prompt := ""
	if r.Generation != nil {
		prompt = r.Generation.Content
	}
	return digest(r.Body, r.Host, r.Target, r.Header.Get("Authorization"), string(r.KeyDigest[:]), prompt)
}

// digest returns a hash of the body and the parts. It is not cryptographic.
func digest(body []byte, parts ...string) uint64 {
	d := xxhash.New()
	for _, part := range parts {
		// Writes to the hash never fail.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// add stores a request that was refused with a retry delay, unless the table is full. It takes the time at
// which the first attempt arrived.
func (r *refusedRequests) add(key uint64, firstArrival time.Time, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if len(r.entries) >= maxRefusedRequests {
		return
	}
	if r.entries == nil {
		r.entries = make(map[uint64]refusedRequest)
	}
	r.entries[key] = refusedRequest{firstArrival: firstArrival, expires: now.Add(refusedRequestTTL)}
}

// firstArrival returns when the first attempt of a request arrived: the given time if no attempt was
// refused recently.
func (r *refusedRequests) firstArrival(key uint64, arrived time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if earlier, found := r.entries[key]; found && arrived.Before(earlier.expires) {
		return earlier.firstArrival
	}
	return arrived
}

// sweep deletes the expired entries, at most four times per TTL. The caller holds the lock.
func (r *refusedRequests) sweep(now time.Time) {
	if now.Sub(r.lastSweep) < refusedRequestTTL/4 {
		return
	}
	r.lastSweep = now
	for key, entry := range r.entries {
		if now.After(entry.expires) {
			delete(r.entries, key)
		}
	}
}
