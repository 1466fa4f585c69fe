package forwarder_test

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
)

// Guards against a target that counts as alive because its process took one more connection while it ended.
func TestProbeOfEndingProcessFails(t *testing.T) {
	const refuse = -1
	for name, c := range map[string]struct {
		// lives is how long each connection lasts, in the order of dialling, or refuse.
		lives []time.Duration
		open  bool
	}{
		"open":                           {[]time.Duration{time.Hour}, true},
		"refused":                        {[]time.Duration{refuse}, false},
		"reset at once, then refused":    {[]time.Duration{0, refuse}, false},
		"reset in a while, then refused": {[]time.Duration{20 * time.Millisecond, refuse}, false},
		"closed, then open":              {[]time.Duration{0, time.Hour}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dials := 0
				f := forwarder.New(forwarder.Config{Now: time.Now, Dial: func(context.Context, netip.AddrPort) (net.Conn, error) {
					d := c.lives[dials]
					dials++
					if d == refuse {
						return nil, syscall.ECONNREFUSED
					}
					near, far := net.Pipe()
					time.AfterFunc(d, func() { _ = far.Close() })
					return near, nil
				}})
				if err := f.Probe(t.Context(), netip.MustParseAddrPort("10.0.0.1:80")); (err == nil) != c.open {
					t.Errorf("error %v after %d dials, want open: %v", err, dials, c.open)
				}
			})
		})
	}
}
