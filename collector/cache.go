package collector

import (
	"sync"

	"celeryhead.dev/celeryhead/chunker"
)

// cache keeps the chunks that were put last, at most limit bytes; it is safe for concurrent use.
//
// It has two generations of half the limit each: the older one is dropped when the younger one is full. A chunk that
// is larger than a generation is not kept.
type cache struct {
	limit int

	mu         sync.Mutex
	size       int
	young, old map[chunker.Name][]byte
}

func (c *cache) get(n chunker.Name) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b, ok := c.young[n]; ok {
		return b, true
	}
	b, ok := c.old[n]
	return b, ok
}

func (c *cache) put(n chunker.Name, b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(b) > c.limit/2 {
		return
	}
	if c.size+len(b) > c.limit/2 {
		c.old, c.young, c.size = c.young, nil, 0
	}
	if c.young == nil {
		c.young = map[chunker.Name][]byte{}
	}
	if _, ok := c.young[n]; ok {
		return
	}
	c.young[n] = b
	c.size += len(b)
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.young, c.old, c.size = nil, nil, 0
}
