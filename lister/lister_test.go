package lister_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/lister"
)

// Guards against one odd entry of the list that hides all other instances.
func TestOddEntryHidesNoOther(t *testing.T) {
	const usual = `{"name":"west-1","region":"west","failure_domain":"west_a","caller_address":"10.0.0.1:1","peer_address":"10.0.0.1:2","state":"running"}`
	odd := func(old, changed string) string {
		return strings.Replace(strings.Replace(usual, "west-1", "odd", 1), old, changed, 1)
	}
	nested := strings.Repeat("[", 9000) + strings.Repeat("]", 9000)
	for name, entry := range map[string]string{
		"port out of range":   odd(`"10.0.0.1:1"`, `"10.0.0.1:65536"`),
		"no port":             odd(`"10.0.0.1:2"`, `"10.0.0.1"`),
		"no address":          odd(`"peer_address":"10.0.0.1:2",`, ""),
		"port 0":              odd(`"10.0.0.1:2"`, `"10.0.0.1:0"`),
		"unspecified address": odd(`"10.0.0.1:2"`, `"0.0.0.0:2"`),
		"number as a name":    odd(`"odd"`, "1e400"),
		"no name":             odd("odd", ""),
		"nested name":         odd(`"odd"`, nested),
		"nested extra":        odd(`{`, `{"extra":`+nested+`,`),
		"text":                `"odd"`,
		"null":                "null",
		"list":                nested,
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"instances":[`+entry+","+usual+"]}")
			}))
			defer s.Close()
			l := lister.New(lister.Config{Addresses: []netip.AddrPort{netip.MustParseAddrPort(s.Listener.Addr().String())}, Timeout: 5 * time.Second})
			es, err := l.List(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			found := false
			for _, e := range es {
				found = found || e.Name == "west-1"
				if name != "nested extra" && e.Name != "west-1" {
					t.Errorf("the odd entry is used: %+v", e.Instance)
				}
			}
			if !found {
				t.Error("the usual entry is missing")
			}
		})
	}
}
