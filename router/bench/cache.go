package bench

import (
	"container/list"

	"gooseberrypin.example/router/prefill"
)

type (
	// blockCache simulates the prefix cache of an engine. It evicts the least recently used block.
	blockCache struct {
		capacity int
		order    *list.List
		blocks   map[uint64]*list.Element
	}
)

// newBlockCache returns an empty cache for a number of blocks.
func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// cached returns the number of tokens in the longest cached prefix of a prompt and marks its blocks as used. It is less
// than the length of the prompt, because the last token is always computed.
func (c *blockCache) cached(p prefill.Prompt) int {
	tokens := 0
	for _, b := range p.Blocks {
		e, found := c.blocks[b]
		if !found {
			break
		}
		c.order.MoveToFront(e)
		tokens += prefill.BlockTokens
	}
	return min(tokens, p.Tokens-1)
}

// add caches the blocks of a prompt.
func (c *blockCache) add(p prefill.Prompt) {
	for _, b := range p.Blocks {
		if e, found := c.blocks[b]; found {
			c.order.MoveToFront(e)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		if c.order.Len() > c.capacity {
			oldest := c.order.Back()
			c.order.Remove(oldest)
			delete(c.blocks, oldest.Value.(uint64))
		}
	}
}
