package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"celeryhead.dev/celeryhead/launcher"
)

const (
	// drillCallers send requests one after another, each after a pause.
	drillCallers = 6
	drillPause   = 50 * time.Millisecond
	drillTimeout = 10 * time.Second
	// returnTimeout bounds the time after the last fault until every instance and target is in use.
	returnTimeout = time.Minute
)

// tally counts what callers were told.
type tally struct {
	mu sync.Mutex
	// second holds the counts since the last line, total all of them.
	second, total map[string]int
}

func (t *tally) count(what string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.second[what]++
	t.total[what]++
}

// line returns the counts since the last line.
func (t *tally) line() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := format(t.second)
	t.second = map[string]int{}
	return s
}

func format(m map[string]int) string {
	var p []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		p = append(p, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(p, ", ")
}

// drill sends requests while faults drawn at random come and go, and prints both.
func (t *transcript) drill(ctx context.Context, c launcher.DrillConfig) error {
	n := &tally{second: map[string]int{}, total: map[string]int{}}
	x, stop := context.WithCancel(ctx)
	var g sync.WaitGroup
	for k := range drillCallers {
		g.Go(func() { t.call(x, k, n) })
	}
	g.Go(func() { report(x, n) })
	c.Note = func(now time.Time, f string) { fmt.Println(now.Format(time.TimeOnly), f) }
	faults, err := t.deployment.Drill(ctx, c)
	if err == nil {
		r, cancel := context.WithTimeout(ctx, returnTimeout)
		defer cancel()
		err = t.deployment.Ready(r, 1, "pitch_map", "booking_desk", "fee_ledger")
	}
	stop()
	g.Wait()
	fmt.Printf("\n%d faults; what callers were told: %s\n", faults, format(n.total))
	return err
}

func report(ctx context.Context, n *tally) {
	k := time.NewTicker(time.Second)
	defer k.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.C:
			fmt.Println(time.Now().Format(time.TimeOnly), n.line())
		}
	}
}

// call sends reads to the instances in turn until ctx ends.
func (t *transcript) call(ctx context.Context, caller int, n *tally) {
	k := &http.Client{Timeout: drillTimeout}
	for i := caller; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drillPause):
		}
		n.count(t.once(ctx, k, t.deployment.Instances[i%len(t.deployment.Instances)]))
	}
}

// once sends one read and returns what came of it.
func (t *transcript) once(ctx context.Context, k *http.Client, i *launcher.Instance) string {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Callers.String()+"/permits/7", http.NoBody)
	if err != nil {
		return err.Error()
	}
	r.Header = t.key()
	p, err := k.Do(r)
	if err != nil {
		return "no_answer"
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode == http.StatusOK {
		return "answered"
	}
	return fmt.Sprintf("%s (%s)", p.Header.Get("Celeryhead-Reason"), p.Header.Get("Celeryhead-Ran"))
}
