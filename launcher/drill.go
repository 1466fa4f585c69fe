package launcher

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"celeryhead.dev/celeryhead/emulator"
)

// Longest times of faults, beyond suspicion (1.5 s), freshness (3 s) and the usual deadline of a request.
const (
	longestInstanceFault = 8 * time.Second
	longestStoreFault    = 6 * time.Second
	longestTargetFault   = 3 * time.Second
	// leaveTimeout bounds how long an instance may take to leave after SIGTERM.
	leaveTimeout = 30 * time.Second
	slowStoreMs  = 400
)

// DrillConfig configures a drill.
type DrillConfig struct {
	Seed uint64
	// Duration is how long faults begin; all of them have ended when the drill returns.
	Duration time.Duration
	// Tracks is the number of faults that may overlap; the default is 3.
	Tracks int
	// Rest is the longest time between two faults of a track; the default is 2 s.
	Rest time.Duration
	// Note is told when a fault begins and ends; nil tells nobody.
	Note func(now time.Time, fault string)
}

func (c DrillConfig) withDefaults() DrillConfig {
	if c.Tracks == 0 {
		c.Tracks = 3
	}
	if c.Rest == 0 {
		c.Rest = 2 * time.Second
	}
	if c.Note == nil {
		c.Note = func(time.Time, string) {}
	}
	return c
}

// fault is done to one process or service and taken back later.
type fault struct {
	name, subject string
	longest       time.Duration
	begin, end    func(context.Context) error
}

// drill draws faults; no two of them have the same subject at a time.
type drill struct {
	*Deployment
	config DrillConfig

	mu       sync.Mutex
	subjects map[string]bool
	faults   int
}

// Drill brings about faults drawn at random, several at a time, and returns how many; it returns the first error of
// bringing one about or of ending it.
func (d *Deployment) Drill(ctx context.Context, c DrillConfig) (int, error) {
	k := &drill{Deployment: d, config: c.withDefaults(), subjects: map[string]bool{}}
	x, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	errs := make([]error, k.config.Tracks)
	var g sync.WaitGroup
	for i := range errs {
		g.Go(func() { errs[i] = k.track(ctx, x, rand.New(rand.NewPCG(c.Seed, uint64(i)))) }) //nolint:gosec // The draws repeat with the seed.
	}
	g.Wait()
	return k.faults, errors.Join(errs...)
}

// track brings about one fault after another until x ends, and ends the last one while ctx lasts.
func (k *drill) track(ctx, x context.Context, r *rand.Rand) error {
	for rest(x, r, k.config.Rest) {
		f := k.draw(r)
		if !k.reserve(f.subject) {
			continue
		}
		err := k.run(ctx, x, r, f)
		k.release(f.subject)
		if err != nil {
			return merry.Prependf(err, "%s of %s", f.name, f.subject)
		}
	}
	return nil
}

func (k *drill) run(ctx, x context.Context, r *rand.Rand, f fault) error {
	k.config.Note(time.Now(), f.name+" of "+f.subject)
	if err := f.begin(ctx); err != nil {
		return err
	}
	rest(x, r, f.longest)
	if err := f.end(ctx); err != nil {
		return err
	}
	k.config.Note(time.Now(), "end of "+f.name+" of "+f.subject)
	return nil
}

// rest waits for a time drawn up to longest and reports whether ctx still lasts.
func rest(ctx context.Context, r *rand.Rand, longest time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Duration(r.Int64N(int64(longest)))):
		return true
	}
}

func (k *drill) reserve(subject string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.subjects[subject] {
		return false
	}
	k.subjects[subject] = true
	k.faults++
	return true
}

func (k *drill) release(subject string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.subjects, subject)
}

// draw chooses a fault; half of them are of instances.
func (k *drill) draw(r *rand.Rand) fault {
	switch r.IntN(6) {
	case 0, 1, 2:
		return k.instanceFault(r)
	case 3, 4:
		return k.platformFault(r)
	default:
		return k.targetFault(r)
	}
}

func (k *drill) instanceFault(r *rand.Rand) fault {
	i := k.Instances[r.IntN(len(k.Instances))]
	f := fault{subject: i.Name, longest: longestInstanceFault}
	switch r.IntN(3) {
	case 0:
		f.name = "kill"
		f.begin = func(context.Context) error { i.Process.Kill(); return nil }
		f.end = func(ctx context.Context) error { return k.restart(ctx, i) }
	case 1:
		f.name = "graceful shutdown"
		f.begin = func(context.Context) error { i.Process.Signal(syscall.SIGTERM); return nil }
		f.end = func(ctx context.Context) error {
			select {
			case <-i.Process.Done():
			case <-time.After(leaveTimeout):
				return merry.Errorf("%s has not ended %v after SIGTERM", i.Name, leaveTimeout)
			}
			if err := i.Process.Wait(); err != nil {
				return err
			}
			return k.restart(ctx, i)
		}
	default:
		return suspension(i.Process, f)
	}
	return f
}

// suspension stops a process and lets it go on.
func suspension(p *Process, f fault) fault {
	f.name = "suspension"
	f.begin = func(context.Context) error { p.Signal(syscall.SIGSTOP); return nil }
	f.end = func(context.Context) error { p.Signal(syscall.SIGCONT); return nil }
	return f
}

func (k *drill) restart(ctx context.Context, i *Instance) error {
	if err := k.StartInstance(i); err != nil {
		return err
	}
	return waitFor(ctx, i.Callers)
}

func (k *drill) platformFault(r *rand.Rand) fault {
	f := fault{subject: "store", longest: longestStoreFault}
	switch r.IntN(6) {
	case 0:
		return suspension(k.Table, f)
	case 1:
		return suspension(k.List, fault{subject: "list", longest: longestStoreFault})
	case 2:
		return k.serviceFault(f, "outage", k.TableAddress, emulator.Faults{Down: true}, emulator.Faults{})
	case 3:
		return k.serviceFault(f, "loss of replies", k.TableAddress, emulator.Faults{LoseReplies: true}, emulator.Faults{})
	case 4:
		return k.serviceFault(f, "silence of connections", k.TableAddress, emulator.Faults{Silent: true}, emulator.Faults{})
	default:
		return k.serviceFault(f, "slowness", k.TableAddress, emulator.Faults{DelayMs: slowStoreMs}, emulator.Faults{})
	}
}

func (k *drill) targetFault(r *rand.Rand) fault {
	ns := make([]string, 0, len(k.Targets))
	for n := range k.Targets {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	n := ns[r.IntN(len(ns))]
	f := fault{subject: n, longest: longestTargetFault}
	a := k.Targets[n]
	switch r.IntN(5) {
	case 0:
		return k.serviceFault(f, "drain", a, emulator.TargetFaults{Draining: true}, emulator.TargetFaults{})
	case 1:
		return k.serviceFault(f, "false health", a, emulator.TargetFaults{LyingHealth: true}, emulator.TargetFaults{})
	case 2:
		return k.serviceFault(f, "failure", a, emulator.TargetFaults{Failing: true}, emulator.TargetFaults{})
	case 3:
		return k.serviceFault(f, "truncation", a, emulator.TargetFaults{Truncate: true}, emulator.TargetFaults{})
	default:
		return k.serviceFault(f, "silence of connections", a, emulator.TargetFaults{Silent: true}, emulator.TargetFaults{})
	}
}

// serviceFault sets faults of a stand-in and takes them back.
func (k *drill) serviceFault(f fault, name string, a netip.AddrPort, faults, none any) fault {
	f.name = name
	f.begin = func(ctx context.Context) error { return k.SetFaults(ctx, a, faults) }
	f.end = func(ctx context.Context) error { return k.SetFaults(ctx, a, none) }
	return f
}
