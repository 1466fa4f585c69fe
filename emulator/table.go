package emulator

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"celeryhead.dev/celeryhead/storer"
)

const (
	maxBodyBytes = 64 << 20
	maxListRows  = 10_000
)

// Faults are the faults of a stand-in that can be set at run time.
type Faults struct {
	// Down answers every call with 503, without effect.
	Down bool `json:"down"`
	// DelayMs is the round trip in milliseconds; half of it passes before the effect.
	DelayMs int `json:"delay_ms"`
	// LoseReplies lets commits take effect and closes their connections without an answer.
	LoseReplies bool `json:"lose_replies"`
	// Silent never answers again on the connections that were used before the fault was set.
	Silent bool `json:"silent"`
}

// Counters counts the calls of a stand-in; the rates are those of the last whole second.
type Counters struct {
	Reads           uint64 `json:"reads"`
	Writes          uint64 `json:"writes"`
	ReadsPerSecond  uint64 `json:"reads_per_second"`
	WritesPerSecond uint64 `json:"writes_per_second"`
}

// Table is a stand-in for the table service; a transaction counts as one write and a list as one read.
type Table struct {
	router *mux.Router

	mu      sync.Mutex
	faults  Faults
	rows    map[string]storer.Row
	keys    []string
	version uint64
	// connections maps the remote address of each connection to whether it has gone silent.
	connections   map[string]bool
	reads, writes rate
}

// NewTable returns an empty table service.
func NewTable() *Table {
	t := &Table{
		router:      mux.NewRouter(),
		rows:        make(map[string]storer.Row),
		connections: make(map[string]bool),
	}
	post := t.router.Methods(http.MethodPost).Subrouter()
	post.HandleFunc(storer.PathRead, t.serveRead)
	post.HandleFunc(storer.PathList, t.serveList)
	post.HandleFunc(storer.PathCommit, t.serveCommit)
	post.HandleFunc("/admin/faults", t.serveFaults)
	t.router.HandleFunc("/admin/counters", t.serveCounters).Methods(http.MethodGet)
	return t
}

// ServeHTTP serves the protocol of the table service, POST /admin/faults and GET /admin/counters.
func (t *Table) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t.router.ServeHTTP(w, r)
}

// SetFaults replaces the faults; a connection that has gone silent stays so.
func (t *Table) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	if !f.Silent {
		return
	}
	for a := range t.connections {
		t.connections[a] = true
	}
}

// Counters returns the calls so far.
func (t *Table) Counters() Counters {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	return Counters{
		Reads:           t.reads.total,
		Writes:          t.writes.total,
		ReadsPerSecond:  t.reads.perSecond(now),
		WritesPerSecond: t.writes.perSecond(now),
	}
}

func (t *Table) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !decode(w, r, &f) {
		return
	}
	t.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (t *Table) serveCounters(w http.ResponseWriter, _ *http.Request) {
	answer(w, t.Counters())
}

func (t *Table) serveRead(w http.ResponseWriter, r *http.Request) {
	var q storer.ReadRequest
	if !decode(w, r, &q) {
		return
	}
	t.serve(w, r, false, func() any { return storer.Rows{Rows: t.read(q.Keys)} })
}

func (t *Table) serveList(w http.ResponseWriter, r *http.Request) {
	var q storer.ListRequest
	if !decode(w, r, &q) {
		return
	}
	t.serve(w, r, false, func() any { return storer.Rows{Rows: t.list(q)} })
}

func (t *Table) serveCommit(w http.ResponseWriter, r *http.Request) {
	var x storer.Txn
	if !decode(w, r, &x) {
		return
	}
	t.serve(w, r, true, func() any { return t.commit(x) })
}

// serve applies effect under the lock, with the faults in force when the call arrived.
func (t *Table) serve(w http.ResponseWriter, r *http.Request, write bool, effect func() any) {
	f, silent := t.admit(r.RemoteAddr)
	if silent {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	half := time.Duration(f.DelayMs) * time.Millisecond / 2
	time.Sleep(half)
	if f.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	v := t.apply(write, effect)
	time.Sleep(half)
	if write && f.LoseReplies {
		panic(http.ErrAbortHandler)
	}
	answer(w, v)
}

// admit notes the connection of a call and returns the faults that apply to the call.
func (t *Table) admit(connection string) (f Faults, silent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.connections[connection]; !ok {
		t.connections[connection] = false
	}
	return t.faults, t.connections[connection]
}

func (t *Table) apply(write bool, effect func() any) any {
	t.mu.Lock()
	defer t.mu.Unlock()
	if write {
		t.writes.count(time.Now())
	} else {
		t.reads.count(time.Now())
	}
	return effect()
}

func (t *Table) read(keys []string) []storer.Row {
	rows := []storer.Row{}
	for _, k := range keys {
		if r, ok := t.rows[k]; ok {
			rows = append(rows, r)
		}
	}
	return rows
}

func (t *Table) list(q storer.ListRequest) []storer.Row {
	rows := []storer.Row{}
	i, found := slices.BinarySearch(t.keys, max(q.Prefix, q.After))
	if found && q.After >= q.Prefix {
		i++
	}
	for _, k := range t.keys[i:] {
		if !strings.HasPrefix(k, q.Prefix) || len(rows) >= min(q.Limit, maxListRows) {
			break
		}
		rows = append(rows, t.rows[k])
	}
	return rows
}

func (t *Table) commit(x storer.Txn) storer.Result {
	failed := []storer.Row{}
	for _, c := range x.Checks {
		r, ok := t.rows[c.Key]
		if !ok {
			r = storer.Row{Key: c.Key}
		}
		if r.Version != c.Version {
			failed = append(failed, r)
		}
	}
	if len(failed) > 0 {
		return storer.Result{Rows: failed}
	}
	// One counter for all rows, so that a row written again after its deletion has a new version.
	t.version++
	written := []storer.Row{}
	for _, w := range x.Writes {
		t.write(w)
		written = append(written, storer.Row{Key: w.Key, Version: t.rows[w.Key].Version})
	}
	return storer.Result{Committed: true, Rows: written}
}

func (t *Table) write(w storer.Write) {
	i, found := slices.BinarySearch(t.keys, w.Key)
	switch {
	case w.Delete && found:
		t.keys = slices.Delete(t.keys, i, i+1)
		delete(t.rows, w.Key)
		return
	case w.Delete:
		return
	case !found:
		t.keys = slices.Insert(t.keys, i, w.Key)
	}
	t.rows[w.Key] = storer.Row{Key: w.Key, Version: t.version, Value: w.Value}
}

// rate counts events and those of the last whole second.
type rate struct {
	total         uint64
	second        int64
	current, last uint64
}

func (r *rate) count(now time.Time) {
	r.roll(now)
	r.total++
	r.current++
}

func (r *rate) perSecond(now time.Time) uint64 {
	r.roll(now)
	return r.last
}

func (r *rate) roll(now time.Time) {
	s := now.Unix()
	switch cmp.Compare(s, r.second+1) {
	case -1:
		return
	case 0:
		r.last = r.current
	default:
		r.last = 0
	}
	r.second, r.current = s, 0
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	if err := json.Unmarshal(b, v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the caller has gone.
	_ = json.NewEncoder(w).Encode(v)
}
