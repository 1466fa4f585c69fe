package launcher_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/launcher"
)

// Guards against a relay that refuses connections and keeps one that it accepted while it reset the others.
func TestRefusingRelayHasNoConnection(t *testing.T) {
	r, err := launcher.NewRelay(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	for range 200 {
		if err := r.Accept(); err != nil {
			t.Fatal(err)
		}
		var refused atomic.Bool
		var g sync.WaitGroup
		for range 8 {
			g.Go(func() {
				for {
					c, err := net.Dial("tcp", r.Address().String())
					if err != nil {
						return
					}
					if echoes(c, &refused) {
						t.Error("a connection works after Refuse")
						return
					}
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
		r.Refuse()
		refused.Store(true)
		g.Wait()
		if t.Failed() {
			return
		}
	}
}

// echoes uses a connection until it breaks, and reports whether it worked after the relay refused.
func echoes(c net.Conn, refused *atomic.Bool) bool {
	defer func() { _ = c.Close() }()
	b := make([]byte, 1)
	for {
		late := refused.Load()
		if _, err := c.Write(b); err != nil {
			return false
		}
		if _, err := c.Read(b); err != nil {
			return false
		}
		if late {
			return true
		}
	}
}

// echo starts a server that returns what it reads.
func echo(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}
