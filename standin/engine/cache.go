package engine

import (
	"container/list"
	"hash/fnv"
	"sync"
)

// wordsPerBlock is the number of words in a block, the unit of prefix caching.
const wordsPerBlock = 16

// prefixCache is an LRU cache of the hashes of prompt prefixes that end at a block boundary.
type prefixCache struct {
	limit       int
	mutex       sync.Mutex
	blocks      map[uint64]*list.Element
	blocksByUse list.List
	hits        int
	lookups     int
}

// add caches the prefixes of a prompt and returns the number of words in its longest prefix that was cached before.
func (p *prefixCache) add(words []string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	cached, missed := 0, false
	for _, block := range hashPrefixes(words) {
		p.lookups++
		if !p.use(block) {
			missed = true
		}
		if !missed {
			p.hits++
			cached += wordsPerBlock
		}
	}
	return cached
}

// hashPrefixes returns the hash of each prefix that ends at a block boundary.
func hashPrefixes(words []string) []uint64 {
	var hashes []uint64
	hash := fnv.New64a()
	for i, word := range words {
		_, _ = hash.Write([]byte(word))
		_, _ = hash.Write([]byte{' '})
		if (i+1)%wordsPerBlock == 0 {
			hashes = append(hashes, hash.Sum64())
		}
	}
	return hashes
}

// use marks a block as most recently used, adds it if it is missing, and reports whether it was cached. It evicts the least
// recently used blocks above the limit.
func (p *prefixCache) use(block uint64) bool {
	if p.blocks == nil {
		p.blocks = make(map[uint64]*list.Element)
	}
	if element := p.blocks[block]; element != nil {
		p.blocksByUse.MoveToFront(element)
		return true
	}
	p.blocks[block] = p.blocksByUse.PushFront(block)
	for p.blocksByUse.Len() > p.limit {
		oldest := p.blocksByUse.Back()
		delete(p.blocks, p.blocksByUse.Remove(oldest).(uint64))
	}
	return false
}

func (p *prefixCache) stats() (blocks, hits, lookups int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.blocksByUse.Len(), p.hits, p.lookups
}
