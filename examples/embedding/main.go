// Command embedding shows how another program uses the coordination packages: three workers share named jobs so that each
// job runs on one worker at a time, also when a worker stops without a word.
//
// The packages do no I/O. The program passes time, list readings, heartbeats and rows in, and asks before each effect
// whether it may act. Here all of it happens in one process and on a simulated clock, so that the output is the same every time.
package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

const (
	// tick is the interval of the loop that a real program would run on package timer.
	tick = 100 * time.Millisecond
	// shown is the interval of the lines that are printed.
	shown = time.Second
	// Newcomers wait 13 s until every list reading shows them, and 3 s more for earlier owners.
	showFrom = 13 * time.Second
	// The second worker stops at stopAt.
	stopAt = 20 * time.Second
	endAt  = 30 * time.Second
)

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "embedding:", err)
		os.Exit(1)
	}
}

// run plays the workers and prints once a second which job runs where.
func run(w io.Writer) error {
	jobs := []string{"billing", "cleanup", "mailing", "reports"}
	p := &platform{}
	var all []*worker
	for i, n := range []string{"one", "two", "three"} {
		k, err := newWorker(n, uint64(i+1), p, jobs)
		if err != nil {
			return err
		}
		all = append(all, k)
		p.list = append(p.list, k.self)
	}
	start := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	for d := time.Duration(0); d < endAt; d += tick {
		if d == stopAt {
			all[1].stopped = true
			_, _ = fmt.Fprintln(w, "two stops")
		}
		for _, k := range all {
			if err := k.step(start.Add(d), all); err != nil {
				return err
			}
		}
		if d >= showFrom && d%shown == 0 {
			_, _ = fmt.Fprintf(w, "%4s", d)
			for _, j := range jobs {
				_, _ = fmt.Fprintf(w, "  %s: %s", j, strings.Join(runners(all, j, start.Add(d)), "+"))
			}
			_, _ = fmt.Fprintln(w)
		}
	}
	return nil
}

// runners returns the workers that may run a job at now; a second one would be a fault.
func runners(all []*worker, job string, now time.Time) []string {
	var r []string
	for _, k := range all {
		if k.mayRun(job, now) {
			r = append(r, k.self.Name)
		}
	}
	if len(r) == 0 {
		return []string{"-"}
	}
	return r
}
