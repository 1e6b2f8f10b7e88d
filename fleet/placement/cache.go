package placement

import (
	"container/list"
	"time"

	"github.com/dragonflyworks/dragonflyworks/fleet/site"
)

// cacheTime is how long a part is taken to be cached after its last use at an engine: others push it out later.
const cacheTime = 30 * time.Second

// Cache remembers which parts of prompts an engine has read for this router, least recently used ones first out. Its zero
// value is empty.
type Cache struct {
	// Tokens bounds what is remembered; zero sets no bound.
	Tokens int64

	parts  map[string]*list.Element
	recent list.List
	held   int64
}

type cachedPart struct {
	site.Part
	used time.Time
}

// Hit returns how many tokens of a prompt's beginning are cached.
func (c *Cache) Hit(now time.Time, parts []site.Part) int64 {
	var hit int64
	for _, p := range parts {
		e, ok := c.parts[p.Identifier]
		if !ok || now.Sub(e.Value.(*cachedPart).used) > cacheTime {
			break
		}
		hit += p.Tokens
	}
	return hit
}

// Use notes that an engine has read a prompt.
func (c *Cache) Use(now time.Time, parts []site.Part) {
	if c.parts == nil {
		c.parts = make(map[string]*list.Element)
	}
	for _, p := range parts {
		if e, ok := c.parts[p.Identifier]; ok {
			e.Value.(*cachedPart).used = now
			c.recent.MoveToFront(e)
			continue
		}
		c.parts[p.Identifier] = c.recent.PushFront(&cachedPart{Part: p, used: now})
		c.held += p.Tokens
	}
	for c.Tokens > 0 && c.held > c.Tokens {
		oldest := c.recent.Back()
		part := c.recent.Remove(oldest).(*cachedPart)
		delete(c.parts, part.Identifier)
		c.held -= part.Tokens
	}
}
