package responder_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/responder"
)

// Guards P8: header and body agree, and no header field of a target's answer remains. Also guards against a Retry-After
// that is rounded down, which makes callers retry too early.
func TestWrite(t *testing.T) {
	for name, c := range map[string]struct {
		refusal responder.Refusal
		retry   string
	}{
		"without a wait":   {responder.Refusal{Status: 409, Reason: responder.OutcomeUnknown, Ran: responder.Unknown, Message: "a"}, ""},
		"wait rounded up":  {responder.Refusal{Status: 503, Reason: responder.Stale, Ran: responder.NotRun, Message: "b", RetryAfter: 1100 * time.Millisecond}, "2"},
		"whole seconds":    {responder.Refusal{Status: 429, Reason: responder.RateExceeded, Ran: responder.NotRun, Message: "c", RetryAfter: 3 * time.Second}, "3"},
		"shortest of them": {responder.Refusal{Status: 429, Reason: responder.RateExceeded, Ran: responder.NotRun, Message: "d", RetryAfter: 1}, "1"},
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			w.Header().Set("Content-Length", "7")
			w.Header().Set("Retry-After", "99")
			w.Header().Set("Connection", "close")
			if err := c.refusal.Write(w); err != nil {
				t.Fatal(err)
			}
			want := http.Header{
				"Connection":        {"close"},
				"Content-Type":      {"application/json"},
				"Cache-Control":     {"no-store"},
				"Celeryhead-Reason": {string(c.refusal.Reason)},
				"Celeryhead-Ran":    {string(c.refusal.Ran)},
				"Retry-After":       {c.retry},
			}
			if c.retry == "" {
				delete(want, "Retry-After")
			}
			h := w.Header()
			for k := range want {
				if h.Get(k) != want.Get(k) {
					t.Errorf("%s is %q, want %q", k, h.Get(k), want.Get(k))
				}
			}
			if len(h) != len(want) {
				t.Errorf("headers %v, want %v", h, want)
			}
			var b map[string]string
			if err := json.Unmarshal(w.Body.Bytes(), &b); err != nil {
				t.Fatal(err)
			}
			if w.Code != c.refusal.Status || b["reason"] != string(c.refusal.Reason) || b["ran"] != string(c.refusal.Ran) || b["message"] != c.refusal.Message {
				t.Errorf("status %d with body %v", w.Code, b)
			}
		})
	}
}
