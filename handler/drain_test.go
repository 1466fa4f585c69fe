package handler_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// series is a caller with pipelined requests of which targets answer each when the test says so.
type series struct {
	*pipelined
	conn    net.Conn
	reader  *bufio.Reader
	answer  map[string]chan string
	arrived chan string
	left    chan struct{}
}

// startSeries sends requests ahead, and waits until targets have them.
func startSeries(t *testing.T, paths ...string) *series {
	t.Helper()
	s := &series{answer: map[string]chan string{}, arrived: make(chan string, 20), left: make(chan struct{})}
	for _, x := range []string{"/look/0", "/look/1", "/look/2", "/look/3", "/look/late"} {
		s.answer[x] = make(chan string, 10)
	}
	s.pipelined = startInstance(t, 0, func(w http.ResponseWriter, r *http.Request) {
		s.arrived <- r.URL.Path
		for {
			select {
			case <-r.Context().Done():
				return
			case x := <-s.answer[r.URL.Path]:
				_, _ = io.WriteString(w, x)
				if x == r.URL.Path {
					return
				}
				_ = http.NewResponseController(w).Flush()
			}
		}
	})
	text := ""
	for _, x := range paths {
		text += get(x)
	}
	s.conn, s.reader = s.dial(t, text)
	s.await(t, len(paths))
	return s
}

// await waits until n further requests have reached targets.
func (s *series) await(t *testing.T, n int) {
	t.Helper()
	for range n {
		select {
		case <-s.arrived:
		case <-time.After(patience):
			t.Fatal("not all requests reached targets")
		}
	}
}

// let has targets answer requests.
func (s *series) let(paths ...string) {
	for _, x := range paths {
		s.answer[x] <- x
	}
}

// drain ends the instance as a signal does; the listener closes after life.
func (s *series) drain(grace, life time.Duration) {
	go func() {
		s.Drain(s.listener, grace, life)
		close(s.left)
	}()
}

// refusesConnections reports whether the listener is closed.
func (s *series) refusesConnections() bool {
	c, err := net.Dial("tcp", s.address)
	if err == nil {
		_ = c.Close()
	}
	return err != nil
}

// expect reads the answers to requests and checks that only the last one ends the connection.
func (s *series) expect(t *testing.T, paths ...string) {
	t.Helper()
	for i, x := range paths {
		a, err := http.ReadResponse(s.reader, nil)
		if err != nil {
			t.Fatalf("no answer to %s: %v", x, err)
		}
		b, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if last := i == len(paths)-1; err != nil || a.StatusCode != http.StatusOK || !strings.HasSuffix(string(b), x) || a.Close != last {
			t.Fatalf("answer %d to %s with %d bytes, %v; closes: %t, want %t", a.StatusCode, x, len(b), err, a.Close, last)
		}
	}
	if b, err := s.reader.ReadByte(); err == nil {
		t.Errorf("byte %q behind the last answer", b)
	}
}

// An instance leaves while targets have a series. Guards against answers that end a connection with requests behind them that
// targets run, whichever of the two comes first, and against requests that start behind the last answer.
func TestSeriesOfLeavingInstance(t *testing.T) {
	const grace = time.Minute
	all := []string{"/look/0", "/look/1", "/look/2", "/look/3"}
	for name, play := range map[string]func(t *testing.T, s *series) []string{
		"before the first answer": func(_ *testing.T, s *series) []string {
			s.listener.Leave()
			s.let(all...)
			return all
		},
		"after the head of the first answer": func(t *testing.T, s *series) []string {
			// An answer that is not buffered whole reaches the caller before its end.
			s.answer[all[0]] <- strings.Repeat("x", 1<<20)
			if _, err := s.reader.Peek(1); err != nil {
				t.Fatal(err)
			}
			s.listener.Leave()
			s.let(all...)
			return all
		},
		"on a connection opened afterwards": func(t *testing.T, s *series) []string {
			s.listener.Leave()
			s.let(all...)
			s.expect(t, all...)
			s.conn, s.reader = s.dial(t, get(all[0])+get(all[1]))
			s.await(t, 1)
			s.let(all[0])
			return all[:1]
		},
		"while the last one runs": func(t *testing.T, s *series) []string {
			s.let(all[:3]...)
			waitUntil(t, "the last request is not served", func() bool { return s.metric(t, "takeovers") == 3 })
			s.listener.Leave()
			s.let(all[3])
			return all
		},
		"before a further request": func(t *testing.T, s *series) []string {
			s.listener.Leave()
			_, _ = io.WriteString(s.conn, get("/look/late"))
			s.let(all...)
			return all
		},
		"after a further request": func(t *testing.T, s *series) []string {
			_, _ = io.WriteString(s.conn, get("/look/late"))
			s.await(t, 1)
			s.listener.Leave()
			s.let(all...)
			s.let("/look/late")
			return append(all[:4:4], "/look/late")
		},
		"the listener is closed before the first answer": func(t *testing.T, s *series) []string {
			s.drain(grace, 0)
			waitUntil(t, "the listener is open", s.refusesConnections)
			s.let(all...)
			return all
		},
		"the listener is closed between two answers": func(t *testing.T, s *series) []string {
			s.let(all[:2]...)
			waitUntil(t, "the third request is not served", func() bool { return s.metric(t, "takeovers") == 2 })
			s.drain(grace, 0)
			waitUntil(t, "the listener is open", s.refusesConnections)
			s.let(all[2:]...)
			return all
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := startSeries(t, all...)
			want := play(t, s)
			s.expect(t, want...)
			if n := len(s.arrived); n != 0 {
				t.Errorf("%d further requests reached targets", n)
			}
			if n := s.metric(t, "drops"); n != 0 {
				t.Errorf("%d requests were dropped", n)
			}
			waitUntil(t, "bytes are still taken", func() bool { return s.BufferedBytes() == 0 })
		})
	}
}

// A caller reads nothing until the instance has left, and sends more than is read ahead. Guards against the last answer being cut: the
// kernel drops what the caller has not received of it if the connection is closed with unread bytes.
func TestLastAnswerIsWholeWithUnreadRequests(t *testing.T) {
	long := strings.Repeat("x", 300<<10) + "/look/0"
	s := startSeries(t, "/look/0")
	s.listener.Leave()
	if _, err := io.WriteString(s.conn, strings.Repeat(get("/look/late"), 1000)); err != nil {
		t.Fatal(err)
	}
	s.answer["/look/0"] <- long[:len(long)-7]
	s.let("/look/0")
	s.drain(patience, 0)
	select {
	case <-s.left:
	case <-time.After(patience / 4):
		t.Error("the instance waits for a caller that does not read")
	}
	s.expect(t, "/look/0")
}

// The target breaks off its answer to an HTTP/1.0 caller while the instance leaves. Guards against an orderly end, by which the part
// would look complete.
func TestBrokenLastAnswerOfHTTP10IsReset(t *testing.T) {
	p := startInstance(t, 0, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20))
		panic(http.ErrAbortHandler)
	})
	p.listener.Leave()
	c, r := p.dial(t, "GET /look/1 HTTP/1.0\r\nHost: ice.example\r\n\r\n")
	if b, err := io.ReadAll(r); err == nil {
		t.Errorf("%d bytes look complete", len(b))
	}
	_ = c.Close()
}

// The first request of a series outlives the drain. Guards against answers that were there and are cut with it, and against one that
// targets still run and whose place in the series stays empty.
func TestSeriesThatOutlivesTheDrain(t *testing.T) {
	for name, first := range map[string]string{"runs": "", "is being answered": strings.Repeat("x", 1<<20)} {
		t.Run(name, func(t *testing.T) {
			all := []string{"/look/0", "/look/1", "/look/2", "/look/3"}
			s := startSeries(t, all...)
			s.let(all[1], all[3])
			if first != "" {
				s.answer[all[0]] <- first
			}
			s.drain(2*time.Second, 0)
			if first != "" {
				// Nothing can follow an answer that breaks off.
				<-s.left
				return
			}
			expectAnswer(t, s.reader, all[0], http.StatusBadGateway)
			expectAnswer(t, s.reader, all[1], http.StatusOK)
			expectAnswer(t, s.reader, all[2], http.StatusBadGateway)
			expectAnswer(t, s.reader, all[3], http.StatusOK)
			<-s.left
		})
	}
}

// Guards against a process that waits for connections on which nothing runs: unused ones, and one with a part of a head.
func TestDrainEndsIdleConnections(t *testing.T) {
	for name, text := range map[string]string{"unused": "", "half a head": "GET /look/1 HT", "answered": get("/none"), "answered and half a head": get("/none") + "GET"} {
		t.Run(name, func(t *testing.T) {
			p := startInstance(t, 0, echoPath)
			_, r := p.dial(t, text)
			if strings.HasPrefix(name, "answered") {
				expectAnswer(t, r, "/none", http.StatusServiceUnavailable)
			}
			start := time.Now()
			p.Drain(p.listener, patience, 0)
			if d := time.Since(start); d > patience/4 {
				t.Errorf("left after %v", d)
			}
			if _, err := r.ReadByte(); err == nil {
				t.Error("an answer without a request")
			}
		})
	}
}
