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
	blockTokens          = 64
	blockBytes           = blockTokens * bytesPerToken
	cacheEventLag        = time.Second
	droppedEventInterval = 20
	maxCacheEvents       = 4096

	// Stored is the change of an event for a block that was added to the cache.
	Stored CacheChange = "stored"
	// Evicted is the change of an event for a block that was evicted from the cache.
	Evicted CacheChange = "evicted"
)

type (
	// CacheChange is the kind of a cache event.
	CacheChange string

	// CacheEvent reports a change of the prefix cache. Events are published after cacheEventLag, and
	// every droppedEventInterval-th event is dropped.
	CacheEvent struct {
		Sequence  int64       `json:"sequence"`
		Change    CacheChange `json:"change"`
		Block     string      `json:"block"`
		createdAt time.Time
	}

	// prefixCache is an LRU cache of blocks of prompt prefixes.
	prefixCache struct {
		mu        sync.Mutex
		maxBlocks int
		// byRecency has the most recently used block first.
		byRecency    *list.List
		blocks       map[string]*list.Element
		lastSequence int64
		events       []CacheEvent
	}
)

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{maxBlocks: limit, byRecency: list.New(), blocks: make(map[string]*list.Element)}
}

// addPrompt caches the complete blocks of a prompt. It returns the number of tokens in the leading
// blocks that were cached already.
func (c *prefixCache) addPrompt(model, prompt string, now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var cached int64
	allCached := true
	digest := sha256.New()
	digest.Write([]byte(model))
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		digest.Write([]byte(prompt[start : start+blockBytes]))
		block := hex.EncodeToString(digest.Sum(nil))
		allCached = c.addBlock(block, now) && allCached
		if allCached {
			cached += blockTokens
		}
	}
	return cached
}

// addBlock marks a block as most recently used and reports whether it was cached already. A new block
// may evict the least recently used one.
func (c *prefixCache) addBlock(block string, now time.Time) bool {
	if element, found := c.blocks[block]; found {
		c.byRecency.MoveToFront(element)
		return true
	}
	c.blocks[block] = c.byRecency.PushFront(block)
	c.publish(Stored, block, now)
	if c.byRecency.Len() > c.maxBlocks {
		evicted := c.byRecency.Remove(c.byRecency.Back()).(string)
		delete(c.blocks, evicted)
		c.publish(Evicted, evicted, now)
	}
	return false
}

// publish adds an event. At most maxCacheEvents events are kept.
func (c *prefixCache) publish(change CacheChange, block string, now time.Time) {
	c.lastSequence++
	if c.lastSequence%droppedEventInterval == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.lastSequence, Change: change, Block: block, createdAt: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events with a higher sequence number that are at least cacheEventLag old.
func (c *prefixCache) eventsAfter(sequence int64, now time.Time) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.Sequence > sequence && now.Sub(e.createdAt) >= cacheEventLag {
			events = append(events, e)
		}
	}
	return events
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, e.cache.eventsAfter(after, time.Now()))
}
