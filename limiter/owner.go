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
	// Divided is true if the account has two parts.
	Divided bool
	// Inherited is what the earlier owner handed over, or nil; it counts only when the part is new.
	Inherited *State
}

// HandOver is a part that this instance gave up, as the next owner goes on with it.
type HandOver struct {
	Account string
	Part    int
	Divided bool
	State   State
}

// handOverLife is how long a part that was given up is reported; a next owner that has not heard of it by then has
// waited for the freshness of the proof and starts without it.
const handOverLife = 4 * time.Second

type handOver struct {
	HandOver
	until time.Time
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
	mu        sync.Mutex
	parts     *indexer.Table[partKey, ownedPart]
	handOvers *indexer.Table[partKey, handOver]
}

type ownedPart struct {
	Part
	divided bool
}

// NewOwner returns an Owner without parts.
func NewOwner() *Owner {
	return &Owner{parts: indexer.New[partKey, ownedPart](), handOvers: indexer.New[partKey, handOver]()}
}

// Set replaces the parts owned: one that is new starts from what its earlier owner handed over, or else as after a
// takeover, one that is missing stops granting at once and is handed over, and one that stays keeps its tokens. A part
// may be listed only once its earlier owner has stopped.
func (o *Owner) Set(now time.Time, owned []Owned) {
	o.mu.Lock()
	defer o.mu.Unlock()
	keep := make(map[partKey]bool, len(owned))
	for _, w := range owned {
		k := partKey{w.Account, w.Part}
		keep[k] = true
		if p := o.parts.Get(k); p != nil {
			p.SetLimit(now, w.Limit)
			p.divided = w.Divided
			continue
		}
		o.handOvers.Delete(k)
		o.parts.Put(k, ownedPart{Part: *start(now, w), divided: w.Divided})
	}
	for k, p := range o.parts.All() {
		if !keep[k] {
			o.giveUp(now, k, p)
		}
	}
	for k, h := range o.handOvers.All() {
		if !now.Before(h.until) {
			o.handOvers.Delete(k)
		}
	}
}

func start(now time.Time, w Owned) *Part {
	if w.Inherited == nil {
		return NewPart(now, w.Limit)
	}
	return ResumePart(now, w.Limit, *w.Inherited)
}

func (o *Owner) giveUp(now time.Time, k partKey, p *ownedPart) {
	if s, ok := p.State(now); ok {
		h := HandOver{Account: k.account, Part: k.part, Divided: p.divided, State: s}
		o.handOvers.Put(k, handOver{HandOver: h, until: now.Add(handOverLife)})
	}
	o.parts.Delete(k)
}

// HandOvers returns the parts that this instance gave up lately.
func (o *Owner) HandOvers(now time.Time) []HandOver {
	o.mu.Lock()
	defer o.mu.Unlock()
	var r []HandOver
	for _, h := range o.handOvers.All() {
		if now.Before(h.until) {
			r = append(r, h.HandOver)
		}
	}
	return r
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
