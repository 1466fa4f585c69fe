package gossiper

import (
	"net/netip"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/logger"
)

// refusalInterval is the shortest time between two lines about datagrams that were not sent or not usable. Anybody who
// reaches the socket can cause such lines.
const refusalInterval = time.Second

// refusals logs datagrams that were not sent or not usable, at most one in each refusalInterval.
type refusals struct {
	log *logger.Logger

	mu       sync.Mutex
	last     time.Time
	unlogged int
	// peer and err are those of the newest datagram without a line.
	peer netip.Addr
	err  error
}

// add logs a datagram, or counts it for the next line.
func (r *refusals) add(now time.Time, peer netip.Addr, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unlogged++
	r.peer, r.err = peer, err
	r.write(now)
}

// flush logs the datagrams that have no line yet.
func (r *refusals) flush(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(now)
}

// write writes a line if one is due; mu is held.
func (r *refusals) write(now time.Time) {
	if r.unlogged == 0 || now.Sub(r.last) < refusalInterval {
		return
	}
	r.log.DatagramRefused(r.peer.String(), r.err, r.unlogged-1)
	r.last, r.unlogged = now, 0
}
