// Command stand runs the scripted cases of the review against celeryheadd.
package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit ends a case that hangs.
const runLimit = 110 * time.Second

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) addf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// scenario plays a case and returns how often the rule was broken.
type scenario func(f *fleet, trouble bool) (broken int, err error)

var scenarios = map[string]scenario{
	"options": connectionOptions,
	"crash":   crashUnderLookups,
	"names":   pauseBesideKill,
	"poison":  crashingRequest,
	"partial": drainAfterPartialOutage,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE DAEMON FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, daemon, folder string) int {
	play := scenarios[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no case", name)
		return exitNotRun
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	// The instances end with this process at the latest.
	time.AfterFunc(runLimit, func() { os.Exit(exitNotRun) })
	r := &record{out: out, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.addf("case %s, with the disruption: %v", name, trouble)
	f, err := newFleet(r, daemon, dir)
	if err != nil {
		r.addf("not run: %v", err)
		return exitNotRun
	}
	defer f.stop()
	broken, err := play(f, trouble)
	switch {
	case err != nil:
		r.addf("not run: %v", err)
		return exitNotRun
	case broken > 0:
		r.addf("result: broken %d times", broken)
		return exitBroken
	}
	r.addf("result: held")
	return exitHeld
}
