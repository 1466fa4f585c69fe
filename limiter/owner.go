package limiter

import (
	"sync"
	"time"

	"celeryhead.dev/celeryhead/indexer"
)

// Owned is a bucket part that this instance owns.
type Owned struct {
	Account string
	// Part is the index in the result of Parts.
	Part  int
	Limit Limit
	// Divided is true if the bucket of the account has two parts.
	Divided bool
	// Inherited is the state handed over by the previous owner, or nil. It is used only if this instance did not own the
	// part before.
	Inherited *State
}

// HandOver is the final state of a part that this instance released, for the next owner to resume from.
type HandOver struct {
	Account string
	Part    int
	Divided bool
	State   State
}

// handOverTTL is how long a released part is reported. A next owner that has not received the report by then has waited
// out the proof of freshness of the previous owner and starts with an empty part.
const handOverTTL = 4 * time.Second

type handOver struct {
	HandOver
	expiry time.Time
}

// Reply is an owner's reply to a token request.
type Reply struct {
	Tokens int
	// Life is how long the tokens can be spent, counted from when the holder sent the request.
	Life time.Duration
	// Retry is the time until the next token may be available, if fewer tokens were granted than requested.
	Retry time.Duration
	// NotOwner is true if the instance is not allowed to grant tokens of the part.
	NotOwner bool
}

type partKey struct {
	account string
	part    int
}

// Owner manages the bucket parts that an instance owns. It is safe for concurrent use.
type Owner struct {
	mu        sync.Mutex
	parts     *indexer.Table[partKey, ownedPart]
	handOvers *indexer.Table[partKey, handOver]
}

type ownedPart struct {
	Part
	divided bool
}

// NewOwner returns an Owner that owns no parts.
func NewOwner() *Owner {
	return &Owner{parts: indexer.New[partKey, ownedPart](), handOvers: indexer.New[partKey, handOver]()}
}

// Set replaces the set of owned parts. A new part resumes from Inherited or, without it, starts empty as NewPart
// describes; a part that is no longer listed stops granting at once and is reported by HandOvers; the others keep their
// tokens. A part must not be listed before its previous owner has stopped granting.
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
		o.parts.Put(k, ownedPart{Part: *initialPart(now, w), divided: w.Divided})
	}
	for k, p := range o.parts.All() {
		if !keep[k] {
			o.release(now, k, p)
		}
	}
	for k, h := range o.handOvers.All() {
		if !now.Before(h.expiry) {
			o.handOvers.Delete(k)
		}
	}
}

// initialPart returns the state in which a newly owned part starts.
func initialPart(now time.Time, w Owned) *Part {
	if w.Inherited == nil {
		return NewPart(now, w.Limit)
	}
	return ResumePart(now, w.Limit, *w.Inherited)
}

// release removes a part and keeps its state for HandOvers.
func (o *Owner) release(now time.Time, k partKey, p *ownedPart) {
	if s, ok := p.State(now); ok {
		h := HandOver{Account: k.account, Part: k.part, Divided: p.divided, State: s}
		o.handOvers.Put(k, handOver{HandOver: h, expiry: now.Add(handOverTTL)})
	}
	o.parts.Delete(k)
}

// HandOvers returns the parts that this instance released within the last handOverTTL.
func (o *Owner) HandOvers(now time.Time) []HandOver {
	o.mu.Lock()
	defer o.mu.Unlock()
	var r []HandOver
	for _, h := range o.handOvers.All() {
		if now.Before(h.expiry) {
			r = append(r, h.HandOver)
		}
	}
	return r
}

// Grant grants tokens of a part to a holder. The owner's proof of freshness must be valid at now.
func (o *Owner) Grant(now time.Time, account string, part int, q Request) Reply {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.parts.Get(partKey{account, part})
	if p == nil {
		return Reply{NotOwner: true}
	}
	n, retry := p.Grant(now, q)
	return Reply{Tokens: n, Life: GrantTTL, Retry: retry}
}
