package storer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"celeryhead.dev/celeryhead/emulator"
	"celeryhead.dev/celeryhead/storer"
)

// Guards against a client or an emulator that violates conditions, snapshots or the order of lists.
func TestClientMatchesModel(t *testing.T) {
	_, address := newTable(t)
	s := newClient(t, storer.Config{Addresses: []netip.AddrPort{address}})
	run := 0
	rapid.Check(t, func(t *rapid.T) {
		run++
		prefix := fmt.Sprintf("%d/", run)
		m := map[string]storer.Row{}
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			x := drawTransaction(t, prefix, m)
			want := true
			for _, c := range x.Checks {
				want = want && m[c.Key].Version == c.Version
			}
			r, err := s.Commit(context.Background(), x)
			if err != nil || r.Committed != want {
				t.Fatalf("commit: %v %v, want committed %v", r, err, want)
			}
			for i, w := range x.Writes {
				if !r.Committed {
					break
				}
				if w.Delete {
					delete(m, w.Key)
					continue
				}
				if r.Rows[i].Version <= m[w.Key].Version {
					t.Fatal("version did not rise")
				}
				m[w.Key] = storer.Row{Key: w.Key, Version: r.Rows[i].Version, Value: w.Value}
			}
			compareWithModel(t, s, prefix, m)
		}
	})
}

func drawTransaction(t *rapid.T, prefix string, m map[string]storer.Row) storer.Txn {
	var x storer.Txn
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 1, 4, rapid.ID[int]).Draw(t, "keys") {
		k := fmt.Sprintf("%s%d", prefix, i)
		if rapid.Bool().Draw(t, "check") {
			v := m[k].Version
			if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
				v++
			}
			x.Checks = append(x.Checks, storer.Check{Key: k, Version: v})
		}
		x.Writes = append(x.Writes, storer.Write{Key: k, Value: []byte{byte(i), 0xff}, Delete: rapid.IntRange(0, 3).Draw(t, "delete") == 0})
	}
	return x
}

func compareWithModel(t *rapid.T, s *storer.Client, prefix string, m map[string]storer.Row) {
	after, n := "", 0
	for {
		rows, err := s.List(context.Background(), prefix, after, 2)
		if err != nil {
			t.Fatal(err)
		}
		if len(rows) == 0 {
			break
		}
		for _, r := range rows {
			if w, ok := m[r.Key]; !ok || r.Key <= after || w.Version != r.Version || string(w.Value) != string(r.Value) {
				t.Fatalf("row %v after %q differs from model", r, after)
			}
			after = r.Key
			n++
		}
	}
	if n != len(m) {
		t.Fatalf("%d rows, want %d", n, len(m))
	}
	rows, err := s.Read(context.Background(), prefix+"5", prefix+"0")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		if m[r.Key].Version != r.Version {
			t.Fatalf("row %v differs from model", r)
		}
	}
}

// Guards against a transport that resends a commit by itself after a reused connection broke.
func TestCommitIsNotSentAgain(t *testing.T) {
	e, address := newTable(t)
	s := newClient(t, storer.Config{Addresses: []netip.AddrPort{address, address}})
	x := storer.Txn{Writes: []storer.Write{{Key: "a"}}}
	if _, err := s.Commit(context.Background(), x); err != nil {
		t.Fatal(err)
	}
	e.SetFaults(emulator.Faults{LoseReplies: true})
	_, err := s.Commit(context.Background(), x)
	if !errors.Is(err, storer.ErrUnknown) {
		t.Fatalf("error %v, want unknown", err)
	}
	if n := e.Counters().Writes; n != 2 {
		t.Fatalf("%d commits reached the store, want 2", n)
	}
}

// Guards against unresponsive connections that keep calls failing although new connections would work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	const connections = 6
	e, address := newTable(t)
	s := newClient(t, storer.Config{Addresses: []netip.AddrPort{address}, Timeout: 400 * time.Millisecond})
	e.SetFaults(emulator.Faults{DelayMs: 50})
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			if _, err := s.Read(context.Background(), "a"); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	e.SetFaults(emulator.Faults{Silent: true})
	failed := 0
	for failed < connections {
		if _, err := s.Read(context.Background(), "a"); err == nil {
			break
		}
		failed++
	}
	if failed == 0 || failed > 2 {
		t.Fatalf("%d calls failed, want 1 or 2", failed)
	}
	if h := s.Health(); h.Failures != 0 || h.LastSuccess.IsZero() {
		t.Fatalf("health %v after a success", h)
	}
}

// Guards against errors that claim more about the effect of a call than is known.
func TestErrorsTellTheEffect(t *testing.T) {
	e, address := newTable(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := netip.MustParseAddrPort(l.Addr().String())
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name      string
		addresses []netip.AddrPort
		ctx       context.Context
		faults    emulator.Faults
		want      error
	}{
		{name: "refused", addresses: []netip.AddrPort{closed, closed}, want: storer.ErrNotSent},
		{name: "second address", addresses: []netip.AddrPort{closed, address}},
		{name: "canceled", addresses: []netip.AddrPort{address}, ctx: canceled, want: storer.ErrNotSent},
		{name: "down", addresses: []netip.AddrPort{address}, faults: emulator.Faults{Down: true}, want: storer.ErrUnknown},
		{name: "up", addresses: []netip.AddrPort{address}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e.SetFaults(c.faults)
			ctx := c.ctx
			if ctx == nil {
				ctx = context.Background()
			}
			s := newClient(t, storer.Config{Addresses: c.addresses})
			_, err := s.Commit(ctx, storer.Txn{})
			if !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if healthy := s.Health().Failures == 0; healthy != (err == nil) && ctx != canceled {
				t.Fatalf("health %v after error %v", s.Health(), err)
			}
		})
	}
}

// Guards against a response that was cut, or that goes on after its value, being taken for the value.
func TestResponseOfOtherThanOneValueIsUnknown(t *testing.T) {
	for body, want := range map[string]error{
		"":                           storer.ErrUnknown,
		`{"committed":true`:          storer.ErrUnknown,
		`{"committed":true}x`:        storer.ErrUnknown,
		`{"committed":true}{}`:       storer.ErrUnknown,
		`{"committed":true} ` + "\n": nil,
	} {
		t.Run(body, func(t *testing.T) {
			h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, body)
			}))
			defer h.Close()
			s := newClient(t, storer.Config{Addresses: []netip.AddrPort{netip.MustParseAddrPort(h.Listener.Addr().String())}})
			r, err := s.Commit(t.Context(), storer.Txn{})
			if !errors.Is(err, want) || r.Committed != (want == nil) {
				t.Fatalf("%+v %v, want %v", r, err, want)
			}
		})
	}
}

func newTable(t *testing.T) (*emulator.Table, netip.AddrPort) {
	e := emulator.NewTable()
	s := httptest.NewServer(e)
	t.Cleanup(s.Close)
	return e, netip.MustParseAddrPort(s.Listener.Addr().String())
}

func newClient(t *testing.T, c storer.Config) *storer.Client {
	s, err := storer.New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}
