package closer_test

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"celeryhead.dev/celeryhead/closer"
)

// A caller sends more than the server reads before its last answer, and reads nothing until net/http has closed the connection.
// Guards against the end of the answer being dropped, with and without TLS.
func TestLastAnswerIsWhole(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	for name, secure := range map[string]bool{"plain": false, "TLS": true} {
		t.Run(name, func(t *testing.T) {
			var leaving atomic.Bool
			leaving.Store(true)
			sent, ended := make(chan struct{}), make(chan struct{})
			var once sync.Once
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				<-sent
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, long)
			}))
			s.Listener = &closer.Listener{Listener: s.Listener, While: &leaving}
			s.Config.ConnState = func(_ net.Conn, k http.ConnState) {
				if k == http.StateClosed {
					once.Do(func() { close(ended) })
				}
			}
			dial := func() (net.Conn, error) { return net.Dial("tcp", s.Listener.Addr().String()) }
			if secure {
				s.StartTLS()
				dial = func() (net.Conn, error) {
					return tls.Dial("tcp", s.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // The server is of this test.
				}
			} else {
				s.Start()
			}
			defer s.Close()
			c, err := dial()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 5000)); err != nil {
				t.Fatal(err)
			}
			close(sent)
			<-ended
			p, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			b, err := io.ReadAll(p.Body)
			_ = p.Body.Close()
			if err != nil || string(b) != long {
				t.Errorf("%d bytes, %v", len(b), err)
			}
		})
	}
}
