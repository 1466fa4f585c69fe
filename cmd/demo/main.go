// Command demo starts a deployment of separate processes on this machine and prints the transcript of a few requests.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"celeryhead.dev/celeryhead/launcher"
)

// limit bounds the time until the transcript is complete.
const limit = 2 * time.Minute

type options struct {
	bin         string
	check, keep bool
	platform    bool
	drill       time.Duration
	seed        uint64
}

func main() {
	o := options{bin: "bin", seed: 1}
	flaggy.SetName("demo")
	flaggy.String(&o.bin, "", "bin", "directory of the built programs")
	flaggy.Bool(&o.check, "", "check", "check the transcript and exit")
	flaggy.Bool(&o.keep, "", "keep", "keep settings, certificates and logs")
	flaggy.Bool(&o.platform, "", "platform", "run over stand-ins of the users' platform, check its rules and exit; with drill, under faults")
	flaggy.Duration(&o.drill, "", "drill", "bring about faults drawn at random for this long, under load, and exit")
	flaggy.UInt64(&o.seed, "", "seed", "seed of the faults of the drill")
	flaggy.Parse()
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	dir, err := os.MkdirTemp("", "celeryhead-demo-")
	if err != nil {
		return err
	}
	if !o.keep {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	fmt.Println("starting stand-ins and 7 daemons; settings, certificates and logs are in", dir)
	if o.platform {
		return playPlatform(ctx, o, dir)
	}
	d, err := launcher.Start(ctx, launcher.Config{Bin: o.bin, Dir: dir})
	if err != nil {
		return err
	}
	defer d.Stop()
	x, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	t := &transcript{deployment: d}
	if err := t.play(x); err != nil {
		return err
	}
	if o.drill > 0 {
		return t.drill(ctx, launcher.DrillConfig{Seed: o.seed, Duration: o.drill})
	}
	if o.check {
		fmt.Println("transcript: ok")
		return nil
	}
	t.hints()
	<-ctx.Done()
	return nil
}
