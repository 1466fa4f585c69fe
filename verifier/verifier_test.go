package verifier_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/informer"
	"celeryhead.dev/celeryhead/lister"
	"celeryhead.dev/celeryhead/messenger"
	"celeryhead.dev/celeryhead/platform"
	"celeryhead.dev/celeryhead/platform/imitator"
	"celeryhead.dev/celeryhead/replicator"
	"celeryhead.dev/celeryhead/storer"
)

// Guards against a client that takes a response for an answer although the name of a field is not a token: what the field says, such
// as the era of the store or the length of the body, would be missed.
func TestClientsRefuseMalformedFields(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		call func(context.Context, netip.AddrPort) error
	}{
		"platform": {`{"rows":[],"ver":1}`, func(ctx context.Context, a netip.AddrPort) error {
			_, err := platform.NewClient(a).Read(ctx, "op")
			return err
		}},
		"storer": {`{"rows":[]}`, func(ctx context.Context, a netip.AddrPort) error {
			s, err := storer.New(storer.Config{Addresses: []netip.AddrPort{a}})
			if err == nil {
				_, err = s.Read(ctx, "key")
			}
			return err
		}},
		"replicator": {`{"version":1}`, func(ctx context.Context, a netip.AddrPort) error {
			_, err := replicator.Fetch(ctx, replicator.NewClient(time.Second), a, "op", replicator.Position{})
			return err
		}},
		"lister": {`{"instances":[]}`, func(ctx context.Context, a netip.AddrPort) error {
			_, err := lister.New(lister.Config{Addresses: []netip.AddrPort{a}, Timeout: time.Second}).List(ctx)
			return err
		}},
		"informer": {`{}`, func(ctx context.Context, a netip.AddrPort) error {
			_, err := informer.Fetch(ctx, a)
			return err
		}},
		"messenger": {"", func(ctx context.Context, a netip.AddrPort) error {
			h := &http.Client{Transport: messenger.LimitResponses(&http.Transport{}, 1<<10)}
			_, err := messenger.NewOperatorProtobufClient("http://"+a.String(), h).Status(ctx, &messenger.Empty{})
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			fields := fmt.Sprintf("Content-Type: application/protobuf\r\nContent-Length: %d\r\n", len(c.body))
			whole := imitator.BrokenAnswer{Name: "whole", Status: "200 OK", Fields: fields, Body: c.body, Whole: true}
			for _, a := range append(imitator.BadFields(c.body), whole) {
				s := httptest.NewServer(a)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				if err := c.call(ctx, s.Listener.Addr().(*net.TCPAddr).AddrPort()); (err == nil) != a.Whole {
					t.Errorf("%s: error %v", a.Name, err)
				}
				if ctx.Err() != nil {
					t.Errorf("%s: ended with its time", a.Name)
				}
				cancel()
				s.Close()
			}
		})
	}
}
