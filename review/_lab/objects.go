package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// machineMB is the memory of the smallest machines of the deployment.
	machineMB = 284
	machines  = 3
	// objectBytes is the length of the names of objects; a request with one is below max_header_bytes.
	objectBytes = 15_900
	// crowdConnections is the number of connections of a crowd, and crowdTime how long it goes on at most.
	crowdConnections = 16
	crowdTime        = 12 * time.Second
	restartDelay     = time.Second
	crowds           = 3
)

// resident returns the resident memory of the daemon in MB.
func (n *node) resident() int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	for s := range strings.Lines(string(b)) {
		if f := strings.Fields(s); f[0] == "VmRSS:" {
			k, _ := strconv.Atoi(f[1])
			return k >> 10
		}
	}
	return 0
}

// crowd sends requests of legal size, one after the other on each of some connections. They need no key, and each names an object of
// its own. It returns once its time is over or the daemon has ended.
func (l *lab) crowd(n *node, number int) {
	l.note("a crowd of %d connections begins at %s", crowdConnections, n.name)
	var g sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for i := range crowdConnections {
		g.Go(func() {
			c, err := net.DialTimeout("tcp", n.front(), time.Second)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			end := time.Now().Add(crowdTime)
			_ = c.SetDeadline(end)
			b := bufio.NewReader(c)
			for j := 0; ; j++ {
				o := fmt.Sprintf("%d-%d-%d-", number, i, j)
				t := fmt.Sprintf("GET /mapdesk/crowd HTTP/1.1\r\nHost: %s\r\nRequest-Id: crowd-%s\r\nDeadline-Ms: 100\r\nAffinity-Key: %s\r\n\r\n",
					host, o, o+strings.Repeat("x", objectBytes-len(o)))
				if _, err := io.WriteString(c, t); err != nil {
					return
				}
				r, err := http.ReadResponse(b, nil)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
				mu.Lock()
				statuses[r.StatusCode]++
				mu.Unlock()
			}
		})
	}
	g.Wait()
	l.note("the crowd at %s is over, answers by status: %v", n.name, statuses)
}

// guard ends the daemon when it takes more memory than its machine has, as the platform does, and starts it again after a short
// delay. It returns the number of such ends once stop is closed.
func (n *node) guard(stop chan struct{}) int {
	ends, most := 0, 0
	for {
		select {
		case <-stop:
			n.lab.note("%s took %d MB at most", n.name, most)
			return ends
		case <-time.After(10 * time.Millisecond):
		}
		if n.ended() {
			n.lab.note("%s has ended by itself", n.name)
			ends++
		} else {
			m := n.resident()
			most = max(most, m)
			if m <= machineMB {
				continue
			}
			n.lab.note("%s takes %d MB of the %d MB of its machine and is killed", n.name, m, machineMB)
			ends++
			n.signal(syscall.SIGKILL)
			<-n.done
		}
		time.Sleep(restartDelay)
		if err := n.start(); err != nil {
			n.lab.note("%s does not start: %v", n.name, err)
			return ends
		}
	}
}

// keptClient sends requests one after the other on a connection that it keeps, until over is closed. It returns how many were answered,
// and those whose connection ended without an answer after earlier ones on it were answered.
func (l *lab) keptClient(n *node, name string, over chan struct{}) (answered int, cut []string) {
	for i := 0; !isClosed(over); {
		c, err := net.DialTimeout("tcp", n.front(), time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		b := bufio.NewReader(c)
		for kept := 0; !isClosed(over); kept++ {
			i++
			q := request{id: fmt.Sprintf("%s-%d", name, i), method: "GET", path: "/mapdesk/ordinary", deadline: 4 * time.Second, header: "Affinity-Key: 17\r\n"}
			_ = c.SetDeadline(time.Now().Add(q.deadline))
			sent := time.Now()
			_, err := io.WriteString(c, q.text())
			var r *http.Response
			if err == nil {
				r, err = http.ReadResponse(b, nil)
			}
			if err == nil {
				_, err = io.Copy(io.Discard, r.Body)
			}
			if err != nil {
				// The route's timeout is not reached.
				if kept > 0 && time.Since(sent) < time.Second {
					cut = append(cut, q.id)
				}
				l.note("%s to %s: %v", q.id, n.name, err)
				break
			}
			answered++
			time.Sleep(50 * time.Millisecond)
		}
		_ = c.Close()
	}
	return answered, cut
}

// clients is the number of ordinary clients of each machine.
const clients = 4

// objectNames has crowds of clients send requests with long names of objects to two of three machines.
func objectNames(l *lab) (bool, error) {
	var bs []*backend
	for i := range 9 {
		b, err := l.newBackend(fmt.Sprintf("i-mapdesk-%d", i+1), "mapdesk", i, 300*time.Millisecond)
		if err != nil {
			return false, err
		}
		b.register()
		bs = append(bs, b)
	}
	if err := l.configure(1, route{service: "mapdesk", kind: "safe", timeout: "1200ms", public: true}); err != nil {
		return false, err
	}
	if err := l.startNodes(machines, machineMB); err != nil {
		return false, err
	}
	over := make(chan struct{})
	var g, w sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	var cut []string
	for _, n := range l.nodes {
		for k := range clients {
			w.Go(func() {
				a, c := l.keptClient(n, fmt.Sprintf("%s-%d", n.name, k), over)
				mu.Lock()
				defer mu.Unlock()
				answered, cut = answered+a, append(cut, c...)
			})
		}
	}
	time.Sleep(6 * time.Second)
	ends := make([]int, len(l.nodes))
	for i, n := range l.nodes {
		w.Go(func() { ends[i] = n.guard(over) })
	}
	for i := range crowds {
		for _, n := range l.nodes[:2] {
			if l.trouble {
				g.Go(func() { l.crowd(n, i) })
			}
		}
		g.Wait()
		time.Sleep(restartDelay + time.Second)
	}
	close(over)
	w.Wait()
	for i, n := range l.nodes {
		l.note("%s ended %d times", n.name, ends[i])
	}
	ran := map[string]run{}
	for _, b := range bs {
		for _, r := range b.all() {
			ran[r.id] = r
		}
	}
	lost := 0
	for _, id := range cut {
		if r, ok := ran[id]; ok {
			l.note("%s was running at %s from %.3f s; its kept connection ended without an answer", id, r.backend, r.at.Seconds())
			lost++
		}
	}
	l.note("ordinary requests: %d answered, %d passed on and not answered, 3 are allowed", answered, lost)
	return lost > 3, nil
}
