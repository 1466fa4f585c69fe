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
	// slowest is the longest request since the last line, longest of all of them.
	slowest, longest time.Duration
}

func (t *tally) took(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowest, t.longest = max(t.slowest, d), max(t.longest, d)
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
	s := fmt.Sprintf("%s; slowest %v", format(t.second), t.slowest.Round(time.Millisecond))
	t.second, t.slowest = map[string]int{}, 0
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
	fmt.Printf("\n%d faults; what callers were told: %s; slowest %v\n", faults, format(n.total), n.longest.Round(time.Millisecond))
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

// call sends reads until ctx ends.
func (t *transcript) call(ctx context.Context, k int, n *tally) {
	c := &caller{
		deployment: t.deployment,
		client:     &http.Client{Transport: &http.Transport{}, Timeout: drillTimeout},
		header:     t.key(),
		address:    fmt.Sprintf("10.%d.%d.1", 1+k%len(t.deployment.Configuration.Regions), 1+k),
		asked:      k,
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drillPause):
		}
		begin := time.Now()
		s := c.read(ctx)
		if ctx.Err() != nil {
			return
		}
		n.count(s)
		n.took(time.Since(begin))
	}
}
