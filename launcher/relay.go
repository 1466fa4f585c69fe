package launcher

import (
	"net"
	"net/netip"
	"sync"

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

// Relay forwards TCP connections to one address and can interrupt them in the ways a network does.
type Relay struct {
	to       netip.AddrPort
	address  netip.AddrPort
	listener net.Listener

	mu    sync.Mutex
	state relayState
	links map[*relayLink]bool
}

type relayState int

const (
	relayOpen relayState = iota
	relayCut
	relayDropping
)

// relayLink is one forwarded connection; silent is guarded by the relay's mutex.
type relayLink struct {
	in, out net.Conn
	silent  bool
}

// NewRelay starts a relay on a free loopback port.
func NewRelay(to netip.AddrPort) (*Relay, error) {
	// The kernel's choice lies outside of the ports of freeAddresses, which daemons may not have opened yet.
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, merry.Prepend(err, "relay")
	}
	a, err := netip.ParseAddrPort(l.Addr().String())
	if err != nil {
		return nil, err
	}
	r := &Relay{to: to, address: a, listener: l, links: map[*relayLink]bool{}}
	go r.accept()
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
	r.state = relayCut
	for k := range r.links {
		k.close()
	}
}

// Drop makes all connections silent for good and, until Heal, every new one: the other end sees lost packets and no error.
func (r *Relay) Drop() {
	r.Silence()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = relayDropping
}

// Heal forwards new connections again.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = relayOpen
}

// Silence makes the present connections silent for good; new ones work.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k := range r.links {
		k.silent = true
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Cut()
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		k, ok := r.link(c)
		if !ok {
			_ = c.Close()
			continue
		}
		go r.pump(k, k.in, k.out)
		go r.pump(k, k.out, k.in)
	}
}

// link connects an accepted connection to the relay's target.
func (r *Relay) link(c net.Conn) (*relayLink, bool) {
	d, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(r.to))
	if err != nil {
		return nil, false
	}
	k := &relayLink{in: c, out: d}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == relayCut {
		_ = d.Close()
		return nil, false
	}
	k.silent = r.state == relayDropping
	r.links[k] = true
	return k, true
}

// pump forwards one direction until either end closes; bytes of a silent connection are dropped.
func (r *Relay) pump(k *relayLink, from, to net.Conn) {
	defer r.drop(k)
	b := make([]byte, relayBuffer)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		if r.silent(k) {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}

func (r *Relay) silent(k *relayLink) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return k.silent
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
