package emulator_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/emulator"
)

// Guards against a stand-in that hides an overshoot, a late run or a key, on which every proof relies.
func TestTargetReportsWhatItSaw(t *testing.T) {
	e := emulator.NewTarget(emulator.TargetConfig{Name: "t1", Slots: 1, ServiceTime: 50 * time.Millisecond})
	u := serveTarget(t, e)
	var g sync.WaitGroup
	for range 3 {
		g.Go(func() { _, _ = fetch(t, u+"/a", nil) })
	}
	g.Wait()
	if s, _ := fetch(t, u+"/late", http.Header{"Celeryhead-Deadline": {time.Now().Add(-time.Second).Format(time.RFC3339Nano)}}); s != http.StatusGatewayTimeout {
		t.Errorf("late request got status %d", s)
	}
	_, _ = fetch(t, u+"/key", http.Header{"X-Any": {"ch_a_b_" + strings.Repeat("x", 43)}})
	r := e.Report()
	if len(r.Runs)+r.Shed != 4 || r.Shed == 0 || r.Late != 1 || r.KeysSeen != 1 || r.MaxInFlight != 1 {
		t.Fatalf("report = %+v", r)
	}
}

// Guards against a truncated answer of the stand-in that clients would take for a whole one.
func TestTargetTruncates(t *testing.T) {
	e := emulator.NewTarget(emulator.TargetConfig{Name: "t1", Slots: 1})
	u := serveTarget(t, e)
	e.SetFaults(emulator.TargetFaults{Truncate: true})
	if _, err := fetch(t, u+"/a?repeat=10", nil); err == nil {
		t.Fatal("truncated answer was read as whole")
	}
}

func serveTarget(t *testing.T, e *emulator.Target) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- e.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		// Serve reports the closed listener.
		if err := <-done; err == nil {
			t.Error("Serve ended without an error")
		}
	})
	return "http://" + l.Addr().String()
}

func fetch(t *testing.T, url string, h http.Header) (int, error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, url, http.NoBody)
	if err != nil {
		t.Error(err)
		return 0, err
	}
	for n, v := range h {
		r.Header[n] = v
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return a.StatusCode, err
}
