package engine

import (
	"container/list"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync"
	"time"

	"crypto/sha256"
)

const (
	blockTokens    = 64
	blockBytes     = blockTokens * bytesPerToken
	cacheEventLag  = time.Second
	cacheEventGap  = 20
	maxCacheEvents = 4096

	// Stored events tell that a block of a prefix is cached.
	Stored CacheChange = "stored"
	// Evicted events tell that a block of a prefix is gone.
	Evicted CacheChange = "evicted"
)

type (
	// CacheChange is the kind of a cache event.
	CacheChange string

	// CacheEvent tells a change of the prefix cache. It is published late, and some are left out.
	CacheEvent struct {
		Sequence int64       `json:"sequence"`
		Change   CacheChange `json:"change"`
		Block    string      `json:"block"`
		at       time.Time
	}

	// prefixCache holds the least recently used blocks of prompt prefixes last.
	prefixCache struct {
		mu       sync.Mutex
		limit    int
		order    *list.List
		blocks   map[string]*list.Element
		sequence int64
		events   []CacheEvent
	}
)

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: make(map[string]*list.Element)}
}

// add caches a prompt's blocks and returns the number of its tokens that were cached before.
func (c *prefixCache) add(model, prompt string, now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var cached int64
	hit := true
	digest := sha256.New()
	digest.Write([]byte(model))
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		digest.Write([]byte(prompt[start : start+blockBytes]))
		block := hex.EncodeToString(digest.Sum(nil))
		hit = c.touch(block, now) && hit
		if hit {
			cached += blockTokens
		}
	}
	return cached
}

func (c *prefixCache) touch(block string, now time.Time) bool {
	if element, found := c.blocks[block]; found {
		c.order.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.order.PushFront(block)
	c.publish(Stored, block, now)
	if c.order.Len() > c.limit {
		last := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, last)
		c.publish(Evicted, last, now)
	}
	return false
}

func (c *prefixCache) publish(change CacheChange, block string, now time.Time) {
	c.sequence++
	if c.sequence%cacheEventGap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Change: change, Block: block, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *prefixCache) after(sequence int64, now time.Time) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && now.Sub(e.at) >= cacheEventLag {
			events = append(events, e)
		}
	}
	return events
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, e.cache.after(after, time.Now()))
}
