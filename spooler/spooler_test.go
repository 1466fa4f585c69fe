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

// Guards against answering 400 to a valid request whose body did not arrive in time because the caller's connection
// stalled in the middle of it. Found by the soak test with seed 248 and seven tracks.
func TestStalledBodyIsATimeout(t *testing.T) {
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
