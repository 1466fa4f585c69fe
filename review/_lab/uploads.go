package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// uploadMB and uploadFDs are those of a machine of the deployment.
	uploadMB  = 408
	uploadFDs = 9840
	// uploadBytes is the size of a body, far below max_body_bytes.
	uploadBytes = 3_000_000
	uploadTime  = 8 * time.Second
	uploaders   = 8
	// segment and window are what the network between a daemon and a backend has: segments of an Ethernet, and small windows.
	segment = 1460
	window  = 16 << 10
	// readPiece is what a slow backend reads at a time, and readPause how long it rests between two pieces.
	readPiece = 1_000_000
	readPause = 2 * time.Second
	// crowdWorkers open the connections of the crowd, one after the other each, with a pause.
	crowdWorkers  = 4
	crowdPause    = 5 * time.Millisecond
	slowCrowdTime = 16 * time.Second
	// bytePause is the pause between two bytes of an answer that the crowd reads.
	bytePause = time.Second
)

// slowReader is a backend that reads bodies slowly.
type slowReader struct {
	*backend

	mu sync.Mutex
	// got are the requests whose body it began to read.
	got map[string]time.Duration
}

func (l *lab) newSlowReader(name, service string, i int) (*slowReader, error) {
	b := &slowReader{
		backend: &backend{
			lab: l, name: name, service: service, zone: zones[i%len(zones)], born: time.Now().UnixMilli(),
			work: func(*http.Request) time.Duration { return 300 * time.Millisecond }, free: make(chan struct{}, slots),
		},
		got: map[string]time.Duration{},
	}
	c := net.ListenConfig{Control: func(_, _ string, r syscall.RawConn) error {
		return r.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window)
		})
	}}
	k, err := c.Listen(context.Background(), "tcp4", fmt.Sprintf("127.0.2.%d:0", 11+i))
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(k) }()
	l.ends = append(l.ends, func() { _ = s.Close() })
	b.at = k.Addr().(*net.TCPAddr).AddrPort()
	return b, nil
}

// ServeHTTP reads the body in pieces with rests between them.
func (b *slowReader) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Request-Id"); r.ContentLength > readPiece && r.Header.Get("Expect-Instance") == b.name {
		b.mu.Lock()
		b.got[id] = time.Since(b.lab.started)
		b.mu.Unlock()
		b.lab.note("%s has the head of %s and reads its body", b.name, id)
		r.Body = &slowBody{ReadCloser: r.Body}
	}
	b.backend.ServeHTTP(w, r)
}

type slowBody struct {
	io.ReadCloser
	read int
}

func (b *slowBody) Read(p []byte) (int, error) {
	before := b.read / readPiece
	n, err := b.ReadCloser.Read(p)
	if b.read += n; b.read/readPiece > before && err == nil {
		time.Sleep(readPause)
	}
	return n, err
}

// slowCrowd opens connections until its time is over. Each sends a small request and reads the answer very slowly.
func (l *lab) slowCrowd(n *node) {
	l.note("a crowd begins at %s", n.name)
	var g, readers sync.WaitGroup
	var opened, closed atomic.Int64
	over := make(chan struct{})
	for i := range crowdWorkers {
		g.Go(func() {
			d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 3, byte(11+i))}}
			for end := time.Now().Add(slowCrowdTime); time.Now().Before(end); time.Sleep(crowdPause) {
				c, err := d.Dial("tcp", n.front())
				if err != nil {
					continue
				}
				opened.Add(1)
				_, _ = fmt.Fprintf(c, "GET /no-such-route/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd\r\n\r\n", host)
				readers.Go(func() {
					defer func() { _ = c.Close() }()
					for {
						if _, err := c.Read(make([]byte, 1)); err != nil {
							closed.Add(1)
							return
						}
						select {
						case <-over:
							return
						case <-time.After(bytePause):
						}
					}
				})
			}
		})
	}
	g.Wait()
	l.note("the crowd at %s opened %d connections, %d of them were closed meanwhile", n.name, opened.Load(), closed.Load())
	close(over)
	readers.Wait()
}

// uploader sends uploads one after the other on a connection that it keeps, each behind a small request, until over is closed.
func (l *lab) uploader(n *node, name string, over chan struct{}) (answered int, cut []string) {
	for i := 0; !isClosed(over); {
		c, err := net.DialTimeout("tcp", n.front(), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		b := bufio.NewReader(c)
		for kept := 0; !isClosed(over); kept++ {
			i++
			q := request{id: fmt.Sprintf("%s-%d", name, i), method: "POST", path: "/entrepot/sheet", deadline: uploadTime}
			if kept%2 == 1 {
				q.body = strings.Repeat("0123456789", uploadBytes/10)
			}
			_ = c.SetDeadline(time.Now().Add(q.deadline + time.Second))
			sent := time.Now()
			_, err := io.WriteString(c, q.text())
			r, x := http.ReadResponse(b, nil)
			if x == nil {
				_, x = io.Copy(io.Discard, r.Body)
			}
			if x != nil {
				l.note("%s to %s after %v: %v, %v", q.id, n.name, time.Since(sent).Round(time.Millisecond), err, x)
				if kept%2 == 1 && time.Since(sent) < q.deadline {
					cut = append(cut, q.id)
				}
				break
			}
			l.note("%s to %s after %v: status %d", q.id, n.name, time.Since(sent).Round(time.Millisecond), r.StatusCode)
			if kept%2 == 1 && r.StatusCode == http.StatusOK {
				answered++
			}
			time.Sleep(50 * time.Millisecond)
		}
		_ = c.Close()
	}
	return answered, cut
}

// uploadsInCrowd has clients upload to backends that read slowly, while a crowd that reads very slowly comes to their machine.
func uploadsInCrowd(l *lab) (bool, error) {
	l.fds = uploadFDs
	var bs []*slowReader
	for i := range 8 {
		b, err := l.newSlowReader(fmt.Sprintf("i-entrepot-%d", i+1), "entrepot", i)
		if err != nil {
			return false, err
		}
		b.register()
		bs = append(bs, b)
	}
	if err := l.configure(1, route{service: "entrepot", kind: "upload", timeout: "8000ms"}); err != nil {
		return false, err
	}
	if err := l.startNodes(machines, uploadMB); err != nil {
		return false, err
	}
	over := make(chan struct{})
	var g sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	var cut []string
	for k := range uploaders {
		g.Go(func() {
			a, c := l.uploader(l.nodes[0], fmt.Sprintf("upload-%d", k), over)
			mu.Lock()
			defer mu.Unlock()
			answered, cut = answered+a, append(cut, c...)
		})
	}
	time.Sleep(contact + time.Second)
	if l.trouble {
		l.slowCrowd(l.nodes[0])
	} else {
		time.Sleep(slowCrowdTime)
	}
	close(over)
	g.Wait()
	if l.nodes[0].ended() {
		return false, fmt.Errorf("the daemon has ended")
	}
	lost := 0
	for _, id := range cut {
		for _, b := range bs {
			b.mu.Lock()
			at, ok := b.got[id]
			b.mu.Unlock()
			if ok {
				l.note("%s was at %s from %.3f s; its kept connection ended without an answer", id, b.name, at.Seconds())
				lost++
			}
		}
	}
	l.note("uploads: %d served, %d passed on and not answered, 3 are allowed", answered, lost)
	return lost > 3, nil
}
