package forwarder_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"celeryhead.dev/celeryhead/forwarder"
)

// A target sends a second copy of an answer when the next request is already on its way on the connection. Guards against a caller
// that gets the answer to another request. The platform's targets repeat the id of the request; targets of the project's own
// protocol do not.
func TestLateCopyOfOwnTargetIsNotGivenToNextCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeServer{serve: func(_ int, c net.Conn, r *bufio.Reader) {
			last := ""
			for {
				q, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if last != "" {
					reply(c, last)
				}
				last = q.URL.Path
				reply(c, last)
			}
		}}
		f := s.forwarder(forwarder.Config{})
		defer f.Close()
		if b, x := exchange(t.Context(), f, get("/first"), time.Minute); x != nil || b != "/first" {
			t.Fatalf("first exchange: %q, %v", b, x)
		}
		if b, x := exchange(t.Context(), f, get("/second"), time.Minute); x == nil && b != "/second" {
			t.Errorf("the caller of /second got the answer %q", b)
		}
	})
}
