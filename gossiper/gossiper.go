package gossiper

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"celeryhead.dev/celeryhead/logger"
	"celeryhead.dev/celeryhead/timer"
)

const (
	// Interval is the pause between gossip rounds.
	Interval = 500 * time.Millisecond
	// localFanout and remoteFanout are the numbers of instances in the own region and in other regions that get a
	// datagram in each round. At 350 bytes a datagram, an instance stays under its control-traffic target of 3 KB/s,
	// and in fleets of up to ten every instance is reached in each round.
	localFanout  = 5
	remoteFanout = 4
	// loadInterval is the pause between load reports. Placement gets worse with the age of the reports, and 200 ms
	// are less than most requests take.
	loadInterval = 200 * time.Millisecond
	// loadFanout bounds the number of instances that get a load report in each round. In larger regions they take turns.
	// With fewer than smallFleetSize other instances, those of other regions get it too.
	loadFanout     = 12
	smallFleetSize = 10
	// probeFanout bounds the number of instances probed in each round because nothing was heard of them; in fleets of
	// up to 50 about as many are due.
	probeFanout = 6
	// relayedPerDatagram is the number of other members that a datagram reports on.
	relayedPerDatagram = 2
	// briefPerDatagram is the number of members of which a datagram tells only that they live. With four datagrams a
	// round to other regions, 78 instances in three regions hear of each other within Silence.
	briefPerDatagram = 12
	// memberRetention is how long a silent instance is still contacted.
	memberRetention = 10 * time.Minute
	// maxDatagram is the size of the receive buffer in bytes.
	maxDatagram = 64 << 10
)

// Strike reports that a request crashed a target.
type Strike struct {
	ID          string `json:"i"`
	Fingerprint []byte `json:"f"`
	Cleared     bool   `json:"c,omitempty"`
	// AgeSeconds is the time since the crash for instances that do not read AgeMilliseconds.
	AgeSeconds      int64 `json:"g"`
	AgeMilliseconds int64 `json:"m,omitempty"`
	// RanMilliseconds is how long the target had had the request by then.
	RanMilliseconds int64 `json:"r,omitempty"`
	// Crash identifies the crash.
	Crash string `json:"t,omitempty"`
	// Path is true for the fingerprint of a path with any query.
	Path bool `json:"p,omitempty"`
}

// Claim reports that a copy was complete.
type Claim struct {
	Origin          string `json:"o"`
	Sequence        int64  `json:"s"`
	Content         uint64 `json:"v"`
	Era             uint64 `json:"e,omitempty"`
	AgeMilliseconds int64  `json:"g"`
}

// PermitRequest asks the issuer of a target that states a rate for permits to send to it. Rate and AgeMilliseconds repeat the
// statement.
type PermitRequest struct {
	Permits         int     `json:"n"`
	Rate            float64 `json:"r"`
	AgeMilliseconds int64   `json:"g"`
}

// State is what an instance reports about itself in each round.
type State struct {
	// Contents are the versions of the newest changes of the store's tables, and Digests those of their rows.
	Contents map[string]uint64 `json:"v"`
	Digests  map[string]uint64 `json:"d,omitempty"`
	// Eras are those of the versions, and Retained the digests of the rows of earlier eras that stay in force; tables in era 0 are
	// left out.
	Eras     map[string]uint64 `json:"e,omitempty"`
	Retained map[string]uint64 `json:"h,omitempty"`
	// ContactMilliseconds is the time since the store last answered an instance, as far as the sender knows; it is
	// negative if the store never did.
	ContactMilliseconds int64 `json:"c"`
	// Configuration is the newest claim that the sender's copy of the configuration is complete; it is nil if there is none.
	Configuration *Claim   `json:"a,omitempty"`
	Strikes       []Strike `json:"x,omitempty"`
}

// Load is what an instance reports about its requests to others of its region.
type Load struct {
	// InFlight is the number of requests in flight at each target.
	InFlight map[string]int
	// Placed lists the objects of the latest requests by target.
	Placed map[string][]uint32
}

// datagram is the message between instances; fields that do not apply are empty.
type datagram struct {
	From  Member `json:"from"`
	State *State `json:"state,omitempty"`
	// Probe requests the receiver's state, because nothing was heard of it recently.
	Probe   bool            `json:"doubt,omitempty"`
	Relayed []relayedMember `json:"heard,omitempty"`
	// Brief holds the milliseconds since the sender heard further members, by address.
	Brief map[netip.Addr]int64 `json:"alive,omitempty"`
	// InFlight is the sender's number of requests in flight at each target, and Placed the objects of its latest requests.
	InFlight map[string]int      `json:"load,omitempty"`
	Placed   map[string][]uint32 `json:"placed,omitempty"`
	HasLoad  bool                `json:"loaded,omitempty"`
	// WantedTokens is the number of tokens wanted per account. ID identifies the request; the answer with GivenTokens
	// repeats it.
	WantedTokens map[string]int `json:"ask,omitempty"`
	GivenTokens  map[string]int `json:"give,omitempty"`
	// WantedPermits and GivenPermits do the same for permits, by target.
	WantedPermits map[string]PermitRequest `json:"want_permits,omitempty"`
	GivenPermits  map[string]int           `json:"give_permits,omitempty"`
	// WantedRun is the fingerprint of a request that is to run alone; the answer has GivenRun if it may.
	WantedRun []byte `json:"want_run,omitempty"`
	GivenRun  bool   `json:"give_run,omitempty"`
	ID        uint64 `json:"id,omitempty"`
}

// Hooks connect the gossip to the rest of the instance; all must be safe for concurrent use.
type Hooks struct {
	// Self returns this instance as a member.
	Self func() Member
	// State returns the state to report to others.
	State func() State
	// Load returns what this instance reports about its requests.
	Load func() Load
	// Heard is called with the state of another instance that was received at a time.
	Heard func(at time.Time, from Member, s State)
	// HeardLoad is called with the report of another instance about its requests.
	HeardLoad func(at time.Time, from netip.Addr, l Load)
	// Give removes up to the wanted tokens from this instance's shares.
	Give func(wanted map[string]int) map[string]int
	// Receive adds tokens to this instance's shares.
	Receive func(given map[string]int)
	// Issue hands out permits by target.
	Issue func(wanted map[string]PermitRequest) map[string]int
	// ReceivePermits adds permits that were asked for at a time.
	ReceivePermits func(asked time.Time, given map[string]int)
	// GrantRun reports whether a copy of the request with a fingerprint may run alone at another instance.
	GrantRun func(fingerprint []byte) bool
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
	config      Config
	socket      *net.UDPConn
	codec       codec
	refusals    refusals
	suspensions timer.Suspensions
	// drained is when the datagrams that waited during the last suspension were discarded; only receive uses it.
	drained time.Time

	mu     sync.Mutex
	nextID uint64
	// pending holds the unanswered requests by identifier.
	pending map[uint64]pendingRequest
}

// pendingRequest is a request for tokens, permits or a run that is not answered yet.
type pendingRequest struct {
	to   netip.Addr
	sent time.Time
	done chan struct{}
	// run gets the answer to a request for a run; it is nil for other requests.
	run chan bool
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
	// Identifiers start at the current time so that they do not match those of an earlier process.
	return &Gossiper{
		config: c, socket: s, refusals: refusals{log: c.Log},
		nextID: uint64(time.Now().UnixNano()), pending: map[uint64]pendingRequest{}, //nolint:gosec // The time is after 1970.
	}, nil
}

// Resumed returns the end of the last suspension of this process, or zero if there was none. Datagrams that arrived during it
// were discarded, so until others are heard again it is not known which of them live.
func (g *Gossiper) Resumed(now time.Time) time.Time {
	return g.suspensions.Ended(now)
}

// Run exchanges datagrams until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	var w sync.WaitGroup
	g.suspensions.Beat(g.config.Clock())
	w.Go(func() { g.receive(ctx) })
	w.Go(func() {
		timer.Every(ctx, loadInterval, func(context.Context) {
			g.suspensions.Beat(g.config.Clock())
			g.sendLoad()
		})
	})
	timer.Poll(ctx, Interval, func(context.Context) { g.round() })
	if err := g.socket.Close(); err != nil {
		g.config.Log.ListenerFailed("peers", err)
	}
	w.Wait()
}

// round sends the current state to a few instances.
func (g *Gossiper) round() {
	now := g.config.Clock()
	for _, m := range g.config.Members.Sweep(now, memberRetention) {
		g.config.Log.MemberSilent(m.Name, m.Address)
	}
	g.refusals.flush(now)
	g.expireRequests(now)
	s := g.config.Hooks.State()
	d := datagram{From: g.config.Hooks.Self(), State: &s, Relayed: g.config.Members.sample(now, relayedPerDatagram)}
	probed := g.config.Members.staleMembers(now, probeFanout)
	selected := slices.DeleteFunc(g.config.Members.selectPeers(now, localFanout, remoteFanout), func(a netip.Addr) bool { return slices.Contains(probed, a) })
	g.sendRound(now, selected, d)
	d.Probe = true
	g.sendRound(now, probed, d)
}

// sendRound adds to a datagram what is useful in the region of each receiver.
func (g *Gossiper) sendRound(now time.Time, to []netip.Addr, d datagram) {
	var variants [2]*encodedDatagram
	for _, a := range to {
		i := 0
		if g.config.Members.isOwnRegion(a) {
			i = 1
		}
		if variants[i] == nil {
			d.Brief = g.config.Members.brief(now, i == 1)
			e, ok := g.encode(now, d)
			if !ok {
				return
			}
			variants[i] = &e
		}
		g.sendEncoded(a, *variants[i])
	}
}

// sendLoad reports this instance's requests to instances of its region, and in a small fleet to all.
func (g *Gossiper) sendLoad() {
	now := g.config.Clock()
	l := g.config.Hooks.Load()
	// The sender is named in full, since the report also shows that it lives.
	d := datagram{From: g.config.Hooks.Self(), InFlight: l.InFlight, Placed: l.Placed, HasLoad: true}
	e, ok := g.encode(now, d)
	for _, a := range g.config.Members.loadReceivers(now) {
		if ok {
			g.sendEncoded(a, e)
		}
	}
}

// Announce sends the current state at once to the live instances of a region, or of all regions if it is empty.
func (g *Gossiper) Announce(region string) {
	now := g.config.Clock()
	s := g.config.Hooks.State()
	d := datagram{From: g.config.Hooks.Self(), State: &s}
	for _, m := range g.config.Members.Alive(now) {
		if region == "" || m.Region == region {
			g.send(now, m.Address, d)
		}
	}
}

// send sends a datagram whose ages are as of a time.
func (g *Gossiper) send(asOf time.Time, to netip.Addr, d datagram) {
	if e, ok := g.encode(asOf, d); ok {
		g.sendEncoded(to, e)
	}
}

func (g *Gossiper) encode(asOf time.Time, d datagram) (encodedDatagram, bool) {
	e, err := g.codec.encode(d)
	if err != nil {
		g.refusals.add(g.config.Clock(), d.From.Address, err)
	}
	e.asOf = asOf
	return e, err == nil
}

// sendEncoded sends the compressed form to instances that said that they read it. A datagram whose ages were taken before a
// suspension is not sent after it.
func (g *Gossiper) sendEncoded(to netip.Addr, e encodedDatagram) {
	if g.config.Clock().Sub(e.asOf) > timer.SuspensionLimit {
		return
	}
	b := e.plain
	if k, ok := g.config.Members.Get(to); ok && k.ReadsCompact && e.compact != nil {
		b = e.compact
	}
	if _, err := g.socket.WriteToUDPAddrPort(b, netip.AddrPortFrom(to, g.config.Listen.Port())); err != nil && !errors.Is(err, net.ErrClosed) {
		g.refusals.add(g.config.Clock(), to, err)
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
			// The socket reports an error when an address refused an earlier datagram.
			continue
		}
		now := g.config.Clock()
		if g.suspensions.Ended(now).After(g.drained) {
			g.drain(now)
			continue
		}
		d, err := g.codec.decode(b[:n])
		if err != nil {
			g.refusals.add(g.config.Clock(), from.Addr().Unmap(), err)
			continue
		}
		if d.From.Address != from.Addr().Unmap() {
			g.refusals.add(g.config.Clock(), from.Addr().Unmap(), errSenderMismatch)
			continue
		}
		g.handle(now, d)
	}
}

// drain discards the datagrams that waited during a suspension. Nothing tells how old they are: the sender of one may have ended
// since, and this process would report it to others as alive.
func (g *Gossiper) drain(now time.Time) {
	g.suspensions.Beat(now)
	n := 1
	if c, err := g.socket.SyscallConn(); err == nil {
		b := make([]byte, 1)
		_ = c.Read(func(fd uintptr) bool {
			for ; n < maxDrained; n++ {
				if _, _, err := unix.Recvfrom(int(fd), b, 0); err != nil {
					break
				}
			}
			return true
		})
	}
	g.drained = g.config.Clock()
	g.config.Log.DatagramsDiscarded(n, g.drained.Sub(now))
}

// maxDrained bounds the datagrams that are discarded at once; a receive buffer holds fewer.
const maxDrained = 1 << 16

var errSenderMismatch = errors.New("datagram names a sender other than its source address")

// handle takes over a datagram that was received at a time.
func (g *Gossiper) handle(now time.Time, d datagram) {
	if (d.State != nil || d.HasLoad) && g.config.Members.HearFirstHand(d.From, now) {
		g.config.Log.MemberHeard(d.From.Name, d.From.Address, d.From.Ready)
	}
	for _, h := range d.Relayed {
		if h.AgeMilliseconds >= 0 && g.config.Members.Hear(h.Member, now.Add(-time.Duration(h.AgeMilliseconds)*time.Millisecond)) {
			g.config.Log.MemberHeard(h.Name, h.Address, h.Ready)
		}
	}
	for a, age := range d.Brief {
		if age >= 0 && g.config.Members.HearBriefly(a, now.Add(-time.Duration(age)*time.Millisecond)) {
			k, _ := g.config.Members.Get(a)
			g.config.Log.MemberHeard(k.Name, a, k.Ready)
		}
	}
	if d.State != nil {
		g.config.Hooks.Heard(now, d.From, *d.State)
	}
	if d.Probe {
		s := g.config.Hooks.State()
		g.send(now, d.From.Address, datagram{From: g.config.Hooks.Self(), State: &s})
	}
	if d.HasLoad {
		g.config.Hooks.HeardLoad(now, d.From.Address, Load{InFlight: d.InFlight, Placed: d.Placed})
	}
	if len(d.WantedTokens) > 0 {
		g.send(now, d.From.Address, datagram{From: g.sender(), GivenTokens: g.config.Hooks.Give(d.WantedTokens), ID: d.ID})
		return
	}
	if len(d.WantedPermits) > 0 {
		g.send(now, d.From.Address, datagram{From: g.sender(), GivenPermits: g.config.Hooks.Issue(d.WantedPermits), ID: d.ID})
		return
	}
	if len(d.WantedRun) > 0 {
		g.send(now, d.From.Address, datagram{From: g.sender(), GivenRun: g.config.Hooks.GrantRun(d.WantedRun), ID: d.ID})
		return
	}
	if d.ID != 0 {
		g.completeRequest(d)
	}
}

// Ask requests tokens from an instance; the returned channel is closed when the answer has been processed.
func (g *Gossiper) Ask(to netip.Addr, wanted map[string]int) <-chan struct{} {
	a := pendingRequest{to: to, done: make(chan struct{})}
	g.send(g.config.Clock(), to, datagram{From: g.sender(), WantedTokens: wanted, ID: g.begin(a)})
	return a.done
}

// AskPermits requests permits from an instance; the hook ReceivePermits gets the answer.
func (g *Gossiper) AskPermits(to netip.Addr, wanted map[string]PermitRequest) {
	g.send(g.config.Clock(), to, datagram{From: g.sender(), WantedPermits: wanted, ID: g.begin(pendingRequest{to: to, done: make(chan struct{})})})
}

// AskToRun asks an instance whether a copy of the request with a fingerprint may run alone here; the returned channel gets the
// answer, if one arrives.
func (g *Gossiper) AskToRun(to netip.Addr, fingerprint []byte) <-chan bool {
	a := pendingRequest{to: to, done: make(chan struct{}), run: make(chan bool, 1)}
	g.send(g.config.Clock(), to, datagram{From: g.sender(), WantedRun: fingerprint, ID: g.begin(a)})
	return a.run
}

// begin adds a pending request and returns its identifier.
func (g *Gossiper) begin(a pendingRequest) uint64 {
	a.sent = g.config.Clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	g.pending[g.nextID] = a
	return g.nextID
}

// sender identifies this instance by its address only, for datagrams without state.
func (g *Gossiper) sender() Member {
	return Member{Address: g.config.Hooks.Self().Address}
}

// completeRequest takes over the answer to a pending request; further answers are ignored.
func (g *Gossiper) completeRequest(d datagram) {
	g.mu.Lock()
	a, ok := g.pending[d.ID]
	if ok && a.to == d.From.Address {
		delete(g.pending, d.ID)
	}
	g.mu.Unlock()
	if !ok || a.to != d.From.Address {
		return
	}
	switch {
	case a.run != nil:
		a.run <- d.GivenRun
	case len(d.GivenPermits) > 0:
		g.config.Hooks.ReceivePermits(a.sent, d.GivenPermits)
	default:
		g.config.Hooks.Receive(d.GivenTokens)
	}
	close(a.done)
}

// requestTimeout is how long an answer to a request is accepted; tokens and permits that arrive later are lost.
const requestTimeout = 2 * time.Second

func (g *Gossiper) expireRequests(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, a := range g.pending {
		if now.Sub(a.sent) > requestTimeout {
			delete(g.pending, id)
		}
	}
}
