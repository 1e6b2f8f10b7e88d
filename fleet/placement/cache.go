package placement

import (
	"container/list"
	"strings"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// entryLifetime is how long a prompt part is assumed to stay in an engine's cache after its last use, before other
// prompts evict it.
const entryLifetime = 30 * time.Second

// PartBytes is about the memory in bytes that a tracked part takes.
const PartBytes = 256

// Memory bounds the parts that all caches of a router track together. Parts that have expired are evicted first, then those that were used
// longest ago, whichever cache they belong to. The zero value has no bound.
type Memory struct {
	// MaxParts is the maximum number of tracked parts; zero for any number.
	MaxParts int

	useOrder list.List
}

// Len returns the number of tracked parts.
func (m *Memory) Len() int { return m.useOrder.Len() }

// evict evicts parts until the rest have not expired and are at most MaxParts.
func (m *Memory) evict(now time.Time) {
	for oldest := m.useOrder.Back(); oldest != nil; oldest = m.useOrder.Back() {
		part := oldest.Value.(*cachedPart)
		if now.Sub(part.lastUsed) <= entryLifetime && (m.MaxParts == 0 || m.useOrder.Len() <= m.MaxParts) {
			return
		}
		m.useOrder.Remove(oldest)
		delete(part.cache.byIdentifier, part.identifier)
	}
}

// Cache tracks which prompt parts an engine has read for this router. The zero value is an empty cache with a memory of its own.
type Cache struct {
	// Memory holds the parts of this cache and of others. It must not change once parts have been added.
	Memory *Memory

	byIdentifier map[string]*list.Element
}

type cachedPart struct {
	cache      *Cache
	identifier string
	lastUsed   time.Time
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

// AddParts records that the engine has read the parts of a prompt, and evicts what the memory has no room for. Of a prompt with more parts than that
// the first ones stay, without which the others are of no use.
func (c *Cache) AddParts(now time.Time, parts []site.Part) {
	if c.byIdentifier == nil {
		c.byIdentifier = make(map[string]*list.Element)
	}
	if c.Memory == nil {
		c.Memory = &Memory{}
	}
	order := &c.Memory.useOrder
	for i := len(parts) - 1; i >= 0; i-- {
		if e, ok := c.byIdentifier[parts[i].Identifier]; ok {
			e.Value.(*cachedPart).lastUsed = now
			order.MoveToFront(e)
			continue
		}
		// The identifier is a part of the request's header, which would be kept with it.
		identifier := strings.Clone(parts[i].Identifier)
		c.byIdentifier[identifier] = order.PushFront(&cachedPart{cache: c, identifier: identifier, lastUsed: now})
	}
	c.Memory.evict(now)
}
