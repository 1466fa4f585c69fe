package launcher

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"
)

// Ports of a deployment lie below the range from which Linux chooses the ports of outgoing connections (32768 and up
// by default): a process that is restarted could otherwise find its port taken by a connection of another process.
const (
	firstPort = 12_000
	lastPort  = 32_000
	portTries = 10_000
)

// given holds the ports that this process has given out: another deployment must not choose one whose process has not
// opened it yet, or is being restarted.
var given = struct {
	sync.Mutex
	ports map[int]bool
}{ports: map[int]bool{}}

// freeAddresses returns loopback addresses that were free a moment ago and that it has not returned before.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	given.Lock()
	defer given.Unlock()
	var r []netip.AddrPort
	for range portTries {
		if len(r) == n {
			return r, nil
		}
		p := firstPort + rand.N(lastPort-firstPort) //nolint:gosec // Deployments that run side by side only need different ports.
		if given.ports[p] {
			continue
		}
		l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: p})
		if err != nil {
			continue
		}
		// All listeners stay open until the last address is chosen, so that none is chosen twice.
		defer func() { _ = l.Close() }()
		a, err := netip.ParseAddrPort(l.Addr().String())
		if err != nil {
			return nil, err
		}
		given.ports[p] = true
		r = append(r, a)
	}
	return nil, merry.Errorf("fewer than %d free ports between %d and %d", n, firstPort, lastPort)
}

// FreePorts returns the first of n ports in a row that were free on all addresses a moment ago and that neither this nor
// freeAddresses has returned before.
func FreePorts(n int) (int, error) {
	given.Lock()
	defer given.Unlock()
	for range portTries {
		p := firstPort + rand.N(lastPort-firstPort-n) //nolint:gosec // Deployments that run side by side only need different ports.
		if !freeInRow(p, n) {
			continue
		}
		for i := range n {
			given.ports[p+i] = true
		}
		return p, nil
	}
	return 0, merry.Errorf("no %d free ports in a row between %d and %d", n, firstPort, lastPort)
}

func freeInRow(first, n int) bool {
	for i := range n {
		if given.ports[first+i] {
			return false
		}
		l, err := net.ListenTCP("tcp", &net.TCPAddr{Port: first + i})
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}
