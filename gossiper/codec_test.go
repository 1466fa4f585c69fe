package gossiper_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/gossiper"
)

// Guards against compressed datagrams that tell something else, or that save little of what links between regions carry.
func TestCompressedDatagramTellsTheSame(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	self := gossiper.Member{Name: "edge-ast-esil-2", Address: netip.MustParseAddr("10.5.0.41"), Region: "astana", FailureDomain: "ast-esil", Started: r.Int64(), Ready: true, ReadsCompact: true}
	var others []gossiper.Member
	for i := range 14 {
		others = append(others, gossiper.Member{
			Name: fmt.Sprintf("edge-alm-medeu-%d", i), Address: netip.AddrFrom4([4]byte{10, byte(i % 9), 0, byte(r.UintN(60))}),
			Region: "almaty", FailureDomain: "alm-medeu", Started: r.Int64(), Ready: true,
		})
	}
	s := gossiper.State{
		Contents:            map[string]uint64{"instances": 86, "op": 123, "servers": 2120},
		Digests:             map[string]uint64{"instances": r.Uint64(), "op": r.Uint64(), "servers": r.Uint64()},
		ContactMilliseconds: 952,
		Configuration:       &gossiper.Claim{Origin: "edge-shy-kazygurt-1/dioirdy6vq4z", Sequence: r.Int64(), Content: 123, AgeMilliseconds: 1009},
	}
	plain, compact, same, err := gossiper.Sizes(self, s, gossiper.Load{}, others)
	if err != nil || !same {
		t.Fatalf("same %t, %v", same, err)
	}
	if float64(compact) > 0.6*float64(plain) {
		t.Errorf("a state takes %d of %d bytes, want 0.6 of them at most", compact, plain)
	}
	l := gossiper.Load{InFlight: map[string]int{}, Placed: map[string][]uint32{}}
	for range 9 {
		n := fmt.Sprintf("i-%010x", r.Uint64N(1<<40))
		l.InFlight[n], l.Placed[n] = 1+r.IntN(2), []uint32{r.Uint32()}
	}
	if _, _, same, err = gossiper.Sizes(self, s, l, others); err != nil || !same {
		t.Errorf("with a load: same %t, %v", same, err)
	}
}

// Guards against a short datagram that unpacks to far more than a datagram may have, and against odd bytes that end the instance.
func TestOddCompressedDatagramsAreRejected(t *testing.T) {
	bomb, err := gossiper.Compress(append(bytes.Repeat([]byte(" "), 32<<20), "{}"...))
	if err != nil || len(bomb) > 64<<10 {
		t.Fatalf("%d bytes, %v", len(bomb), err)
	}
	whole, err := gossiper.Compress([]byte(`{"from":{"a":"10.0.0.1"}}`))
	if err != nil {
		t.Fatal(err)
	}
	for name, b := range map[string][]byte{"bomb": bomb, "cut": whole[:len(whole)-3], "mark alone": {1}, "noise": {1, 0xff, 0xfe, 7}, "empty": {}} {
		if gossiper.Decode(b) == nil {
			t.Errorf("%s is accepted", name)
		}
	}
	if err := gossiper.Decode(whole); err != nil {
		t.Error(err)
	}
}

// While a fleet is replaced, old and new programs run side by side. Guards against compressed datagrams to an instance that did
// not say that it reads them.
func TestOlderInstancesGetPlainDatagrams(t *testing.T) {
	for i, order := range [][]byte{{42, 43}, {43, 42}} {
		port := uint16(39414 + i)
		newNode(t, 41, port, 0, netip.AddrFrom4([4]byte{127, 0, 0, 42}), netip.AddrFrom4([4]byte{127, 0, 0, 43}))
		for _, n := range order {
			reads := n == 43
			if got := getsCompressed(t, n, port, reads); got != reads {
				t.Errorf("order %v: instance that reads compressed datagrams: %t, got one: %t", order, reads, got)
			}
		}
	}
}

// getsCompressed reports whether a datagram to an instance that says what it reads is compressed.
func getsCompressed(t *testing.T, n byte, port uint16, reads bool) bool {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, n), Port: int(port)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	// The name is repeated in reports on the instance, so that they are long enough to be compressed.
	hello := fmt.Sprintf(`{"from":{"n":"%s","a":"127.0.0.%d","r":"r","s":1,"k":%t},"state":{"v":{},"c":-1}}`, strings.Repeat("x", 100), n, reads)
	b := make([]byte, 64<<10)
	for range 12 {
		if _, err := c.WriteToUDPAddrPort([]byte(hello), netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 41}), port)); err != nil {
			t.Fatal(err)
		}
		k, _, err := c.ReadFromUDPAddrPort(b)
		if err != nil {
			t.Fatal(err)
		}
		if k > 0 && b[0] == 1 {
			return true
		}
	}
	return false
}
