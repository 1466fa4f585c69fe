package gossiper

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/timer"
)

const (
	// Interval is the pause between the rounds of an instance.
	Interval = 500 * time.Millisecond
	// nearFanout and farFanout are the numbers of instances of the own and of other regions that get a datagram in each
	// round; at 350 bytes they keep an instance under the 3 KB/s that the target allows for control, and tell all
	// instances of fleets of up to ten in each round.
	nearFanout = 5
	farFanout  = 4
	// loadInterval is the pause between what an instance tells of its requests in flight; placing gets worse the older
	// that is, and 200 ms are less than most requests take.
	loadInterval = 200 * time.Millisecond
	// loadFanout bounds the instances that are told, and smallFleet is the number of others up to which those of other
	// regions are told too.
	loadFanout = 12
	smallFleet = 10
	// doubtFanout bounds the instances that are asked in each round because nothing was heard of them; in fleets of up to
	// 50 about as many are due.
	doubtFanout = 6
	// passedOn is the number of other instances of which a datagram tells.
	passedOn = 2
	// memberKeep is how long an instance of which nothing is heard is still tried.
	memberKeep = 10 * time.Minute
	// maxDatagram bounds what is read at once, in bytes.
	maxDatagram = 64 << 10
)

// Strike says that a request crashed a target.
type Strike struct {
	ID          string `json:"i"`
	Fingerprint []byte `json:"f"`
	Cleared     bool   `json:"c,omitempty"`
	AgeSeconds  int64  `json:"g"`
}

// State is what an instance tells the others in each round.
type State struct {
	// Contents are the versions of the newest rows of the store's tables.
	Contents map[string]uint64 `json:"v"`
	// ContactMilliseconds is how long ago the store last answered an instance, as far as the sender knows; negative if
	// it never did.
	ContactMilliseconds int64    `json:"c"`
	Strikes             []Strike `json:"x,omitempty"`
}

// datagram is what instances send each other; a field is empty if it does not apply.
type datagram struct {
	From  Member `json:"from"`
	State *State `json:"state,omitempty"`
	// Doubt asks the receiver to tell its state, because nothing was heard of it for a while.
	Doubt bool      `json:"doubt,omitempty"`
	Heard []heardOf `json:"heard,omitempty"`
	// InFlight is the number of requests of the sender at each target.
	InFlight map[string]int `json:"load,omitempty"`
	Loaded   bool           `json:"loaded,omitempty"`
	// Ask is the number of tokens wanted of each account, under an identifier that Give repeats.
	Ask  map[string]int `json:"ask,omitempty"`
	Give map[string]int `json:"give,omitempty"`
	ID   uint64         `json:"id,omitempty"`
}

// Hooks connect the exchange to the instance; all must be safe for concurrent use.
type Hooks struct {
	// Self returns the present state of this instance.
	Self func() Member
	// State returns what others are told.
	State func() State
	// InFlight returns the number of requests of this instance at each target.
	InFlight func() map[string]int
	// Heard is told what another instance said.
	Heard func(Member, State)
	// Load is told what another instance has in flight.
	Load func(from netip.Addr, inFlight map[string]int)
	// Give takes up to the wanted tokens from this instance's shares.
	Give func(wanted map[string]int) map[string]int
	// Receive adds tokens to this instance's shares.
	Receive func(given map[string]int)
}

// Config configures a Gossiper.
type Config struct {
	Listen  netip.AddrPort
	Members *Members
	Hooks   Hooks
	Log     *logger.Logger
	Clock   timer.Clock
}

// Gossiper exchanges datagrams with other instances.
type Gossiper struct {
	config Config
	socket *net.UDPConn

	mu   sync.Mutex
	next uint64
	// asked holds the asks without an answer, with the address that was asked.
	asked map[uint64]ask
}

type ask struct {
	to   netip.Addr
	sent time.Time
	done chan struct{}
}

// Listen opens the socket.
func Listen(c Config) (*Gossiper, error) {
	if c.Clock == nil {
		c.Clock = timer.Now
	}
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(c.Listen))
	if err != nil {
		return nil, err
	}
	// Identifiers of an earlier process must not match, so they begin with the time of the start.
	return &Gossiper{config: c, socket: s, next: uint64(time.Now().UnixNano()), asked: map[uint64]ask{}}, nil //nolint:gosec // The time is after 1970.
}

// Run exchanges datagrams until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	var w sync.WaitGroup
	w.Go(func() { g.receive(ctx) })
	w.Go(func() { timer.Every(ctx, loadInterval, func(context.Context) { g.tellLoad() }) })
	timer.Poll(ctx, Interval, func(context.Context) { g.round() })
	if err := g.socket.Close(); err != nil {
		g.config.Log.ListenerFailed("peers", err)
	}
	w.Wait()
}

// round tells a few instances the present state.
func (g *Gossiper) round() {
	now := g.config.Clock()
	for _, m := range g.config.Members.Sweep(now, memberKeep) {
		g.config.Log.MemberSilent(m.Name, m.Address)
	}
	g.expire(now)
	s := g.config.Hooks.State()
	d := datagram{From: g.config.Hooks.Self(), State: &s, Heard: g.config.Members.sample(now, passedOn)}
	asked := g.config.Members.doubts(now, doubtFanout)
	for _, a := range g.config.Members.pick(now, nearFanout, farFanout) {
		if !slices.Contains(asked, a) {
			g.send(a, d)
		}
	}
	d.Doubt = true
	for _, a := range asked {
		g.send(a, d)
	}
}

// tellLoad tells what this instance has in flight: the instances of its region, and all of a small fleet.
func (g *Gossiper) tellLoad() {
	ms := g.config.Members.Alive(g.config.Clock())
	d := datagram{From: g.sender(), InFlight: g.config.Hooks.InFlight(), Loaded: true}
	n := 0
	for _, m := range ms {
		if n < loadFanout && (m.Region == g.config.Members.self.Region || len(ms) < smallFleet) {
			g.send(m.Address, d)
			n++
		}
	}
}

// Announce tells the living instances of a region, or of all if it is empty, the present state at once.
func (g *Gossiper) Announce(region string) {
	s := g.config.Hooks.State()
	d := datagram{From: g.config.Hooks.Self(), State: &s}
	for _, m := range g.config.Members.Alive(g.config.Clock()) {
		if region == "" || m.Region == region {
			g.send(m.Address, d)
		}
	}
}

func (g *Gossiper) send(to netip.Addr, d datagram) {
	b, err := json.Marshal(d)
	if err != nil {
		g.config.Log.DatagramRefused(to.String(), err)
		return
	}
	if _, err := g.socket.WriteToUDPAddrPort(b, netip.AddrPortFrom(to, g.config.Listen.Port())); err != nil && !errors.Is(err, net.ErrClosed) {
		g.config.Log.DatagramRefused(to.String(), err)
	}
}

func (g *Gossiper) receive(ctx context.Context) {
	b := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := g.socket.ReadFromUDPAddrPort(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			// An address that refused an earlier datagram shows up as an error of the socket.
			continue
		}
		var d datagram
		if err := json.Unmarshal(b[:n], &d); err != nil {
			g.config.Log.DatagramRefused(from.String(), err)
			continue
		}
		if d.From.Address != from.Addr().Unmap() {
			g.config.Log.DatagramRefused(from.String(), errSender)
			continue
		}
		g.take(d)
	}
}

var errSender = errors.New("datagram names another sender")

func (g *Gossiper) take(d datagram) {
	now := g.config.Clock()
	if d.State != nil && g.config.Members.HearFirstHand(d.From, now) {
		g.config.Log.MemberHeard(d.From.Name, d.From.Address, d.From.Ready)
	}
	for _, h := range d.Heard {
		if h.AgeMilliseconds >= 0 && g.config.Members.Hear(h.Member, now.Add(-time.Duration(h.AgeMilliseconds)*time.Millisecond)) {
			g.config.Log.MemberHeard(h.Name, h.Address, h.Ready)
		}
	}
	if d.State != nil {
		g.config.Hooks.Heard(d.From, *d.State)
	}
	if d.Doubt {
		s := g.config.Hooks.State()
		g.send(d.From.Address, datagram{From: g.config.Hooks.Self(), State: &s})
	}
	if d.Loaded {
		g.config.Hooks.Load(d.From.Address, d.InFlight)
	}
	if len(d.Ask) > 0 {
		g.send(d.From.Address, datagram{From: g.sender(), Give: g.config.Hooks.Give(d.Ask), ID: d.ID})
		return
	}
	if d.ID != 0 {
		g.settle(d)
	}
}

// Ask asks an instance for tokens; the returned channel is closed once its answer was taken over.
func (g *Gossiper) Ask(to netip.Addr, wanted map[string]int) <-chan struct{} {
	a := ask{to: to, sent: g.config.Clock(), done: make(chan struct{})}
	g.mu.Lock()
	g.next++
	id := g.next
	g.asked[id] = a
	g.mu.Unlock()
	g.send(to, datagram{From: g.sender(), Ask: wanted, ID: id})
	return a.done
}

// sender names this instance where its state does not matter.
func (g *Gossiper) sender() Member {
	return Member{Address: g.config.Hooks.Self().Address}
}

// settle takes over the tokens of an answer, once.
func (g *Gossiper) settle(d datagram) {
	g.mu.Lock()
	a, ok := g.asked[d.ID]
	if ok && a.to == d.From.Address {
		delete(g.asked, d.ID)
	}
	g.mu.Unlock()
	if !ok || a.to != d.From.Address {
		return
	}
	g.config.Hooks.Receive(d.Give)
	close(a.done)
}

// askLife is how long the answer to an ask is taken; tokens that come later are lost.
const askLife = 2 * time.Second

func (g *Gossiper) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, a := range g.asked {
		if now.Sub(a.sent) > askLife {
			delete(g.asked, id)
		}
	}
}
