package standin

import (
	"container/list"

	"github.com/walnutramp/walnutramp"
)

// cacheBlock is how many tokens the prefix cache keeps together.
const cacheBlock = 32

// prefixCache is a least-recently-used cache of prompt prefixes in blocks.
type prefixCache struct {
	limit  int // blocks
	blocks map[uint64]*list.Element
	order  *list.List // most recent first, of block keys
}

func newPrefixCache(tokens int) *prefixCache {
	return &prefixCache{limit: tokens / cacheBlock, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// use returns how many leading tokens were cached, and caches them all.
func (p *prefixCache) use(tokens []walnutramp.TokenID) int {
	var c chain
	hit := 0
	missed := false
	for i, id := range tokens {
		c = c.then(id)
		if (i+1)%cacheBlock != 0 {
			continue
		}
		if el, ok := p.blocks[c.sum]; ok {
			p.order.MoveToFront(el)
			if !missed {
				hit = i + 1
			}
			continue
		}
		missed = true
		p.add(c.sum)
	}
	return hit
}

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
