package gossiper_test

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/gossiper"
	"celeryhead.dev/celeryhead/logger"
)

// suspended is an instance whose clock can advance while it does nothing, as that of a process that is stopped.
type suspended struct {
	members *gossiper.Members
	// inState and inHeard get a value when the instance composes a datagram and when it handles one; it goes on when release
	// is closed.
	hold             atomic.Bool
	inState, inHeard chan struct{}
	release          chan struct{}
	skipped          atomic.Int64
	loads            atomic.Int64
}

func (s *suspended) clock() time.Time { return time.Now().Add(time.Duration(s.skipped.Load())) }

func (s *suspended) wait(begun chan struct{}) {
	if !s.hold.Load() {
		return
	}
	select {
	case begun <- struct{}{}:
	default:
	}
	<-s.release
}

// startSuspended runs an instance that holds at the hooks in which it composes or handles a datagram with a state.
func startSuspended(t *testing.T, n byte, port uint16, holdState bool) *suspended {
	t.Helper()
	self := member(n, "r")
	s := &suspended{members: gossiper.NewMembers(self, nil), inState: make(chan struct{}, 1), inHeard: make(chan struct{}, 1), release: make(chan struct{})}
	g, err := gossiper.Listen(gossiper.Config{
		Listen:  netip.AddrPortFrom(self.Address, port),
		Members: s.members,
		Log:     logger.Discard(),
		Clock:   s.clock,
		Hooks: gossiper.Hooks{
			Self: func() gossiper.Member { return self },
			State: func() gossiper.State {
				if holdState {
					s.wait(s.inState)
				}
				return gossiper.State{ContactMilliseconds: 100}
			},
			Load: func() gossiper.Load { return gossiper.Load{} },
			Heard: func(time.Time, gossiper.Member, gossiper.State) {
				if !holdState {
					s.wait(s.inHeard)
				}
			},
			HeardLoad: func(time.Time, netip.Addr, gossiper.Load) { s.loads.Add(1) },
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

// peerSocket returns the socket of another instance.
func peerSocket(t *testing.T, n byte, port uint16) (gossiper.Member, *net.UDPConn) {
	t.Helper()
	m := member(n, "r")
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(m.Address, port)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return m, c
}

// Guards against an instance that takes an ended one for alive, and tells others so, because it reads the last datagrams of that
// one after it was itself suspended.
func TestDatagramsFromSuspensionAreDiscarded(t *testing.T) {
	const port = 39431
	s := startSuspended(t, 61, port, false)
	k, socket := peerSocket(t, 62, port)
	to := netip.AddrPortFrom(member(61, "r").Address, port)
	send := func(d map[string]any) {
		t.Helper()
		d["from"] = k
		b, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := socket.WriteToUDPAddrPort(b, to); err != nil {
			t.Fatal(err)
		}
	}
	state := func() { send(map[string]any{"state": map[string]any{"c": -1}}) }
	state()
	eventually(t, "the instance is not heard", func() bool { return len(s.members.Alive(s.clock())) == 1 })
	<-time.After(300 * time.Millisecond) // A beat.
	s.hold.Store(true)
	state()
	<-s.inHeard
	for range 50 {
		state()
		send(map[string]any{"load": map[string]int{"target": 1}, "loaded": true})
	}
	s.skipped.Add(int64(4 * time.Second))
	s.hold.Store(false)
	close(s.release)
	// By now the backlog has been read.
	<-time.After(500 * time.Millisecond)
	if as := s.members.Alive(s.clock()); len(as) != 0 {
		t.Errorf("alive after the suspension: %v", as)
	}
	if r := gossiper.PassedOn(s.members, s.clock()); len(r) != 0 {
		t.Errorf("ages that others are told: %v", r)
	}
	if n := s.loads.Load(); n != 0 {
		t.Errorf("%d reports of requests from the suspension are believed", n)
	}
	eventually(t, "the instance is not heard after the suspension", func() bool {
		state()
		return len(s.members.Alive(s.clock())) == 1
	})
}

// Guards against a datagram whose ages were taken before a suspension and that is sent after it.
func TestDatagramFromBeforeSuspensionIsNotSent(t *testing.T) {
	const port = 39441
	s := startSuspended(t, 63, port, true)
	k, socket := peerSocket(t, 64, port)
	s.members.HearFirstHand(k, s.clock())
	s.hold.Store(true)
	<-s.inState
	// What was sent before is read first.
	b := make([]byte, 64<<10)
	for _ = socket.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); ; {
		if _, err := socket.Read(b); err != nil {
			break
		}
	}
	s.skipped.Add(int64(4 * time.Second))
	resumed := time.Now()
	close(s.release)
	s.members.HearFirstHand(k, s.clock())
	_ = socket.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		n, err := socket.Read(b)
		if err != nil {
			t.Fatal(err)
		}
		var d struct{ State *gossiper.State }
		if json.Unmarshal(b[:n], &d) != nil || d.State == nil {
			continue
		}
		if w := time.Since(resumed); w < 150*time.Millisecond {
			t.Errorf("a state was sent %v after the suspension, before the next round", w)
		}
		return
	}
}
