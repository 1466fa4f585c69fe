package informer_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/informer"
	"celeryhead.dev/celeryhead/platform/imitator"
)

// Guards against a status without end that keeps the command waiting for ever, or is taken for a status.
func TestStatusWithoutEndIsGivenUp(t *testing.T) {
	all := append(imitator.EndlessHeads(), imitator.EndlessBodies("", " ")...)
	for _, e := range append(all, imitator.EndlessBodies(`{"targets":[`, `{"name":"t"},`)...) {
		for _, slow := range []bool{false, true} {
			e := &imitator.Endless{Name: e.Name, Start: e.Start, Repeat: e.Repeat, Slow: slow}
			t.Run(fmt.Sprintf("%s slow=%t", e.Name, slow), func(t *testing.T) {
				t.Parallel()
				h := httptest.NewServer(e)
				defer h.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
				defer cancel()
				if s, err := informer.Fetch(ctx, netip.MustParseAddrPort(h.Listener.Addr().String())); err == nil {
					t.Errorf("status %+v", s)
				}
				if ctx.Err() != nil {
					t.Error("no end")
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
