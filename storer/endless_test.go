package storer_test

import (
	"errors"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/platform/imitator"
	"celeryhead.dev/celeryhead/storer"
)

// maxAllocation is what one answer of the store may allocate.
const maxAllocation = 512 << 20

// Guards against an answer of the store that has no end and holds a call, fills the memory, or is taken for an answer.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	const timeout = 500 * time.Millisecond
	all := append(imitator.EndlessHeads(), imitator.EndlessBodies("", "x")...)
	all = append(all, imitator.EndlessBodies(`{"committed":true}`, " ")...)
	for _, e := range append(all, imitator.EndlessBodies(`{"rows":[`, `{"key":"k"},`)...) {
		for _, slow := range []bool{false, true} {
			e := &imitator.Endless{Name: e.Name, Start: e.Start, Repeat: e.Repeat, Slow: slow}
			t.Run(e.Name+map[bool]string{false: " fast", true: " slow"}[slow], func(t *testing.T) {
				s := httptest.NewServer(e)
				defer s.Close()
				c, err := storer.New(storer.Config{
					Addresses: []netip.AddrPort{netip.MustParseAddrPort(s.Listener.Addr().String())},
					Timeout:   timeout,
				})
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				start := time.Now()
				if _, err := c.Commit(t.Context(), storer.Txn{}); !errors.Is(err, storer.ErrUnknown) {
					t.Errorf("commit: %v", err)
				}
				if d := time.Since(start); d > 3*timeout {
					t.Errorf("ended after %v", d)
				}
				runtime.ReadMemStats(&after)
				if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocation {
					t.Errorf("%d MB allocated", n>>20)
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
