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

// Fault is done to one process or service and taken back later.
type Fault struct {
	Name, Subject string
	// Longest bounds the time until the fault is taken back.
	Longest    time.Duration
	Begin, End func(context.Context) error
}

// drill brings about faults; no two of them have the same subject at a time.
type drill struct {
	config DrillConfig
	draw   func(*rand.Rand) Fault

	mu       sync.Mutex
	subjects map[string]bool
	faults   int
}

// Drill brings about faults of the deployment drawn at random, several at a time, and returns how many; it returns the
// errors of bringing one about or of ending it.
func (d *Deployment) Drill(ctx context.Context, c DrillConfig) (int, error) {
	return Drill(ctx, c, d.draw)
}

// Drill brings about faults that draw returns, several at a time, and returns how many; it returns the errors of bringing
// one about or of ending it.
func Drill(ctx context.Context, c DrillConfig, draw func(*rand.Rand) Fault) (int, error) {
	k := &drill{config: c.withDefaults(), draw: draw, subjects: map[string]bool{}}
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
		if !k.reserve(f.Subject) {
			continue
		}
		err := k.run(ctx, x, r, f)
		k.release(f.Subject)
		if err != nil {
			return merry.Prependf(err, "%s of %s", f.Name, f.Subject)
		}
	}
	return nil
}

func (k *drill) run(ctx, x context.Context, r *rand.Rand, f Fault) error {
	k.config.Note(time.Now(), f.Name+" of "+f.Subject)
	if err := f.Begin(ctx); err != nil {
		return err
	}
	rest(x, r, f.Longest)
	if err := f.End(ctx); err != nil {
		return err
	}
	k.config.Note(time.Now(), "end of "+f.Name+" of "+f.Subject)
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
func (d *Deployment) draw(r *rand.Rand) Fault {
	switch r.IntN(6) {
	case 0, 1, 2:
		return d.instanceFault(r)
	case 3, 4:
		return d.platformFault(r)
	default:
		return d.targetFault(r)
	}
}

func (d *Deployment) instanceFault(r *rand.Rand) Fault {
	i := d.Instances[r.IntN(len(d.Instances))]
	f := Fault{Subject: i.Name, Longest: longestInstanceFault}
	switch r.IntN(3) {
	case 0:
		f.Name = "kill"
		f.Begin = func(context.Context) error { i.Process.Kill(); return nil }
		f.End = func(ctx context.Context) error { return d.restart(ctx, i) }
	case 1:
		f.Name = "graceful shutdown"
		f.Begin = func(context.Context) error { i.Process.Signal(syscall.SIGTERM); return nil }
		f.End = func(ctx context.Context) error {
			select {
			case <-i.Process.Done():
			case <-time.After(leaveTimeout):
				return merry.Errorf("%s has not ended %v after SIGTERM", i.Name, leaveTimeout)
			}
			if err := i.Process.Wait(); err != nil {
				return err
			}
			return d.restart(ctx, i)
		}
	default:
		return suspension(i.Process, f)
	}
	return f
}

// suspension stops a process and lets it go on.
func suspension(p *Process, f Fault) Fault {
	f.Name = "suspension"
	f.Begin = func(context.Context) error { p.Signal(syscall.SIGSTOP); return nil }
	f.End = func(context.Context) error { p.Signal(syscall.SIGCONT); return nil }
	return f
}

func (d *Deployment) restart(ctx context.Context, i *Instance) error {
	if err := d.StartInstance(i); err != nil {
		return err
	}
	return waitFor(ctx, i.Callers)
}

func (d *Deployment) platformFault(r *rand.Rand) Fault {
	f := Fault{Subject: "store", Longest: longestStoreFault}
	switch r.IntN(6) {
	case 0:
		return suspension(d.Table, f)
	case 1:
		return suspension(d.List, Fault{Subject: "list", Longest: longestStoreFault})
	case 2:
		return d.serviceFault(f, "outage", d.TableAddress, emulator.Faults{Down: true}, emulator.Faults{})
	case 3:
		return d.serviceFault(f, "loss of replies", d.TableAddress, emulator.Faults{LoseReplies: true}, emulator.Faults{})
	case 4:
		return d.serviceFault(f, "silence of connections", d.TableAddress, emulator.Faults{Silent: true}, emulator.Faults{})
	default:
		return d.serviceFault(f, "slowness", d.TableAddress, emulator.Faults{DelayMs: slowStoreMs}, emulator.Faults{})
	}
}

func (d *Deployment) targetFault(r *rand.Rand) Fault {
	ns := make([]string, 0, len(d.Targets))
	for n := range d.Targets {
		ns = append(ns, n)
	}
	slices.Sort(ns)
	n := ns[r.IntN(len(ns))]
	f := Fault{Subject: n, Longest: longestTargetFault}
	a := d.Targets[n]
	switch r.IntN(5) {
	case 0:
		return d.serviceFault(f, "drain", a, emulator.TargetFaults{Draining: true}, emulator.TargetFaults{})
	case 1:
		return d.serviceFault(f, "false health", a, emulator.TargetFaults{LyingHealth: true}, emulator.TargetFaults{})
	case 2:
		return d.serviceFault(f, "failure", a, emulator.TargetFaults{Failing: true}, emulator.TargetFaults{})
	case 3:
		return d.serviceFault(f, "truncation", a, emulator.TargetFaults{Truncate: true}, emulator.TargetFaults{})
	default:
		return d.serviceFault(f, "silence of connections", a, emulator.TargetFaults{Silent: true}, emulator.TargetFaults{})
	}
}

// serviceFault sets faults of a stand-in and takes them bacd.
func (d *Deployment) serviceFault(f Fault, name string, a netip.AddrPort, faults, none any) Fault {
	f.Name = name
	f.Begin = func(ctx context.Context) error { return d.SetFaults(ctx, a, faults) }
	f.End = func(ctx context.Context) error { return d.SetFaults(ctx, a, none) }
	return f
}
