package placement

import (
	"container/list"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// entryLifetime is how long a prompt part is assumed to stay in an engine's cache after its last use, before other
// prompts evict it.
const entryLifetime = 30 * time.Second

// Cache tracks which prompt parts an engine has read for this router and evicts the least recently used parts first.
// The zero value is an empty cache.
type Cache struct {
	// MaxTokens is the maximum size of the tracked parts in tokens; zero means unbounded.
	MaxTokens int64

	byIdentifier map[string]*list.Element
	useOrder     list.List
	cachedTokens int64
}

type cachedPart struct {
	site.Part
	lastUsed time.Time
}

// CachedTokens returns how many tokens of a prompt's prefix the engine is expected to have cached. It stops at the
// first part that is unknown or expired.
func (c *Cache) CachedTokens(now time.Time, parts []site.Part) int64 {
	var tokens int64
	for _, p := range parts {
		e, ok := c.byIdentifier[p.Identifier]
		if !ok || now.Sub(e.Value.(*cachedPart).lastUsed) > entryLifetime {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// AddParts records that the engine has read the parts of a prompt. It then evicts the least recently used parts until
// the tracked parts fit into MaxTokens.
func (c *Cache) AddParts(now time.Time, parts []site.Part) {
	if c.byIdentifier == nil {
		c.byIdentifier = make(map[string]*list.Element)
	}
	for _, p := range parts {
		if e, ok := c.byIdentifier[p.Identifier]; ok {
			e.Value.(*cachedPart).lastUsed = now
			c.useOrder.MoveToFront(e)
			continue
		}
		c.byIdentifier[p.Identifier] = c.useOrder.PushFront(&cachedPart{Part: p, lastUsed: now})
		c.cachedTokens += p.Tokens
	}
	for c.MaxTokens > 0 && c.cachedTokens > c.MaxTokens {
		oldest := c.useOrder.Back()
		part := c.useOrder.Remove(oldest).(*cachedPart)
		delete(c.byIdentifier, part.Identifier)
		c.cachedTokens -= part.Tokens
	}
}
