package lister_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/lister"
)

// BenchmarkList measures reading a list over HTTP, including the server's time, and reports the size of the list.
func BenchmarkList(b *testing.B) {
	const row = `{"name":"almaty-1-instance-%03d","region":"almaty","failure_domain":"almaty_1","caller_address":"10.11.12.13:8443","peer_address":"10.11.12.13:8444","state":"live"}`
	for _, n := range []int{7, 20, 60, 120, 880} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var rows []string
			for i := range n {
				rows = append(rows, fmt.Sprintf(row, i))
			}
			body := []byte(`{"instances":[` + strings.Join(rows, ",") + "]}")
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
			defer s.Close()
			l := lister.New(lister.Config{Addresses: []netip.AddrPort{netip.MustParseAddrPort(s.Listener.Addr().String())}, Timeout: time.Second})
			for b.Loop() {
				if r, err := l.List(context.Background()); err != nil || len(r) != n {
					b.Fatal(len(r), err)
				}
			}
			b.ReportMetric(float64(len(body)), "B/reading")
		})
	}
}
