package standin

import (
	"container/list"

	"github.com/walnutramp/walnutramp"
)

// cacheBlock is the size of a prefix cache block in tokens.
const cacheBlock = 32

// prefixCache is an LRU cache of prompt prefixes in blocks.
type prefixCache struct {
	limit  int                      // blocks
	blocks map[uint64]*list.Element // by the hash of all tokens up to the end of the block
	order  *list.List               // block keys, most recently used first
}

// newPrefixCache returns an empty cache for the given number of tokens. With room for
// less than one block, it caches nothing.
func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{limit: capacity / cacheBlock, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// lookupAndInsert returns the length of the longest prefix of the tokens that was
// cached before, and caches all their full blocks.
func (p *prefixCache) lookupAndInsert(tokens []walnutramp.TokenID) int {
	var c chain
	cached := 0
	missed := false
	for i, id := range tokens {
		c = c.extend(id)
		if (i+1)%cacheBlock != 0 {
			continue
		}
		if element, ok := p.blocks[c.hash]; ok {
			p.order.MoveToFront(element)
			if !missed {
				cached = i + 1
			}
			continue
		}
		missed = true
		p.add(c.hash)
	}
	return cached
}

// add caches a block that is not cached, and evicts the least recently used ones
// beyond the limit.
func (p *prefixCache) add(key uint64) {
	if p.limit == 0 {
		return
	}
	p.blocks[key] = p.order.PushFront(key)
	for len(p.blocks) > p.limit {
		oldest := p.order.Back()
		p.order.Remove(oldest)
		delete(p.blocks, oldest.Value.(uint64))
	}
}
