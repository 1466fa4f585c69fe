package limiter

import (
	"sync"
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// Owned is a part that this instance owns and may act on.
type Owned struct {
	Account string
	// Part is the index in the result of Parts.
	Part  int
	Limit Limit
}

// Reply is the answer of an owner to a request for tokens.
type Reply struct {
	Tokens int
	// Life counts from when the holder sent its request.
	Life time.Duration
	// Retry is the time until another token may be there, if fewer were granted than asked for.
	Retry time.Duration
	// NotOwner is true if the instance may not grant tokens of the part.
	NotOwner bool
}

type partKey struct {
	account string
	part    int
}

// Owner holds the parts that an instance owns; it is safe for concurrent use.
type Owner struct {
	mu    sync.Mutex
	parts *indexer.Table[partKey, Part]
}

// NewOwner returns an Owner without parts.
func NewOwner() *Owner {
	return &Owner{parts: indexer.New[partKey, Part]()}
}

// Set replaces the parts owned: one that is new starts as after a takeover, one that is missing stops granting at
// once, and one that stays keeps its tokens. A part may be listed only once its earlier owner has stopped.
func (o *Owner) Set(now time.Time, owned []Owned) {
	o.mu.Lock()
	defer o.mu.Unlock()
	keep := make(map[partKey]bool, len(owned))
	for _, w := range owned {
		k := partKey{w.Account, w.Part}
		keep[k] = true
		if p := o.parts.Get(k); p != nil {
			p.SetLimit(now, w.Limit)
			continue
		}
		o.parts.Put(k, *NewPart(now, w.Limit))
	}
	for k := range o.parts.All() {
		if !keep[k] {
			o.parts.Delete(k)
		}
	}
}

// Grant takes tokens of a part for a holder. The proof of freshness of the owner must be valid at now.
func (o *Owner) Grant(now time.Time, account string, part int, q Request) Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.parts.Get(partKey{account, part})
	if p == nil {
		return Reply{NotOwner: true}
	}
	n, retry := p.Grant(now, q)
	return Reply{Tokens: n, Life: GrantLife, Retry: retry}
}
