package prefill

type (
	// index records approximately which prompt blocks an upstream has cached. When it is full, it evicts the
	// block that was inserted first.
	index struct {
		// slots maps each block's hash to its position in blocks.
		slots map[uint64]int
		// blocks is a ring of block hashes.
		blocks []uint64
		// next is the position of the next eviction.
		next int
	}
)

func newIndex(capacity int) *index {
	return &index{slots: make(map[uint64]int), blocks: make([]uint64, 0, capacity)}
}

// add inserts blocks. A block that is already present keeps its place in the eviction order.
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

// prefixTokens returns the length in tokens of the prompt's longest recorded prefix. It is less than the whole
// prompt, because at least one token has to be prefilled.
func (x *index) prefixTokens(p Prompt) int {
	tokens := 0
	for _, b := range p.Blocks {
		if _, found := x.slots[b]; !found {
			break
		}
		tokens += BlockTokens
	}
	return min(tokens, p.Tokens-1)
}
