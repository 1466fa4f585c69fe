package guarder_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"celeryhead.dev/celeryhead/guarder"
	"celeryhead.dev/celeryhead/logger"
)

// Guards against panics that are not logged, and against log lines for answers that are aborted on purpose with
// http.ErrAbortHandler.
func TestPanicsAreLogged(t *testing.T) {
	var b bytes.Buffer
	l, err := logger.New(logger.Config{Writer: &b, Level: "info", Format: "json", Instance: "entry"})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		cause  any
		logged bool
	}{{"a fault", true}, {http.ErrAbortHandler, false}} {
		b.Reset()
		s := httptest.NewServer(guarder.LogPanics(l, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(c.cause) })))
		r, err := http.Get(s.URL)
		if err == nil {
			_ = r.Body.Close()
			t.Errorf("%v: answered with %d", c.cause, r.StatusCode)
		}
		s.Close()
		if got := strings.Contains(b.String(), "a fault"); got != c.logged {
			t.Errorf("%v: logged %t: %s", c.cause, got, b.String())
		}
	}
}

// Guards against connections that stay open while the instance shuts down, and against requests that are not counted.
func TestCount(t *testing.T) {
	var n atomic.Int64
	var leaving atomic.Bool
	h := guarder.Count(guarder.Config{InFlight: &n, Leaving: &leaving}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n.Load() != 1 {
			t.Errorf("%d requests in flight, want 1", n.Load())
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	for _, l := range []bool{false, true} {
		leaving.Store(l)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", http.NoBody))
		if got := w.Header().Get("Connection") == "close"; got != l {
			t.Errorf("shutting down %t: connection closed %t", l, got)
		}
	}
	if n.Load() != 0 {
		t.Errorf("%d requests in flight after all have ended", n.Load())
	}
}
