package gossiper_test

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/logger"
)

var start = time.Date(2026, 12, 4, 6, 0, 0, 0, time.UTC)

func member(n byte, region string) gossiper.Member {
	return gossiper.Member{Name: string('a' + rune(n)), Address: netip.AddrFrom4([4]byte{127, 0, 0, n}), Region: region, Started: 1, Ready: true}
}

// Guards against directing callers to an instance that ended long ago, or withholding one that returned.
func TestSilentMembersAreNotAlive(t *testing.T) {
	m := gossiper.NewMembers(member(1, "r"), nil)
	if !m.Hear(member(2, "r"), start) {
		t.Error("a new member is not reported")
	}
	now := start.Add(gossiper.Silence + time.Millisecond)
	if as := m.Alive(now); len(as) != 0 {
		t.Errorf("alive after Silence: %v", as)
	}
	if s := m.Sweep(now, time.Hour); len(s) != 1 {
		t.Errorf("%d members reported silent", len(s))
	}
	if s := m.Sweep(now, time.Hour); len(s) != 0 {
		t.Error("a silent member is reported twice")
	}
	if !m.Hear(member(2, "r"), now) || len(m.Alive(now)) != 1 {
		t.Error("a member that returned is not alive")
	}
}

// Guards against a delayed report of an earlier process that replaces the state of the current one.
func TestStaleReportOfEarlierProcessIsIgnored(t *testing.T) {
	m := gossiper.NewMembers(member(1, "r"), nil)
	k := member(2, "r")
	k.Started = 5
	m.Hear(k, start)
	old := member(2, "r")
	old.Ready = false
	m.Hear(old, start.Add(time.Second))
	if as := m.Alive(start); len(as) != 1 || !as[0].Ready {
		t.Errorf("alive %v", as)
	}
}

// Guards against ignoring an instance whose clock was set back before a restart.
func TestProcessWithEarlierClockIsAccepted(t *testing.T) {
	m := gossiper.NewMembers(member(1, "r"), nil)
	ahead := member(2, "r")
	ahead.Started = 5
	m.HearFirstHand(ahead, start)
	now := start.Add(time.Second)
	back := member(2, "r")
	back.Started = 4
	if !m.HearFirstHand(back, now) {
		t.Error("a restart is not reported")
	}
	m.Hear(ahead, start.Add(time.Millisecond))
	if as := m.Alive(now.Add(gossiper.Silence)); len(as) != 1 || as[0].Started != back.Started {
		t.Errorf("alive %v, want the process that last reported itself", as)
	}
}

// Guards against live instances that are reported silent because random selection left them out. The fleet is that of
// the grown koshe site: 34 instances in three regions.
func TestLiveInstancesAreNotReportedSilent(t *testing.T) {
	regions := []string{"almaty", "astana", "shymkent"}
	ms := map[netip.Addr]*gossiper.Members{}
	for i := range byte(34) {
		k := member(i+1, regions[i%3])
		ms[k.Address] = gossiper.NewMembers(k, nil)
	}
	for a, m := range ms {
		for b := range ms {
			if a != b {
				m.HearFirstHand(gossiper.Member{Address: b, Region: regions[(b.As4()[3]-1)%3], Started: 1}, start)
			}
		}
	}
	const minutes = 5
	if n := gossiper.SimulateRounds(start, ms, minutes*int(time.Minute/gossiper.Interval)); n > 0 {
		t.Errorf("%d times in %d minutes a live instance was reported silent", n, minutes)
	}
}

// Guards against live instances of a fleet of 78 in three regions that are reported silent: at that size neither the
// rounds nor what they relay reach everybody in time.
func TestLiveInstancesOfLargeFleetAreNotReportedSilent(t *testing.T) {
	regions := []string{"almaty", "astana", "shymkent"}
	ms := map[netip.Addr]*gossiper.Members{}
	for i := range byte(78) {
		k := member(i+1, regions[i%3])
		ms[k.Address] = gossiper.NewMembers(k, nil)
	}
	for a, m := range ms {
		for b := range ms {
			if a != b {
				m.HearFirstHand(gossiper.Member{Address: b, Region: regions[(b.As4()[3]-1)%3], Started: 1}, start)
			}
		}
	}
	const minutes = 2
	if n := gossiper.SimulateRounds(start, ms, minutes*int(time.Minute/gossiper.Interval)); n > 0 {
		t.Errorf("%d times in %d minutes a live instance was reported silent", n, minutes)
	}
}

// Guards against load reports that always reach the same instances of a region, while the others know nothing of the
// sender's requests.
func TestLoadReportsReachWholeRegion(t *testing.T) {
	self := member(1, "almaty")
	m := gossiper.NewMembers(self, nil)
	for i := range byte(40) {
		m.HearFirstHand(member(i+2, []string{"almaty", "astana"}[i%2]), start)
	}
	const rounds = 2
	got := map[netip.Addr]int{}
	for range rounds {
		for _, a := range gossiper.LoadReceivers(m, start) {
			got[a]++
		}
	}
	for i := range byte(40) {
		k := member(i+2, "")
		if n := got[k.Address]; i%2 == 0 && n == 0 {
			t.Errorf("%v of the own region got no report in %d rounds", k.Address, rounds)
		} else if i%2 == 1 && n > 0 {
			t.Errorf("%v of another region got %d reports", k.Address, n)
		}
	}
}

// Guards against a report of a member that looks younger at each instance that passes it on.
func TestReportsOfOthersAreNotPassedOn(t *testing.T) {
	m := gossiper.NewMembers(member(1, "almaty"), nil)
	m.Hear(member(2, "almaty"), start)
	m.HearFirstHand(member(3, "astana"), start)
	m.HearBriefly(member(3, "").Address, start.Add(time.Second))
	now := start.Add(2 * time.Second)
	if as := m.Alive(now); len(as) != 2 {
		t.Errorf("alive %v", as)
	}
	want := map[netip.Addr]int64{member(3, "").Address: 2000}
	if got := gossiper.PassedOn(m, now); !maps.Equal(got, want) {
		t.Errorf("passes on %v, want only the member that was heard itself, with the time since: %v", got, want)
	}
}

// node is an instance with a few tokens.
type node struct {
	gossip  *gossiper.Gossiper
	members *gossiper.Members

	mu     sync.Mutex
	tokens int
	load   map[string]int
}

func newNode(t *testing.T, n byte, port uint16, tokens int, seeds ...netip.Addr) *node {
	t.Helper()
	return newLoggedNode(t, n, port, tokens, logger.Discard(), seeds...)
}

func newLoggedNode(t *testing.T, n byte, port uint16, tokens int, l *logger.Logger, seeds ...netip.Addr) *node {
	t.Helper()
	self := member(n, "r")
	k := &node{members: gossiper.NewMembers(self, seeds), tokens: tokens}
	var err error
	k.gossip, err = gossiper.Listen(gossiper.Config{
		Listen:  netip.AddrPortFrom(self.Address, port),
		Members: k.members,
		Log:     l,
		Hooks: gossiper.Hooks{
			Self:  func() gossiper.Member { return self },
			State: func() gossiper.State { return gossiper.State{ContactMilliseconds: -1} },
			Load:  func() gossiper.Load { return gossiper.Load{InFlight: map[string]int{"target": int(n)}} },
			Heard: func(time.Time, gossiper.Member, gossiper.State) {},
			HeardLoad: func(_ time.Time, _ netip.Addr, l gossiper.Load) {
				k.mu.Lock()
				defer k.mu.Unlock()
				k.load = l.InFlight
			},
			Give: func(w map[string]int) map[string]int {
				k.mu.Lock()
				defer k.mu.Unlock()
				n := min(w["account"], k.tokens)
				k.tokens -= n
				return map[string]int{"account": n}
			},
			Receive: func(g map[string]int) {
				k.mu.Lock()
				defer k.mu.Unlock()
				k.tokens += g["account"]
			},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		k.gossip.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return k
}

func (k *node) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tokens
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	k := time.NewTicker(10 * time.Millisecond)
	defer k.Stop()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); <-k.C {
		if f() {
			return
		}
	}
	t.Fatal(what)
}

// Guards against instances that do not discover each other: the third knows only the first, and learns of the second.
func TestMembersDiscoverEachOther(t *testing.T) {
	const port = 39411
	a := newNode(t, 41, port, 0)
	b := newNode(t, 42, port, 0, netip.AddrFrom4([4]byte{127, 0, 0, 41}))
	c := newNode(t, 43, port, 0, netip.AddrFrom4([4]byte{127, 0, 0, 41}))
	for _, k := range []*node{a, b, c} {
		eventually(t, "not all instances are known", func() bool { return len(k.members.Alive(time.Now())) == 2 })
	}
	eventually(t, "the load of other instances was not received", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.load["target"] > 0
	})
}

// Guards against transfers that change the total number of tokens.
func TestTokenTransfer(t *testing.T) {
	const port = 39412
	a, b := newNode(t, 41, port, 0), newNode(t, 42, port, 5)
	select {
	case <-a.gossip.Ask(netip.AddrFrom4([4]byte{127, 0, 0, 42}), map[string]int{"account": 3}):
	case <-time.After(20 * time.Second):
		t.Fatal("no answer")
	}
	if a.count() != 3 || b.count() != 2 {
		t.Errorf("%d and %d tokens, want 3 and 2", a.count(), b.count())
	}
}

// Guards against look-ups whose order changes from one answer to the next.
func TestAliveIsOrdered(t *testing.T) {
	m := gossiper.NewMembers(member(1, "r"), nil)
	for _, n := range []byte{9, 3, 7} {
		m.Hear(member(n, "r"), start)
	}
	as := m.Alive(start)
	if !slices.IsSortedFunc(as, func(a, b gossiper.Member) int { return a.Address.Compare(b.Address) }) || len(as) != 3 {
		t.Errorf("alive %v", as)
	}
}

// lines is a log in memory.
type lines struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// refusals returns the number of lines about unusable datagrams, and of the datagrams that they report.
func (l *lines) refusals(t *testing.T) (n, reported int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for s := range bytes.Lines(l.b.Bytes()) {
		var e struct {
			Fields struct {
				Event    int `json:"event"`
				Unlogged int `json:"unlogged"`
			} `json:"fields"`
		}
		if err := json.Unmarshal(s, &e); err != nil {
			t.Fatal(err)
		}
		if e.Fields.Event == 3011 {
			n++
			reported += 1 + e.Fields.Unlogged
		}
	}
	return n, reported
}

// Guards against a log that unusable datagrams fill, and against ones that it leaves out unsaid.
func TestUnusableDatagramsDoNotFillLog(t *testing.T) {
	const port, sent = 39413, 400
	var l lines
	g, err := logger.New(logger.Config{Writer: &l, Level: "warn", Format: "json"})
	if err != nil {
		t.Fatal(err)
	}
	newLoggedNode(t, 41, port, 0, g)
	c, err := net.Dial("udp4", "127.0.0.41:39413")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	begin := time.Now()
	for range sent {
		if _, err := c.Write([]byte("{")); err != nil {
			t.Fatal(err)
		}
		<-time.After(time.Millisecond)
	}
	eventually(t, "not all datagrams are reported", func() bool {
		_, reported := l.refusals(t)
		return reported == sent
	})
	if n, _ := l.refusals(t); n > 2+int(time.Since(begin)/time.Second) {
		t.Errorf("%d lines about %d datagrams in %v, want one a second", n, sent, time.Since(begin))
	}
}

// Guards against datagrams whose members fill the memory, and against an instance that is not known because they did.
func TestMembersAreBounded(t *testing.T) {
	const offered, most = 10_000, 2048
	address := func(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}) }
	listed, seed, later := netip.MustParseAddr("10.2.0.1"), netip.MustParseAddr("10.2.0.2"), netip.MustParseAddr("10.2.0.3")
	m := gossiper.NewMembers(member(1, "r"), []netip.Addr{seed})
	m.List([]netip.Addr{listed})
	for i := range offered {
		m.Hear(gossiper.Member{Address: address(i)}, start)
	}
	if n := len(m.Alive(start)); n > most || n < most/2 {
		t.Errorf("%d members of %d offered, want at most %d", n, offered, most)
	}
	for _, a := range []netip.Addr{listed, seed} {
		if !m.HearFirstHand(gossiper.Member{Address: a}, start) {
			t.Errorf("%v is not taken up", a)
		}
	}
	now := start.Add(gossiper.Silence + time.Millisecond)
	m.Sweep(now, time.Hour)
	if !m.HearFirstHand(gossiper.Member{Address: later}, now) {
		t.Error("a member is not taken up after the others fell silent")
	}
	if _, ok := m.Silent(listed, now); !ok {
		t.Error("a listed member was dropped")
	}
}
