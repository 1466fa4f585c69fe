package emulator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"celeryhead.dev/celeryhead/timer"
)

// Headers that a target reads and writes.
const (
	headerDeadline = "Celeryhead-Deadline"
	headerRan      = "Celeryhead-Ran"
	headerRequest  = "X-Request-Id"
	headerTarget   = "X-Target"
)

// Outcomes of runs in the ledger.
const (
	runRunning  = "running"
	runDone     = "done"
	runCanceled = "canceled"
	runCrashed  = "crashed"
)

// keyShape matches a caller's key; a target must never see one.
var keyShape = regexp.MustCompile(`ch_[a-z0-9-]+_[a-z0-9-]+_[A-Za-z0-9_-]{43}`)

// work runs a request: it takes a slot, holds it for the service time and answers with what it received.
func (t *Target) work(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	i, f, ok := t.start(w, r, b)
	if !ok {
		return
	}
	d := t.config.ServiceTime
	if f.ServiceTimeMs > 0 {
		d = time.Duration(f.ServiceTimeMs) * time.Millisecond
	}
	if timer.Sleep(r.Context(), d) != nil {
		t.finish(i, runCanceled)
		panic(http.ErrAbortHandler)
	}
	if t.config.CrashPath != "" && r.URL.Path == t.config.CrashPath {
		t.finish(i, runCrashed)
		t.crash()
		panic(http.ErrAbortHandler)
	}
	t.finish(i, runDone)
	reply(w, r, t.config.Name, b, f)
}

// start enters a run into the ledger, or answers why the request does not run.
func (t *Target) start(w http.ResponseWriter, r *http.Request, body []byte) (int, TargetFaults, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if showsKey(r, body) {
		t.report.KeysSeen++
	}
	if status := t.refuse(r); status != 0 {
		w.Header().Set(headerRan, "not-run")
		w.WriteHeader(status)
		return 0, t.faults, false
	}
	t.inFlight++
	t.report.MaxInFlight = max(t.report.MaxInFlight, t.inFlight)
	t.report.Runs = append(t.report.Runs, Run{
		Target:         t.config.Name,
		Request:        r.Header.Get(headerRequest),
		Method:         r.Method,
		Path:           r.URL.RequestURI(),
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Start:          time.Now(),
		Outcome:        runRunning,
	})
	return len(t.report.Runs) - 1, t.faults, true
}

// refuse counts a request that does not run and returns its status, or 0 for one that runs; t.mu is held.
func (t *Target) refuse(r *http.Request) int {
	switch {
	case late(r.Header.Get(headerDeadline)):
		t.report.Late++
		return http.StatusGatewayTimeout
	case t.faults.Draining:
		t.report.DrainArrivals++
		t.report.LastDrainArrivalMs = time.Since(t.drained).Milliseconds()
		return http.StatusServiceUnavailable
	case t.inFlight >= t.config.Slots:
		t.report.Shed++
		return http.StatusServiceUnavailable
	default:
		return 0
	}
}

// finish ends run i of the ledger.
func (t *Target) finish(i int, outcome string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.report.Runs[i].End = time.Now()
	t.report.Runs[i].Outcome = outcome
}

// crash breaks every connection and refuses new ones until the restart.
func (t *Target) crash() {
	t.listener.down(t.config.Restart)
	t.mu.Lock()
	open := slices.Collect(maps.Keys(t.open))
	t.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// reply names the target and repeats the request, so that a caller can tell whose answer it got.
func reply(w http.ResponseWriter, r *http.Request, name string, body []byte, f TargetFaults) {
	h := w.Header()
	h.Set(headerRequest, r.Header.Get(headerRequest))
	h.Set(headerTarget, name)
	h.Set("Content-Type", "text/plain")
	s := sha256.Sum256(body)
	a := strings.Repeat(fmt.Sprintf("%s %s %s body=%s\n", name, r.Method, r.URL.RequestURI(), hex.EncodeToString(s[:8])), repeats(r))
	if f.Failing {
		w.WriteHeader(http.StatusInternalServerError)
	}
	if f.Truncate {
		h.Set("Content-Length", strconv.Itoa(len(a)))
		_, _ = io.WriteString(w, a[:len(a)/2]) //nolint:gosec // Plain text for tests.
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, a) //nolint:gosec // Plain text for tests.
}

// maxRepeats makes answers of some MB.
const maxRepeats = 100_000

// repeats lets a request ask for a long answer.
func repeats(r *http.Request) int {
	n, err := strconv.Atoi(r.URL.Query().Get("repeat"))
	if err != nil || n < 1 {
		return 1
	}
	return min(n, maxRepeats)
}

// late reports whether a deadline has passed; one that is missing or malformed never has.
func late(deadline string) bool {
	if deadline == "" {
		return false
	}
	d, err := time.Parse(time.RFC3339, deadline)
	return err == nil && time.Now().After(d)
}

func showsKey(r *http.Request, body []byte) bool {
	if keyShape.MatchString(r.URL.RequestURI()) || keyShape.Match(body) {
		return true
	}
	for _, h := range []http.Header{r.Header, r.Trailer} {
		for n, vs := range h {
			if keyShape.MatchString(n + " " + strings.Join(vs, " ")) {
				return true
			}
		}
	}
	return false
}
