package admitter

import (
	"net/netip"
	"time"
)

const (
	// silence is after how long without progress a holder counts as silent. It exceeds the time in which TCP repeats lost
	// segments twice.
	silence = time.Second
	// smallBytes is what an ordinary request takes at most; a holder below it is not refused while another one can be closed.
	smallBytes = 64 << 10
	// networkBits is the length of the prefix that stands for an IPv6 caller, who commonly has all addresses in it.
	networkBits = 64
)

// Limits is the size of a budget.
type Limits struct {
	// Bytes bounds the bytes of all holders.
	Bytes int64
	// Descriptors bounds the descriptors of all holders: one for each, and those that their requests need.
	Descriptors int
	// AddressPercent is the part of both above which an address is over its share.
	AddressPercent int
}

// Phase is what a holder does.
type Phase int

const (
	// Head means that the head of a request is being received, or nothing arrived yet.
	Head Phase = iota
	// Body means that the body of a request is being received.
	Body
	// Running means that the request was received.
	Running
	// Rest means that the handler has ended and the connection is not idle yet.
	Rest
	// Idle means that the connection waits for a further request.
	Idle
)

// Holder is a connection that holds a part of a budget.
type Holder struct {
	address netip.Addr
	// share is that of the address.
	share       *share
	bytes       int64
	descriptors int
	index       int
	gone        bool

	phase Phase
	// keyed is true once a request showed a valid key.
	keyed bool
	// runs is the number of requests whose handlers run.
	runs int
	// epoch is the time from which received and writing count; whole numbers are compared faster than times.
	epoch time.Time
	// received is when the caller last sent something.
	received time.Duration
	// writing is since when a write waits; 0 if none does.
	writing time.Duration
}

// Bytes returns the bytes that the holder has reserved.
func (h *Holder) Bytes() int64 { return h.bytes }

// Phase returns what the holder does.
func (h *Holder) Phase() Phase { return h.phase }

// Enter changes the phase.
func (h *Holder) Enter(p Phase) { h.phase = p }

// Receive records that the caller sent something.
func (h *Holder) Receive(now time.Time) { h.received = now.Sub(h.epoch) }

// Trust records that a request showed a valid key.
func (h *Holder) Trust() { h.keyed = true }

// BeginRun and EndRun count the requests whose handlers run.
func (h *Holder) BeginRun() { h.runs++ }

// EndRun is the end of BeginRun.
func (h *Holder) EndRun() { h.runs-- }

// BeginWrite and EndWrite enclose a write to the caller.
func (h *Holder) BeginWrite(now time.Time) { h.writing = max(now.Sub(h.epoch), 1) }

// EndWrite is the end of BeginWrite.
func (h *Holder) EndWrite() { h.writing = 0 }

// stalled reports whether a write has waited for too long.
func (h *Holder) stalled(now time.Duration) bool {
	return h.writing != 0 && now-h.writing >= silence
}

// share is what the holders of an address have together.
type share struct {
	bytes       int64
	descriptors int
	holders     int
}

// Budget divides memory and descriptors among holders; it is not safe for concurrent use.
type Budget struct {
	limits Limits
	// epoch is the time of the first connection.
	epoch       time.Time
	bytes       int64
	descriptors int
	holders     []*Holder
	addresses   map[netip.Addr]*share
}

// NewBudget returns a budget that nobody holds.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, addresses: map[netip.Addr]*share{}}
}

// Limit changes the size. Holders beyond a smaller one are closed by the next reservations.
func (b *Budget) Limit(l Limits) { b.limits = l }

// Use returns the bytes and descriptors of all holders.
func (b *Budget) Use() (bytes int64, descriptors int) { return b.bytes, b.descriptors }

// Open returns a holder of n bytes for a new connection, and those that must be closed for it; nil if there is no room.
func (b *Budget) Open(now time.Time, a netip.Addr, n int64) (h *Holder, closed []*Holder) {
	if b.epoch.IsZero() {
		b.epoch = now
	}
	h = &Holder{address: network(a), epoch: b.epoch, received: now.Sub(b.epoch), index: len(b.holders)}
	h.share = b.addresses[h.address]
	if h.share == nil {
		h.share = &share{}
		b.addresses[h.address] = h.share
	}
	h.share.holders++
	b.holders = append(b.holders, h)
	closed, ok := b.Reserve(now, h, n, 1)
	if !ok {
		b.Close(h)
		return nil, closed
	}
	return h, closed
}

// Reserve reserves n further bytes and d descriptors for a holder, and returns those that must be closed for it. Closed ones hold nothing any
// more. Without room it reports false and reserves nothing.
func (b *Budget) Reserve(now time.Time, h *Holder, n int64, d int) (closed []*Holder, ok bool) {
	if h.gone {
		return nil, false
	}
	for n > 0 && b.bytes+n > b.limits.Bytes || d > 0 && b.descriptors+d > b.limits.Descriptors {
		v := b.first(now, h, n)
		if v == nil {
			return closed, false
		}
		b.Close(v)
		closed = append(closed, v)
	}
	b.add(h, n, d)
	return closed, true
}

// Release gives n bytes and d descriptors of a holder back.
func (b *Budget) Release(h *Holder, n int64, d int) {
	if !h.gone {
		b.add(h, -n, -d)
	}
}

// Close gives back all that a holder has.
func (b *Budget) Close(h *Holder) {
	if h.gone {
		return
	}
	b.add(h, -h.bytes, -h.descriptors)
	h.gone = true
	h.share.holders--
	if h.share.holders == 0 {
		delete(b.addresses, h.address)
	}
	last := len(b.holders) - 1
	b.holders[h.index] = b.holders[last]
	b.holders[h.index].index = h.index
	b.holders[last] = nil
	b.holders = b.holders[:last]
}

func (b *Budget) add(h *Holder, bytes int64, descriptors int) {
	h.bytes += bytes
	h.share.bytes += bytes
	b.bytes += bytes
	h.descriptors += descriptors
	h.share.descriptors += descriptors
	b.descriptors += descriptors
}

// first returns the holder that is closed first so that h can have n further bytes, or nil if that is h itself.
func (b *Budget) first(at time.Time, h *Holder, n int64) *Holder {
	var v *Holder
	var least order
	now := at.Sub(b.epoch)
	for _, o := range b.holders {
		if o == h {
			continue
		}
		if k, ok := b.order(now, o, 0); ok && (v == nil || k.before(least)) {
			v, least = o, k
		}
	}
	if v == nil || h.bytes+n <= smallBytes {
		return v
	}
	// A handler that runs is refused like one that still sends.
	k, ok := b.order(now, h, n)
	if !ok {
		k = order{class: unkeyed}
		if h.keyed {
			k.class = keyedSending
		}
		k.bytes, k.received = h.bytes+n, h.received
	}
	if k.before(least) {
		return nil
	}
	return v
}

// class is the first criterion of the order in which holders are closed.
type class int

const (
	// unkeyed holders send a request, or do not read the answer to one, and showed no valid key.
	unkeyed class = iota
	// keyedSilent holders showed a valid key, and have been silent in the middle of a request or an answer.
	keyedSilent
	// idleUnkeyed and idleKeyed holders wait for a further request.
	idleUnkeyed
	idleKeyed
	// keyedSending holders showed a valid key and send a request.
	keyedSending
)

// order compares holders: by class, those of addresses over their share first, then silent ones by the time of their last
// byte, then the others by what they hold.
type order struct {
	class    class
	over     bool
	silent   bool
	received time.Duration
	bytes    int64
}

func (a order) before(b order) bool {
	switch {
	case a.class != b.class:
		return a.class < b.class
	case a.over != b.over:
		return a.over
	case a.silent != b.silent:
		return a.silent
	case !a.silent && a.bytes != b.bytes:
		return a.bytes > b.bytes
	}
	return a.received < b.received
}

// order returns the place of a holder that has n further bytes; false means that it is not closed, because its request may run.
func (b *Budget) order(now time.Duration, h *Holder, n int64) (order, bool) {
	k := order{received: h.received, bytes: h.bytes + n, over: b.over(h.share)}
	stalled := h.stalled(now)
	k.silent = stalled || now-h.received >= silence
	switch {
	case h.runs > 1 && !stalled, h.phase == Running && !stalled, h.phase == Idle && h.runs > 0 && !stalled:
		return k, false
	case h.phase == Idle && !stalled:
		k.class = idleUnkeyed
		if h.keyed {
			k.class = idleKeyed
		}
		// Idle holders are closed in the order of their last use, whatever they hold.
		k.silent = true
	case !h.keyed:
		k.class = unkeyed
	case k.silent:
		k.class = keyedSilent
	default:
		k.class = keyedSending
	}
	return k, true
}

// over reports whether an address holds more than its part.
func (b *Budget) over(s *share) bool {
	p := int64(b.limits.AddressPercent)
	return s.bytes*100 > b.limits.Bytes*p || int64(s.descriptors)*100 > int64(b.limits.Descriptors)*p
}

// network returns the address that stands for a caller.
func network(a netip.Addr) netip.Addr {
	a = a.Unmap().WithZone("")
	if !a.Is6() {
		return a
	}
	p, err := a.Prefix(networkBits)
	if err != nil {
		return a
	}
	return p.Addr()
}
