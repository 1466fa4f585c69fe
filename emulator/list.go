package emulator

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"celeryhead.dev/celeryhead/timer"
)

// Instance is an entry of the platform's list of instances.
type Instance struct {
	Name          string         `json:"name"`
	Region        string         `json:"region"`
	FailureDomain string         `json:"failure_domain"`
	CallerAddress netip.AddrPort `json:"caller_address"`
	PeerAddress   netip.AddrPort `json:"peer_address"`
	// State is live or leaving.
	State string `json:"state"`
}

// InstanceList is the answer of the list.
type InstanceList struct {
	Instances []Instance `json:"instances"`
}

// ListConfig configures a list.
type ListConfig struct {
	// Lag is the age of every answer.
	Lag time.Duration
	// Probe is the interval between checks that an instance accepts connections; 0 lists instances whether they live or not.
	Probe time.Duration
}

// List emulates the platform's lagging list of live and leaving instances.
type List struct {
	config ListConfig
	mu     sync.Mutex
	known  map[string]*listed
	// past holds the lists that may still be answered, oldest first.
	past   []snapshot
	faults Faults
}

type listed struct {
	instance Instance
	up       bool
}

type snapshot struct {
	at   time.Time
	list InstanceList
}

// NewList returns an empty list.
func NewList(c ListConfig) *List {
	return &List{config: c, known: map[string]*listed{}, past: []snapshot{{}}}
}

// Handler returns the list's endpoints: the answer, and the administration that stands for the platform's own view.
func (l *List) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/instances", l.serve).Methods(http.MethodGet)
	r.HandleFunc("/admin/instances", l.put).Methods(http.MethodPut)
	r.HandleFunc("/admin/instances/{name}", l.remove).Methods(http.MethodDelete)
	r.HandleFunc("/admin/faults", l.setFaults).Methods(http.MethodPost)
	return r
}

// Run checks the instances until ctx ends.
func (l *List) Run(ctx context.Context) {
	if l.config.Probe <= 0 {
		return
	}
	timer.Every(ctx, l.config.Probe, l.probe)
}

// Put adds or replaces an instance.
func (l *List) Put(i Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known[i.Name] = &listed{instance: i, up: l.config.Probe <= 0}
	l.record()
}

// Remove takes an instance off the list.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.known, name)
	l.record()
}

// probe notes which instances accept a connection.
func (l *List) probe(ctx context.Context) {
	l.mu.Lock()
	a := make(map[string]netip.AddrPort, len(l.known))
	for n, k := range l.known {
		a[n] = k.instance.CallerAddress
	}
	l.mu.Unlock()
	up := make(map[string]bool, len(a))
	d := net.Dialer{Timeout: l.config.Probe}
	for n, i := range a {
		c, err := d.DialContext(ctx, "tcp", i.String())
		up[n] = err == nil
		if err == nil {
			_ = c.Close()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, u := range up {
		if k := l.known[n]; k != nil {
			k.up = u
		}
	}
	l.record()
}

// record keeps the present list, so that it can be answered once it is as old as the lag.
func (l *List) record() {
	var s InstanceList
	for _, k := range l.known {
		if k.up {
			s.Instances = append(s.Instances, k.instance)
		}
	}
	sort.Slice(s.Instances, func(i, j int) bool { return s.Instances[i].Name < s.Instances[j].Name })
	now := time.Now()
	l.past = append(l.past, snapshot{at: now, list: s})
	for len(l.past) > 1 && now.Sub(l.past[1].at) > l.config.Lag {
		l.past = l.past[1:]
	}
}

func (l *List) serve(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	f := l.faults
	now := time.Now()
	s := l.past[0].list
	for _, p := range l.past {
		if now.Sub(p.at) >= l.config.Lag {
			s = p.list
		}
	}
	l.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
	if f.Down {
		http.Error(w, "list is down", http.StatusServiceUnavailable)
		return
	}
	answer(w, s)
}

func (l *List) put(w http.ResponseWriter, r *http.Request) {
	var i Instance
	if !decode(w, r, &i) {
		return
	}
	l.Put(i)
}

func (l *List) remove(_ http.ResponseWriter, r *http.Request) {
	l.Remove(mux.Vars(r)["name"])
}

func (l *List) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}
