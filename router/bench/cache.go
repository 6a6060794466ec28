package bench

import (
	"container/list"

	"gooseberrypin.example/router/prefill"
)

type (
	// blockCache is the prefix cache of a fake engine: it drops the least recently used block.
	blockCache struct {
		capacity int
		order    *list.List
		blocks   map[uint64]*list.Element
	}
)

func newBlockCache(capacity int) *blockCache {
	return &blockCache{capacity: capacity, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// cached returns the tokens of the longest cached prefix and marks it as used.
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
