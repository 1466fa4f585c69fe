package server_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/platform/imitator"
)

// Guards against a health page without end that counts as healthy, or that holds the probes of a target.
func TestHealthPageWithoutEndIsNotHealthy(t *testing.T) {
	s := newServer(t)
	all := append(imitator.EndlessHeads(), imitator.EndlessBodies("", "x")...)
	for _, e := range append(all, imitator.EndlessBodies("ok\n", "\n")...) {
		for _, slow := range []bool{false, true} {
			e := &imitator.Endless{Name: e.Name, Start: e.Start, Repeat: e.Repeat, Slow: slow}
			t.Run(fmt.Sprintf("%s slow=%t", e.Name, slow), func(t *testing.T) {
				t.Parallel()
				h := httptest.NewServer(e)
				defer h.Close()
				start := time.Now()
				g := s.Probe(t.Context(), netip.MustParseAddrPort(h.Listener.Addr().String()), "/health")
				if g.Healthy || g.Leaving {
					t.Errorf("%+v", g)
				}
				if d := time.Since(start); d > 5*time.Second {
					t.Errorf("ended after %v", d)
				}
				for end := time.Now().Add(10 * time.Second); e.Open() > 0; time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("the connection stays open")
					}
				}
			})
		}
	}
}

// Guards against a bound on health pages that finds a target with a long one unhealthy.
func TestLongHealthPageIsHealthy(t *testing.T) {
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("fine\n", 10_000)))
	}))
	defer h.Close()
	if g := newServer(t).Probe(t.Context(), netip.MustParseAddrPort(h.Listener.Addr().String()), "/health"); !g.Healthy {
		t.Errorf("%+v", g)
	}
}
