package prefill

type (
	// index remembers, approximately, which prefixes an upstream has cached. It forgets
	// the oldest block when it is full.
	index struct {
		slots  map[uint64]int
		blocks []uint64
		next   int
	}
)

func newIndex(capacity int) *index {
	return &index{slots: make(map[uint64]int), blocks: make([]uint64, 0, capacity)}
}

// add remembers blocks. A block that is known keeps its place in the order.
func (x *index) add(blocks []uint64) {
	for _, b := range blocks {
		if _, found := x.slots[b]; !found {
			x.insert(b)
		}
	}
}

func (x *index) insert(block uint64) {
	if len(x.blocks) < cap(x.blocks) {
		x.slots[block] = len(x.blocks)
		x.blocks = append(x.blocks, block)
		return
	}
	delete(x.slots, x.blocks[x.next])
	x.blocks[x.next] = block
	x.slots[block] = x.next
	x.next = (x.next + 1) % len(x.blocks)
}

// cachedTokens returns the length of the longest known prefix.
func (x *index) cachedTokens(p Prompt) int {
	tokens := 0
	for _, b := range p.Blocks {
		if _, found := x.slots[b]; !found {
			break
		}
		tokens += BlockTokens
	}
	return min(tokens, p.Tokens-1)
}
