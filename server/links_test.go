package server_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/chunker"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/platform/imitator"
	"celeryhead.dev/celeryhead/server"
)

// Guards against a peer whose answer to a call has no end and fills the memory until the call's time is over.
func TestPeerCallWithoutEndIsGivenUp(t *testing.T) {
	// Socket buffers hold bytes that nobody reads.
	const slack = 16 << 20
	for _, e := range append(imitator.EndlessHeads(), imitator.EndlessBodies("", "x")...) {
		t.Run(e.Name, func(t *testing.T) {
			h := httptest.NewTLSServer(e)
			defer h.Close()
			c := h.Client().Transport.(*http.Transport).TLSClientConfig
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			p, err := server.LinkTo(c, netip.MustParseAddrPort(h.Listener.Addr().String())).FetchHeads(ctx, &messenger.FetchHeadsRequest{})
			if err == nil {
				t.Errorf("answer %v", p)
			}
			if n := e.Written(); n > chunker.MaxText+slack {
				t.Errorf("%d MB were taken", n>>20)
			}
		})
	}
}
