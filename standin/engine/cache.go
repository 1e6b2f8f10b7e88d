package engine

import (
	"container/list"
	"hash/fnv"
	"sync"
)

// blockWords is how many words of a prompt are cached together.
const blockWords = 16

// prefixCache remembers which prefixes of prompts were seen last, in blocks of words.
type prefixCache struct {
	limit   int
	mutex   sync.Mutex
	blocks  map[uint64]*list.Element
	recent  list.List
	hits    int
	lookups int
}

// add remembers a prompt's prefixes and returns how many of its words were cached.
func (p *prefixCache) add(words []string) int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	cached, missed := 0, false
	for _, block := range prefixes(words) {
		p.lookups++
		if !p.touch(block) {
			missed = true
		}
		if !missed {
			p.hits++
			cached += blockWords
		}
	}
	return cached
}

// prefixes returns a hash for each prefix that ends at a whole block.
func prefixes(words []string) []uint64 {
	var hashes []uint64
	hash := fnv.New64a()
	for i, word := range words {
		_, _ = hash.Write([]byte(word))
		_, _ = hash.Write([]byte{' '})
		if (i+1)%blockWords == 0 {
			hashes = append(hashes, hash.Sum64())
		}
	}
	return hashes
}

// touch makes a block the most recent one and reports whether it was there.
func (p *prefixCache) touch(block uint64) bool {
	if p.blocks == nil {
		p.blocks = make(map[uint64]*list.Element)
	}
	if element := p.blocks[block]; element != nil {
		p.recent.MoveToFront(element)
		return true
	}
	p.blocks[block] = p.recent.PushFront(block)
	for p.recent.Len() > p.limit {
		oldest := p.recent.Back()
		delete(p.blocks, p.recent.Remove(oldest).(uint64))
	}
	return false
}

func (p *prefixCache) counts() (blocks, hits, lookups int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.recent.Len(), p.hits, p.lookups
}
