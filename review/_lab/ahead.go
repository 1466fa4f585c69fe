package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sentAhead is the number of requests that a client sends before it reads the first answer.
const sentAhead = 4

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// stopWithPipelines stops a daemon whose clients send further safe requests before the first one is answered.
func stopWithPipelines(l *lab) (bool, error) {
	var bs []*backend
	for i := range 12 {
		b, err := l.newBackend(fmt.Sprintf("i-mapdesk-%d", i+1), "mapdesk", i, 500*time.Millisecond)
		if err != nil {
			return false, err
		}
		b.register()
		bs = append(bs, b)
	}
	if err := l.configure(1, route{service: "mapdesk", kind: "safe", timeout: "3000ms"}); err != nil {
		return false, err
	}
	if err := l.startNodes(machines, machineMB); err != nil {
		return false, err
	}
	n := l.nodes[0]
	type end struct {
		id       string
		sent, at time.Duration
	}
	var mu sync.Mutex
	var lost []end
	answered, unread := 0, 0
	over := make(chan struct{})
	var g sync.WaitGroup
	for k := range 5 {
		g.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-over:
					return
				case <-time.After(time.Duration(k) * 37 * time.Millisecond):
				}
				c, err := net.DialTimeout("tcp", n.front(), time.Second)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				b := bufio.NewReader(c)
				for closed := false; !closed && !isClosed(over); i++ {
					var s strings.Builder
					var ids []string
					for j := range sentAhead {
						id := fmt.Sprintf("map-%d-%d-%d", k, i, j)
						ids = append(ids, id)
						s.WriteString(request{id: id, method: "GET", path: "/mapdesk/a", deadline: 4 * time.Second}.text())
					}
					sent := time.Since(l.started)
					_ = c.SetDeadline(time.Now().Add(5 * time.Second))
					if _, err := io.WriteString(c, s.String()); err != nil {
						break
					}
					for j, id := range ids {
						p, err := http.ReadResponse(b, nil)
						if err == nil {
							_, err = io.Copy(io.Discard, p.Body)
						}
						mu.Lock()
						if err == nil {
							answered++
							closed = p.Close
							l.note("%s: %d, closes %t", id, p.StatusCode, p.Close)
						}
						if err != nil || closed {
							rest := ids[j+1:]
							if err != nil {
								rest = ids[j:]
							}
							for _, x := range rest {
								lost = append(lost, end{id: x, sent: sent, at: time.Since(l.started)})
							}
							closed = true
						}
						mu.Unlock()
						if closed {
							break
						}
					}
				}
				_ = c.Close()
			}
		})
	}
	time.Sleep(6 * time.Second)
	if l.trouble {
		n.signal(syscall.SIGTERM)
		<-n.done
	}
	close(over)
	g.Wait()
	ran := map[string]run{}
	for _, b := range bs {
		for _, r := range b.all() {
			ran[r.id] = r
		}
	}
	passed := 0
	for _, e := range lost {
		if r, ok := ran[e.id]; ok && r.at < e.at {
			l.note("%s, sent at %.3f s, began to run at %s at %.3f s; its connection ended without an answer at %.3f s", e.id, e.sent.Seconds(), r.backend, r.at.Seconds(), e.at.Seconds())
			passed++
		} else {
			unread++
		}
	}
	l.note("%d answered, %d not passed on, %d passed on and not answered", answered, unread, passed)
	return passed > 0, nil
}
