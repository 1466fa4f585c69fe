package launcher

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// relayBuffer is the size of a relay's reads, in bytes.
const relayBuffer = 32 << 10

// Path is the way from one daemon to a service that it dials.
type Path struct {
	// From is the name of the daemon that dials.
	From string
	// To is ToTable, ToList or the name of the daemon whose peer listener is dialed.
	To string
}

// Services that are not daemons, as ends of a path; names of daemons hold a hyphen.
const (
	ToTable = "table"
	ToList  = "list"
)

// Direction is that of bytes through a relay.
type Direction int

// The directions.
const (
	// Forth is from the end that dialed.
	Forth Direction = iota
	// Back is towards the end that dialed.
	Back
)

// Relay forwards TCP connections to one address and can interrupt them in the ways a network does.
type Relay struct {
	to      netip.AddrPort
	address netip.AddrPort

	mu sync.Mutex
	// listener is nil while connections are refused.
	listener *net.TCPListener
	closed   bool
	cut      bool
	// drops tells of each direction whether new connections are silent in it.
	drops [2]bool
	delay time.Duration
	links map[*relayLink]bool
}

// relayLink is one forwarded connection; silent is guarded by the relay's mutex.
type relayLink struct {
	in, out *net.TCPConn
	silent  [2]bool
}

// NewRelay starts a relay on a free loopback port.
func NewRelay(to netip.AddrPort) (*Relay, error) {
	return NewRelayAt(netip.AddrFrom4([4]byte{127, 0, 0, 1}), to)
}

// NewRelayAt starts a relay on a free port of an address. One that is to refuse connections for a while needs an address
// of its own, since a connection of another process could take the port meanwhile.
func NewRelayAt(at netip.Addr, to netip.AddrPort) (*Relay, error) {
	// The kernel's choice lies outside of the ports of freeAddresses, which daemons may not have opened yet.
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
	if err != nil {
		return nil, merry.Prepend(err, "relay")
	}
	a, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return nil, err
	}
	r := &Relay{to: to, address: a, listener: l, links: map[*relayLink]bool{}}
	go r.accept(l)
	return r, nil
}

// Address returns the address that the relay listens on.
func (r *Relay) Address() netip.AddrPort {
	return r.address
}

// Cut closes all connections and, until Heal, every new one.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = true
	for k := range r.links {
		k.close()
	}
}

// Refuse resets all connections and, until Accept, refuses new ones, as a machine does on which the process has ended. Like
// there, a connection may be accepted after others were reset, and is reset too.
func (r *Relay) Refuse() {
	r.Reset()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		_ = r.listener.Close()
		r.listener = nil
	}
	for k := range r.links {
		k.reset()
	}
}

// Reset resets all connections; new ones work.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.links {
		k.reset()
	}
}

// Drop makes all connections silent for good and, until Heal, every new one: the other end sees lost packets and no error.
func (r *Relay) Drop() {
	r.DropOneWay(Forth)
	r.DropOneWay(Back)
}

// DropOneWay does what Drop does, in one direction only.
func (r *Relay) DropOneWay(d Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drops[d] = true
	for k := range r.links {
		k.silent[d] = true
	}
}

// Delay holds up what passes in each direction for a time; 0 ends it.
func (r *Relay) Delay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Heal forwards new connections again, without delay.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut, r.drops, r.delay = false, [2]bool{}, 0
}

// Accept ends what Refuse began.
func (r *Relay) Accept() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil || r.closed {
		return nil
	}
	l, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(r.address))
	if err != nil {
		return merry.Prepend(err, "relay")
	}
	r.listener = l
	go r.accept(l)
	return nil
}

// Silence makes the present connections silent for good; new ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.links {
		k.silent = [2]bool{true, true}
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.Cut()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.listener != nil {
		_ = r.listener.Close()
	}
}

func (r *Relay) accept(l *net.TCPListener) {
	for {
		c, err := l.AcceptTCP()
		if err != nil {
			return
		}
		k, ok := r.link(l, c)
		if !ok {
			_ = c.Close()
			continue
		}
		go r.pump(k, Forth, k.in, k.out)
		go r.pump(k, Back, k.out, k.in)
	}
}

// link connects a connection that a listener accepted to the relay's target.
func (r *Relay) link(l *net.TCPListener, c *net.TCPConn) (*relayLink, bool) {
	d, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(r.to))
	if err != nil {
		return nil, false
	}
	k := &relayLink{in: c, out: d}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut || r.listener != l {
		_ = d.Close()
		return nil, false
	}
	k.silent = r.drops
	r.links[k] = true
	return k, true
}

// pump forwards one direction until either end closes; bytes of a silent connection are dropped.
func (r *Relay) pump(k *relayLink, d Direction, from, to *net.TCPConn) {
	defer r.drop(k)
	b := make([]byte, relayBuffer)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		silent, delay := r.state(k, d)
		if silent {
			continue
		}
		if delay > 0 {
			<-time.After(delay)
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (r *Relay) state(k *relayLink, d Direction) (silent bool, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return k.silent[d], r.delay
}

func (r *Relay) drop(k *relayLink) {
	k.close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, k)
}

func (k *relayLink) close() {
	_ = k.in.Close()
	_ = k.out.Close()
}

// reset closes both ends without the orderly end of a connection.
func (k *relayLink) reset() {
	_ = k.in.SetLinger(0)
	_ = k.out.SetLinger(0)
	k.close()
}
