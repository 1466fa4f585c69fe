package main

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"celeryhead.dev/celeryhead/platform/imitator"
)

// partialStore is the store with a table that may be unavailable for a while: a call for it that is pending or arrives meanwhile
// gets no response, and its connection delivers nothing further. Calls that arrive later, and all for other tables, are answered.
type partialStore struct {
	*imitator.Store
	record *record
	table  string

	mu sync.Mutex
	// away is true during an outage, and lost is closed at the begin of the next one.
	away bool
	lost chan struct{}
}

func newPartialStore(r *record, table string) *partialStore {
	return &partialStore{Store: imitator.NewStore(), record: r, table: table, lost: make(chan struct{})}
}

// ServeHTTP answers a call unless the table is or gets unavailable before the answer.
func (s *partialStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("table") != s.table {
		s.Store.ServeHTTP(w, r)
		return
	}
	away, lost := s.state()
	answered, a := make(chan struct{}), httptest.NewRecorder()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	go func() {
		defer close(answered)
		if !away {
			s.Store.ServeHTTP(a, r.WithContext(ctx))
		}
	}()
	select {
	case <-answered:
	case <-lost:
		away = true
	}
	if away {
		s.record.addf("store: a call for table %s of %s gets no response", s.table, r.RemoteAddr)
		<-r.Context().Done()
		s.record.addf("store: %s has given up that call", r.RemoteAddr)
		panic(http.ErrAbortHandler)
	}
	for k, v := range a.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(a.Code)
	_, _ = w.Write(a.Body.Bytes())
}

func (s *partialStore) state() (away bool, lost <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.away, s.lost
}

// setAway begins or ends an outage.
func (s *partialStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	if away {
		close(s.lost)
		s.lost = make(chan struct{})
	}
}

// drainAfterPartialOutage has the part of the store with the targets unavailable for a while, lets a target drain some seconds
// after its return, and checks that it gets no request later than drain after the acknowledgement.
func drainAfterPartialOutage(f *fleet, trouble bool) (int, error) {
	const (
		outage = 4500 * time.Millisecond
		// calm is the time from the end of the outage until requests are sent; it exceeds contact, which is 3 s.
		calm  = 3500 * time.Millisecond
		drain = 2500 * time.Millisecond
		// exit is when the target ends after the acknowledgement.
		exit     = 4 * time.Second
		rest     = 2 * time.Second
		work     = 100 * time.Millisecond
		interval = 100 * time.Millisecond
	)
	t := tenant{"sese880", "9anu6wsjnbanfqasnmgk"}
	f.configure(1, []route{{"/xapu221/", "unsafe", "wuno96b"}}, []tenant{t})
	if err := f.addTargets("wuno96b", work); err != nil {
		return 0, err
	}
	if err := f.startInstances(); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	if trouble {
		f.record.addf("the store's table of the targets gets unavailable for %v", outage)
		f.parts.setAway(true)
	}
	time.Sleep(outage)
	if trouble {
		f.parts.setAway(false)
		f.record.addf("the store's table of the targets is available again")
	}
	time.Sleep(calm)

	leaving := f.targets[0]
	stop := make(chan struct{})
	var g sync.WaitGroup
	var sent, lost atomic.Int64
	for i, n := range f.instances {
		g.Go(func() {
			k := time.NewTicker(interval)
			defer k.Stop()
			for j := 0; ; j++ {
				select {
				case <-stop:
					return
				case <-k.C:
				}
				s := sending{method: http.MethodPost, path: "/xapu221/2f", id: fmt.Sprintf("r%d-%04d", i, j), key: t.key, object: fmt.Sprint(j), body: "pay", left: 3 * time.Second}
				g.Go(func() {
					c, err := f.dial(n)
					if err != nil || c.send(s) != nil {
						return
					}
					defer c.close()
					sent.Add(1)
					if status, _, _ := c.receive(s); status != http.StatusOK {
						lost.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(time.Second)
	f.list(leaving, "draining", 2)
	acknowledged := time.Now()
	f.record.addf("the store has acknowledged that target %s is draining", leaving.name)
	time.Sleep(exit)
	f.record.addf("target %s ends, and its entry is removed", leaving.name)
	leaving.end()
	f.store.Remove("servers", leaving.name)
	time.Sleep(rest)
	close(stop)
	g.Wait()
	if sent.Load() == 0 {
		return 0, fmt.Errorf("no request was sent")
	}
	broken := 0
	for _, x := range f.runs() {
		if d := x.at.Sub(acknowledged); x.target == leaving.name && d > drain {
			broken++
			f.record.addf("BROKEN: target %s ran %s %v after the acknowledgement that it is draining", x.target, x.id, d)
		}
	}
	f.record.addf("of %d requests %d were not answered with 200", sent.Load(), lost.Load())
	return broken, nil
}
