package guarder_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"celeryhead.dev/celeryhead/guarder"
)

// Guards against answers of net/http itself that leave no trace, and against reports of answers of the handler.
func TestUnhandledAnswersAreReported(t *testing.T) {
	const valid = "POST /a HTTP/1.1\r\nHost: ice.example\r\nContent-Length: 2\r\n\r\nab"
	for _, c := range []struct {
		name, sent string
		// answers are the statuses that the caller receives.
		answers  []int
		status   int
		line     string
		requests int64
	}{
		{"valid requests", valid + valid, []int{200, 200}, 0, "", 0},
		{"continue", strings.Replace(valid, "\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n", 1), []int{100, 200}, 0, "", 0},
		{"handler refuses", strings.Replace(valid, "/a", "/refused", 1), []int{400}, 0, "", 0},
		{"malformed", "GET /%zz HTTP/1.1\r\nHost: ice.example\r\n\r\n", []int{400}, 400, "400 Bad Request", 0},
		{
			"no host after valid requests", valid + valid + "GET / HTTP/1.1\r\n\r\n",
			[]int{200, 200, 400}, 400, "400 Bad Request: missing required Host header", 2,
		},
		{"expectation", strings.Replace(valid, "\r\n\r\n", "\r\nExpect: tea\r\n\r\n", 1), []int{417}, 417, "417 Expectation Failed", 0},
		{"coding", "POST / HTTP/1.1\r\nHost: ice.example\r\nTransfer-Encoding: gzip\r\n\r\n", []int{501}, 501, "501 Not Implemented", 0},
		{
			"large header", "GET / HTTP/1.1\r\nHost: ice.example\r\nA: " + strings.Repeat("a", 8<<10) + "\r\n\r\n",
			[]int{431}, 431, "431 Request Header Fields Too Large", 0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/refused" {
					w.WriteHeader(http.StatusBadRequest)
				}
			})
			s := &http.Server{Handler: h, MaxHeaderBytes: 1 << 10, ReadHeaderTimeout: 0} //nolint:gosec // The test ends by itself.
			reports := make(chan guarder.Unhandled, 10)
			k := guarder.ReportUnhandled(s, l, func(u guarder.Unhandled) { reports <- u })
			served := make(chan error, 1)
			go func() { served <- s.Serve(k) }()
			defer func() {
				_ = s.Close()
				if err := <-served; !errors.Is(err, http.ErrServerClosed) {
					t.Errorf("server ended: %v", err)
				}
			}()
			d, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = d.Close() }()
			if _, err := io.WriteString(d, c.sent); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(d)
			for i, want := range c.answers {
				p, err := http.ReadResponse(r, nil)
				if err != nil || p.StatusCode != want {
					t.Fatalf("answer %d: %+v, %v, want %d", i, p, err, want)
				}
				_, _ = io.Copy(io.Discard, p.Body)
				_ = p.Body.Close()
			}
			select {
			case u := <-reports:
				if u.Status != c.status || u.Line != c.line || u.Requests != c.requests || u.BytesRead == 0 || u.Remote != d.LocalAddr().String() {
					t.Errorf("reported %+v, want status %d, line %q, %d requests", u, c.status, c.line, c.requests)
				}
			default:
				if c.status != 0 {
					t.Errorf("nothing was reported, want %d", c.status)
				}
			}
			if len(reports) > 0 {
				t.Errorf("reported twice: %+v", <-reports)
			}
		})
	}
}

// Guards against blaming a caller for a header that was cut off on its way.
func TestCutHeaderIsNotMalformed(t *testing.T) {
	const valid = "GET /a HTTP/1.1\r\nHost: ice.example\r\n\r\n"
	for _, c := range []struct {
		name, sent string
		answers    []int
	}{
		{"in the request line", "GET /", nil},
		{"after the request line", "GET /a HTTP/1.1\r\n", nil},
		{"in a field", "GET /a HTTP/1.1\r\nHost: ice.ex", nil},
		{"before the empty line", "GET /a HTTP/1.1\r\nHost: ice.example\r\n", nil},
		{"of a later request", valid + "GET /a HTTP/1.1\r\nHo", []int{200}},
		{"never, but malformed", "GET / HTTP/1.1\r\n\r\n", []int{400}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})} //nolint:gosec // The test ends by itself.
			k := guarder.ReportUnhandled(s, l, func(u guarder.Unhandled) {
				if len(c.answers) == 0 || c.answers[len(c.answers)-1] != u.Status {
					t.Errorf("reported %+v", u)
				}
			})
			served := make(chan error, 1)
			go func() { served <- s.Serve(k) }()
			defer func() {
				_ = s.Close()
				if err := <-served; !errors.Is(err, http.ErrServerClosed) {
					t.Errorf("server ended: %v", err)
				}
			}()
			d, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = d.Close() }()
			if _, err := io.WriteString(d, c.sent); err != nil {
				t.Fatal(err)
			}
			if err := d.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			r := bufio.NewReader(d)
			var got []int
			for {
				p, err := http.ReadResponse(r, nil)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, p.Body)
				_ = p.Body.Close()
				got = append(got, p.StatusCode)
			}
			if !slices.Equal(got, c.answers) {
				t.Errorf("answers %v, want %v", got, c.answers)
			}
		})
	}
}
