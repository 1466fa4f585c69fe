package main

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/platform/soaker"
)

// platformCalm is how long callers are served before the first fault.
const platformCalm = 3 * time.Second

// playPlatform serves callers over stand-ins of the users' platform, and brings about faults if it is asked to; the error
// tells the platform's rules that were broken.
func playPlatform(ctx context.Context, o options, dir string) error {
	c := soaker.Usual(o.seed, o.drill)
	c.Calm, c.Bin, c.Dir = platformCalm, o.bin, dir
	c.Note = func(now time.Time, fault string) { fmt.Println(now.Format(time.TimeOnly), fault) }
	r, err := soaker.Run(ctx, c)
	if err != nil {
		return err
	}
	fmt.Printf("%d faults; what callers were told: %s; all requests served %v after the last fault\n", r.Faults, format(r.Outcomes), r.Recovered.Round(time.Millisecond))
	for _, b := range r.Broken {
		fmt.Println("broken:", b)
	}
	if len(r.Broken) > 0 {
		return merry.Errorf("%d rules of the platform were broken", len(r.Broken))
	}
	if r.Faults == 0 && r.Outcomes["200"] == 0 {
		return merry.New("no request was served")
	}
	fmt.Println("platform: ok")
	return nil
}
