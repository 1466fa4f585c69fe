package lister_test

import (
	"fmt"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/lister"
	"celeryhead.dev/celeryhead/platform/imitator"
)

// maxListAllocation is what one response of the list may allocate; a daemon has 64 MB for control.
const maxListAllocation = 32 << 20

// Guards against a list without end, or with a head of many fields, that fills the memory or holds the daemon.
func TestListWithoutEndIsGivenUp(t *testing.T) {
	var fields strings.Builder
	for i := range 1_000_000 {
		fmt.Fprintf(&fields, "x%x:\r\n", i)
	}
	all := append(imitator.EndlessHeads(), &imitator.Endless{Name: "fields", Start: "HTTP/1.1 200 OK\r\n" + fields.String(), Repeat: "x"})
	for _, e := range append(all, imitator.EndlessBodies(`{"instances":[`, `{"name":"a"},`)...) {
		t.Run(e.Name, func(t *testing.T) {
			s := httptest.NewServer(e)
			defer s.Close()
			l := lister.New(lister.Config{Addresses: []netip.AddrPort{netip.MustParseAddrPort(s.Listener.Addr().String())}, Timeout: 10 * time.Second})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			begun := time.Now()
			if es, err := l.List(t.Context()); err == nil {
				t.Errorf("%d entries", len(es))
			}
			runtime.ReadMemStats(&after)
			if d := time.Since(begun); d > 10*time.Second {
				t.Errorf("ended after %v", d)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxListAllocation {
				t.Errorf("%d MB allocated", n>>20)
			}
		})
	}
}
