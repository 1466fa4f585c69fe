package spooler_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"celeryhead.dev/celeryhead/responder"
	"celeryhead.dev/celeryhead/spooler"
)

// Guards against a proper request that is blamed because its body did not come in time. Found by the soak with seed 248 and
// seven tracks: the caller's connection had gone silent in the middle of a body.
func TestLateBodyIsATimeout(t *testing.T) {
	for _, c := range []struct {
		name, sent string
		status     int
		reason     responder.Reason
	}{
		{"silent", "", http.StatusRequestTimeout, responder.DeadlineExceeded},
		{"malformed", "zz\r\n", http.StatusBadRequest, responder.BadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := make(chan *responder.Refusal, 1)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, f := spooler.Read(w, r, spooler.Limits{Left: 100 * time.Millisecond})
				got <- f
			}))
			defer s.Close()
			k, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = k.Close() }()
			if _, err := fmt.Fprintf(k, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n%s", c.sent); err != nil {
				t.Fatal(err)
			}
			f := <-got
			if f == nil || f.Status != c.status || f.Reason != c.reason || f.Ran != responder.NotRun {
				t.Errorf("refused with %+v, want %d", f, c.status)
			}
			_, _ = bufio.NewReader(k).ReadByte()
		})
	}
}
