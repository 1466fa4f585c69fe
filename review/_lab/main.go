package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held     = 0
	broken   = 1
	notRun   = 2
	argCount = 4
	limit    = 110 * time.Second
)

// scenario runs a case and reports whether the rule was broken.
type scenario func(l *lab) (violated bool, err error)

var scenarios = map[string]scenario{
	"stop-with-pipelines": stopWithPipelines,
	"cold-in-drill":       coldInDrill,
	"object-names":        objectNames,
	"crash-after-roll":    crashAfterRoll,
	"uploads-in-crowd":    uploadsInCrowd,
}

func main() {
	if len(os.Args) != argCount || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE DAEMON RECORD")
		os.Exit(notRun)
	}
	os.Exit(perform(scenarios[os.Args[1]], os.Args[2], os.Args[3]))
}

func perform(f scenario, daemon, record string) int {
	l, err := newLab(daemon, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
		return notRun
	}
	defer l.close()
	go func() {
		// A script may run for 120 seconds.
		ctx, stop := context.WithTimeout(context.Background(), limit)
		defer stop()
		ctx, stop = signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		<-ctx.Done()
		l.note("given up: %v", context.Cause(ctx))
		l.close()
		os.Exit(notRun)
	}()
	violated, err := f(l)
	switch {
	case err != nil:
		l.note("the case could not run: %v", err)
		return notRun
	case violated:
		l.note("RULE BROKEN")
		return broken
	}
	l.note("rule held")
	return held
}
